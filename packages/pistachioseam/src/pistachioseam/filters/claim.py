"""Claim non-idempotent calls before anything is sent."""

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import claim_records
from pistachioseam import claims
from pistachioseam import exchanges
from pistachioseam import filter_chains
from pistachioseam import pipeline
from pistachioseam import refusals
from pistachioseam import router as routers


@pipeline.register('claim')
async def claim_call(
    exchange: exchanges.Exchange, router: routers.Router
) -> filter_chains.FilterResult:
    """Set the claim, or the response recorded for an equal earlier call."""
    if exchange.is_retryable():
        exchange.add_note('claim', 'not needed')
        return filter_chains.CONTINUE
    assert exchange.route is not None
    idempotency_key = exchange.get_idempotency_key()
    if not idempotency_key:
        return _handle_missing_key(exchange)
    key = claim_records.create_row_key(
        exchange.get_account(), exchange.route.name, idempotency_key
    )
    digest = claim_records.digest_call(
        exchange.method, exchange.path, exchange.body
    )
    acquired = await router.claims.acquire(
        key, digest, exchange.configuration_number, exchange.deadline
    )
    if not returns_pipeline.is_successful(acquired):
        return result.Failure(acquired.failure())
    granted = acquired.unwrap()
    if isinstance(granted, claims.RecordedAnswer):
        exchange.response = granted.answer
        exchange.add_note('claim', 'answered from the recorded answer')
    else:
        exchange.claim = granted
        exchange.add_note('claim', f'claimed as {granted.record.token}')
    return filter_chains.CONTINUE


def _handle_missing_key(
    exchange: exchanges.Exchange,
) -> filter_chains.FilterResult:
    assert exchange.route is not None
    if exchange.route.single_attempts:
        exchange.add_note('claim', 'single attempt without a key')
        return filter_chains.CONTINUE
    return result.Failure(
        refusals.Refusal(
            400,
            refusals.Reason.IDEMPOTENCY_KEY_REQUIRED,
            'a non-idempotent call needs an Idempotency-Key header',
        )
    )
