"""Relay a stream piece by piece; resume it if its connection breaks."""

from returns import pipeline as returns_pipeline

from pistachioseam import events
from pistachioseam import exchanges
from pistachioseam.filters import place
from pistachioseam.filters import send
from pistachioseam import interfaces
from pistachioseam import router as routers
from pistachioseam import streams

MAX_RESUMES = 2
STREAM_HEADERS = {'content-type': 'text/event-stream'}


async def relay_stream(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> interfaces.CallFailure | None:
    """Deliver each piece once, in order; return None once complete."""
    tracker = streams.SequenceTracker(
        exchange.request_id, next_number=len(exchange.delivered)
    )
    resumes = 0
    while True:
        failure = await _receive_pieces(exchange, router, attempt, tracker)
        if failure is None:
            send.record_success(exchange, router, attempt)
            return None
        if resumes < MAX_RESUMES:
            resumes += 1
            if await _resume(exchange, router, attempt):
                continue
        send.record_failure(exchange, router, attempt, failure)
        router.sink.emit(
            events.Event.STREAM_NOT_RESUMED,
            request_id=exchange.request_id,
            delivered=len(exchange.delivered),
        )
        return failure


async def _receive_pieces(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
    tracker: streams.SequenceTracker,
) -> interfaces.CallFailure | None:
    """Deliver pieces until the end mark or a failure."""
    assert attempt.stream is not None
    while True:
        received = await attempt.stream.receive()
        if not returns_pipeline.is_successful(received):
            return received.failure()
        piece = received.unwrap()
        status = tracker.accept(piece)
        if status is streams.PieceStatus.DUPLICATE:
            continue
        if status in (streams.PieceStatus.GAP, streams.PieceStatus.FOREIGN):
            kind = interfaces.FailureKind.BROKEN
            return interfaces.CallFailure(
                kind, f'unexpected piece in the stream: {status.value}'
            )
        place.record_prefilled(
            exchange, router, attempt, attempt.stream.cached_pieces
        )
        await _deliver(exchange, router, piece)
        if status is streams.PieceStatus.END:
            return None


async def _deliver(
    exchange: exchanges.Exchange,
    router: routers.Router,
    piece: interfaces.Piece,
) -> None:
    if not exchange.reply.is_begun():
        exchange.first_token_at = router.runtime.now()
        await exchange.reply.begin(200, STREAM_HEADERS)
    if not piece.is_end:
        exchange.delivered.append(piece)
    event = b'id: %d\ndata: %b\n\n' % (piece.number, piece.data)
    await exchange.reply.write(event)


async def _resume(
    exchange: exchanges.Exchange,
    router: routers.Router,
    attempt: exchanges.Attempt,
) -> bool:
    """Reopen the stream at the same incarnation; return False on failure."""
    assert attempt.stream is not None
    attempt.stream.disconnect()
    resumed = await router.client.resume_stream(
        attempt.target.address,
        attempt.stream.incarnation,
        exchange.request_id,
        len(exchange.delivered),
    )
    if not returns_pipeline.is_successful(resumed):
        return False
    attempt.stream = resumed.unwrap()
    router.sink.emit(
        events.Event.STREAM_RESUMED,
        request_id=exchange.request_id,
        delivered=len(exchange.delivered),
    )
    return True
