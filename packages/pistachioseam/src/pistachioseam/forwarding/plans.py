"""Plan of a model call at one engine: what it reads, fetches and saves."""

from collections import abc

import attrs

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import store_watches
from pistachioseam.forwarding import transfers

CACHE_SHARE = 0.9
"""Part of an engine's memory that the parts of prompts have on average."""

SAVE_SECONDS = 0.6
"""Time from the reading of parts until the store has them."""
MS = 1000.0


@attrs.frozen(kw_only=True)
class RunPlan:
    """How a call would run at an engine.

    `version` is what the engine is believed to run. Of the parts that other
    calls share, `read_tokens` are to be read again; `own_tokens` must be read
    in any case. `fetch_from` is asked for whatever the engine lacks, also
    when no source is known.
    """

    version: int
    salt: str
    parts: tuple[prompts.Part, ...]
    own_tokens: int
    read_tokens: int
    source: transfers.Source
    fetch_from: str
    save_to: str

    def describe(self) -> str:
        """Return what a run would read and fetch, for the log."""
        source = self.source
        shared = self.parts[-2].name if len(self.parts) > 1 else 'none'
        return (
            f'version {self.version}, part {shared}'
            f', read {self.read_tokens}+{self.own_tokens}'
            f', fetch {source.tokens} of {source.name or "nobody"}'
            f' in {source.wait_seconds:.3f}+{source.seconds:.3f} s'
            f', save {bool(self.save_to)}'
        )

    def count_tokens(self) -> dict[str, int]:
        """Return the prompt's tokens by where they are to come from."""
        total = sum(part.tokens for part in self.parts)
        fetched = self.source.tokens
        kept = total - self.own_tokens - self.read_tokens - fetched
        return {
            'kept': max(0, kept),
            'fetched': fetched,
            'read_again': self.read_tokens,
            'own': self.own_tokens,
        }


class Survey:
    """Who holds parts of one call's prompt, found once for all targets.

    Load pattern: dozens of engines, of which a few hold a part. Weighing each
    engine against all others would cost more time than the call itself.
    """

    def __init__(self, call: calls.Call, router: routers.CallRouter) -> None:
        self._call = call
        self._router = router
        self._holders: dict[str, tuple[transfers.Holder, ...]] = {}
        self._stores: list[desired.CacheStore] | None = None

    def list_holders(
        self, salt: str, shared: tuple[prompts.Part, ...]
    ) -> tuple[transfers.Holder, ...]:
        """Return the engines and stores that hold the first shared part."""
        holders = self._holders.get(salt)
        if holders is None:
            caches = self._router.caches
            holders = self._holders[salt] = tuple(
                holder
                for holder in self._find_holders()
                if caches.count_leading(holder.name, salt, shared[:1]) > 0
            )
        return tuple(
            attrs.evolve(holder, wait_seconds=self._get_wait(holder.name))
            for holder in holders
        )

    def _get_wait(self, name: str) -> float:
        now = self._router.runtime.now()
        return self._router.loads.get(name, now).transfer_ms / MS

    def _find_holders(self) -> abc.Iterator[transfers.Holder]:
        """Yield the engines and stores that may be asked for parts."""
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
        for store in self.list_stores():
            yield transfers.Holder(
                name=store.address,
                address=store.address,
                domain=store.domain,
                bytes_per_second=store.bytes_per_second,
                wait_seconds=0.0,
            )

    def list_stores(self) -> list[desired.CacheStore]:
        """Return the stores of cached parts that are not down."""
        if self._stores is None:
            self._stores = list_stores(self._router)
        return self._stores


def plan_run(
    call: calls.Call,
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    survey: Survey | None = None,
) -> RunPlan:
    """Return the plan of a model call at a target."""
    survey = survey or Survey(call, router)
    prompt = call.prompt
    service = call.service
    assert prompt is not None and service is not None
    version = router.weights.get(target, prompt.model)
    account = call.account
    isolated = account.name if account and account.is_isolated else ''
    salt = prompts.compute_salt(prompt.model, version, isolated)
    shared = prompt.parts[:-1]
    shared_tokens = sum(part.tokens for part in shared)
    cached = router.caches.count_leading(target.name, salt, shared)
    store = find_nearest(router, survey.list_stores(), target.domain)
    source = transfers.NO_SOURCE
    if cached < shared_tokens and service.engine is not None:
        source = _choose_source(router, target, survey, salt, shared, cached)
    save_to = ''
    if store is not None:
        known = router.caches.count_leading(store.address, salt, shared)
        save_to = store.address if known < shared_tokens else ''
    return RunPlan(
        version=version,
        salt=salt,
        parts=prompt.parts,
        own_tokens=prompt.prompt_tokens - shared_tokens,
        read_tokens=max(0, shared_tokens - cached - source.tokens),
        source=source,
        fetch_from=_choose_fetch_from(source, store, shared_tokens),
        save_to=save_to,
    )


