"""Differences of documents name each field that changed."""

from pistachioseam_operator import differences
from tests import support


def compare(former: object, new: object) -> list[str]:
    """Return the differences as lines."""
    return [each.format() for each in differences.compare(former, new)]


def test_items_are_matched_by_name(case: support.Case) -> None:
    """A row that was inserted would change all rows behind it."""
    former = {'rows': [{'name': 'a', 'x': 1}, {'name': 'b', 'x': 2}]}
    new = {'rows': [{'name': 'c'}, {'name': 'a', 'x': 1, 'y': None}]}
    case.assertEqual([], compare(former, former))
    case.assertEqual(
        [
            'rows.a.y: absent -> null',
            'rows.b: {"name": "b", "x": 2} -> absent',
            'rows.c: absent -> {"name": "c"}',
        ],
        compare(former, new),
    )


def test_other_lists_are_compared_as_a_whole(case: support.Case) -> None:
    """Items without names of their own cannot be matched."""
    case.assertEqual(['x: [1, 2] -> [2]'], compare({'x': [1, 2]}, {'x': [2]}))
    twice = [{'name': 'a'}, {'name': 'a'}]
    case.assertEqual(1, len(compare(twice, twice[:1])))
    case.assertEqual(['x: [] -> {}'], compare({'x': []}, {'x': {}}))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
