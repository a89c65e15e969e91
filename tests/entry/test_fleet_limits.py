"""All hosts together keep to the limit that a target states, and use it."""

import asyncio
import random

import attrs
from returns import result

from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from pistachioseam import membership
from tests import call_fakes
from tests import clocks
from tests import fleets
from tests import support

STABLE_SECONDS = 4.0
"""Time after a target first stated a limit from which it must be kept."""
WINDOW_SECONDS = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
"""In any window a target may get `ALLOWED_RATIO` times what its limit allows,
and `ALLOWED_EXTRA` requests more."""
RESPONSE_SECONDS = 0.05
SETTLE_SECONDS = 6.0
MEASURED_SECONDS = 20.0
MIN_USE = 0.85
"""Least part of a limit that is used under enough demand."""


@attrs.define
class LimitedTargets:
    """Targets that all hosts share; `limits` holds their limits by address.

    `arrivals` holds the time, host and address of each request.
    """

    limits: dict[str, float] = attrs.field(factory=dict)
    arrivals: list[tuple[float, str, str]] = attrs.field(factory=list)

    def count_most(self, address: str, start: float, end: float) -> int:
        """Return the most arrivals at a target in any window."""
        times = self.list_times(address, start, end)
        return max(
            (
                sum(at <= other < at + WINDOW_SECONDS for other in times)
                for at in times
            ),
            default=0,
        )

    def list_times(
        self, address: str, start: float, end: float
    ) -> list[float]:
        """Return the times of arrivals at a target."""
        return [
            at
            for at, _, sent_to in self.arrivals
            if sent_to == address and start <= at < end
        ]


class HostConnections(call_fakes.ScriptedTargets):
    """Connections of one host to the shared targets."""

    def __init__(self, host: str, targets: LimitedTargets) -> None:
        super().__init__()
        self._host = host
        self._targets = targets

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Respond with the limit of the target, if it has one."""
        loop = asyncio.get_running_loop()
        self._targets.arrivals.append((loop.time(), self._host, address))
        sent_at = loop.time()
        await asyncio.sleep(RESPONSE_SECONDS)
        rate = self._targets.limits.get(address)
        response = call_fakes.respond(max_request_rate=rate)
        call_fakes.report_response(
            self.listeners, address, call, sent_at, response.head
        )
        return result.Success(response)


class Fleet:
    """Hosts with traffic to the same targets."""

    def __init__(self, hosts: int, domains: int, targets: int) -> None:
        self.random = random.Random(1)
        self.network = fleets.Network()
        self.targets = LimitedTargets()
        self.domains = [f'd{number}' for number in range(domains)]
        self.entries = [
            call_fakes.create_target(number, domain=self.domains[0])
            for number in range(targets)
        ]
        self.peers = fleets.create_peers(hosts, self.domains)
        self.hosts = [self._start_host(peer) for peer in self.peers]
        self.refused = 0

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of the targets."""
        return [entry.address for entry in self.entries]

    def _start_host(self, peer: membership.Peer) -> fleets.Host:
        connections = HostConnections(peer.name, self.targets)
        fixture = call_fakes.RouterFixture(
            self.entries, connections, peer.domain
        )
        host = fleets.Host(peer, self.network, fixture)
        host.peers.members.add_discovered(self.peers)
        host.peers._has_host_list = True
        return host

    async def restart(self, number: int, seconds: float) -> None:
        """Stop a host; start its next incarnation after a while."""
        self.hosts[number].stop()
        await asyncio.sleep(seconds)
        name, _, count = self.peers[number].incarnation.partition(':')
        self.peers[number] = attrs.evolve(
            self.peers[number], incarnation=f'{name}:{int(count) + 1}'
        )
        self.hosts[number] = self._start_host(self.peers[number])

    async def run(self, seconds: float, calls_per_second: float) -> None:
        """Exchange statuses and serve calls, spread unevenly over hosts."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running = {
            number: asyncio.ensure_future(host.run(seconds))
            for number, host in enumerate(self.hosts)
        }
        started = dict(enumerate(self.hosts))
        calls: list[asyncio.Future[None]] = []
        while loop.time() < end:
            for number, host in enumerate(self.hosts):
                if started[number] is not host:
                    started[number] = host
                    running[number] = asyncio.ensure_future(
                        host.run(end - loop.time())
                    )
            if calls_per_second:
                calls.append(asyncio.ensure_future(self._call()))
            await asyncio.sleep(
                self.random.expovariate(calls_per_second)
                if calls_per_second
                else 0.1
            )
        await asyncio.gather(*calls, *running.values())

    async def _call(self) -> None:
        weight = self.random.random() ** 2
        host = self.hosts[int(weight * len(self.hosts))]
        if not host.is_up():
            return
        call = host.fixture.create_call('/safe/')
        await routers.run_filters(call, host.router)
        self.refused += call.refusal is not None

    def find_issuer(self) -> membership.Peer:
        """Return the host that grants permits, as its domain's leader sees."""
        host = self.hosts[0]
        view = host.peers._get_view()
        return contacts.find_permit_issuer(view, host.router.rendezvous_hash)

    def count_aware(self, target: int) -> int:
        """Return the number of hosts that know a limit of a target."""
        incarnation = self.entries[target].get_incarnation()
        return sum(
            host.router.rate_limits.get(incarnation) is not None
            for host in self.hosts
        )

    def check_limits(
        self, case: support.Case, rate: float, start: float, end: float
    ) -> None:
        """Check that no target got more than its limit allows."""
        allowed = ALLOWED_RATIO * rate * WINDOW_SECONDS + ALLOWED_EXTRA
        for address in self.targets.limits:
            most = self.targets.count_most(address, start, end)
            case.assertLessEqual(most, allowed, address)


