"""Plan of a model call at an engine: what it prefills, fetches and saves."""

from collections import abc

import attrs

from pistachioseam.forwarding import cache_store_watches
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import transfers

PROMPT_CACHE_FRACTION = 0.9
"""Average fraction of an engine's KV cache that holds prompt parts."""

SAVE_DELAY_SECONDS = 0.6
"""Time from the prefill of parts until the cache store has them."""
MS_PER_SECOND = 1000.0


@attrs.frozen(kw_only=True)
class RunPlan:
    """How a call would run at an engine.

    `version` is the weights version that the engine is expected to run,
    `own_tokens` the length of the call's own part, and `recomputed_tokens` the
    tokens of shared parts that are neither cached nor fetched, whether or not
    any engine has computed them before; both are prefilled. The engine fetches
    parts that it lacks from `fetch_from`, which may be set without a known
    source, and saves parts to `save_to`, if set.
    """

    version: int
    salt: str
    parts: tuple[prompts.Part, ...]
    own_tokens: int
    recomputed_tokens: int
    source: transfers.Source
    fetch_from: str
    save_to: str

    def describe(self) -> str:
        """Return a log text of what the run would prefill, fetch and save."""
        source = self.source
        shared_name = self.parts[-2].name if len(self.parts) > 1 else 'none'
        return (
            f'version {self.version}, part {shared_name}'
            f', prefill {self.recomputed_tokens}+{self.own_tokens}'
            f', fetch {source.tokens} of {source.name or "none"}'
            f' in {source.wait_seconds:.3f}+{source.seconds:.3f} s'
            f', save {bool(self.save_to)}'
        )

    def count_tokens(self) -> dict[str, int]:
        """Return the prompt's tokens by label of a metric.

        These are the labels of `pistachioseam_prompt_tokens_total`: `kept`
        counts cached tokens, `read_again` recomputed ones.
        """
        total = sum(part.tokens for part in self.parts)
        fetched = self.source.tokens
        kept = total - self.own_tokens - self.recomputed_tokens - fetched
        return {
            'kept': max(0, kept),
            'fetched': fetched,
            'read_again': self.recomputed_tokens,
            'own': self.own_tokens,
        }


