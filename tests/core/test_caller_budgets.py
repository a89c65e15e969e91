"""Decisions about callers that hold too much."""

import typing

import attrs
import hypothesis
from hypothesis import strategies

from pistachioseam import caller_budgets
from tests import support

MIB = caller_budgets.MEBIBYTE
BUDGET = caller_budgets.Budget(bytes=8 * MIB, connections=10)
Stage = caller_budgets.Stage
BODY = caller_budgets.Holding(
    key='body',
    stage=Stage.RECEIVING,
    held_bytes=MIB,
    rate=100_000.0,
    still_seconds=0.0,
    age_seconds=5.0,
    served=0,
)


def change(key: object, **changes: typing.Any) -> caller_budgets.Holding:
    """Return the holding of a body that arrives, with changes."""
    return attrs.evolve(BODY, key=key, **changes)


def choose(
    holdings: list[caller_budgets.Holding], total_bytes: int
) -> list[object]:
    """Return the keys of those turned away for what they hold."""
    chosen = caller_budgets.choose_holders(holdings, total_bytes, BUDGET)
    return [holding.key for holding in chosen]


def test_smallest_hosts_serve_a_body_of_the_default_limit(
    case: support.Case,
) -> None:
    """Guards against a default that a caller within the limits meets."""
    budget = caller_budgets.DEFAULT_BUDGET
    case.assertEqual((24 * MIB, 1922), (budget.bytes, budget.connections))
    smallest = caller_budgets.derive_budget(1.0, 1)
    case.assertTrue(caller_budgets.can_serve(8 * MIB, 0, smallest))
    case.assertLessEqual(4 * MIB, smallest.bytes)
    body = change('body', held_bytes=4 * MIB, rate=0.0)
    case.assertEqual(
        [], caller_budgets.choose_holders([body], 4 * MIB, smallest)
    )


def test_nothing_is_turned_away_within_the_budget(case: support.Case) -> None:
    """A stalled body stays while there is room for it."""
    case.assertEqual([], choose([change(1, rate=0.0)], 8 * MIB))


def test_stalled_bodies_go_before_those_that_progress(
    case: support.Case,
) -> None:
    """Guards against a crowd that displaces a caller who is still sending."""
    holdings = [
        change('quick', held_bytes=2 * MIB, rate=2e6),
        change('slow', rate=100.0),
        change('stalled', rate=0.0),
    ]
    case.assertEqual(['stalled'], choose(holdings, 8 * MIB + 1))
    case.assertEqual(['stalled', 'slow'], choose(holdings, 9 * MIB))


def test_of_stalled_connections_the_largest_goes_first(
    case: support.Case,
) -> None:
    """What is freed with the fewest connections."""
    holdings = [
        change('small', held_bytes=MIB, rate=0.0),
        change('large', held_bytes=3 * MIB, rate=0.0),
        change('unread', stage=Stage.SENDING, held_bytes=2 * MIB, rate=0.0),
    ]
    case.assertEqual(['large', 'unread'], choose(holdings, 12 * MIB))


def test_requests_being_served_stay(case: support.Case) -> None:
    """They may have run, so no refusal would be true."""
    holdings = [change('served', stage=Stage.SERVING, rate=0.0)]
    case.assertEqual([], choose(holdings, 20 * MIB))


def test_ordinary_connections_stay_within_their_reserve(
    case: support.Case,
) -> None:
    """Guards against a crowd that displaces callers with small requests."""
    ordinary = [
        change(number, held_bytes=caller_budgets.ORDINARY_BYTES, rate=0.0)
        for number in range(40)
    ]
    case.assertEqual([], choose(ordinary, 10 * MIB))
    case.assertEqual(1, len(choose(ordinary, 10 * MIB + 1)))


def test_served_bodies_stay_within_the_budget(case: support.Case) -> None:
    """Guards against complete bodies that wait for a slow target."""
    case.assertTrue(caller_budgets.can_serve(4 * MIB, 4 * MIB, BUDGET))
    case.assertFalse(caller_budgets.can_serve(4 * MIB, 4 * MIB + 1, BUDGET))
    case.assertTrue(caller_budgets.can_serve(20_000, 8 * MIB, BUDGET))
    case.assertFalse(caller_budgets.can_serve(20_000, 10 * MIB, BUDGET))