def test_targets_get_no_more_than_their_limit(case: support.Case) -> None:
    """Each of nine hosts sent as many requests as without a limit."""

    async def run() -> None:
        fleet = Fleet(hosts=9, domains=3, targets=4)
        await fleet.run(SETTLE_SECONDS, 0.0)
        loop = asyncio.get_running_loop()
        for address in fleet.addresses[:2]:
            fleet.targets.limits[address] = 1.5
        named_at = loop.time()
        await fleet.run(20.0, 50.0)
        fleet.check_limits(case, 1.5, named_at + STABLE_SECONDS, loop.time())
        case.assertEqual(0, fleet.refused)

    clocks.run(run())


def test_single_host_keeps_the_limit(case: support.Case) -> None:
    """It has no peers to ask."""

    async def run() -> None:
        fleet = Fleet(hosts=1, domains=1, targets=2)
        fleet.targets.limits[fleet.addresses[0]] = 1.5
        loop = asyncio.get_running_loop()
        named_at = loop.time()
        await fleet.run(12.0, 20.0)
        fleet.check_limits(case, 1.5, named_at + STABLE_SECONDS, loop.time())
        case.assertEqual(0, fleet.refused)

    clocks.run(run())


def check_full_fleet(
    case: support.Case, hosts: int, domains: int, rate: float
) -> None:
    """Check that a fleet uses the limits of all targets, and keeps them."""

    async def run() -> None:
        fleet = Fleet(hosts=hosts, domains=domains, targets=3)
        await fleet.run(SETTLE_SECONDS, 0.0)
        for address in fleet.addresses:
            fleet.targets.limits[address] = rate
        loop = asyncio.get_running_loop()
        start = loop.time() + STABLE_SECONDS
        await fleet.run(STABLE_SECONDS + MEASURED_SECONDS, 60.0)
        fleet.check_limits(case, rate, start, loop.time())
        for address in fleet.addresses:
            used = len(fleet.targets.list_times(address, start, loop.time()))
            case.assertGreater(used, MIN_USE * rate * MEASURED_SECONDS)

    clocks.run(run())


def test_small_fleet_uses_all_that_limits_allow(case: support.Case) -> None:
    """Demand is uneven, and a host's share is less than one request."""
    check_full_fleet(case, 9, 3, 1.5)


def test_large_fleet_uses_all_that_limits_allow(case: support.Case) -> None:
    """Sixty-three hosts in six domains ask through the domains' leaders."""
    check_full_fleet(case, 63, 6, 1.5)


def test_large_fleet_uses_all_that_higher_limits_allow(
    case: support.Case,
) -> None:
    """A target takes several requests a second."""
    check_full_fleet(case, 63, 6, 8.0)


def test_limit_is_kept_while_hosts_are_cut_off_and_restart(
    case: support.Case,
) -> None:
    """The count includes the hosts that are cut off or have restarted."""

    async def run() -> None:
        fleet = Fleet(hosts=63, domains=6, targets=3)
        await fleet.run(SETTLE_SECONDS, 0.0)
        for address in fleet.addresses:
            fleet.targets.limits[address] = 1.5
        loop = asyncio.get_running_loop()
        start = loop.time() + STABLE_SECONDS
        running = asyncio.ensure_future(fleet.run(44.0, 60.0))
        await asyncio.sleep(8.0)
        fleet.network.cut_domains = {fleet.domains[2]}
        await asyncio.sleep(6.0)
        for number in (0, 9, 18, 27, 36):
            await fleet.restart(number, 0.5)
        await asyncio.sleep(6.0)
        fleet.network.cut_domains = set()
        issuer = fleet.find_issuer()
        await fleet.restart(fleet.peers.index(issuer), 1.0)
        await running
        fleet.check_limits(case, 1.5, start, loop.time())

    clocks.run(run())


def test_limit_that_is_taken_back_is_soon_unknown_to_all(
    case: support.Case,
) -> None:
    """Few of the hosts get a response that shows it."""

    async def run() -> None:
        fleet = Fleet(hosts=63, domains=6, targets=2)
        address = fleet.addresses[0]
        fleet.targets.limits[address] = 1.5
        await fleet.run(SETTLE_SECONDS, 40.0)
        case.assertEqual(63, fleet.count_aware(0))
        fleet.targets.limits.clear()
        await fleet.run(SETTLE_SECONDS, 40.0)
        case.assertEqual(0, fleet.count_aware(0))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
