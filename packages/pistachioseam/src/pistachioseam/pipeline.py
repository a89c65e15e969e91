"""Filter chains that every request passes in a fixed order."""

from pistachioseam import exchanges
from pistachioseam import filter_chains
from pistachioseam import router as routers

FILTER_ORDER = (
    'identify',
    'match',
    'approve',
    'admit',
    'claim',
    'serve',
)
"""Names of the filters, in order.

`serve` uses the modules `place`, `send` and `relay` for each attempt.
"""

_request_filters: filter_chains.FilterChain[
    exchanges.Exchange, routers.Router
] = filter_chains.FilterChain(FILTER_ORDER)
register = _request_filters.register
run_filters = _request_filters.run
