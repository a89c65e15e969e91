"""What callers and operators learn of the limits on callers."""

from pistachioseam import events
from pistachioseam import interfaces
from pistachioseam import refusals
from pistachioseam_entry import caller_holdings
from pistachioseam_entry import metrics

FULL_RETRY_AFTER_SECONDS = 1.0
"""Most calls that hold a body end within a second."""


def report_turned_away(
    holdings: caller_holdings.CallerHoldings,
    process_metrics: metrics.Metrics,
    sink: interfaces.EventSink,
    counts: dict[str, int],
) -> None:
    """Log and count connections that were turned away, by cause."""
    for cause, count in counts.items():
        process_metrics.count_turned_away(cause, count)
    sink.emit(
        events.Event.CALLERS_TURNED_AWAY,
        causes=counts,
        held_bytes=holdings.count_bytes(),
        budget_bytes=holdings.budget.bytes,
        connections=holdings.count_connections(),
    )


def refuse_full() -> refusals.Refusal:
    """Return the refusal of a request whose body the host cannot hold."""
    return refusals.Refusal(
        503,
        refusals.Reason.OVERLOADED,
        'this host holds too many bodies',
        retry_after_seconds=FULL_RETRY_AFTER_SECONDS,
    )
