"""Keys are used only while they are surely not revoked for too long."""

from pistachioseam.forwarding import freshness
from tests import support

BOUND = 5.0


def test_nothing_is_fit_before_the_first_read(case: support.Case) -> None:
    """A host that has just started is not ready."""
    known = freshness.Freshness(BOUND)
    case.assertFalse(known.is_fit_for_keys(1.0))
    case.assertFalse(known.is_fit_to_be_ready(1.0))


def test_age_counts_from_the_sending(case: support.Case) -> None:
    """Readiness ends before keys do, and both within the bound."""
    known = freshness.Freshness(BOUND)
    known.note_confirmed(10.0)
    case.assertTrue(known.is_fit_to_be_ready(12.9))
    case.assertFalse(known.is_fit_to_be_ready(13.1))
    case.assertTrue(known.is_fit_for_keys(14.5))
    case.assertFalse(known.is_fit_for_keys(14.7))


def test_late_answer_confirms_nothing_newer(case: support.Case) -> None:
    """An older call that ends later does not make knowledge older."""
    known = freshness.Freshness(BOUND)
    known.note_confirmed(10.0)
    known.note_confirmed(8.0)
    case.assertEqual(1.0, known.get_age(11.0))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
