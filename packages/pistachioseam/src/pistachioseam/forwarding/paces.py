"""Ratios of actual to expected time to first byte, by engine.

Load pattern: some targets of a service are slower than others, always or for
a while, though their health checks pass.
"""

import attrs

NEWEST_WEIGHT = 0.2
"""Weight of the newest response in the exponential moving average."""
MIN_FACTOR = 0.7
MAX_FACTOR = 4.0
"""Bounds of the factor; slower targets are left to outlier detection."""
MIN_EXPECTED_SECONDS = 0.02
"""Shorter expected times are too inexact to measure an engine's speed."""
MAX_AGE_SECONDS = 5.0
"""Age after which a factor is dropped, as slowdowns are temporary."""


@attrs.define
class _Slowdown:
    factor: float
    updated_at: float


class SlowdownTracker:
    """Slowdown factors of targets by name; 1.0 is as fast as expected."""

    def __init__(self) -> None:
        self._slowdowns: dict[str, _Slowdown] = {}

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
        ratio = min(
            MAX_FACTOR, max(MIN_FACTOR, actual_seconds / expected_seconds)
        )
        factor = self.get_factor(target, now)
        factor += NEWEST_WEIGHT * (ratio - factor)
        self._slowdowns[target] = _Slowdown(factor, now)

    def get_factor(self, target: str, now: float) -> float:
        """Return a target's ratio of actual to expected time to first byte."""
        slowdown = self._slowdowns.get(target)
        if slowdown is None or now - slowdown.updated_at > MAX_AGE_SECONDS:
            return 1.0
        return slowdown.factor

    def forget(self, target: str) -> None:
        """Drop the factor of a target whose incarnation has ended."""
        self._slowdowns.pop(target, None)
