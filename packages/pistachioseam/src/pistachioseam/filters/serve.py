"""Send a request to targets until it is served or a retry is unsafe."""

import attrs
from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import claims
from pistachioseam import events
from pistachioseam import exchanges
from pistachioseam import filter_chains
from pistachioseam.filters import admit
from pistachioseam.filters import place
from pistachioseam.filters import relay
from pistachioseam.filters import send
from pistachioseam import interfaces
from pistachioseam import pipeline
from pistachioseam import proofs
from pistachioseam import refusals
from pistachioseam import router as routers

MAX_ATTEMPTS = 4
MAX_ISOLATION_WAIT_SECONDS = 5.0
"""Bounds the wait of a suspect for a target that runs no other suspect."""
ISOLATION_POLL_SECONDS = 0.02
RETRY_AFTER_SECONDS = 1.0


@pipeline.register('serve')
async def serve_request(
    exchange: exchanges.Exchange, router: routers.Router
) -> filter_chains.FilterResult:
    """Run attempts until one succeeds; settle the claim in any case."""
    account = exchange.get_account()
    router.limits.start_request(account, router.runtime.now())
    served: filter_chains.FilterResult = result.Failure(
        claims.refuse_unknown_outcome()
    )
    try:
        served = await _attempt_until_served(exchange, router)
    finally:
        router.limits.end_request(account, router.runtime.now())
        _finish_claim(exchange, router)
    return served


async def _attempt_until_served(
    exchange: exchanges.Exchange, router: routers.Router
) -> filter_chains.FilterResult:
    while True:
        await _wait_for_isolated_target(exchange, router)
        placed = place.place_request(exchange, router)
        if not returns_pipeline.is_successful(placed):
            return result.Failure(_correct_outcome(exchange, placed.failure()))
        attempt = placed.unwrap()
        failure = await _run_attempt(exchange, router, attempt)
        if failure is None:
            return filter_chains.CONTINUE
        refusal = _check_retry(exchange, router, failure)
        if refusal is not None:
            return result.Failure(refusal)
        router.sink.emit(
            events.Event.REQUEST_RETRIED,
            request_id=exchange.request_id,
            target=attempt.target.name,
            failure=failure.kind.value,
        )


async def _wait_for_isolated_target(
    exchange: exchanges.Exchange, router: routers.Router
) -> None:
    """Delay a suspect, for a bounded time, until it can run alone."""
    if not router.quarantine.is_suspect(exchange.digest):
        return
    wait_until = router.runtime.now() + MAX_ISOLATION_WAIT_SECONDS
    while router.runtime.now() < min(wait_until, exchange.deadline):
        in_service = place.list_in_service(exchange, router)
        names = [target.name for target in in_service]
        if not names or router.quarantine.has_target_for(
            names, exchange.digest
        ):
            return
        await router.runtime.sleep(ISOLATION_POLL_SECONDS)


def _correct_outcome(
    exchange: exchanges.Exchange, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Return the refusal; its outcome is unknown if the call may have run."""
    if not exchange.may_have_run:
        return refusal
    return attrs.evolve(refusal, outcome=refusals.Outcome.UNKNOWN)


async def _run_attempt(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> interfaces.CallFailure | None:
    try:
        sent = await send.send_request(exchange, router, attempt)
        if returns_pipeline.is_successful(sent) and attempt.stream is not None:
            return await relay.relay_stream(exchange, router, attempt)
    finally:
        place.finish_attempt(exchange, router, attempt)
    return None if returns_pipeline.is_successful(sent) else sent.failure()


def _check_retry(
    exchange: exchanges.Exchange,
    router: routers.Router,
    failure: interfaces.CallFailure,
) -> refusals.Refusal | None:
    """Return the refusal, or None if the request may be sent again."""
    if proofs.may_have_run(failure.kind):
        exchange.may_have_run = True
        if not exchange.is_retryable():
            return claims.refuse_unknown_outcome()
    if router.quarantine.is_quarantined(exchange.digest):
        refusal = admit.refuse_quarantined(exchange, router)
        return _correct_outcome(exchange, refusal)
    is_past_deadline = router.runtime.now() >= exchange.deadline
    is_out_of_attempts = len(exchange.attempts) >= MAX_ATTEMPTS
    if is_past_deadline or is_out_of_attempts:
        return refuse_failed(exchange, failure)
    if (
        proofs.may_have_run(failure.kind)
        and not router.retry_budget.try_spend()
    ):
        return refuse_failed(exchange, failure)
    return None


def refuse_failed(
    exchange: exchanges.Exchange, failure: interfaces.CallFailure
) -> refusals.Refusal:
    """Return the refusal of a request whose targets failed."""
    outcome = refusals.Outcome.NOT_RUN
    if exchange.may_have_run:
        outcome = refusals.Outcome.UNKNOWN
    return refusals.Refusal(
        502,
        refusals.Reason.TARGET_FAILED,
        f'the targets failed: {failure.kind.value}',
        outcome,
        RETRY_AFTER_SECONDS,
    )


def _finish_claim(
    exchange: exchanges.Exchange, router: routers.Router
) -> None:
    if exchange.claim is None:
        return
    if exchange.response is not None:
        router.claims.record_answer(exchange.claim, exchange.response)
    elif exchange.may_have_run:
        router.claims.mark_unknown(exchange.claim)
    else:
        router.claims.release(exchange.claim)
