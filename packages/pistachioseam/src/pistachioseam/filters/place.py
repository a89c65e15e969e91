"""Choose the target of the next attempt."""

from returns import result

from pistachioseam import exchanges
from pistachioseam.placement import placer
from pistachioseam import refusals
from pistachioseam import router as routers
from pistachioseam import tables

NO_TARGET_RETRY_SECONDS = 1.0
PROMPT_OVERHEAD_BYTES = 1024


def place_request(
    exchange: exchanges.Exchange, router: routers.Router
) -> result.Result[exchanges.Attempt, refusals.Refusal]:
    """Return a new attempt, or refuse when no target can serve in time."""
    usable = _list_usable(exchange, router)
    near = [t for t in usable if not router.topology.is_remote(t.domain)]
    now = router.runtime.now()
    decision = _choose(exchange, router, near)
    if decision is None or _is_late(exchange, router, decision):
        far = _choose(exchange, router, _list_remote(exchange, router, usable))
        if far is not None and _is_better(far, decision):
            size = len(exchange.body) + PROMPT_OVERHEAD_BYTES
            if router.link.take(size, now):
                decision = far
    if decision is None:
        return result.Failure(_refuse_no_target())
    is_first = not exchange.attempts
    if is_first and _is_late(exchange, router, decision):
        return result.Failure(_refuse_overloaded(exchange, router))
    return result.Success(_begin_attempt(exchange, router, decision))


def _list_usable(
    exchange: exchanges.Exchange, router: routers.Router
) -> list[tables.Target]:
    """Return the targets that may run this attempt, tried ones last."""
    tried = {attempt.target.name for attempt in exchange.attempts}
    usable = _avoid_suspects(
        exchange, router, list_in_service(exchange, router)
    )
    fresh = [target for target in usable if target.name not in tried]
    if fresh or not exchange.is_repeatable():
        return fresh
    return usable


def list_in_service(
    exchange: exchanges.Exchange, router: routers.Router
) -> list[tables.Target]:
    """Return the approved targets that are neither leaving nor suspected."""
    return [t for t in exchange.targets if _is_in_service(t, router)]


def _avoid_suspects(
    exchange: exchanges.Exchange,
    router: routers.Router,
    targets: list[tables.Target],
) -> list[tables.Target]:
    """Leave out targets on trial with a suspect.

    A suspect never shares a target with another one; other requests only do
    when there is no target without.
    """
    quarantine = router.quarantine
    free = [
        target
        for target in targets
        if not quarantine.has_suspect(target.name, exchange.digest)
    ]
    if free or quarantine.is_suspect(exchange.digest):
        return free
    return targets


def _is_in_service(target: tables.Target, router: routers.Router) -> bool:
    now = router.runtime.now()
    if target.leaving or router.leaving.is_leaving(target.address, now):
        return False
    return router.health.is_usable(target.name)


def _list_remote(
    exchange: exchanges.Exchange,
    router: routers.Router,
    usable: list[tables.Target],
) -> list[tables.Target]:
    return [t for t in usable if router.topology.is_remote(t.domain)]


def _choose(
    exchange: exchanges.Exchange,
    router: routers.Router,
    targets: list[tables.Target],
) -> placer.Decision | None:
    query = placer.Query(chain=exchange.chain, pieces=exchange.prompt_pieces)
    options = [
        placer.EligibleTarget(
            name=target.name,
            latency=router.topology.get_latency(target.domain),
        )
        for target in targets
    ]
    return router.placer.place(query, options, router.runtime.now())


def _is_late(
    exchange: exchanges.Exchange,
    router: routers.Router,
    decision: placer.Decision,
) -> bool:
    if exchange.chat is None:
        return False
    now = router.runtime.now()
    max_wait = router.limits.compute_max_wait(exchange.get_account(), now)
    return decision.expected_wait > max_wait


def _is_better(far: placer.Decision, near: placer.Decision | None) -> bool:
    return near is None or far.expected_wait < near.expected_wait


def _refuse_no_target() -> refusals.Refusal:
    return refusals.Refusal(
        503,
        refusals.Reason.NO_TARGET,
        'no approved target is in service',
        retry_after_seconds=NO_TARGET_RETRY_SECONDS,
    )


def _refuse_overloaded(
    exchange: exchanges.Exchange, router: routers.Router
) -> refusals.Refusal:
    seconds = router.limits.compute_retry_after(
        exchange.get_account(), router.runtime.now(), router.random.random()
    )
    return refusals.Refusal(
        503,
        refusals.Reason.OVERLOADED,
        'the targets cannot answer in time',
        retry_after_seconds=seconds,
    )


def _begin_attempt(
    exchange: exchanges.Exchange,
    router: routers.Router,
    decision: placer.Decision,
) -> exchanges.Attempt:
    now = router.runtime.now()
    names = {target.name: target for target in exchange.targets}
    attempt = exchanges.Attempt(
        target=names[decision.target], decision=decision, started_at=now
    )
    exchange.attempts.append(attempt)
    exchange.add_note('place', f'target {decision.target}')
    router.placer.record_sent(decision, now)
    router.health.note_sent(decision.target)
    router.quarantine.note_start(decision.target, exchange.digest)
    if len(exchange.attempts) == 1:
        router.limits.charge(exchange.get_account(), decision.work, now)
    return attempt


def note_prefilled(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
    cached_pieces: int | None,
) -> None:
    """Note that the target has computed the prompt."""
    if attempt.is_prefilled or attempt.decision is None:
        return
    attempt.is_prefilled = True
    router.quarantine.note_end(attempt.target.name, exchange.digest)
    router.placer.record_prefilled(
        attempt.decision, cached_pieces, router.runtime.now()
    )


def end_attempt(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> None:
    """Take the attempt off its target's accounts, however it ended."""
    now = router.runtime.now()
    attempt.ended_at = now
    router.quarantine.note_end(attempt.target.name, exchange.digest)
    if not attempt.is_prefilled and attempt.decision is not None:
        router.placer.record_failure(attempt.decision, now)
    if attempt.stream is not None:
        attempt.stream.cancel()
