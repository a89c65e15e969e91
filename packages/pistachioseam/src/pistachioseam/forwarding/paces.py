"""Slowdowns of engines: ratios of actual to expected time to first byte.

Load pattern: some targets of a service are slower than others, always or for
a while, though their health checks pass.
"""

import attrs

NEWEST_WEIGHT = 0.2
"""Weight of the newest response in the exponential moving average."""
MIN_SLOWDOWN = 0.7
MAX_SLOWDOWN = 4.0
"""Bounds of the slowdown; slower targets are left to outlier detection."""
MIN_EXPECTED_SECONDS = 0.02
"""Shorter expected times are too inexact to measure an engine's speed."""
MAX_AGE_SECONDS = 5.0
"""Age after which a slowdown is dropped, as slowdowns are temporary."""


@attrs.define
class _RecordedSlowdown:
    slowdown: float
    updated_at: float


class SlowdownTracker:
    """Slowdowns of targets by name; 1.0 is as fast as expected."""

    def __init__(self) -> None:
        self._slowdowns: dict[str, _RecordedSlowdown] = {}

    def record(
        self,
        target: str,
        expected_seconds: float,
        actual_seconds: float,
        now: float,
    ) -> None:
        """Record a response's expected and actual time to first byte."""
        if expected_seconds < MIN_EXPECTED_SECONDS:
            return
        newest = min(
            MAX_SLOWDOWN, max(MIN_SLOWDOWN, actual_seconds / expected_seconds)
        )
        slowdown = self.get_slowdown(target, now)
        slowdown += NEWEST_WEIGHT * (newest - slowdown)
        self._slowdowns[target] = _RecordedSlowdown(slowdown, now)

    def get_slowdown(self, target: str, now: float) -> float:
        """Return a target's ratio of actual to expected time to first byte."""
        recorded = self._slowdowns.get(target)
        if recorded is None or now - recorded.updated_at > MAX_AGE_SECONDS:
            return 1.0
        return recorded.slowdown

    def forget(self, target: str) -> None:
        """Drop the slowdown of a target whose incarnation has ended."""
        self._slowdowns.pop(target, None)
