"""Retry budget: retries as a share of successes."""

import attrs

SHARE = 0.1
BURST = 200.0


@attrs.define
class RetryBudget:
    """Tokens for retries; each success earns a share of one."""

    share: float = SHARE
    burst: float = BURST
    tokens: float = BURST

    def note_success(self) -> None:
        """Earn a share of a retry."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def take(self) -> bool:
        """Spend one retry; return False when the budget is empty."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
