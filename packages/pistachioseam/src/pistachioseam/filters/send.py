"""Send one attempt to its target."""

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import chats
from pistachioseam import events
from pistachioseam import exchanges
from pistachioseam.filters import place
from pistachioseam import interfaces
from pistachioseam import proofs
from pistachioseam import router as routers

FORWARDED_HEADERS = ('accept', 'content-type', 'idempotency-key')
MIN_TIMEOUT_SECONDS = 0.05
AGING_FACTOR = 10.0
"""Seconds of waiting that offset one second of work."""

SendResult = result.Result[None, interfaces.CallFailure]


async def send_request(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> SendResult:
    """Send the request once; set the response or the attempt's stream."""
    request = _create_request(exchange, router, attempt)
    is_stream = exchange.chat is not None and exchange.chat.is_stream
    if is_stream:
        return await _open_stream(exchange, router, attempt, request)
    return await _call(exchange, router, attempt, request)


def _create_request(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> interfaces.TargetRequest:
    headers = {
        name: exchange.headers[name]
        for name in FORWARDED_HEADERS
        if name in exchange.headers
    }
    body = exchange.body
    if exchange.chat is not None and exchange.pool is not None:
        assert attempt.decision is not None
        headers['cache-salt'] = exchange.cache_salt
        headers['weights-version'] = exchange.pool.weights_version
        headers['priority'] = f'{_compute_priority(exchange, attempt):.3f}'
        if exchange.delivered:
            headers['first-piece-number'] = str(len(exchange.delivered))
            body = chats.create_continuation(
                body, exchange.delivered, exchange.chat.max_tokens
            )
    remaining = exchange.deadline - router.runtime.now()
    return interfaces.TargetRequest(
        request_id=exchange.request_id,
        method=exchange.method,
        path=exchange.path,
        headers=headers,
        body=body,
        timeout_seconds=max(MIN_TIMEOUT_SECONDS, remaining),
        fencing_number=exchange.configuration_number,
        on_sending=exchange.record_sending,
    )


def _compute_priority(
    exchange: exchanges.Exchange, attempt: exchanges.Attempt
) -> float:
    """Return seconds; lower values run first, and waiting lowers them."""
    assert attempt.decision is not None
    waited = attempt.started_at - exchange.received_at
    return attempt.decision.work * AGING_FACTOR - waited


async def _call(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
    request: interfaces.TargetRequest,
) -> SendResult:
    called = await router.client.call(attempt.target.address, request)
    if not returns_pipeline.is_successful(called):
        failure = called.failure()
        record_failure(exchange, router, attempt, failure)
        return result.Failure(failure)
    response = called.unwrap()
    if response.incarnation:
        record_incarnation(router, attempt, response.incarnation)
    place.record_prefilled(exchange, router, attempt, response.cached_pieces)
    record_success(exchange, router, attempt)
    exchange.response = response
    return result.Success(None)


async def _open_stream(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
    request: interfaces.TargetRequest,
) -> SendResult:
    opened = await router.client.open_stream(attempt.target.address, request)
    if not returns_pipeline.is_successful(opened):
        failure = opened.failure()
        record_failure(exchange, router, attempt, failure)
        return result.Failure(failure)
    attempt.stream = opened.unwrap()
    record_incarnation(router, attempt, attempt.stream.incarnation)
    return result.Success(None)


def record_incarnation(
    router: routers.Router, attempt: exchanges.Attempt, incarnation: str
) -> None:
    """Discard the cache records of a target that has restarted."""
    name = attempt.target.name
    if router.placer.record_incarnation(name, incarnation):
        router.sink.emit(events.Event.TARGET_RESTARTED, target=name)


def record_success(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> None:
    """Update health, quarantine and retry budget after a complete response."""
    router.health.record_success(attempt.target.name)
    router.quarantine.record_completion(exchange.digest)
    router.retry_budget.record_success()


def record_failure(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
    failure: interfaces.CallFailure,
) -> None:
    """Update notes, health and quarantine after a failed attempt."""
    attempt.failure = failure.kind.value
    exchange.add_note('send', f'{failure.kind.value}: {failure.detail}')
    if failure.kind is interfaces.FailureKind.BUSY:
        return
    if failure.kind is interfaces.FailureKind.NOT_SENT:
        exchange.may_have_run = any(
            proofs.may_have_run(interfaces.FailureKind(each.failure))
            for each in exchange.attempts
            if each.failure
        )
    router.health.record_failure(attempt.target.name)
    if failure.kind is interfaces.FailureKind.BROKEN:
        router.placer.prefix_index.drop_target(attempt.target.name)
        if exchange.is_retryable():
            router.quarantine.record_crash(exchange.digest)
