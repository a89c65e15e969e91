"""Brittle targets do not fall over because hosts send them too many calls.

A target falls over if it rejects more than some calls a second for want of
room; it is back after a while.
"""

import asyncio
import random

import attrs
from returns import result

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from tests import call_fakes
from tests import clocks
from tests import fleets
from tests import support

STABLE_SECONDS = 4.0
"""Time after the first statement from which a target lets fewer calls wait."""
SLOTS = 6
RUN_SECONDS = 0.1
DOWN_SECONDS = 3.0
MIN_SHARE = 1 / 4
"""Least part of the targets' capacity that is used, though they let hardly any
call wait."""
ALLOWED_FALLS = 2
ALLOWED_SHARE = 0.1
"""Falls that are allowed in all: that many, and a share of the targets."""


@attrs.define
class BrittleTarget:
    """Target with `SLOTS` slots that lets some further calls wait."""

    max_rejections: float | None = None
    max_waiting: int = 12
    calls: int = 0
    served: int = 0
    falls: int = 0
    down_until: float = 0.0
    rejected_at: list[float] = attrs.field(factory=list)
    slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(SLOTS)
    )

    async def run(self, now: float) -> bool | None:
        """Run a call; return False if it is rejected, None if down."""
        if now < self.down_until:
            return None
        if self.calls >= SLOTS + self.max_waiting:
            self._reject(now)
            return False
        self.calls += 1
        try:
            async with self.slots:
                await asyncio.sleep(RUN_SECONDS)
        finally:
            self.calls -= 1
        self.served += 1
        return True

    def _reject(self, now: float) -> None:
        self.rejected_at = [at for at in self.rejected_at if now - at < 1.0]
        self.rejected_at.append(now)
        if (
            self.max_rejections is not None
            and len(self.rejected_at) > self.max_rejections
        ):
            self.falls += 1
            self.down_until = now + DOWN_SECONDS
            self.rejected_at.clear()


class HostConnections(call_fakes.ScriptedTargets):
    """Connections of one host to the shared targets."""

    def __init__(self, targets: dict[str, BrittleTarget]) -> None:
        super().__init__()
        self._targets = targets

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Run a call at a target."""
        target = self._targets[address]
        call.begin_sending()
        sent_at = asyncio.get_running_loop().time()
        is_run = await target.run(sent_at)
        if is_run is None:
            failure = call_fakes.create_failure(call_fakes.Kind.NOT_SENT)
            return result.Failure(failure)
        response = call_fakes.respond(
            200 if is_run else 503,
            is_not_run=not is_run,
            max_rejections=target.max_rejections,
        )
        call_fakes.report_response(
            self.listeners, address, call, sent_at, response.head
        )
        return result.Success(response)


class Fleet:
    """Hosts with calls to the same targets."""

    def __init__(self, hosts: int, domains: int, targets: int) -> None:
        self.random = random.Random(1)
        self.network = fleets.Network()
        entries = [
            call_fakes.create_target(number, slots=SLOTS, domain='d0')
            for number in range(targets)
        ]
        self.targets = {entry.address: BrittleTarget() for entry in entries}
        domain_names = [f'd{number}' for number in range(domains)]
        peers = fleets.create_peers(hosts, domain_names)
        self.hosts = []
        for peer in peers:
            fixture = call_fakes.RouterFixture(
                entries, HostConnections(self.targets), peer.domain
            )
            fixture.router.brittleness._random = self.random
            host = fleets.Host(peer, self.network, fixture)
            host.peers.members.add_discovered(peers)
            host.peers._has_host_list = True
            host.start_updates()
            host.router.runtime.start(host.run(float('inf')))
            self.hosts.append(host)
        self.served = 0
        self.sent = 0

    async def call(self, seconds: float, calls_per_second: float) -> None:
        """Send calls to random hosts for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        running: list[asyncio.Future[None]] = []
        while loop.time() < end:
            running.append(asyncio.ensure_future(self._call()))
            await asyncio.sleep(self.random.expovariate(calls_per_second))
        await asyncio.gather(*running)

    async def _call(self) -> None:
        host = self.random.choice(self.hosts)
        call = host.fixture.create_call('/safe/')
        self.sent += 1
        await routers.run_filters(call, host.router)
        self.served += call.is_served and call.status == 200

    def set_brittle(self, max_rejections: float | None) -> None:
        """Let all targets state that they are brittle, or no longer."""
        for target in self.targets.values():
            target.max_rejections = max_rejections

    def count_falls(self) -> int:
        """Return how often a target has fallen over."""
        return sum(target.falls for target in self.targets.values())


def check_overload(
    case: support.Case,
    hosts: int,
    domains: int,
    targets: int,
    max_rejections: float,
    load: float,
) -> None:
    """Check the falls, and the served share of what the targets can serve."""

    async def run() -> None:
        fleet = Fleet(hosts, domains, targets)
        capacity = targets * SLOTS / RUN_SECONDS
        await fleet.call(3.0, 0.3 * capacity)
        fleet.set_brittle(max_rejections)
        await fleet.call(STABLE_SECONDS, 0.6 * capacity)
        for target in fleet.targets.values():
            target.max_waiting = 1
        fleet.served = 0
        for _ in range(4):
            await fleet.call(3.0, load * capacity)
            await fleet.call(1.0, 0.4 * capacity)
        allowed = ALLOWED_FALLS + ALLOWED_SHARE * targets
        figures = (
            f'{fleet.count_falls()} falls of {allowed}, served'
            f' {fleet.served / (16.0 * capacity):.2f} of the capacity'
        )
        case.assertLessEqual(fleet.count_falls(), allowed, figures)
        case.assertGreaterEqual(
            fleet.served, MIN_SHARE * 16.0 * capacity, figures
        )

    clocks.run(run())


def test_brittle_targets_bear_an_overload(case: support.Case) -> None:
    """Bursts of more calls than all targets can serve, at nine hosts."""
    for max_rejections in (2.0, 5.0, 20.0):
        for load in (0.6, 1.0, 1.6):
            check_overload(case, 9, 3, 3, max_rejections, load)


def test_brittle_targets_bear_an_overload_by_a_large_fleet(
    case: support.Case,
) -> None:
    """Sixty-three hosts learn later of a rejection."""
    for max_rejections in (2.0, 5.0):
        for load in (0.6, 1.6):
            check_overload(case, 63, 6, 6, max_rejections, load)


def test_targets_that_are_no_longer_brittle_get_all_calls(
    case: support.Case,
) -> None:
    """Responses without the statement end it."""

    async def run() -> None:
        fleet = Fleet(3, 1, 2)
        fleet.set_brittle(2.0)
        await fleet.call(3.0, 20.0)
        fleet.set_brittle(None)
        await fleet.call(3.0, 20.0)
        for host in fleet.hosts:
            case.assertEqual({}, host.router.brittleness._services)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
