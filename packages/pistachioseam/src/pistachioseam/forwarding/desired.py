"""Desired state of a deployment: routes, services, accounts and limits.

The operators keep it as one versioned document that they replace as a whole.
"""

from collections import abc
import enum
import functools
import hashlib

import attrs


class CallSemantics(enum.Enum):
    """Call semantics of a route: how often a call may run."""

    SAFE = 'safe'
    """Any number of times."""
    ONCE = 'once'
    """At most once."""
    STREAM = 'stream'
    """At most once; the response is a stream of events."""
    RESUMABLE = 'resumable-stream'
    """A stream that another target may resume after any event."""

    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self in (CallSemantics.STREAM, CallSemantics.RESUMABLE)

    def is_retryable(self) -> bool:
        """Return whether a call that may have run may be retried."""
        return self in (CallSemantics.SAFE, CallSemantics.RESUMABLE)


@attrs.frozen
class WeightedService:
    """Service and its weight in a route's traffic split."""

    name: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Rules for the calls of one host name and path prefix.

    `max_targets` bounds the targets that one call may be sent to, retries
    included. `objective_seconds` is the latency objective for the response or
    its first event, `max_gap_seconds` that for the pause between events. Calls
    with a lower `priority` are served first.
    """

    name: str
    host: str
    path_prefix: str
    semantics: CallSemantics
    timeout_seconds: float
    objective_seconds: float
    priority: int
    services: tuple[WeightedService, ...]
    max_targets: int
    is_public: bool
    has_prompt: bool
    max_gap_seconds: float

    def select_service(self, request_id: str) -> str:
        """Return the service of a call, chosen by weight and request id.

        The same request id always gets the same service.
        """
        total = sum(service.weight for service in self.services)
        if len(self.services) == 1 or total <= 0:
            return self.services[0].name
        digest = hashlib.blake2b(request_id.encode(), digest_size=8)
        point = int.from_bytes(digest.digest(), 'big') / (1 << 64) * total
        for service in self.services:
            point -= service.weight
            if point < 0:
                return service.name
        return self.services[-1].name


@attrs.frozen(kw_only=True)
class Engine:
    """Properties of the model engines of a service.

    `slots` is the number of requests that an engine runs at once,
    `cache_tokens` the size of its KV cache, which running requests and cached
    prefixes share. `token_bytes` is the size of a token's KV cache entry and
    `bytes_per_second` the bandwidth of an engine's link.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    bytes_per_second: float
    models: tuple[str, ...]


@attrs.frozen(kw_only=True)
class CacheStore:
    """Shared KV cache store that engines fetch from and save to."""

    address: str
    domain: str
    capacity_tokens: int
    bytes_per_second: float


@attrs.frozen(kw_only=True)
class Service:
    """Interchangeable targets; `engine` is None for plain services."""

    name: str
    health_path: str = '/'
    max_connections: int = 0
    engine: Engine | None = None
    cache_store: CacheStore | None = None


@attrs.frozen(kw_only=True)
class Quota:
    """Limit on the calls of an account at all hosts together.

    With `counts_tokens`, a call costs its prompt and output tokens, or
    `uncounted_cost` if it does not state them; otherwise it costs 1. `burst`
    is the cost that may be sent at once after a pause.
    """

    rate_per_second: float
    burst: float
    counts_tokens: bool = False
    uncounted_cost: float = 0.0


@attrs.frozen(kw_only=True)
class Account:
    """Client account; an isolated one shares no KV cache with others."""

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None
    is_isolated: bool
    quota: Quota | None = None


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Size limits and read timeouts for callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen(kw_only=True)
class DesiredState:
    """One version of the desired state.

    `accounts` is None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] | None
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        best: Route | None = None
        for route in self._routes_by_host.get(host, ()):
            if not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def find_account(self, key: str) -> Account | None:
        """Return the account that a key belongs to."""
        return self._accounts_by_key.get(key)

    def find_quota(self, account: str) -> Quota | None:
        """Return the quota of an account, None if it is not limited."""
        return self._quotas_by_account.get(account)

    def list_limited_accounts(self) -> abc.Iterable[str]:
        """Return the names of the accounts that have a quota."""
        return self._quotas_by_account.keys()

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self._services_by_name.get(name)

    def list_cache_stores(self) -> tuple[CacheStore, ...]:
        """Return the KV cache stores of all services."""
        return tuple(
            service.cache_store
            for service in self.services
            if service.cache_store is not None
        )

    @functools.cached_property
    def prioritized_services(self) -> abc.Mapping[str, int]:
        """Return the services that get prompts of different priorities.

        The value is the highest priority of their prompt routes.
        """
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            if route.has_prompt:
                for service in route.services:
                    priorities.setdefault(service.name, set()).add(
                        route.priority
                    )
        return {
            name: min(found)
            for name, found in priorities.items()
            if len(found) > 1
        }

    @functools.cached_property
    def _routes_by_host(self) -> abc.Mapping[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        return by_host

    @functools.cached_property
    def _accounts_by_key(self) -> abc.Mapping[str, Account]:
        return {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }

    @functools.cached_property
    def _quotas_by_account(self) -> abc.Mapping[str, Quota]:
        return {
            account.name: account.quota
            for account in self.accounts or ()
            if account.quota is not None
        }

    @functools.cached_property
    def _services_by_name(self) -> abc.Mapping[str, Service]:
        return {service.name: service for service in self.services}
