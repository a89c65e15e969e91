"""Passive outlier detection: failure rates and overdue calls of targets.

Load pattern: a target fails, rejects or never responds to some of its calls
while its health check passes, for all callers or only for some.
"""

import attrs

NEWEST_WEIGHT = 0.1
"""Weight of the newest call in the exponential moving average."""
MAX_AGE_SECONDS = 6.0
"""Age after which a failure rate is dropped and the target is tried again."""
FAILED_CALL_COST_SECONDS = 0.6
"""Cost of a failure rate of 1, as seconds of queueing."""
OVERDUE_AFTER_SECONDS = 1.5
"""Time without a first byte after which a call counts as overdue."""
OVERDUE_CALL_COST_SECONDS = 0.3
"""Cost of each overdue call, as seconds of queueing."""


@attrs.define
class _FailureRate:
    rate: float
    updated_at: float


class FailureTracker:
    """Moving averages of the failure rates of targets, by name."""

    def __init__(self) -> None:
        self._rates: dict[str, _FailureRate] = {}

    def record(self, target: str, is_failed: bool, now: float) -> None:
        """Record whether a call that has ended failed."""
        rate = self.get_failure_rate(target, now)
        rate += NEWEST_WEIGHT * (float(is_failed) - rate)
        self._rates[target] = _FailureRate(rate, now)

    def get_failure_rate(self, target: str, now: float) -> float:
        """Return the fraction of failed calls; 0 without recent calls."""
        failure_rate = self._rates.get(target)
        if (
            failure_rate is None
            or now - failure_rate.updated_at > MAX_AGE_SECONDS
        ):
            return 0.0
        return failure_rate.rate

    def forget(self, target: str) -> None:
        """Drop the failure rate of a target whose incarnation has ended."""
        self._rates.pop(target, None)


def compute_failure_cost(rate: float, overdue_calls: int) -> float:
    """Return the cost of a target's failed and overdue calls, in seconds."""
    return (
        rate * FAILED_CALL_COST_SECONDS
        + overdue_calls * OVERDUE_CALL_COST_SECONDS
    )