def _choose_fetch_from(
    source: transfers.Source,
    store: desired.CacheStore | None,
    shared_tokens: int,
) -> str:
    """Return the address that an engine asks for what it lacks.

    Load pattern: hosts that were restarted know nothing of what the stores
    hold, and engines evict sooner than believed. A question in vain costs a
    millisecond, a part that is read again hundreds.
    """
    if source.address or store is None or not shared_tokens:
        return source.address
    return store.address


def _choose_source(
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    survey: Survey,
    salt: str,
    shared: tuple[prompts.Part, ...],
    cached: int,
) -> transfers.Source:
    state = router.desired.state
    service = state.find_service(target.service) if state else None
    assert service is not None and service.engine is not None
    receiver = transfers.Receiver(
        domain=target.domain,
        own_tokens=cached,
        token_bytes=service.engine.token_bytes,
        bytes_per_second=service.engine.bytes_per_second,
    )
    holders = survey.list_holders(salt, shared)
    return transfers.choose_source(
        receiver,
        (holder for holder in holders if holder.name != target.name),
        shared,
        salt,
        router.topology,
        router.caches,
        router.runtime.now(),
    )


def list_stores(router: routers.CallRouter) -> list[desired.CacheStore]:
    """Return the stores of cached parts that are not known to be down."""
    state = router.desired.state
    if state is None:
        return []
    return [
        store
        for store in state.list_cache_stores()
        if not store_watches.is_down(router, store.address)
    ]


def find_nearest(
    router: routers.CallRouter,
    stores: abc.Sequence[desired.CacheStore],
    domain: str,
) -> desired.CacheStore | None:
    """Return the store of cached parts that is nearest to a domain."""
    return min(
        stores,
        key=lambda store: transfers.get_factor(
            router.topology, domain, store.domain
        ),
        default=None,
    )


def find_store(
    router: routers.CallRouter, domain: str
) -> desired.CacheStore | None:
    """Return the nearest store of cached parts that is not down."""
    return find_nearest(router, list_stores(router), domain)


def note_sent(
    router: routers.CallRouter, target: catalog.LiveTarget, plan: RunPlan
) -> None:
    """Note what a call that is being sent brings into the caches."""
    if not plan.parts:
        return
    load = router.loads.get(target.name, router.runtime.now())
    tokens = load.prefill_tokens + plan.own_tokens + plan.read_tokens
    seconds = tokens / transfers.PREFILL_TOKENS_PER_SECOND
    seconds += plan.source.wait_seconds + plan.source.seconds
    is_new = plan.read_tokens > 0
    for holder, ready_seconds in (
        (target.name, seconds),
        (plan.save_to, seconds + SAVE_SECONDS),
    ):
        if holder:
            sighting = residency.Sighting(
                holder, plan.salt, plan.parts, ready_seconds
            )
            note_sighting(router, sighting, is_own=True)
    if is_new:
        for listener in router.prefill_listeners:
            listener()


def note_sighting(
    router: routers.CallRouter, sighting: residency.Sighting, is_own: bool
) -> None:
    """Note what is in a cache, as this host or a peer has seen."""
    capacity = get_capacity(router, sighting.holder)
    if capacity is None:
        return
    now = router.runtime.now()
    if is_own:
        router.caches.note_use(sighting, capacity, now)
    else:
        router.caches.merge(sighting, capacity, now)


def get_capacity(router: routers.CallRouter, holder: str) -> int | None:
    """Return the tokens that a target's or store's cache can hold."""
    state = router.desired.state
    if state is None:
        return None
    target = router.catalog.get(holder)
    if target is None:
        for store in state.list_cache_stores():
            if store.address == holder:
                return store.capacity_tokens
        return None
    service = state.find_service(target.service)
    if service is None or service.engine is None:
        return None
    return int(service.engine.cache_tokens * CACHE_SHARE)
