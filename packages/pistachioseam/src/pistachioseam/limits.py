"""Limits per account: rate of work, and fair shares under saturation.

Work is in seconds of prefill, so that long checks weigh what they cost.
"""

import math

import attrs

USAGE_SECONDS = 10.0
RETRY_FIRST_SECONDS = 0.5
RETRY_LAST_SECONDS = 30.0
JITTER_SHARE = 0.5
ACTIVE_USAGE = 0.001
LEAST_PRESSURE = 0.25


@attrs.frozen(kw_only=True)
class Settings:
    """Limits of a deployment, per host.

    `work_seconds_per_second` and `burst_work_seconds` bound each account;
    `max_wait_seconds` is the expected first-token time beyond which new work
    is refused, sooner for accounts above their share.
    """

    work_seconds_per_second: float = 100.0
    burst_work_seconds: float = 1000.0
    max_wait_seconds: float = 4.0
    max_concurrent: int = 1000


@attrs.define
class _Usage:
    share: float = 1.0
    work: float = 0.0
    work_at: float = 0.0
    tokens: float = 0.0
    tokens_at: float = 0.0
    concurrent: int = 0
    refused_in_row: int = 0


class AccountLimits:
    """Usage of every account on this host; times in monotonic seconds."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._usages: dict[str, _Usage] = {}

    def _get(self, account: str, now: float) -> _Usage:
        usage = self._usages.get(account)
        if usage is None:
            burst = self.settings.burst_work_seconds
            usage = _Usage(work_at=now, tokens=burst, tokens_at=now)
            self._usages[account] = usage
        return usage

    def set_share(self, account: str, share: float, now: float) -> None:
        """Set the weight of an account against the others."""
        self._get(account, now).share = share

    def admit(self, account: str, now: float) -> bool:
        """Tell whether rate and concurrency let the account go on."""
        usage = self._get(account, now)
        self._refill(usage, now)
        if usage.concurrent >= self.settings.max_concurrent:
            return False
        return usage.tokens > 0.0

    def _refill(self, usage: _Usage, now: float) -> None:
        earned = (
            now - usage.tokens_at
        ) * self.settings.work_seconds_per_second
        burst = self.settings.burst_work_seconds
        usage.tokens = min(burst, usage.tokens + earned)
        usage.tokens_at = now

    def begin(self, account: str, now: float) -> None:
        """Count a request of the account as running."""
        self._get(account, now).concurrent += 1

    def end(self, account: str, now: float) -> None:
        """Count a request of the account as ended."""
        self._get(account, now).concurrent -= 1

    def charge(self, account: str, work: float, now: float) -> None:
        """Charge admitted work to the account."""
        usage = self._get(account, now)
        self._refill(usage, now)
        usage.tokens -= work
        usage.work = _decay(usage, now) + work
        usage.work_at = now
        usage.refused_in_row = 0

    def compute_pressure(self, account: str, now: float) -> float:
        """Return usage over fair share; 1 is exactly the share."""
        own = self._get(account, now)
        total_work = total_share = 0.0
        for usage in self._usages.values():
            work = _decay(usage, now)
            if work > ACTIVE_USAGE or usage is own:
                total_work += work
                total_share += usage.share
        if total_work <= 0.0:
            return 0.0
        return (_decay(own, now) / total_work) / (own.share / total_share)

    def compute_max_wait(self, account: str, now: float) -> float:
        """Return the expected wait beyond which the account is refused."""
        pressure = self.compute_pressure(account, now)
        return self.settings.max_wait_seconds / max(LEAST_PRESSURE, pressure)

    def compute_retry_after(
        self, account: str, now: float, random: float
    ) -> float:
        """Return jittered seconds that double with refusals in a row."""
        usage = self._get(account, now)
        seconds = RETRY_FIRST_SECONDS * 2.0**usage.refused_in_row
        usage.refused_in_row = min(usage.refused_in_row + 1, 16)
        seconds = min(seconds, RETRY_LAST_SECONDS)
        return seconds * (1.0 - JITTER_SHARE * random)

    def count_accounts(self) -> int:
        """Return the number of accounts with state."""
        return len(self._usages)


def _decay(usage: _Usage, now: float) -> float:
    age = max(0.0, now - usage.work_at)
    return usage.work * math.exp(-age / USAGE_SECONDS)
