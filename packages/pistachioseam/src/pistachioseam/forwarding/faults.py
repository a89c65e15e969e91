"""Share of calls that a target fails, and calls that it leaves unanswered.

Load pattern: a target fails, refuses or never answers a part of its calls
while its health check is good, for all callers or only for some.
"""

import attrs

WEIGHT = 0.1
"""Weight of the newest call in the moving average."""
FORGET_SECONDS = 6.0
"""Age after which a target is given another chance."""
FAILED_SECONDS = 0.6
"""Cost of a call that surely fails, in seconds of waiting."""
OVERDUE_SECONDS = 1.5
"""Silence after which a call counts as unanswered."""
OVERDUE_COST_SECONDS = 0.3
"""Cost for each call that is unanswered now."""


@attrs.define
class _Record:
    share: float
    noted_at: float


class FaultBoard:
    """Shares by target name."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def note(self, target: str, is_failed: bool, now: float) -> None:
        """Note the end of a call."""
        share = self.get_share(target, now)
        share += WEIGHT * (float(is_failed) - share)
        self._records[target] = _Record(share, now)

    def get_share(self, target: str, now: float) -> float:
        """Return the share of calls that fail, from 0 to 1."""
        record = self._records.get(target)
        if record is None or now - record.noted_at > FORGET_SECONDS:
            return 0.0
        return record.share

    def forget(self, target: str) -> None:
        """Drop what was known of a target that has ended."""
        self._records.pop(target, None)


def rate_faults(share: float, overdue: int) -> float:
    """Return the cost of a target's faults in seconds."""
    return share * FAILED_SECONDS + overdue * OVERDUE_COST_SECONDS
