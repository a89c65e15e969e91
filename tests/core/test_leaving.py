"""Tests of the lists of leaving targets and of their expiry."""

from pistachioseam import leaving
from tests import support

ADDRESS = '10.0.0.1:1'


def test_any_source_is_enough(case: support.Case) -> None:
    """One source excludes a target until its next list omits it."""
    targets = leaving.LeavingTargets()
    targets.replace_list(leaving.LOCAL_SOURCE, [], 1.0)
    targets.replace_list('peer', [ADDRESS], 1.0)
    case.assertTrue(targets.is_leaving(ADDRESS, 2.0))
    case.assertEqual((), targets.list_local())
    targets.replace_list('peer', [], 3.0)
    case.assertFalse(targets.is_leaving(ADDRESS, 3.0))


def test_lists_expire(case: support.Case) -> None:
    """A source that stops reporting does not exclude a target forever."""
    targets = leaving.LeavingTargets()
    targets.replace_list('peer', [ADDRESS], 1.0)
    late = 1.0 + leaving.LIST_TTL_SECONDS
    case.assertFalse(targets.is_leaving(ADDRESS, late))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
