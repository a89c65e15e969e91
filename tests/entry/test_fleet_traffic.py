"""Statuses of a busy large fleet leave room on the hosts' links."""

import asyncio
import collections
from collections import abc
import random

from pistachioseam.forwarding import loads
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from tests import clocks
from tests import fleets
from tests import support

DOMAINS = tuple(f'd{number}' for number in range(6))
MAX_BYTES_PER_SECOND = 15_000
"""What a host may send to its peers, by the size in docs/CAPACITY.md."""
SETTLE_SECONDS = 6.0
AWARE_SECONDS = 1.0
"""Time in which all hosts know what one host has seen."""
MEASURED_SECONDS = 5.0
CALL_SECONDS = 0.5
CALLS_IN_FLIGHT = 3
CACHE_TOKENS = 60_000


def get_engine(number: int) -> str:
    """Return the name of an engine."""
    return f'i-{number:010x}'


async def send_calls(
    host: fleets.Host, engines: int, chance: random.Random
) -> None:
    """Play calls of a host, each with a prompt of three parts."""
    in_flight: collections.deque[loads.InFlightWork] = collections.deque()
    router = host.router
    while True:
        await asyncio.sleep(CALL_SECONDS)
        now = router.runtime.now()
        engine = get_engine(chance.randrange(engines))
        in_flight.append(router.loads.start_call(engine, 9190, 2890, now=now))
        if len(in_flight) > CALLS_IN_FLIGHT:
            router.loads.finish(in_flight.popleft())
        names = [chance.randrange(size) for size in (8, 400, 1 << 32)]
        parts = tuple(
            prompts.Part(f'{name:08x}', 1000 + number)
            for number, name in enumerate(names)
        )
        update = residency.CacheUpdate(engine, 'tenant', parts)
        router.cache_models.record_use(update, CACHE_TOKENS, now)


async def measure(
    host_count: int, engines: int, loading: int
) -> list[collections.Counter[str]]:
    """Return the bytes that each host sends a second, by kind."""
    network = fleets.Network()
    peers = fleets.create_peers(host_count, DOMAINS)
    hosts = [fleets.Host(peer, network) for peer in peers]
    for host in hosts:
        host.peers.members.add_discovered(peers)
    chance = random.Random(1)
    tasks = [
        asyncio.ensure_future(send_calls(host, engines, chance))
        for host in hosts
    ]
    await asyncio.gather(*(host.run(SETTLE_SECONDS) for host in hosts))
    hosts[0].rollout.loading.update(
        (get_engine(number), 1_000) for number in range(loading)
    )
    for host in hosts:
        host.peers.take_bytes_by_kind()
    network.bytes_by_sender.clear()
    await asyncio.gather(*(host.run(MEASURED_SECONDS) for host in hosts))
    for task in tasks:
        task.cancel()
    sizes = []
    for host in hosts:
        by_kind = host.peers.take_bytes_by_kind()
        sent = network.bytes_by_sender[host.own.name]
        by_kind['senders'] = sent - by_kind.total()
        sizes.append(
            collections.Counter(
                {
                    kind: int(size / MEASURED_SECONDS)
                    for kind, size in by_kind.items()
                }
            )
        )
    return sizes


def check_traffic(
    case: support.Case, host_count: int, engines: int, loading: int
) -> None:
    """Check what the host that sends the most sends."""

    async def run() -> None:
        sizes = await measure(host_count, engines, loading)
        most = max(sizes, key=collections.Counter.total)
        case.assertLess(most.total(), MAX_BYTES_PER_SECOND, most.most_common())

    clocks.run(run())


def test_busy_fleet_of_36_hosts_leaves_its_links_free(
    case: support.Case,
) -> None:
    """Orders of leaders waited behind their statuses."""
    check_traffic(case, 36, 30, 0)


def test_busy_fleet_of_63_hosts_leaves_its_links_free(
    case: support.Case,
) -> None:
    """Orders of leaders waited behind their statuses."""
    check_traffic(case, 63, 70, 23)


def test_busy_fleet_of_91_hosts_leaves_its_links_free(
    case: support.Case,
) -> None:
    """Orders of leaders waited behind their statuses."""
    check_traffic(case, 91, 30, 10)


def list_unaware(hosts: abc.Iterable[fleets.Host], loading: int) -> list[str]:
    """Return the hosts that do not count all loading engines as such."""
    return [
        host.own.name
        for host in hosts
        if not all(
            host.router.weights.is_loading_incarnation((get_engine(n), 1_000))
            for n in range(loading)
        )
    ]


def test_loading_engines_are_known_while_leaders_are_busy(
    case: support.Case,
) -> None:
    """Engines got calls while they loaded, as their reports came late."""

    async def run() -> None:
        network = fleets.Network()
        peers = fleets.create_peers(63, DOMAINS)
        hosts = [fleets.Host(peer, network) for peer in peers]
        chance = random.Random(1)
        for host in hosts:
            host.peers.members.add_discovered(peers)
            host.start_updates()
        tasks = [
            asyncio.ensure_future(send_calls(host, 70, chance))
            for host in hosts
        ]
        await asyncio.gather(*(host.run(SETTLE_SECONDS) for host in hosts))
        hosts[0].rollout.loading.update(
            (get_engine(number), 1_000) for number in range(23)
        )
        running = asyncio.gather(*(host.run(SETTLE_SECONDS) for host in hosts))
        await asyncio.sleep(AWARE_SECONDS)
        for _ in range(40):
            await asyncio.sleep(0.1)
            case.assertEqual([], list_unaware(hosts[1:], 23))
        await running
        for task in tasks:
            task.cancel()

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