class HolderLookup:
    """What one placement looks up about a call's parts, for all targets.

    Load pattern: dozens of engines, of which a few hold a part. Comparing each
    engine with all others would take longer than the call itself. What is the
    same for many engines is computed once; a lookup is used for one placement
    only, during which nothing changes.
    """

    def __init__(self, call: calls.Call, router: routers.CallRouter) -> None:
        self.now = router.runtime.now()
        self._call = call
        self._router = router
        self._salts: dict[int, str] = {}
        self._holders: dict[str, tuple[transfers.Holder, ...]] = {}
        self._holder_names: dict[str, frozenset[str]] = {}
        self._sources: dict[tuple[str, str, int], transfers.Source] = {}
        self._cache_stores: list[desired.CacheStore] | None = None
        self._nearest: dict[str, desired.CacheStore | None] = {}
        self._stored_tokens: dict[tuple[str, str], int] = {}

    def compute_salt(self, version: int) -> str:
        """Return the cache salt of the call for a weights version."""
        salt = self._salts.get(version)
        if salt is None:
            assert self._call.prompt is not None
            account = self._call.account
            isolated = account.name if account and account.is_isolated else ''
            salt = self._salts[version] = prompts.compute_salt(
                self._call.prompt.model, version, isolated
            )
        return salt

    def find_source(
        self,
        target: catalog.LiveTarget,
        salt: str,
        shared_parts: tuple[prompts.Part, ...],
        cached_tokens: int,
    ) -> transfers.Source:
        """Return the best source of the parts that a target lacks."""
        holders = self._list_holders(salt, shared_parts)
        if target.name in self._holder_names[salt]:
            others = tuple(h for h in holders if h.name != target.name)
            return self._choose_source(
                target, others, salt, shared_parts, cached_tokens
            )
        key = (salt, target.domain, cached_tokens)
        source = self._sources.get(key)
        if source is None:
            source = self._sources[key] = self._choose_source(
                target, holders, salt, shared_parts, cached_tokens
            )
        return source

    def _choose_source(
        self,
        target: catalog.LiveTarget,
        holders: tuple[transfers.Holder, ...],
        salt: str,
        shared_parts: tuple[prompts.Part, ...],
        cached_tokens: int,
    ) -> transfers.Source:
        service = self._call.service
        assert service is not None and service.engine is not None
        receiver = transfers.Receiver(
            domain=target.domain,
            cached_tokens=cached_tokens,
            token_bytes=service.engine.token_bytes,
            bytes_per_second=service.engine.bytes_per_second,
        )
        return transfers.choose_source(
            receiver,
            holders,
            shared_parts,
            salt,
            self._router.topology,
            self._router.cache_models,
            self.now,
        )

    def _list_holders(
        self, salt: str, shared_parts: tuple[prompts.Part, ...]
    ) -> tuple[transfers.Holder, ...]:
        """Return the holders of the first shared part."""
        holders = self._holders.get(salt)
        if holders is None:
            cache_models = self._router.cache_models
            holders = self._holders[salt] = tuple(
                attrs.evolve(
                    holder,
                    wait_seconds=self._get_transfer_wait_seconds(holder.name),
                )
                for holder in self._list_possible_holders()
                if cache_models.count_prefix_tokens(
                    holder.name, salt, shared_parts[:1]
                )
                > 0
            )
            self._holder_names[salt] = frozenset(
                holder.name for holder in holders
            )
        return holders

    def _get_transfer_wait_seconds(self, name: str) -> float:
        load = self._router.loads.get(name, self.now)
        return load.transfer_ms / MS_PER_SECOND

    def _list_possible_holders(self) -> abc.Iterator[transfers.Holder]:
        """Yield engines that are not suspected, and available cache stores."""
        service = self._call.service
        assert service is not None and service.engine is not None
        for other in self._router.catalog.list_service(service.name):
            if not self._router.health.is_suspected(other.name):
                yield transfers.Holder(
                    name=other.name,
                    address=other.address,
                    domain=other.domain,
                    bytes_per_second=service.engine.bytes_per_second,
                    wait_seconds=0.0,
                )
        for cache_store in self._list_available_cache_stores():
            yield transfers.Holder(
                name=cache_store.address,
                address=cache_store.address,
                domain=cache_store.domain,
                bytes_per_second=cache_store.bytes_per_second,
                wait_seconds=0.0,
            )

    def _list_available_cache_stores(self) -> list[desired.CacheStore]:
        """Return the cache stores that are not known to be down."""
        if self._cache_stores is None:
            self._cache_stores = list_available_cache_stores(self._router)
        return self._cache_stores

    def find_nearest_cache_store(
        self, domain: str
    ) -> desired.CacheStore | None:
        """Return the available cache store nearest to a domain, if any."""
        if domain not in self._nearest:
            self._nearest[domain] = choose_nearest_cache_store(
                self._router, self._list_available_cache_stores(), domain
            )
        return self._nearest[domain]

    def count_stored_tokens(
        self, address: str, salt: str, shared_parts: tuple[prompts.Part, ...]
    ) -> int:
        """Return the shared tokens that a cache store holds."""
        key = (address, salt)
        tokens = self._stored_tokens.get(key)
        if tokens is None:
            cache_models = self._router.cache_models
            tokens = self._stored_tokens[key] = (
                cache_models.count_prefix_tokens(address, salt, shared_parts)
            )
        return tokens


def plan_run(
    call: calls.Call,
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    holder_lookup: HolderLookup | None = None,
) -> RunPlan:
    """Return the plan of a model call at a target."""
    holder_lookup = holder_lookup or HolderLookup(call, router)
    prompt = call.prompt
    service = call.service
    assert prompt is not None and service is not None
    version = router.weights.get(target, prompt.model)
    salt = holder_lookup.compute_salt(version)
    shared_parts = prompt.parts[:-1]
    shared_tokens = sum(part.tokens for part in shared_parts)
    cached_tokens = router.cache_models.count_prefix_tokens(
        target.name, salt, shared_parts
    )
    cache_store = holder_lookup.find_nearest_cache_store(
        _choose_store_domain(call, router, target)
    )
    source = transfers.NO_SOURCE
    if cached_tokens < shared_tokens and service.engine is not None:
        source = holder_lookup.find_source(
            target, salt, shared_parts, cached_tokens
        )
    save_to = ''
    if cache_store is not None:
        stored_tokens = holder_lookup.count_stored_tokens(
            cache_store.address, salt, shared_parts
        )
        save_to = cache_store.address if stored_tokens < shared_tokens else ''
    return RunPlan(
        version=version,
        salt=salt,
        parts=prompt.parts,
        own_tokens=prompt.prompt_tokens - shared_tokens,
        recomputed_tokens=max(
            0, shared_tokens - cached_tokens - source.tokens
        ),
        source=source,
        fetch_from=_choose_fetch_from(
            source,
            cache_store,
            shared_tokens,
            bool(call.affinity_domain)
            and cached_tokens + source.tokens < shared_tokens,
        ),
        save_to=save_to,
    )


