"""Plan of a model call at one engine: what it reads, fetches and saves."""

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
    in any case.
    """

    version: int
    salt: str
    parts: tuple[prompts.Part, ...]
    own_tokens: int
    read_tokens: int
    source: transfers.Source
    save_to: str

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


def plan_run(
    call: calls.Call,
    router: routers.CallRouter,
    target: catalog.LiveTarget,
) -> RunPlan:
    """Return the plan of a model call at a target."""
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
    store = find_store(router, target.domain)
    source = transfers.NO_SOURCE
    if cached < shared_tokens and service.engine is not None:
        source = _choose_source(router, target, service, salt, shared, cached)
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
        save_to=save_to,
    )


def _choose_source(
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    service: desired.Service,
    salt: str,
    shared: tuple[prompts.Part, ...],
    cached: int,
) -> transfers.Source:
    assert service.engine is not None and router.desired.state is not None
    engine = service.engine
    receiver = transfers.Receiver(
        domain=target.domain,
        own_tokens=cached,
        token_bytes=engine.token_bytes,
        bytes_per_second=engine.bytes_per_second,
    )
    return transfers.choose_source(
        receiver,
        _list_holders(router, target, service),
        shared,
        salt,
        router.topology,
        router.caches,
        router.runtime.now(),
    )


def _list_holders(
    router: routers.CallRouter,
    receiver: catalog.LiveTarget,
    service: desired.Service,
) -> list[transfers.Holder]:
    """Return the other engines and the stores, with their queues."""
    assert service.engine is not None and router.desired.state is not None
    now = router.runtime.now()
    holders = [
        transfers.Holder(
            name=other.name,
            address=other.address,
            domain=other.domain,
            bytes_per_second=service.engine.bytes_per_second,
            wait_seconds=router.loads.get(other.name, now).transfer_ms / MS,
        )
        for other in router.catalog.list_service(service.name)
        if other.name != receiver.name
        and not router.health.is_suspected(other.name)
    ]
    holders += [
        transfers.Holder(
            name=store.address,
            address=store.address,
            domain=store.domain,
            bytes_per_second=store.bytes_per_second,
            wait_seconds=router.loads.get(store.address, now).transfer_ms / MS,
        )
        for store in _list_stores(router)
    ]
    return holders


def _list_stores(router: routers.CallRouter) -> list[desired.CacheStore]:
    """Return the stores of cached parts that are not known to be down."""
    state = router.desired.state
    if state is None:
        return []
    return [
        store
        for store in state.list_cache_stores()
        if not store_watches.is_down(router, store.address)
    ]


def find_store(
    router: routers.CallRouter, domain: str
) -> desired.CacheStore | None:
    """Return the store of cached parts that is nearest to a domain."""
    return min(
        _list_stores(router),
        key=lambda store: transfers.get_factor(
            router.topology, domain, store.domain
        ),
        default=None,
    )


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
        for listener in router.first_read_listeners:
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
