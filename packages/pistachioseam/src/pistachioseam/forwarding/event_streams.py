"""Server-sent events as whole units, in order and once."""

import enum

import attrs

SEPARATOR = b'\n\n'


class Verdict(enum.Enum):
    """What to do with an event."""

    DELIVER = 'deliver'
    SKIP = 'skip'
    GAP = 'gap'


@attrs.frozen
class StreamEvent:
    """One event with its id, None if it has none that is a number."""

    event_id: int | None
    data: bytes


class EventSplitter:
    """Splits bytes into whole events."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        self._buffer += data
        *whole, self._buffer = self._buffer.split(SEPARATOR)
        return [
            StreamEvent(_parse_id(text), text + SEPARATOR) for text in whole
        ]

    def is_between_events(self) -> bool:
        """Tell whether no part of an event waits for its end."""
        return not self._buffer


def _parse_id(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if line.startswith(b'id:'):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None


@attrs.define
class EventOrder:
    """Order of the events of one answer, over all its targets."""

    last_id: int | None = None

    def judge(self, event: StreamEvent) -> Verdict:
        """Tell what to do with an event; deliver it next if so."""
        if event.event_id is None or self.last_id is None:
            self.last_id = event.event_id
            return Verdict.DELIVER
        if event.event_id <= self.last_id:
            return Verdict.SKIP
        if event.event_id > self.last_id + 1:
            return Verdict.GAP
        self.last_id = event.event_id
        return Verdict.DELIVER
