"""The one decision on what is a status of an HTTP response."""

import re

STATUS_PATTERN = re.compile(rb'[1-5][0-9]{2}')
"""Three ASCII digits, 100 to 599. A class that is not defined tells nothing
about the run of a call, and not all clients accept one."""
MIN_FINAL_STATUS = 200
"""A lower status is that of an interim response; a final one follows it."""


def parse_status(text: bytes) -> int | None:
    """Return the status of a status line, None if it is malformed."""
    return int(text) if STATUS_PATTERN.fullmatch(text) else None


def is_interim(status: int) -> bool:
    """Return whether another response follows one with a valid status."""
    return status < MIN_FINAL_STATUS


def is_final(status: int) -> bool:
    """Return whether a number is the valid status of a final response."""
    parsed = parse_status(b'%d' % status)
    return parsed is not None and not is_interim(parsed)