def test_connections_beyond_the_limit_are_closed(case: support.Case) -> None:
    """Idle ones that brought nothing go first; new ones and served ones stay.

    Guards against idle connections that keep ordinary callers out.
    """
    idle = {'stage': Stage.IDLE, 'rate': 0.0}
    holdings = [
        change('new', age_seconds=0.0, **idle),
        change('used', served=3, still_seconds=9.0, **idle),
        change('serving', stage=Stage.SERVING, served=1),
        change('receiving', rate=500.0),
        change('idle', still_seconds=2.0, **idle),
        change('idle longer', still_seconds=3.0, **idle),
    ]
    order = ['idle longer', 'idle', 'receiving', 'used', 'new']
    for count in range(6):
        budget = attrs.evolve(BUDGET, connections=6 - count)
        chosen = caller_budgets.choose_connections(holdings, budget)
        case.assertEqual(order[:count], [h.key for h in chosen])


def test_one_large_connection_is_spared(case: support.Case) -> None:
    """Guards against a response of 8 MB that was reset on a calm host."""
    holdings = [
        change('unread', stage=Stage.SENDING, held_bytes=8 * MIB, rate=0.0),
        change('ordinary', held_bytes=20_000, rate=0.0),
    ]
    case.assertEqual([], choose(holdings, 17 * MIB))


def _is_large(holding: caller_budgets.Holding) -> bool:
    return holding.stage in (Stage.RECEIVING, Stage.SENDING) and (
        holding.held_bytes > caller_budgets.ORDINARY_BYTES
    )


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(list(Stage)),
            strategies.integers(0, 4 * MIB),
            strategies.floats(0.0, 1e7),
        ),
        max_size=60,
    )
)
def check_bound(
    drawn: list[tuple[caller_budgets.Stage, int, float]],
) -> None:
    """Check what is left of random holdings."""
    holdings = [
        change(number, stage=stage, held_bytes=size, rate=rate)
        for number, (stage, size, rate) in enumerate(drawn)
    ]
    total = sum(holding.held_bytes for holding in holdings)
    chosen = caller_budgets.choose_holders(holdings, total, BUDGET)
    left = [holding for holding in holdings if holding not in chosen]
    evictable = sum(
        holding.held_bytes
        for holding in left
        if holding.stage in (Stage.RECEIVING, Stage.SENDING)
    )
    fixed = sum(holding.held_bytes for holding in left) - evictable
    spared = max((h.held_bytes for h in left if _is_large(h)), default=0)
    assert (
        evictable == spared
        or fixed + evictable <= BUDGET.bytes * 1.25 + spared
    )
    assert all(
        holding.stage in (Stage.RECEIVING, Stage.SENDING) for holding in chosen
    )


def test_what_is_left_is_within_the_bound(case: support.Case) -> None:
    """The budget, its reserve and one large connection are not exceeded."""
    check_bound()


def test_body_may_be_slow_during_its_grace(case: support.Case) -> None:
    """The least rate counts from the end of the grace."""
    case.assertFalse(caller_budgets.is_too_slow(0, 30.0, 30.0, 1024.0))
    case.assertTrue(caller_budgets.is_too_slow(1000, 31.0, 30.0, 1024.0))
    case.assertFalse(caller_budgets.is_too_slow(1024, 31.0, 30.0, 1024.0))


def test_small_chunks_wait_for_each_other(case: support.Case) -> None:
    """All connections together get the rate of small chunks."""
    pacer = caller_budgets.ChunkPacer(1000.0)
    case.assertAlmostEqual(0.1, pacer.take(100, 5.0))
    case.assertAlmostEqual(0.2, pacer.take(100, 5.0))
    case.assertAlmostEqual(0.1, pacer.take(100, 9.0))


def test_large_body_is_served_beside_ordinary_ones(
    case: support.Case,
) -> None:
    """One small call in progress refused the largest body on a small host."""
    weight = 8 * MIB + 400
    case.assertFalse(caller_budgets.can_serve(weight, 1000, BUDGET))
    case.assertTrue(
        caller_budgets.can_serve(weight, 1000, BUDGET, is_only_large=True)
    )


def test_idle_connections_are_closed_before_a_response_ends(
    case: support.Case,
) -> None:
    """A slow event stream was reset while connections were idle."""
    holdings = [
        change('stream', stage=Stage.SENDING, served=1, rate=50.0),
        change('idle', stage=Stage.IDLE, served=1, rate=5000.0),
    ]
    budget = attrs.evolve(BUDGET, connections=1)
    chosen = caller_budgets.choose_connections(holdings, budget)
    case.assertEqual(['idle'], [holding.key for holding in chosen])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
