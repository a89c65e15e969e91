"""Find the caller by its credentials."""

from returns import result

from pistachioseam import exchanges
from pistachioseam import filter_chains
from pistachioseam import identity
from pistachioseam import pipeline
from pistachioseam import refusals
from pistachioseam import router as routers


@pipeline.register('identify')
async def identify_caller(
    exchange: exchanges.Exchange, router: routers.Router
) -> filter_chains.FilterResult:
    """Set the caller, or refuse with 401."""
    authorization = exchange.headers.get('authorization', '')
    caller = identity.find_caller(router.callers, authorization)
    if caller is None:
        return result.Failure(
            refusals.Refusal(
                401,
                refusals.Reason.UNKNOWN_CALLER,
                'the credentials are missing or not known',
            )
        )
    exchange.caller = caller
    exchange.add_note('identify', f'account {exchange.get_account()}')
    return filter_chains.CONTINUE
