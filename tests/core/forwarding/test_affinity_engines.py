"""Prompts with a common part go to the same few engines of a large fleet."""

import collections
import random
import typing

import attrs

from pistachioseam.forwarding import affinity_engines
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import coordinator_clients
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import placement
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import prompts
from pistachioseam import links
from pistachioseam.placement import rendezvous
from tests import call_fakes
from tests import clocks
from tests.core.forwarding import test_engine_admission
from tests import support

DOMAINS = ('d1', 'd2', 'd3', 'd4')
REGIONS = (
    links.Region(name='r1', domains=('d1', 'd2')),
    links.Region(name='r2', domains=('d3', 'd4')),
)


def create_prompt(subject: str, own: str = 'own') -> prompts.Prompt:
    """Return a prompt with one shared part and its own."""
    return prompts.Prompt(
        model=call_fakes.MODEL,
        prompt_tokens=9_190,
        output_tokens=9,
        parts=(prompts.Part(subject, 6_300), prompts.Part(own, 2_890)),
    )


def create_engines(count: int) -> list[catalog.LiveTarget]:
    """Return engines, spread over the domains."""
    return [
        call_fakes.create_target(
            number,
            call_fakes.ENGINE_SERVICE,
            domain=DOMAINS[number % len(DOMAINS)],
        )
        for number in range(count)
    ]


def find(
    prompt: prompts.Prompt, targets: list[catalog.LiveTarget]
) -> affinity_engines.AffinityEngines:
    """Return the affinity engines as a host of a large fleet finds them."""
    return affinity_engines.find_affinity_engines(
        prompt, targets, rendezvous.RendezvousHash(), is_assumed=True
    )


class Host:
    """Host of a large fleet with a cache store in each domain."""

    def __init__(self, domain: str = 'd1', is_large: bool = True) -> None:
        coordinators = test_engine_admission.Coordinators(None)
        coordinators.is_large = is_large
        self.fixture = call_fakes.RouterFixture(
            create_engines(12), domain=domain
        )
        router = self.fixture.router
        router.coordinators = typing.cast(
            coordinator_clients.CoordinatorClient, coordinators
        )
        router.topology = links.Topology(domain=domain, regions=REGIONS)
        state = call_fakes.create_state(2)
        stores = [
            desired.Service(
                name=f'store-{store}',
                cache_store=desired.CacheStore(
                    address=f'{store}:80',
                    domain=store,
                    capacity_tokens=10_000_000,
                    bytes_per_second=4e10,
                ),
            )
            for store in DOMAINS
        ]
        self.fixture.set_state(
            attrs.evolve(state, services=(*state.services, *stores))
        )

    def place(self, prompt: prompts.Prompt) -> tuple[calls.Call, str]:
        """Return a call and the name of the engine chosen for it."""
        call = self.fixture.create_call('/stream/', prompt)
        state = self.fixture.router.desired.state
        assert state is not None
        call.service = state.find_service(call_fakes.ENGINE_SERVICE)
        choice = placement.place_call(call, self.fixture.router)
        assert choice is not None
        return call, choice.target.name


def test_hosts_agree_whatever_order_they_read(case: support.Case) -> None:
    """Each host kept a part at engines of its own choice."""
    targets = create_engines(30)
    shuffled = random.Random(1).sample(targets, len(targets))
    for number in range(20):
        prompt = create_prompt(f'part-{number}')
        ranked = find(prompt, targets)
        case.assertEqual(ranked, find(prompt, shuffled))
        case.assertEqual(
            ranked, find(create_prompt(f'part-{number}', 'b'), targets)
        )
        case.assertEqual({0, 1, 2}, set(ranked.ranks.values()))


def test_other_engines_do_not_move_parts(case: support.Case) -> None:
    """The restart of one engine moved all parts, which were recomputed."""
    targets = create_engines(30)
    ranked = find(create_prompt('part'), targets)
    others = [t for t in targets if t.name not in ranked.ranks]
    kept = [t for t in targets if t is not others[0]]
    case.assertEqual(ranked, find(create_prompt('part'), kept))
    ranked = sorted(ranked.ranks, key=lambda name: ranked.ranks[name])
    left = [t for t in targets if t.name != ranked[0]]
    moved = find(create_prompt('part'), left)
    case.assertEqual(0, moved.ranks[ranked[1]])
    case.assertEqual(1, moved.ranks[ranked[2]])


