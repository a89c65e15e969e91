"""Limits of the machine of a host, and what its callers may use of them."""

import attrs

from pistachioseam import caller_budgets
from pistachioseam import response_budgets
from pistachioseam import validators
from pistachioseam_entry import caller_holdings

RESPONSE_BUDGET_DIVISOR = 4
"""Part of the callers' budget that responses of targets may use."""


@attrs.frozen(kw_only=True)
class Capacity:
    """Limits of the machine on this process.

    `memory_mb` includes temporary files, `max_descriptors` counts open files
    and connections. The defaults are those of the smallest hosts. A body must
    bring `min_body_bytes_per_second` on average, after twice the idle timeout.
    """

    memory_mb: float = attrs.field(
        default=128.0, validator=validators.check_positive
    )
    max_descriptors: int = attrs.field(
        default=4100, validator=validators.check_positive
    )
    min_body_bytes_per_second: float = attrs.field(
        default=1024.0, validator=validators.check_positive
    )


def create_holdings(
    capacity: Capacity, responses: response_budgets.ResponseBudget
) -> caller_holdings.CallerHoldings:
    """Return the accounts of callers, with the budget of a host.

    `responses` counts in it and gets its limit.
    """
    holdings = caller_holdings.CallerHoldings(
        caller_budgets.derive_budget(
            capacity.memory_mb, capacity.max_descriptors
        ),
        body_rate=capacity.min_body_bytes_per_second,
    )
    holdings.responses = responses
    responses.limit_bytes = holdings.budget.bytes // RESPONSE_BUDGET_DIVISOR
    return holdings
