"""Bounds of the settings as the router uses them."""

from pistachioseam_entry import call_process
from pistachioseam_entry import call_settings
from tests import support

QUEUED_SECONDS = 1.041
"""Wait of a call at its engine that began too late (grown Shrestha site,
trouble-2: sent 9.02 s after the naming, begun after 10.05 s)."""


def test_calls_begin_in_time_behind_a_queue(case: support.Case) -> None:
    """A call sent in the last moment begins within the bound for weights."""
    bounds = call_settings.Bounds(
        revocation_ms=5_000,
        weights_ms=10_000,
        lease_ms=3_000,
        shutdown_seconds=8,
    )
    last_sent = call_process.get_max_behind(bounds)
    case.assertLess(last_sent + QUEUED_SECONDS, 10.0)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
