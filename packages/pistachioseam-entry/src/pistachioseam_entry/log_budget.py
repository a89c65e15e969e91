"""Budget of log lines, so that their volume stays bounded under load."""

import collections

import attrs

from pistachioseam import events

ROUTINE_LINES_PER_SECOND = 60.0
"""For each event of calls that go well: above an ordinary day's peak."""
TROUBLE_LINES_PER_SECOND = 120.0
"""For each event of refusals, failures and changes of belief."""
BURST_SECONDS = 2.0
"""Lines of so many seconds may come at once."""
ROUTINE = frozenset((events.Event.CALL_PLACED, events.Event.REQUEST_ENDED))


@attrs.define
class _Bucket:
    lines_per_second: float
    lines: float
    filled_at: float

    def take(self, now: float) -> bool:
        """Take one line; False when there is none."""
        earned = (now - self.filled_at) * self.lines_per_second
        most = self.lines_per_second * BURST_SECONDS
        self.lines = min(most, self.lines + earned)
        self.filled_at = now
        if self.lines < 1.0:
            return False
        self.lines -= 1.0
        return True


class LineBudget:
    """Lines left for each event; what is left out is counted."""

    def __init__(self) -> None:
        self._buckets: dict[events.Event, _Bucket] = {}
        self._omitted: collections.Counter[int] = collections.Counter()

    def take(self, event: events.Event, now: float) -> bool:
        """Tell whether a line may be written; `now` in seconds."""
        if event.value.level is events.Level.ERROR:
            return True
        bucket = self._buckets.get(event)
        if bucket is None:
            rate = TROUBLE_LINES_PER_SECOND
            if event in ROUTINE:
                rate = ROUTINE_LINES_PER_SECOND
            bucket = _Bucket(rate, rate * BURST_SECONDS, now)
            self._buckets[event] = bucket
        if bucket.take(now):
            return True
        self._omitted[event.value.number] += 1
        return False

    def take_omitted(self) -> dict[int, int]:
        """Return how many lines were left out since the last time."""
        omitted = dict(self._omitted)
        self._omitted.clear()
        return omitted
