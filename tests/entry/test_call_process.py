"""Limits that the process derives from the bounds in its settings."""

from pistachioseam_entry import call_process
from pistachioseam_entry import call_settings
from tests import support

QUEUE_SECONDS = (1.041, 2.1)
"""Waits in an engine's queue that the margin must cover."""


def test_queued_calls_begin_within_the_weights_bound(
    case: support.Case,
) -> None:
    """A call sent at the maximum lag begins within the bound for weights.

    Calls wait in their engine's queue before they run: in failed runs, a call
    sent 9.02 s after newer weights were named began after 10.05 s, and one
    sent 8.0 s after at the latest began after 10.10 s, past the bound.
    """
    bounds = call_settings.Bounds(
        revocation_ms=5_000,
        weights_ms=10_000,
        lease_ms=3_000,
        shutdown_seconds=8,
    )
    max_lag_seconds = call_process.get_max_weights_lag_seconds(bounds)
    for seconds in QUEUE_SECONDS:
        case.assertLess(max_lag_seconds + seconds, 10.0)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
