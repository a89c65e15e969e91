"""Calls that wait for an engine are ordered by what delaying them costs."""

import typing

from pistachioseam.forwarding import admission_order
from tests import support

NOW = 100.0


def create_demand(key: int, **fields: typing.Any) -> admission_order.Demand:
    """Return a call that has just arrived and has time left."""
    values: dict[str, typing.Any] = {
        'key': key,
        'priority': 1,
        'prefill_tokens': 4_000,
        'memory_tokens': 5_000,
        'objective_seconds': 1.0,
        'objective_at': NOW + 1.0,
        'deadline': NOW + 5.0,
        'answer_by': NOW + 0.3,
        'received_at': NOW,
    }
    return admission_order.Demand(**{**values, **fields})


def sort_keys(*demands: admission_order.Demand) -> list[int]:
    """Return the keys of calls in the order of admission."""
    return [d.key for d in admission_order.sort_demands(demands, NOW)]


def test_higher_priority_goes_first(case: support.Case) -> None:
    """A short prompt of a low priority delayed an urgent long one."""
    low = create_demand(1, priority=2, prefill_tokens=100)
    high = create_demand(2, priority=0, prefill_tokens=9_000)
    late = create_demand(3, priority=0, objective_at=NOW)
    case.assertEqual([2, 3, 1], sort_keys(low, late, high))


def test_calls_in_time_go_before_late_ones(case: support.Case) -> None:
    """A call that misses its objective anyway made another one miss it."""
    late = create_demand(1, prefill_tokens=8_000, objective_at=NOW + 0.1)
    in_time = create_demand(2, prefill_tokens=12_000)
    case.assertTrue(late.is_late(NOW))
    case.assertFalse(in_time.is_late(NOW))
    case.assertEqual([2, 1], sort_keys(late, in_time))


def test_less_work_goes_first(case: support.Case) -> None:
    """Many short prompts waited for one long prompt."""
    long = create_demand(1, prefill_tokens=9_000)
    short = create_demand(2, prefill_tokens=800)
    case.assertEqual([2, 1], sort_keys(long, short))


def test_of_equal_calls_the_oldest_goes_first(case: support.Case) -> None:
    """A call was overtaken by all later calls of its size."""
    newer = create_demand(1, received_at=NOW - 0.1)
    older = create_demand(2, received_at=NOW - 0.2)
    case.assertEqual([2, 1], sort_keys(newer, older))
    case.assertEqual([2, 1], sort_keys(older, newer))


def test_call_without_objective_is_never_late(case: support.Case) -> None:
    """Routes without an objective went behind all others."""
    demand = create_demand(1, objective_at=float('inf'))
    case.assertFalse(demand.is_late(NOW))


def load_tests(*_: object) -> object:
    """Return the test functions as unittest cases."""
    return support.load_functions(globals())
