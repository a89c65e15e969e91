"""Rate limit of log lines, which bounds their volume under load."""

import collections

import attrs

from pistachioseam import events

ROUTINE_LINES_PER_SECOND = 60.0
"""Limit for each event of successful calls."""
DEFAULT_LINES_PER_SECOND = 120.0
"""Limit for each other event: refusals, failures and state changes."""
BURST_SECONDS = 2.0
"""Size of a full token bucket, as seconds of its rate."""
ROUTINE_EVENTS = frozenset(
    (events.Event.CALL_PLACED, events.Event.REQUEST_ENDED)
)


@attrs.define
class _TokenBucket:
    tokens_per_second: float
    tokens: float
    refilled_at: float

    def take(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        refill = (now - self.refilled_at) * self.tokens_per_second
        capacity = self.tokens_per_second * BURST_SECONDS
        self.tokens = min(capacity, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class LineBudget:
    """Token bucket of log lines for each event, and counts of omitted lines.

    Errors are never omitted.
    """

    def __init__(self) -> None:
        self._buckets: dict[events.Event, _TokenBucket] = {}
        self._omitted: collections.Counter[int] = collections.Counter()

    def take(self, event: events.Event, now: float) -> bool:
        """Take a token for a line; return whether it may be written.

        A line without a token is counted as omitted. `now` is in seconds.
        Errors need no token.
        """
        if event.value.level is events.Level.ERROR:
            return True
        bucket = self._buckets.get(event)
        if bucket is None:
            rate = DEFAULT_LINES_PER_SECOND
            if event in ROUTINE_EVENTS:
                rate = ROUTINE_LINES_PER_SECOND
            bucket = _TokenBucket(rate, rate * BURST_SECONDS, now)
            self._buckets[event] = bucket
        if bucket.take(now):
            return True
        self._omitted[event.value.number] += 1
        return False

    def take_omitted(self) -> dict[int, int]:
        """Return and reset the omitted lines by event number."""
        omitted = dict(self._omitted)
        self._omitted.clear()
        return omitted
