"""Retry budget: limits retries to a fraction of successful requests."""

import attrs

TOKENS_PER_SUCCESS = 0.1
MAX_TOKENS = 200.0


@attrs.define
class RetryBudget:
    """Token bucket for retries; a retry costs one token."""

    tokens_per_success: float = TOKENS_PER_SUCCESS
    max_tokens: float = MAX_TOKENS
    tokens: float = MAX_TOKENS

    def record_success(self) -> None:
        """Add `tokens_per_success`, up to `max_tokens`."""
        self.tokens = min(
            self.max_tokens, self.tokens + self.tokens_per_success
        )

    def try_spend(self) -> bool:
        """Spend one token; return False if less than one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
