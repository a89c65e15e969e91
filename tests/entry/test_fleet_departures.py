"""No host places calls on a target long after the store shows it leave.

The time runs from the write of the target's entry. All hosts count, also those
that the store refuses, that are slow and that have just started.
"""

import asyncio
from collections import abc

import attrs

from pistachioseam.forwarding import notices
from pistachioseam_entry import target_connections
from tests import clocks
from tests import support
from tests import watching_fleets

MAX_PLACEMENT_SECONDS = (
    notices.DEFAULT_DRAIN_SECONDS - target_connections.CONNECT_TIMEOUT_SECONDS
)
"""Time after which no call may be placed, so that it reaches the target before
the end of the drain time however long the connect takes."""
WATCHED_SECONDS = 7.0
PHASES = 4
"""Draws of the time between a leader's read and a target's departure."""

Fault = abc.Callable[[watching_fleets.WatchingFleet], None]


def drain(fleet: watching_fleets.WatchingFleet) -> str:
    """Write that a target is draining; return its name."""
    fleet.store.write(attrs.evolve(fleet.targets[0], is_ready=False))
    return fleet.targets[0].name


def remove(fleet: watching_fleets.WatchingFleet) -> str:
    """Remove the entry of a target; return its name."""
    fleet.store.remove(fleet.targets[0].name)
    return fleet.targets[0].name


def check_departure(
    case: support.Case,
    hosts: int,
    domains: int,
    inject: Fault,
    depart: abc.Callable[[watching_fleets.WatchingFleet], str] = drain,
    phases: int = PHASES,
    delay_seconds: float = 0.05,
) -> None:
    """Check how long hosts place calls on a target after its departure.

    The fault begins `delay_seconds` before.
    """

    async def run(seed: int) -> None:
        fleet = watching_fleets.WatchingFleet(hosts, domains, seed)
        await fleet.settle()
        for number in range(hosts):
            case.assertTrue(
                fleet.hosts[number].may_send_to(fleet.targets[0].name)
            )
        inject(fleet)
        await asyncio.sleep(delay_seconds)
        target = depart(fleet)
        last = await fleet.measure(target, WATCHED_SECONDS)
        late = {
            name: round(seconds, 2)
            for name, seconds in last.items()
            if seconds > MAX_PLACEMENT_SECONDS
        }
        case.assertEqual({}, late, f'seed {seed}')

    for seed in range(phases):
        clocks.run(run(seed))


def refuse_leaders(fleet: watching_fleets.WatchingFleet) -> None:
    """Let the store refuse the hosts that read it for the others."""
    fleet.store.refused = {fleet.find_region_leader(n) for n in (0, 1)}


def refuse_third(fleet: watching_fleets.WatchingFleet) -> None:
    """Let the store refuse a third of the hosts, the leaders among them."""
    names = [peer.name for peer in fleet.peers]
    fleet.store.refused = set(fleet.random.sample(names, len(names) // 3))
    fleet.store.refused |= {fleet.find_region_leader(n) for n in (0, 1)}


def slow_leaders(fleet: watching_fleets.WatchingFleet) -> None:
    """Slow down the leaders' calls to the store and answers to peers."""
    for number in (0, 1):
        name = fleet.find_region_leader(number)
        fleet.store.delays[name] = 0.7
        fleet.network.delays[name] = 0.2


def restart_hosts(fleet: watching_fleets.WatchingFleet) -> None:
    """Refuse the leaders, and restart a quarter of the others."""
    refuse_leaders(fleet)
    for number, peer in enumerate(fleet.peers):
        if peer.name not in fleet.store.refused and number % 4 == 0:
            fleet.start(fleet.restart(number))


def test_refused_leader_hides_no_departure_in_a_small_fleet(
    case: support.Case,
) -> None:
    """Followers took a confirmation for good until it was 3 s old."""
    check_departure(case, 9, 3, refuse_leaders)


def test_refused_leader_hides_no_departure_in_a_large_fleet(
    case: support.Case,
) -> None:
    """The same with leaders in six domains that relay statuses."""
    check_departure(case, 63, 6, refuse_leaders, phases=2)


def test_refused_hosts_learn_of_departures(case: support.Case) -> None:
    """Hosts without the store know only what peers tell them."""
    check_departure(case, 9, 3, refuse_third)
    check_departure(case, 63, 6, refuse_third, phases=2)


def test_removed_target_is_not_kept_when_a_leader_is_refused(
    case: support.Case,
) -> None:
    """Followers took the gap for an outage, after which entries return."""
    check_departure(case, 9, 3, refuse_third, remove)
    check_departure(case, 63, 6, refuse_third, remove, phases=2)


def test_departure_during_a_refusal_is_not_hidden(
    case: support.Case,
) -> None:
    """The target leaves when the confirmations are already old."""
    check_departure(case, 9, 3, refuse_third, delay_seconds=1.3)
    check_departure(case, 9, 3, refuse_third, remove, delay_seconds=2.6)


def test_slow_leader_hides_no_departure(case: support.Case) -> None:
    """Its confirmations are old when they arrive."""
    check_departure(case, 9, 3, slow_leaders)
    check_departure(case, 63, 6, slow_leaders, phases=2)


def test_restarted_hosts_learn_of_departures(case: support.Case) -> None:
    """They follow a leader that the store refuses."""
    check_departure(case, 9, 3, restart_hosts)
    check_departure(case, 63, 6, restart_hosts, phases=2)


def test_young_confirmations_cost_no_reads(case: support.Case) -> None:
    """They pass two hosts between the region's leader and the others."""

    async def run() -> None:
        fleet = watching_fleets.WatchingFleet(63, 6)
        await fleet.settle()
        before = fleet.store.reads
        await asyncio.sleep(20.0)
        # Two regions, a long poll and a poll of the entries each.
        case.assertLess(fleet.store.reads - before, 2 * 20.0 * 2.5)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
