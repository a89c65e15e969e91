"""Rate limits and fair shares per client account.

Work is measured in seconds of prefill, so that each request is charged for
the compute it needs.
"""

import math

import attrs

USAGE_DECAY_SECONDS = 10.0
"""Time constant of the exponential decay of recent work."""
INITIAL_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
JITTER_FRACTION = 0.5
MIN_ACTIVE_WORK_SECONDS = 0.001
"""Accounts with less recent work do not count in the fair shares."""
MIN_USAGE_RATIO = 0.25
"""Bounds the wait of an account with little usage to 4 times
`Settings.max_wait_seconds`."""


@attrs.frozen(kw_only=True)
class Settings:
    """Limits that each host applies.

    `work_seconds_per_second` and `burst_work_seconds` are the rate and the
    burst of each account's token bucket. `max_wait_seconds` is the expected
    wait until prefill starts beyond which new requests are refused; the bound
    is divided by the account's usage relative to its fair share, or by
    `MIN_USAGE_RATIO` if that is larger. `max_concurrent` is the number of
    requests that an account may have in flight.
    """

    work_seconds_per_second: float = 100.0
    burst_work_seconds: float = 1000.0
    max_wait_seconds: float = 4.0
    max_concurrent: int = 1000


@attrs.define
class _Usage:
    """Usage of one account; work and tokens are in seconds of prefill."""

    share: float = 1.0
    recent_work: float = 0.0
    work_updated_at: float = 0.0
    tokens: float = 0.0
    tokens_updated_at: float = 0.0
    in_flight: int = 0
    consecutive_refusals: int = 0


class AccountLimits:
    """Usage of every account on this host; times are monotonic seconds."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._usages: dict[str, _Usage] = {}

    def _get_usage(self, account: str, now: float) -> _Usage:
        usage = self._usages.get(account)
        if usage is None:
            burst = self.settings.burst_work_seconds
            usage = _Usage(
                work_updated_at=now, tokens=burst, tokens_updated_at=now
            )
            self._usages[account] = usage
        return usage

    def set_share(self, account: str, share: float, now: float) -> None:
        """Set the weight of an account in the fair shares."""
        self._get_usage(account, now).share = share

    def has_capacity(self, account: str, now: float) -> bool:
        """Return whether the account is within its rate and concurrency."""
        usage = self._get_usage(account, now)
        self._refill(usage, now)
        if usage.in_flight >= self.settings.max_concurrent:
            return False
        return usage.tokens > 0.0

    def _refill(self, usage: _Usage, now: float) -> None:
        refill = (
            now - usage.tokens_updated_at
        ) * self.settings.work_seconds_per_second
        burst = self.settings.burst_work_seconds
        usage.tokens = min(burst, usage.tokens + refill)
        usage.tokens_updated_at = now

    def start_request(self, account: str, now: float) -> None:
        """Add one to the requests in flight of the account."""
        self._get_usage(account, now).in_flight += 1

    def end_request(self, account: str, now: float) -> None:
        """Subtract one from the requests in flight of the account."""
        self._get_usage(account, now).in_flight -= 1

    def charge(self, account: str, work: float, now: float) -> None:
        """Charge the work of an admitted request, in seconds."""
        usage = self._get_usage(account, now)
        self._refill(usage, now)
        usage.tokens -= work
        usage.recent_work = _decay(usage, now) + work
        usage.work_updated_at = now
        usage.consecutive_refusals = 0

    def compute_usage_ratio(self, account: str, now: float) -> float:
        """Return recent usage divided by the fair share of the account."""
        own = self._get_usage(account, now)
        total_work = total_share = 0.0
        for usage in self._usages.values():
            work = _decay(usage, now)
            if work > MIN_ACTIVE_WORK_SECONDS or usage is own:
                total_work += work
                total_share += usage.share
        if total_work <= 0.0:
            return 0.0
        return (_decay(own, now) / total_work) / (own.share / total_share)

    def compute_max_wait(self, account: str, now: float) -> float:
        """Return the expected wait, in seconds, beyond which to refuse."""
        usage_ratio = self.compute_usage_ratio(account, now)
        return self.settings.max_wait_seconds / max(
            MIN_USAGE_RATIO, usage_ratio
        )

    def compute_retry_after(
        self, account: str, now: float, random: float
    ) -> float:
        """Return jittered seconds that double with consecutive refusals."""
        usage = self._get_usage(account, now)
        seconds = INITIAL_RETRY_AFTER_SECONDS * 2.0**usage.consecutive_refusals
        usage.consecutive_refusals = min(usage.consecutive_refusals + 1, 16)
        seconds = min(seconds, MAX_RETRY_AFTER_SECONDS)
        return seconds * (1.0 - JITTER_FRACTION * random)

    def count_accounts(self) -> int:
        """Return the number of accounts whose usage is tracked."""
        return len(self._usages)


def _decay(usage: _Usage, now: float) -> float:
    age = max(0.0, now - usage.work_updated_at)
    return usage.recent_work * math.exp(-age / USAGE_DECAY_SECONDS)
