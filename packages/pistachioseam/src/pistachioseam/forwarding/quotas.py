"""Quotas of client accounts, kept by all hosts together.

Load pattern: an account sends six to eight times its usual load for some
seconds, mostly through one host, and moves between failure domains. Fixed
shares would reject most of what such an account may send. So one host for each
account, the issuer, grants the cost of each call out of a token bucket, and
every host asks it before it sends a call.

Which host is the issuer follows from the live peers. The issuer grants the
part of the rate that corresponds to the part of the fleet it sees, so the
sides of a partition together stay within the quota. A host that the issuer
does not answer spends from a small bucket of its own.

All times are seconds of the boot clock, which advances while a host is
suspended.
"""

from collections import abc
import typing

import attrs

from pistachioseam import events
from pistachioseam.forwarding import desired
from pistachioseam import interfaces
from pistachioseam import refusals

GRANT_SECONDS = 0.5
"""Time from a request to the last moment at which its grant may be used."""
MIN_FULL_FRACTION = 0.9
"""Part of the fleet that an issuer must see to grant the whole rate. The
default overage covers the rest of the fleet, if it has an issuer of its own.
"""
FALLBACK_FRACTION = 0.25
"""Part of the overage and slack that hosts without an issuer may spend from
full buckets; the rest covers issuers that overlap during a failover."""
TAKEOVER_SECONDS = 2.0
"""Time for which a new bucket refills slowly, as the former issuer may not
know yet that it is one no longer."""
TAKEOVER_FACTOR = 0.6
"""Part of the rate granted in that time. The usual demand, 1/1.8 of the rate,
fits into it."""
STALL_SECONDS = 1.5
"""Pause of the host's loop after which its buckets are dropped: another host
may have become the issuer. The loop runs at least every 0.6 s."""
RETURN_SECONDS = 2.5
"""Age up to which cost that was granted is returned. Model calls are held
for at most 1.2 times their objective, 1.84 s in the largest deployment."""
PEAK_SECONDS = 3.0
"""Least time for which a bucket remembers its peak: `RETURN_SECONDS`, and
0.5 s for the way of the message."""
UNKNOWN_RETRY_SECONDS = 1.0
"""Retry-after of a call of which nobody can say whether it is over quota."""


@attrs.frozen(kw_only=True)
class QuotaTerms:
    """Bound that all hosts together keep for each account.

    In any window of `window_seconds`, calls with a total cost of at most
    (rate x window + burst) x (1 + `overage`) + `slack` tokens are sent.
    """

    window_seconds: float = 8.0
    overage: float = 0.1
    slack: float = 0.0

    def compute_fallback_capacity(self, quota: desired.Quota) -> float:
        """Return the cost that hosts without an issuer may send at once.

        The slack is stated in tokens and does not apply to counted calls.
        """
        allowed = quota.rate_per_second * self.window_seconds + quota.burst
        slack = self.slack if quota.counts_tokens else 0.0
        return FALLBACK_FRACTION * (self.overage * allowed + slack)


@attrs.frozen(kw_only=True)
class QuotaRequest:
    """Request of the host `asker` for the cost of one call of an account.

    `returned` is cost that a former grant did not use. A request may return
    cost without asking for any.
    """

    asker: str
    account: str
    cost: float
    returned: float = 0.0


@attrs.frozen
class QuotaDecision:
    """Decision of the issuer.

    Without a grant, the call would fit after `wait_seconds`; 0 if the issuer
    sees too little of the fleet to say whether the account is over its quota.
    """

    is_granted: bool
    wait_seconds: float = 0.0


QuotaSource: typing.TypeAlias = abc.Callable[
    [QuotaRequest], abc.Awaitable[QuotaDecision | None]
]
"""Asks the issuer; returns None if it did not answer."""


def compute_cost(quota: desired.Quota, token_count: int | None) -> float:
    """Return what a call costs; `token_count` is None if it states none."""
    if not quota.counts_tokens:
        return 1.0
    if token_count is None:
        return quota.uncounted_cost
    return float(token_count)


def compute_share(fraction: float) -> float:
    """Return the part of the rates to grant by the part of the fleet seen."""
    return 1.0 if fraction >= MIN_FULL_FRACTION else fraction


