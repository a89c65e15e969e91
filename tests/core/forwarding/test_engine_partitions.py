"""Part of the engines of a large fleet is kept free of long prompts."""

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import engine_partitions
from pistachioseam import links
from pistachioseam.placement import rendezvous
from tests.core.forwarding import test_affinity_engines
from tests import support

TOPOLOGY = links.Topology(domain='d1', regions=test_affinity_engines.REGIONS)
create_engines = test_affinity_engines.create_engines


def list_interactive(
    engines: list[catalog.LiveTarget],
) -> frozenset[str]:
    """Return the interactive engines as a host finds them."""
    return engine_partitions.list_interactive_engines(
        engines, TOPOLOGY, rendezvous.RendezvousHash()
    )


def test_each_region_keeps_a_quarter(case: support.Case) -> None:
    """Interactive calls went to the other region, 60 ms away."""
    engines = create_engines(30)
    found = list_interactive(engines)
    for region in TOPOLOGY.regions:
        in_region = [e for e in engines if e.domain in region.domains]
        count = sum(engine.name in found for engine in in_region)
        case.assertEqual(4, count)
    case.assertEqual(found, list_interactive(engines[::-1]))


def test_few_engines_are_not_partitioned(case: support.Case) -> None:
    """Half of a few engines stood idle."""
    case.assertEqual(frozenset(), list_interactive(create_engines(5)))


def test_lost_engine_moves_few_others(case: support.Case) -> None:
    """Caches were lost as engines changed parts."""
    engines = create_engines(32)
    before = list_interactive(engines)
    after = list_interactive(engines[:-1])
    case.assertLessEqual(len(before ^ after), 2)


def test_long_prompts_leave_interactive_engines(case: support.Case) -> None:
    """Streams paused while their engine prefilled a long prompt."""
    engines = create_engines(8)
    names = [engine.name for engine in engines]
    partition = engine_partitions.Partition(frozenset(names[:2]), False)
    filtered = partition.filter_engines(engines)
    case.assertEqual(names[2:], [engine.name for engine in filtered])
    case.assertEqual(engines[:2], partition.filter_engines(engines[:2]))
    case.assertEqual(0.0, partition.compute_cost(names[5]))


def test_interactive_calls_overflow_at_a_cost(case: support.Case) -> None:
    """Interactive calls waited for slots while other engines had some."""
    engines = create_engines(8)
    partition = engine_partitions.Partition(frozenset([engines[0].name]))
    case.assertEqual(engines, partition.filter_engines(engines))
    case.assertEqual(0.0, partition.compute_cost(engines[0].name))
    case.assertEqual(
        engine_partitions.OVERFLOW_COST_SECONDS,
        partition.compute_cost(engines[1].name),
    )


def load_tests(*_: object) -> object:
    """Return the test functions as unittest cases."""
    return support.load_functions(globals())
