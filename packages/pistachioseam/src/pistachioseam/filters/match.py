"""Find the route and the pool of a request."""

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import chats
from pistachioseam import exchanges
from pistachioseam import filter_chains
from pistachioseam import pipeline
from pistachioseam.placement import prefixes
from pistachioseam import quarantine
from pistachioseam import refusals
from pistachioseam import router as routers
from pistachioseam import snapshots

NOT_READY_RETRY_AFTER_SECONDS = 1.0


@pipeline.register('match')
async def match_route(
    exchange: exchanges.Exchange, router: routers.Router
) -> filter_chains.FilterResult:
    """Set route, pool, deadline, digest and the hashes of the prefixes."""
    snapshot = router.acceptor.snapshot
    exchange.configuration_number = snapshot.number
    if snapshot.number == 0:
        return _refuse_not_ready()
    assert exchange.caller is not None
    if exchange.path == chats.COMPLETIONS_PATH:
        refusal = _match_model(exchange, snapshot)
    else:
        refusal = _match_service(exchange, snapshot)
    if refusal is not None:
        return result.Failure(refusal)
    assert exchange.route is not None
    exchange.pool = snapshot.find_pool(exchange.route.pool)
    if exchange.chat is not None:
        _set_prefix(exchange, router)
    exchange.deadline = exchange.received_at + exchange.route.deadline_seconds
    exchange.digest = quarantine.digest_request(
        exchange.get_account(),
        exchange.path,
        exchange.get_idempotency_key(),
        exchange.body,
    )
    exchange.add_note('match', f'route {exchange.route.name}')
    return filter_chains.CONTINUE


def _refuse_not_ready() -> filter_chains.FilterResult:
    return result.Failure(
        refusals.Refusal(
            503,
            refusals.Reason.NOT_READY,
            'no configuration is in force yet',
            retry_after_seconds=NOT_READY_RETRY_AFTER_SECONDS,
        )
    )


def _match_model(
    exchange: exchanges.Exchange, snapshot: snapshots.Snapshot
) -> refusals.Refusal | None:
    if exchange.method != 'POST':
        return refusals.Refusal(
            405, refusals.Reason.WRONG_METHOD, 'use POST for this path'
        )
    parsed = chats.parse_chat(exchange.body)
    if not returns_pipeline.is_successful(parsed):
        reason = refusals.Reason.BAD_REQUEST
        if 'not JSON' in parsed.failure():
            reason = refusals.Reason.BAD_JSON
        return refusals.Refusal(400, reason, parsed.failure())
    assert exchange.caller is not None
    exchange.chat = parsed.unwrap()
    exchange.route = snapshot.find_model_route(
        exchange.caller.team, exchange.chat.model
    )
    return None if exchange.route else _refuse_unknown_route('model')


def _match_service(
    exchange: exchanges.Exchange, snapshot: snapshots.Snapshot
) -> refusals.Refusal | None:
    assert exchange.caller is not None
    path = exchange.path.partition('?')[0]
    exchange.route = snapshot.find_service_route(exchange.caller.team, path)
    return None if exchange.route else _refuse_unknown_route('path')


def _refuse_unknown_route(kind: str) -> refusals.Refusal:
    return refusals.Refusal(
        404,
        refusals.Reason.UNKNOWN_ROUTE,
        f'no route of your team serves this {kind}',
    )


def _set_prefix(exchange: exchanges.Exchange, router: routers.Router) -> None:
    assert exchange.chat is not None and exchange.pool is not None
    pool = exchange.pool
    piece_bytes = router.placer.settings.piece_bytes
    prompt = chats.encode_prompt(exchange.chat)
    seed = prefixes.create_seed(
        exchange.get_account(), pool.model, pool.weights_version
    )
    exchange.cache_salt = seed.hex()
    exchange.chain = prefixes.create_chain(seed, prompt, piece_bytes)
    exchange.prompt_pieces = len(prompt) / piece_bytes
