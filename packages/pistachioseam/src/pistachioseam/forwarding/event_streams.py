"""Splitting and ordering of server-sent events."""

import enum

import attrs

from pistachioseam import numerals

SEPARATOR = b'\n\n'
MAX_ID_DIGITS = 100
"""Longest id of an event that is read as a number."""
MAX_EVENT_BYTES = 65_536
"""Longest event of a stream; a longer one is not an event."""


class EventAction(enum.Enum):
    """What to do with a received event."""

    DELIVER = 'deliver'
    SKIP = 'skip'
    """The caller already has the event."""
    GAP = 'gap'
    """Events before this one are missing, or it is none of the stream; the
    stream must be aborted."""


@attrs.frozen
class StreamEvent:
    """One event; `event_id` is None if its id is absent or not a number."""

    event_id: int | None
    data: bytes

    def is_comment(self) -> bool:
        """Return whether the event consists of comments only."""
        lines = self.data.strip(b'\n').split(b'\n')
        return all(line.startswith(b':') for line in lines)


class EventSplitter:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes."""
        self._buffer += data
        *whole, self._buffer = self._buffer.split(SEPARATOR)
        return [StreamEvent(_parse_id(raw), raw + SEPARATOR) for raw in whole]

    def is_too_large(self) -> bool:
        """Return whether the buffered event exceeds the limit."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def is_between_events(self) -> bool:
        """Return whether no partial event is buffered."""
        return not self._buffer


def parse_id(text: str) -> int | None:
    """Return the id of an event, None if it is not a number."""
    return numerals.parse_natural(text, MAX_ID_DIGITS)


def _parse_id(raw: bytes) -> int | None:
    for line in raw.split(b'\n'):
        if line.startswith(b'id:'):
            return parse_id(line[3:].strip().decode('latin-1'))
    return None


@attrs.define
class EventSequence:
    """Sequence of the events sent to one caller, across all targets."""

    last_id: int | None = None

    def check_next(self, event: StreamEvent) -> EventAction:
        """Return what to do with an event; record it if it is delivered."""
        if event.event_id is None:
            is_expected = self.last_id is None or event.is_comment()
            return EventAction.DELIVER if is_expected else EventAction.GAP
        if self.last_id is None:
            self.last_id = event.event_id
            return EventAction.DELIVER
        if event.event_id <= self.last_id:
            return EventAction.SKIP
        if event.event_id > self.last_id + 1:
            return EventAction.GAP
        self.last_id = event.event_id
        return EventAction.DELIVER
