"""Hosts count the age of weights from when newer ones were named.

All hosts count, also those that learn late that a version was named.
"""

import asyncio
from collections import abc

from tests import call_fakes
from tests import clocks
from tests import support
from tests import watching_fleets

MODEL = call_fakes.MODEL
BOUND_SECONDS = 7.0
"""Time after which no host may take replaced weights for younger than that."""
ERROR_SECONDS = 0.9
"""Longest long poll of a host that reads the store, with its call."""
RESTART_SECONDS = 0.5
"""Time for which a host that restarts is down."""
PHASES = 4
"""Draws of the time between a leader's read and the naming of a version."""

Fault = abc.Callable[[watching_fleets.WatchingFleet], None]


def check_lags(
    case: support.Case,
    inject: Fault,
    hosts: int = 9,
    domains: int = 3,
    seconds: float = BOUND_SECONDS,
) -> None:
    """Check each host's lag, `seconds` after a version was named.

    The fault begins shortly before.
    """

    async def run(seed: int) -> None:
        fleet = watching_fleets.WatchingFleet(hosts, domains, seed)
        fleet.store.name_weights(MODEL, 1)
        await fleet.settle()
        inject(fleet)
        await asyncio.sleep(0.05 + fleet.random.random())
        fleet.store.name_weights(MODEL, 2)
        await asyncio.sleep(seconds)
        young = {
            host.own.name: round(lag_seconds, 2)
            for host in fleet.hosts
            if (lag_seconds := host.get_lag_seconds(MODEL, 1)) < seconds
        }
        case.assertEqual({}, young, f'seed {seed}')

    for seed in range(PHASES):
        clocks.run(run(seed))


def delay_leaders(fleet: watching_fleets.WatchingFleet) -> None:
    """Let the hosts that read the store answer others too late."""
    fleet.network.delays = {
        fleet.find_region_leader(number): 2.0 for number in (0, 1)
    }


def delay_store(fleet: watching_fleets.WatchingFleet) -> None:
    """Let the responses of the store take almost as long as hosts wait."""
    fleet.store.delays = {peer.name: 0.9 for peer in fleet.peers}


def silence_all(fleet: watching_fleets.WatchingFleet) -> None:
    """Let leaders and store answer late, and lose all statuses."""
    delay_leaders(fleet)
    delay_store(fleet)
    fleet.network.silenced = {peer.name for peer in fleet.peers}


def do_nothing(fleet: watching_fleets.WatchingFleet) -> None:
    """Leave the fleet undisturbed."""


def test_weights_are_not_taken_for_younger_than_they_are(
    case: support.Case,
) -> None:
    """Limits for calls on replaced weights counted from when it learned."""
    check_lags(case, do_nothing)


def test_weights_are_not_young_as_leaders_answer_late(
    case: support.Case,
) -> None:
    """Followers learn of newer weights when they read the store themselves."""
    check_lags(case, delay_leaders)


def test_weights_are_not_young_as_the_store_answers_late(
    case: support.Case,
) -> None:
    """All hosts learn of newer weights almost a second late."""
    check_lags(case, delay_store)


def test_weights_are_not_young_as_no_host_tells_their_age(
    case: support.Case,
) -> None:
    """Hosts that learn late get no greater age from their peers."""
    check_lags(case, silence_all)


def test_hosts_of_a_large_fleet_that_learn_late_know_the_age(
    case: support.Case,
) -> None:
    """They follow the leader of their domain, which follows another one."""
    check_lags(case, silence_all, hosts=36)


def check_errors(
    case: support.Case,
    seconds: float,
    is_reader_only: bool,
    inject: Fault = do_nothing,
) -> None:
    """Check how much too old hosts of a fleet take replaced weights."""

    async def run(seed: int) -> None:
        fleet = watching_fleets.WatchingFleet(9, 3, seed)
        fleet.store.name_weights(MODEL, 1)
        await fleet.settle()
        inject(fleet)
        await asyncio.sleep(0.05 + fleet.random.random())
        fleet.store.name_weights(MODEL, 2)
        await asyncio.sleep(seconds)
        readers = {fleet.find_region_leader(number) for number in (0, 1)}
        early = {
            host.own.name: round(lag_seconds - seconds, 2)
            for host in fleet.hosts
            if host.own.name in readers or not is_reader_only
            if (lag_seconds := host.get_lag_seconds(MODEL, 1))
            > seconds + ERROR_SECONDS
        }
        case.assertEqual({}, early, f'seed {seed}')

    for seed in range(PHASES):
        clocks.run(run(seed))


def test_readers_of_the_store_do_not_take_weights_for_much_older(
    case: support.Case,
) -> None:
    """They counted from the send of the long poll before the last one."""
    check_errors(case, 1.0, is_reader_only=True)


def test_followers_do_not_take_weights_for_much_older(
    case: support.Case,
) -> None:
    """They counted from when their leader had last confirmed their cache."""
    check_errors(case, BOUND_SECONDS, is_reader_only=False)


def test_weights_are_not_much_older_as_leaders_answer_late(
    case: support.Case,
) -> None:
    """Followers read the store themselves, and get the leaders' dates."""
    check_errors(
        case, BOUND_SECONDS, is_reader_only=False, inject=delay_leaders
    )


async def restart_some(
    fleet: watching_fleets.WatchingFleet, count: int, seconds: float
) -> None:
    """Restart hosts together, 1 s after a version is named.

    Return `seconds` after it was named.
    """
    fleet.store.name_weights(MODEL, 1)
    await fleet.settle()
    fleet.store.name_weights(MODEL, 2)
    await asyncio.sleep(1.0)
    await asyncio.gather(*(fleet.restart(n) for n in range(count)))
    await asyncio.sleep(seconds - 1.0 - RESTART_SECONDS)


def test_restarted_host_knows_the_age_from_its_peers(
    case: support.Case,
) -> None:
    """It counted from its first read."""

    async def run(seed: int) -> None:
        fleet = watching_fleets.WatchingFleet(9, 3, seed)
        await restart_some(fleet, 1, BOUND_SECONDS)
        host = fleet.hosts[0]
        lag_seconds = host.get_lag_seconds(MODEL, 1)
        case.assertTrue(host.router.desired.is_lag_known(MODEL, 1))
        case.assertLessEqual(BOUND_SECONDS, lag_seconds, f'seed {seed}')
        case.assertLessEqual(
            lag_seconds, BOUND_SECONDS + ERROR_SECONDS, f'seed {seed}'
        )

    for seed in range(PHASES):
        clocks.run(run(seed))


def test_restarted_fleet_takes_no_age_for_known(case: support.Case) -> None:
    """No host can tell the date; they count from their first read."""

    async def run(seed: int) -> None:
        fleet = watching_fleets.WatchingFleet(9, 3, seed)
        await restart_some(fleet, len(fleet.hosts), BOUND_SECONDS)
        down_seconds = 1.0 + RESTART_SECONDS
        for host in fleet.hosts:
            lag_seconds = host.get_lag_seconds(MODEL, 1)
            case.assertFalse(host.router.desired.is_lag_known(MODEL, 1))
            case.assertLessEqual(lag_seconds, BOUND_SECONDS - down_seconds)
            case.assertLessEqual(
                BOUND_SECONDS - down_seconds - ERROR_SECONDS, lag_seconds
            )

    for seed in range(PHASES):
        clocks.run(run(seed))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
