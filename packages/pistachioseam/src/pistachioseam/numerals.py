"""Whole numbers in text that comes from outside."""

MAX_DIGITS = 18
"""Longest number that is read; each of so many digits fits into 64 bits."""


def parse_natural(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return a number of ASCII digits, None for any other text.

    `str.isdigit` also accepts digits that `int` does not, and `int` refuses
    thousands of digits.
    """
    if not text.isascii() or not text.isdigit() or len(text) > max_digits:
        return None
    return int(text)