def test_parts_are_spread_over_the_engines(case: support.Case) -> None:
    """The busiest engine got twice the mean load."""
    targets = create_engines(30)
    counts: collections.Counter[str] = collections.Counter()
    for number in range(3_000):
        ranked = find(create_prompt(f'part-{number}'), targets)
        counts.update(name for name, rank in ranked.ranks.items() if not rank)
    case.assertEqual(30, len(counts))
    case.assertLess(max(counts.values()), 1.5 * 100)


def test_service_without_engines_has_none(case: support.Case) -> None:
    """Placement failed while a service had no engine."""
    ranked = find(create_prompt('part'), [])
    case.assertEqual({}, ranked.ranks)
    case.assertEqual('', ranked.domain)


def test_cost_grows_with_the_rank(case: support.Case) -> None:
    """Overflow went to all engines alike."""
    ranked = find(create_prompt('part'), create_engines(30))
    names = sorted(ranked.ranks, key=lambda name: ranked.ranks[name])
    costs = [ranked.compute_cost(name, 0.15) for name in (*names, 'other')]
    case.assertEqual(0.0, costs[0])
    case.assertEqual(sorted(set(costs)), costs)
    small = attrs.evolve(ranked, is_assumed=False)
    case.assertEqual(
        affinity_engines.RANK_COST_SECONDS, small.compute_cost(names[1], 0.15)
    )


def test_unknown_part_goes_to_its_first_engine(case: support.Case) -> None:
    """Hosts that had not heard of a part sent its prompts anywhere."""

    async def run() -> None:
        for number in range(8):
            prompt = create_prompt(f'part-{number}')
            ranked = find(prompt, create_engines(12))
            placed = {Host(domain).place(prompt)[1] for domain in ('d1', 'd2')}
            ranks = [ranked.ranks.get(name) for name in placed]
            case.assertEqual([0], ranks)

    clocks.run(run())


def test_overflow_goes_to_the_next_engines(case: support.Case) -> None:
    """Under load a part was prefilled at all engines."""

    async def run() -> None:
        host = Host()
        router = host.fixture.router
        prompt = create_prompt('part')
        ranked = find(prompt, create_engines(12))
        placed = []
        for _ in ranked.ranks:
            placed.append(host.place(prompt)[1])
            router.loads.start_call(placed[-1], 80_000, 80_000)
        case.assertEqual(0, ranked.ranks[placed[0]])
        case.assertEqual(set(ranked.ranks), set(placed))
        case.assertNotIn(host.place(prompt)[1], placed)

    clocks.run(run())


def test_region_uses_the_store_near_the_first_engine(
    case: support.Case,
) -> None:
    """Overflow fetched from a store that parts had not been saved to."""

    async def run() -> None:
        host = Host()
        prompt = create_prompt('part')
        call, _ = host.place(prompt)
        first = find(prompt, create_engines(12)).domain
        case.assertEqual(first, call.affinity_domain)
        topology = host.fixture.router.topology
        for target in create_engines(12):
            plan = plans.plan_run(call, host.fixture.router, target)
            near = topology.share_region(first, target.domain)
            domain = first if near else target.domain
            case.assertEqual(f'{domain}:80', plan.save_to)
            case.assertEqual(f'{domain}:80', plan.fetch_from)

    clocks.run(run())


def test_busy_engine_keeps_its_store(case: support.Case) -> None:
    """An engine that was busy for a moment moved the part to another store."""

    async def run() -> None:
        host = Host()
        router = host.fixture.router
        prompt = create_prompt('part')
        call, first = host.place(prompt)
        router.busy_until[first] = router.runtime.now() + 0.25
        other, second = host.place(prompt)
        case.assertNotEqual(first, second)
        case.assertEqual(call.affinity_domain, other.affinity_domain)

    clocks.run(run())


def test_small_fleet_assumes_no_store(case: support.Case) -> None:
    """Existing deployments used other stores than before."""

    async def run() -> None:
        host = Host(is_large=False)
        call, _ = host.place(create_prompt('part'))
        case.assertEqual('', call.affinity_domain)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Return the test functions as unittest cases."""
    return support.load_functions(globals())
