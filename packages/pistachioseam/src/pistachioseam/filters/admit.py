"""Refuse quarantined requests and accounts above their limits."""

import math

from returns import result

from pistachioseam import events
from pistachioseam import exchanges
from pistachioseam import filter_chains
from pistachioseam import pipeline
from pistachioseam import refusals
from pistachioseam import router as routers


@pipeline.register('admit')
async def admit_request(
    exchange: exchanges.Exchange, router: routers.Router
) -> filter_chains.FilterResult:
    """Check quarantine, rate limit and concurrency limit."""
    if router.quarantine.is_quarantined(exchange.digest):
        return result.Failure(refuse_quarantined(exchange, router))
    now = router.runtime.now()
    account = exchange.get_account()
    assert exchange.caller is not None
    router.limits.set_share(account, exchange.caller.share, now)
    if router.limits.has_capacity(account, now):
        exchange.add_note('admit', 'within the limits')
        return filter_chains.CONTINUE
    seconds = router.limits.compute_retry_after(
        account, now, router.random.random()
    )
    return result.Failure(
        refusals.Refusal(
            429,
            refusals.Reason.LIMITED,
            'the account exceeds its rate or concurrency limit',
            retry_after_seconds=seconds,
        )
    )


def refuse_quarantined(
    exchange: exchanges.Exchange, router: routers.Router
) -> refusals.Refusal:
    """Log and return the refusal of a request that crashes targets."""
    router.sink.emit(
        events.Event.REQUEST_QUARANTINED, request_id=exchange.request_id
    )
    seconds = router.quarantine.get_retry_seconds(exchange.digest)
    return refusals.Refusal(
        422,
        refusals.Reason.QUARANTINED,
        'this request crashed the targets that ran it',
        retry_after_seconds=math.ceil(seconds),
    )