@attrs.define
class Bucket:
    """Token bucket that starts empty and takes back unused cost.

    Cost may be returned only as far as the bucket would now hold more had it
    never been taken. Otherwise a full bucket, whose grants go unused for some
    time, could pay for two bursts. What it would have lost at its capacity
    follows from its peak since then; `_former_peak` and `_peak` are those of
    the last two periods of `PEAK_SECONDS`. The peak before the bucket began is
    not known, and counts as infinite.
    """

    started_at: float
    tokens: float = 0.0
    capacity: float = 0.0
    _refilled_at: float = attrs.field(init=False)
    _peak: float = attrs.field(default=0.0, init=False)
    _former_peak: float = attrs.field(default=float('inf'), init=False)
    _period_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin at the start time."""
        self._refilled_at = self._period_at = self.started_at

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Add what has been earned since the last refill."""
        earned = max(0.0, now - self._refilled_at) * rate
        self.capacity = capacity
        self.tokens = min(capacity, self.tokens + earned)
        self._refilled_at = max(now, self._refilled_at)
        if now - self._period_at >= PEAK_SECONDS:
            self._former_peak = self._peak
            self._peak = 0.0
            self._period_at = now
        self._peak = max(self._peak, self.tokens)

    def take(self, cost: float, may_owe: bool) -> bool:
        """Take the cost of a call if it fits.

        If `may_owe`, a call larger than the bucket fits when that is full.
        """
        needed = min(cost, self.capacity) if may_owe else cost
        if self.tokens < needed:
            return False
        self.tokens -= cost
        return True

    def give_back(self, cost: float) -> None:
        """Add cost that was taken and not used, as far as it is certain."""
        peak = max(self._peak, self._former_peak)
        added = max(0.0, min(cost, self.capacity - peak))
        self.tokens += added
        self._peak += added
        self._former_peak += added


class QuotaIssuer:
    """Grants the cost of calls within the quotas of accounts.

    `get_share` returns the part of the rates that this host may grant, 0 if
    it does not know the size of the fleet.
    """

    def __init__(self, get_share: abc.Callable[[], float]) -> None:
        self._get_share = get_share
        self._buckets: dict[str, Bucket] = {}
        self._followed_at: float | None = None

    def follow(self, accounts: abc.Iterable[str], now: float) -> None:
        """Keep buckets for `accounts`, those that this host is the issuer of.

        Called regularly, so that the bucket of an account without calls fills
        too. A longer pause shows that this host was frozen.
        """
        self._drop_after_stall(now)
        self._followed_at = now
        self._buckets = {
            account: self._buckets.get(account) or Bucket(now)
            for account in accounts
        }

    def _drop_after_stall(self, now: float) -> None:
        followed_at = self._followed_at
        if followed_at is not None and now - followed_at > STALL_SECONDS:
            self._buckets.clear()
            self._followed_at = now

    def issue(
        self, request: QuotaRequest, quota: desired.Quota, now: float
    ) -> QuotaDecision | None:
        """Grant the cost of a call, or return when it would fit.

        Return None if the size of the fleet is not known.
        """
        self._drop_after_stall(now)
        share = self._get_share()
        if share <= 0:
            return None
        bucket = self._buckets.get(request.account)
        if bucket is None:
            bucket = self._buckets[request.account] = Bucket(now)
        rate = quota.rate_per_second * share
        if now - bucket.started_at < TAKEOVER_SECONDS:
            rate *= TAKEOVER_FACTOR
        bucket.refill(rate, quota.burst * share, now)
        bucket.give_back(request.returned)
        is_whole = share >= 1
        if bucket.take(request.cost, may_owe=is_whole):
            return QuotaDecision(True)
        if not is_whole:
            return QuotaDecision(False)
        missing = min(request.cost, bucket.capacity) - bucket.tokens
        return QuotaDecision(False, missing / rate)


