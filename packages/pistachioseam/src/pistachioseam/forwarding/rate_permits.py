"""Permits for calls to targets that have stated a limit for all hosts.

Load pattern: a target in need takes one or two requests a second from dozens
of hosts. A fixed share would be a fraction of a request for each host, and
those without demand would waste theirs. So one host, the issuer, grants
permits one by one to the hosts that ask; a host without a permit uses other
targets.

Which host is the issuer follows from the live peers. For a short time, or
while the fleet is cut in two, there may be several: a part without a majority
of the hosts grants only its share, so that all parts together stay below one
and a half times the limit.
"""

from collections import abc
import typing

import attrs

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import rate_limits
from pistachioseam import interfaces

MAX_BURST = 3.0
"""Permits that an issuer with a majority may grant at once after a pause."""
MIN_RATE = 0.1
"""Least permits a second. A target with a lower limit is still asked now and
then, as only its responses tell whether the limit has changed."""
ASKER_EXPIRY_SECONDS = 4.0
"""Time after which a host that has not asked again does not compete."""
BUCKET_EXPIRY_SECONDS = 60.0
"""Time after which a target that nobody asks for is forgotten."""
MAX_WAIT_SECONDS = 4.0
"""Longest time after which a host may ask again."""
UNANSWERED_WAIT_SECONDS = 0.5
"""Time before a host asks again if the issuer did not answer."""


@attrs.frozen(kw_only=True)
class PermitRequest:
    """Request of the host `asker` to send one call to a limited target."""

    asker: str
    limit: rate_limits.LimitReport


@attrs.frozen
class PermitDecision:
    """Decision of the issuer; without a permit, ask again after a time."""

    is_granted: bool
    wait_seconds: float = 0.0


PermitSource: typing.TypeAlias = abc.Callable[
    [PermitRequest], abc.Awaitable[PermitDecision | None]
]
"""Asks the issuer; returns None if it did not answer."""


@attrs.define
class _Bucket:
    """Token bucket of one target; it starts empty."""

    refilled_at: float
    tokens: float = 0.0
    asked_at: dict[str, float] = attrs.field(factory=dict)

    def refill(self, rate: float, burst: float, now: float) -> None:
        earned = (now - self.refilled_at) * rate
        self.tokens = min(burst, self.tokens + earned)
        self.refilled_at = now

    def count_askers(self, asker: str, now: float) -> int:
        self.asked_at[asker] = now
        self.asked_at = {
            name: at
            for name, at in self.asked_at.items()
            if now - at < ASKER_EXPIRY_SECONDS
        }
        return len(self.asked_at)


class PermitIssuer:
    """Grants permits within the limits of targets.

    `get_share` returns the share of the limits that this host may grant, in
    (0, 1].
    """

    def __init__(
        self,
        random: interfaces.RandomSource,
        get_share: abc.Callable[[], float],
    ) -> None:
        self._random = random
        self._get_share = get_share
        self._buckets: dict[catalog.Incarnation, _Bucket] = {}

    def issue(self, request: PermitRequest, now: float) -> PermitDecision:
        """Grant a permit, or return when to ask again."""
        limit = request.limit
        if limit.rate is None:
            return PermitDecision(True)
        share = self._get_share()
        rate = max(MIN_RATE, limit.rate) * share
        bucket = self._find_bucket(limit.incarnation, now)
        bucket.refill(rate, MAX_BURST if share >= 1 else 1.0, now)
        askers = bucket.count_askers(request.asker, now)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return PermitDecision(True)
        # Twice as often as there are permits, so that none is left over.
        spread_seconds = askers / rate * (0.25 + self._random.random() / 2)
        wait_seconds = max((1 - bucket.tokens) / rate, spread_seconds)
        return PermitDecision(False, min(MAX_WAIT_SECONDS, wait_seconds))

    def _find_bucket(
        self, incarnation: catalog.Incarnation, now: float
    ) -> _Bucket:
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            self._buckets = {
                known: other
                for known, other in self._buckets.items()
                if now - other.refilled_at < BUCKET_EXPIRY_SECONDS
            }
            bucket = self._buckets[incarnation] = _Bucket(now)
        return bucket


class PermitClient:
    """Permits of this host; times are monotonic seconds."""

    def __init__(
        self, name: str, runtime: interfaces.Runtime, source: PermitSource
    ) -> None:
        self._name = name
        self._runtime = runtime
        self._source = source
        self._blocked_until: dict[catalog.Incarnation, float] = {}

    def get_block_seconds(
        self, incarnation: catalog.Incarnation, now: float
    ) -> float:
        """Return for how long no permit can be had, 0 if one may be."""
        return max(0.0, self._blocked_until.get(incarnation, 0.0) - now)

    async def acquire(self, limit: rate_limits.LimitReport) -> bool:
        """Return whether one call may be sent to a limited target now."""
        decision = await self._source(
            PermitRequest(asker=self._name, limit=limit)
        )
        if decision is None:
            decision = PermitDecision(False, UNANSWERED_WAIT_SECONDS)
        if not decision.is_granted:
            self._blocked_until[limit.incarnation] = (
                self._runtime.now() + decision.wait_seconds
            )
        return decision.is_granted

    def forget(self, incarnation: catalog.Incarnation) -> None:
        """Drop what is known of an incarnation that has ended."""
        self._blocked_until.pop(incarnation, None)
