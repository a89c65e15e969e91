"""Cached keys are accepted only within the bound for revocations."""

from pistachioseam.forwarding import freshness
from tests import support

BOUND = 5.0


def test_host_is_not_ready_before_the_first_read(case: support.Case) -> None:
    """A host that has just started is not ready and accepts no keys."""
    state = freshness.Freshness(BOUND)
    case.assertFalse(state.can_verify_keys(1.0))
    case.assertFalse(state.can_be_ready(1.0))


def test_age_counts_from_when_the_read_was_sent(case: support.Case) -> None:
    """Readiness ends before keys are rejected, and both within the bound."""
    state = freshness.Freshness(BOUND)
    state.record_confirmation(10.0)
    case.assertTrue(state.can_be_ready(12.9))
    case.assertFalse(state.can_be_ready(13.1))
    case.assertTrue(state.can_verify_keys(14.5))
    case.assertFalse(state.can_verify_keys(14.7))


def test_late_response_does_not_increase_the_age(case: support.Case) -> None:
    """A read that was sent earlier but ends later is ignored."""
    state = freshness.Freshness(BOUND)
    state.record_confirmation(10.0)
    state.record_confirmation(8.0)
    case.assertEqual(1.0, state.get_age(11.0))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