def _choose_store_domain(
    call: calls.Call, router: routers.CallRouter, target: catalog.LiveTarget
) -> str:
    """Return the failure domain whose cache store a run uses.

    Within a region this is the domain of the first affinity engine, so that
    all engines of the region save to, and fetch from, the same store.
    """
    domain = call.affinity_domain
    if domain and router.topology.share_region(target.domain, domain):
        return domain
    return target.domain


def _choose_fetch_from(
    source: transfers.Source,
    cache_store: desired.CacheStore | None,
    shared_tokens: int,
    is_store_assumed: bool,
) -> str:
    """Return the address from which the engine fetches parts that it lacks.

    When a host has restarted, it does not know what the cache stores hold, and
    engines evict sooner than modelled. A fetch that misses costs a
    millisecond, a part that is recomputed hundreds of milliseconds. If
    `is_store_assumed`, the cache store is taken to hold more than the source.
    """
    if cache_store is None or not shared_tokens:
        return source.address
    if source.address and not is_store_assumed:
        return source.address
    return cache_store.address


def list_available_cache_stores(
    router: routers.CallRouter,
) -> list[desired.CacheStore]:
    """Return the cache stores that are not known to be down."""
    state = router.desired.state
    if state is None:
        return []
    return [
        cache_store
        for cache_store in state.list_cache_stores()
        if not cache_store_watches.is_down(router, cache_store.address)
    ]


def choose_nearest_cache_store(
    router: routers.CallRouter,
    cache_stores: abc.Sequence[desired.CacheStore],
    domain: str,
) -> desired.CacheStore | None:
    """Return the cache store nearest to a domain, None without stores."""
    return min(
        cache_stores,
        key=lambda cache_store: transfers.get_distance_factor(
            router.topology, domain, cache_store.domain
        ),
        default=None,
    )


def find_available_cache_store(
    router: routers.CallRouter, domain: str
) -> desired.CacheStore | None:
    """Return the nearest cache store that is not known to be down."""
    return choose_nearest_cache_store(
        router, list_available_cache_stores(router), domain
    )


def record_sent_call(
    router: routers.CallRouter, target: catalog.LiveTarget, plan: RunPlan
) -> None:
    """Record the parts that a call being sent adds to caches.

    If shared parts are prefilled, `prefill_listeners` are called, which inform
    peers at once.
    """
    if not plan.parts:
        return
    load = router.loads.get(target.name, router.runtime.now())
    tokens = load.prefill_tokens + plan.own_tokens + plan.recomputed_tokens
    seconds = tokens / transfers.PREFILL_TOKENS_PER_SECOND
    seconds += plan.source.wait_seconds + plan.source.seconds
    prefills_shared_parts = plan.recomputed_tokens > 0
    for holder, ready_seconds in (
        (target.name, seconds),
        (plan.save_to, seconds + SAVE_DELAY_SECONDS),
    ):
        if holder:
            update = residency.CacheUpdate(
                holder, plan.salt, plan.parts, ready_seconds
            )
            apply_cache_update(router, update, is_own=True)
    if prefills_shared_parts:
        for listener in router.prefill_listeners:
            listener()


def apply_cache_update(
    router: routers.CallRouter, update: residency.CacheUpdate, is_own: bool
) -> None:
    """Apply a cache update of this host or a peer to the cache models."""
    capacity = get_capacity(router, update.holder)
    if capacity is None:
        return
    now = router.runtime.now()
    if is_own:
        router.cache_models.record_use(update, capacity, now)
    else:
        router.cache_models.merge(update, capacity, now)


def get_capacity(router: routers.CallRouter, holder: str) -> int | None:
    """Return a cache's capacity in tokens, None if the holder is unknown."""
    state = router.desired.state
    if state is None:
        return None
    target = router.catalog.get(holder)
    if target is None:
        for cache_store in state.list_cache_stores():
            if cache_store.address == holder:
                return cache_store.capacity_tokens
        return None
    service = state.find_service(target.service)
    if service is None or service.engine is None:
        return None
    return int(service.engine.cache_tokens * PROMPT_CACHE_FRACTION)
