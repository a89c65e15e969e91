"""Choose the target of the next attempt."""

from returns import result

from pistachioseam import exchanges
from pistachioseam.placement import placer
from pistachioseam import refusals
from pistachioseam import router as routers
from pistachioseam import tables

NO_TARGET_RETRY_AFTER_SECONDS = 1.0
REQUEST_OVERHEAD_BYTES = 1024
"""Allowance for headers in the budget of the link between regions."""


def place_request(
    exchange: exchanges.Exchange, router: routers.Router
) -> result.Result[exchanges.Attempt, refusals.Refusal]:
    """Return a new attempt, or a refusal if no target can serve in time."""
    usable = _list_candidates(exchange, router)
    local = [t for t in usable if not router.topology.is_remote(t.domain)]
    now = router.runtime.now()
    decision = _choose_target(exchange, router, local)
    if decision is None or _exceeds_max_wait(exchange, router, decision):
        remote = _choose_target(
            exchange, router, _list_remote(exchange, router, usable)
        )
        if remote is not None and _is_faster(remote, decision):
            size = len(exchange.body) + REQUEST_OVERHEAD_BYTES
            if router.link_budget.try_spend(size, now):
                decision = remote
    if decision is None:
        return result.Failure(_refuse_no_target())
    is_first = not exchange.attempts
    if is_first and _exceeds_max_wait(exchange, router, decision):
        return result.Failure(_refuse_overloaded(exchange, router))
    return result.Success(_start_attempt(exchange, router, decision))


def _list_candidates(
    exchange: exchanges.Exchange, router: routers.Router
) -> list[tables.Target]:
    """Return the targets that may run this attempt.

    Targets that were tried before are returned only for a retryable call for
    which no other target is left.
    """
    tried = {attempt.target.name for attempt in exchange.attempts}
    usable = _exclude_targets_of_suspects(
        exchange, router, list_in_service(exchange, router)
    )
    untried = [target for target in usable if target.name not in tried]
    if untried or not exchange.is_retryable():
        return untried
    return usable


def list_in_service(
    exchange: exchanges.Exchange, router: routers.Router
) -> list[tables.Target]:
    """Return the approved targets that are not leaving and are usable.

    A suspected target is usable when it may be probed.
    """
    return [t for t in exchange.targets if _is_in_service(t, router)]


def _exclude_targets_of_suspects(
    exchange: exchanges.Exchange,
    router: routers.Router,
    targets: list[tables.Target],
) -> list[tables.Target]:
    """Exclude targets that run another suspect.

    A suspect never shares a target with another suspect. Other requests use a
    target that runs a suspect only if every target runs one.
    """
    quarantine = router.quarantine
    without_suspect = [
        target
        for target in targets
        if not quarantine.has_other_suspect(target.name, exchange.digest)
    ]
    if without_suspect or quarantine.is_suspect(exchange.digest):
        return without_suspect
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


def _choose_target(
    exchange: exchanges.Exchange,
    router: routers.Router,
    targets: list[tables.Target],
) -> placer.Decision | None:
    query = placer.Query(chain=exchange.chain, pieces=exchange.prompt_pieces)
    eligible = [
        placer.EligibleTarget(
            name=target.name,
            latency=router.topology.get_latency(target.domain),
        )
        for target in targets
    ]
    return router.placer.place(query, eligible, router.runtime.now())


def _exceeds_max_wait(
    exchange: exchanges.Exchange,
    router: routers.Router,
    decision: placer.Decision,
) -> bool:
    if exchange.chat is None:
        return False
    now = router.runtime.now()
    max_wait = router.limits.compute_max_wait(exchange.get_account(), now)
    return decision.expected_wait > max_wait


def _is_faster(remote: placer.Decision, local: placer.Decision | None) -> bool:
    return local is None or remote.expected_wait < local.expected_wait


def _refuse_no_target() -> refusals.Refusal:
    return refusals.Refusal(
        503,
        refusals.Reason.NO_TARGET,
        'no approved target is in service',
        retry_after_seconds=NO_TARGET_RETRY_AFTER_SECONDS,
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


def _start_attempt(
    exchange: exchanges.Exchange,
    router: routers.Router,
    decision: placer.Decision,
) -> exchanges.Attempt:
    now = router.runtime.now()
    target_by_name = {target.name: target for target in exchange.targets}
    attempt = exchanges.Attempt(
        target=target_by_name[decision.target],
        decision=decision,
        started_at=now,
    )
    exchange.attempts.append(attempt)
    exchange.add_note('place', f'target {decision.target}')
    router.placer.record_sent(decision, now)
    router.health.record_sent(decision.target)
    router.quarantine.record_start(decision.target, exchange.digest)
    if len(exchange.attempts) == 1:
        router.limits.charge(exchange.get_account(), decision.work, now)
    return attempt


def record_prefilled(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
    cached_pieces: int | None,
) -> None:
    """Record that the target has prefilled the prompt."""
    if attempt.is_prefilled or attempt.decision is None:
        return
    attempt.is_prefilled = True
    router.quarantine.release_target(attempt.target.name, exchange.digest)
    router.placer.record_prefilled(
        attempt.decision, cached_pieces, router.runtime.now()
    )


def finish_attempt(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> None:
    """Record the end of an attempt.

    Release its load and its target, and cancel its stream.
    """
    now = router.runtime.now()
    attempt.ended_at = now
    router.quarantine.release_target(attempt.target.name, exchange.digest)
    if not attempt.is_prefilled and attempt.decision is not None:
        router.placer.record_failure(attempt.decision, now)
    if attempt.stream is not None:
        attempt.stream.cancel()
