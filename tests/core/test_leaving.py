"""Leaving targets are known by any source, for a bounded time."""

from pistachioseam import leaving
from tests import support

ADDRESS = '10.0.0.1:1'


def test_any_source_is_enough(case: support.Case) -> None:
    """A peer's word counts, and is replaced by its next one."""
    targets = leaving.LeavingTargets()
    targets.note_listed(leaving.PLATFORM, [], 1.0)
    targets.note_listed('peer', [ADDRESS], 1.0)
    case.assertTrue(targets.is_leaving(ADDRESS, 2.0))
    case.assertEqual((), targets.list_own())
    targets.note_listed('peer', [], 3.0)
    case.assertFalse(targets.is_leaving(ADDRESS, 3.0))


def test_old_words_are_forgotten(case: support.Case) -> None:
    """A source that has gone silent does not keep a target out."""
    targets = leaving.LeavingTargets()
    targets.note_listed('peer', [ADDRESS], 1.0)
    late = 1.0 + leaving.KEEP_SECONDS
    case.assertFalse(targets.is_leaving(ADDRESS, late))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