class QuotaClient:
    """Grants of this host for its calls.

    `count_hosts` returns the size of the fleet, lost hosts included, None
    until it is known. `record` is told the outcome of each question:
    `granted`, `denied` or `unanswered`.
    """

    def __init__(
        self,
        name: str,
        runtime: interfaces.Runtime,
        read_boot_clock: abc.Callable[[], float],
        random: interfaces.RandomSource,
        sink: interfaces.EventSink,
        source: QuotaSource,
        count_hosts: abc.Callable[[], int | None],
        terms: QuotaTerms,
        record: abc.Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.terms = terms
        self.name = name
        self.runtime = runtime
        self.read_boot_clock = read_boot_clock
        self.random = random
        self.sink = sink
        self._source = source
        self._count_hosts = count_hosts
        self._record = record
        self._fallbacks: dict[str, Bucket] = {}

    def create_grant(
        self,
        account: desired.Account | None,
        token_count: int | None,
        request_id: str = '',
    ) -> 'Grant':
        """Return the grant of one call, which is still to be acquired."""
        quota = account.quota if account is not None else None
        cost = compute_cost(quota, token_count) if quota is not None else 0.0
        name = account.name if account is not None else ''
        return Grant(self, name, quota, cost, request_id)

    async def ask(self, request: QuotaRequest) -> QuotaDecision | None:
        """Return the issuer's decision, None if it does not answer."""
        decision = await self._source(request)
        if decision is None:
            self._record('unanswered')
        else:
            self._record('granted' if decision.is_granted else 'denied')
        return decision

    def return_cost(self, account: str, cost: float) -> None:
        """Tell the issuer that granted cost was not used, best effort."""
        request = QuotaRequest(
            asker=self.name, account=account, cost=0.0, returned=cost
        )
        self.runtime.start(self._return(request))

    async def _return(self, request: QuotaRequest) -> None:
        await self._source(request)

    def refill_fallback(
        self, account: str, quota: desired.Quota
    ) -> Bucket | None:
        """Return the bucket of this host's own share, refilled.

        Return None while the size of the fleet is not known.
        """
        now = self.read_boot_clock()
        hosts = self._count_hosts()
        if hosts is None:
            return None
        bucket = self._fallbacks.get(account)
        if bucket is None:
            bucket = self._fallbacks[account] = Bucket(now)
        bucket.refill(
            quota.rate_per_second / hosts,
            self.terms.compute_fallback_capacity(quota) / hosts,
            now,
        )
        return bucket


class Grant:
    """Cost of one call, once for all of its attempts.

    `is_used` is set once the call may have run; further attempts then need no
    new grant.
    """

    def __init__(
        self,
        client: QuotaClient,
        account: str,
        quota: desired.Quota | None,
        cost: float,
        request_id: str,
    ) -> None:
        self.is_used = False
        self._client = client
        self._account = account
        self._quota = quota if cost > 0 else None
        self._cost = cost
        self._request_id = request_id
        self._requested_at: float | None = None
        self._fallback: Bucket | None = None

    def may_send(self) -> bool:
        """Return whether the quota lets the call be sent now."""
        if self._quota is None or self.is_used:
            return True
        return (
            self._requested_at is not None and self._get_age() < GRANT_SECONDS
        )

    def _get_age(self) -> float:
        if self._requested_at is None:
            return float('inf')
        return self._client.read_boot_clock() - self._requested_at

    async def acquire(self) -> refusals.Refusal | None:
        """Ask for the call's cost, unless it may be sent.

        Return a refusal if the call does not get it. The cost of an expired
        grant is returned with the question.
        """
        if self._quota is None or self.may_send():
            return None
        returned = self._take_unused()
        requested_at = self._client.read_boot_clock()
        decision = await self._client.ask(
            QuotaRequest(
                asker=self._client.name,
                account=self._account,
                cost=self._cost,
                returned=returned,
            )
        )
        if decision is None:
            return self._spend_fallback(self._quota)
        if decision.is_granted:
            self._requested_at = requested_at
            return None
        return self._refuse(decision.wait_seconds)

    def _take_unused(self) -> float:
        """Return the issuer's cost that was not used; forget the grant."""
        age = self._get_age()
        fallback = self._fallback
        self._requested_at = self._fallback = None
        if self.is_used or age > RETURN_SECONDS:
            return 0.0
        if fallback is not None:
            fallback.give_back(self._cost)
            return 0.0
        return self._cost

    def _spend_fallback(self, quota: desired.Quota) -> refusals.Refusal | None:
        bucket = self._client.refill_fallback(self._account, quota)
        if bucket is not None and bucket.take(self._cost, may_owe=False):
            self._fallback = bucket
            self._requested_at = self._client.read_boot_clock()
            return None
        return self._refuse(0.0)

    def _refuse(self, wait_seconds: float) -> refusals.Refusal:
        jitter = 1 + self._client.random.random() / 2
        self._client.sink.emit(
            events.Event.CALL_OVER_QUOTA,
            request_id=self._request_id,
            account=self._account,
            cost=self._cost,
            wait=round(wait_seconds, 3),
        )
        if wait_seconds:
            return refusals.Refusal(
                429,
                refusals.Reason.LIMITED,
                f'the account is over its quota for {wait_seconds:.2f} s',
                retry_after_seconds=wait_seconds * jitter,
            )
        return refusals.Refusal(
            503,
            refusals.Reason.OVERLOADED,
            'the quota of the account cannot be checked',
            retry_after_seconds=UNKNOWN_RETRY_SECONDS * jitter,
        )

    def end(self, may_have_run: bool) -> None:
        """Return the cost of a call that has not been sent."""
        self.is_used = self.is_used or may_have_run
        unused = self._take_unused()
        if unused:
            self._client.return_cost(self._account, unused)
