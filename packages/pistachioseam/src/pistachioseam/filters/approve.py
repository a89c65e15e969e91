"""Select the targets whose owners approve the caller's team."""

from returns import result

from pistachioseam import exchanges
from pistachioseam import filter_chains
from pistachioseam import pipeline
from pistachioseam import refusals
from pistachioseam import router as routers


@pipeline.register('approve')
async def approve_team(
    exchange: exchanges.Exchange, router: routers.Router
) -> filter_chains.FilterResult:
    """Set the approved targets; deny by default."""
    assert exchange.caller is not None and exchange.pool is not None
    team = exchange.caller.team
    exchange.targets = tuple(
        target for target in exchange.pool.targets if team in target.teams
    )
    exchange.add_note('approve', f'{len(exchange.targets)} approved targets')
    if exchange.targets:
        return filter_chains.CONTINUE
    return result.Failure(
        refusals.Refusal(
            403,
            refusals.Reason.NOT_APPROVED,
            'no target of this route approves your team',
        )
    )
