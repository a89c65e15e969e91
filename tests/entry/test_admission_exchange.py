"""Hosts of a large fleet admit each other's calls to engines."""

import asyncio
import typing

import attrs

from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import coordination
from pistachioseam.forwarding import coordinator_clients
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes
from tests import clocks
from tests import fleets
from tests import support

DOMAINS = ('d1', 'd2')
TARGET = call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)
HOSTS = contacts.MIN_HOSTS_TO_RELAY


def create_question(key: int, **fields: typing.Any) -> coordination.Question:
    """Return a question for a small call that does not wait."""
    values: dict[str, typing.Any] = {
        'incarnation': TARGET.get_incarnation(),
        'key': key,
        'prefill_tokens': 40,
        'memory_tokens': 100,
        'priority': 1,
        'objective_seconds': 1.0,
        'objective_left_seconds': 1.0,
        'seconds_left': 5.0,
        'max_wait_seconds': 0.0,
    }
    return coordination.Question(**{**values, **fields})


class Fleet:
    """Hosts that have exchanged statuses, each of which knows the engine."""

    def __init__(self, hosts: int = HOSTS) -> None:
        self.network = fleets.Network()
        self.hosts = [
            fleets.Host(peer, self.network, call_fakes.RouterFixture([TARGET]))
            for peer in fleets.create_peers(hosts, DOMAINS)
        ]
        for host in self.hosts:
            for other in self.hosts:
                if other is not host:
                    host.peers.members.record_heartbeat(other.own)

    def find(self, name: str) -> fleets.Host:
        """Return a host by its name."""
        return next(h for h in self.hosts if h.own.name == name)

    def count_admitted(self, name: str) -> int:
        """Return the calls that a coordinator counts at the engine."""
        coordinator = self.find(name).peers.admissions.coordinator
        queue = coordinator._queues.get(TARGET.get_incarnation())
        return queue.count_admitted() if queue is not None else 0


async def admit(host: fleets.Host, key: int) -> coordinator_clients.Ticket:
    """Return the ticket of a call of a host, which has to be admitted."""
    assert host.router.coordinators is not None
    asked = await host.router.coordinators.ask(TARGET, create_question(key))
    assert asked is not None and asked.ticket is not None
    return asked.ticket


def test_hosts_agree_on_a_coordinator_of_its_domain(
    case: support.Case,
) -> None:
    """Hosts of another domain asked other coordinators."""

    async def run() -> None:
        fleet = Fleet()
        names = set()
        for key, host in enumerate(fleet.hosts):
            ticket = await admit(host, key)
            names.add(ticket.coordinator.name)
            assert host.router.coordinators is not None
            host.router.coordinators.report_ended(ticket)
            await asyncio.sleep(0.05)
        (name,) = names
        case.assertEqual(TARGET.domain, fleet.find(name).own.domain)
        case.assertEqual(0, fleet.count_admitted(name))

    clocks.run(run())


def test_progress_reaches_the_coordinator_soon(case: support.Case) -> None:
    """An engine's slot stayed taken long after the end of a call."""

    async def run() -> None:
        fleet = Fleet()
        tickets = [
            (h, await admit(h, k)) for k, h in enumerate(fleet.hosts[:8])
        ]
        name = tickets[0][1].coordinator.name
        case.assertEqual(8, fleet.count_admitted(name))
        messages = fleet.network.messages
        for host, ticket in tickets:
            coordinators = host.router.coordinators
            assert coordinators is not None
            coordinators.report_begun(ticket)
            coordinators.report_ended(ticket)
        await asyncio.sleep(0.05)
        case.assertEqual(0, fleet.count_admitted(name))
        case.assertLessEqual(fleet.network.messages - messages, 8)

    clocks.run(run())


def test_small_fleet_has_no_coordinators(case: support.Case) -> None:
    """Existing deployments got messages that they have no use for."""

    async def run() -> None:
        fleet = Fleet(HOSTS - 1)
        for host in fleet.hosts:
            assert host.router.coordinators is not None
            case.assertFalse(host.router.coordinators.is_enabled())
        fleet = Fleet(HOSTS)
        case.assertTrue(fleet.hosts[0].router.has_many_hosts())

    clocks.run(run())


def test_leaving_host_is_no_coordinator(case: support.Case) -> None:
    """A host that leaves took the queues of engines with it.

    It does not ask itself either.
    """

    async def run() -> None:
        fleet = Fleet()
        first = (await admit(fleet.hosts[0], 1)).coordinator
        leaving = fleet.find(first.name)
        left = attrs.evolve(leaving.own, is_leaving=True)
        leaving.peers.members.own = left
        for host in fleet.hosts:
            if host is not leaving:
                host.peers.members.record_heartbeat(left)
        second = (await admit(fleet.hosts[0], 2)).coordinator
        case.assertNotEqual(first.name, second.name)
        third = (await admit(leaving, 3)).coordinator
        case.assertEqual(second.name, third.name)

    clocks.run(run())


def test_engine_that_ended_is_unknown(case: support.Case) -> None:
    """A call was admitted to an incarnation that had ended."""

    async def run() -> None:
        fleet = Fleet()
        name = (await admit(fleet.hosts[0], 1)).coordinator.name
        coordinator = fleet.find(name)
        coordinator.fixture.restart_target(0)
        case.assertEqual(0, fleet.count_admitted(name))
        answer = await coordinator.peers.admissions.coordinator.admit(
            create_question(2)
        )
        case.assertEqual(coordination.UNKNOWN_ENGINE, answer)

    clocks.run(run())


def test_end_of_an_incarnation_ends_its_view(case: support.Case) -> None:
    """A restarted engine was avoided for the queue of the one before."""

    async def run() -> None:
        host = Fleet().hosts[0]
        coordinators = host.router.coordinators
        assert coordinators is not None
        await coordinators.ask(
            TARGET, create_question(1, prefill_tokens=9_000)
        )
        now = host.router.runtime.now()
        case.assertIsNotNone(
            coordinators.get_backlog_seconds(TARGET.name, now)
        )
        host.fixture.restart_target(0)
        case.assertIsNone(coordinators.get_backlog_seconds(TARGET.name, now))

    clocks.run(run())


async def ask_older_build(fleet: Fleet) -> None:
    """Send a question of the first host to the second, of an older build."""
    asking, older = fleet.hosts[:2]
    older.peers._handle_message(asking.peers._create_handshake())
    sent: list[messages_pb2.Message] = []

    async def exchange(
        address: str, message: messages_pb2.Message, seconds: float
    ) -> messages_pb2.Message | None:
        sent.append(message)
        return None

    asking.peers.admissions._exchange = exchange
    await asking.peers.admissions.ask(older.own, create_question(1), 0.1)
    (message,) = sent
    message.host_status.ClearField('admission_question')
    await older.peers._handle_request(message)


def test_older_build_keeps_the_asking_hosts_version(
    case: support.Case,
) -> None:
    """A host without admission took the asking one for a still older one."""

    async def run() -> None:
        fleet = Fleet()
        asking, older = fleet.hosts[:2]
        await ask_older_build(fleet)
        case.assertEqual(
            asking.peers._get_version(),
            older.peers._versions[asking.own.name],
        )

    clocks.run(run())


def test_older_build_keeps_the_asking_hosts_loads(case: support.Case) -> None:
    """A host without admission took a question for an empty status."""

    async def run() -> None:
        fleet = Fleet()
        asking, older = fleet.hosts[:2]
        asking.router.loads.start_call(
            TARGET.name, 500, 400, now=asking.router.runtime.now()
        )
        await ask_older_build(fleet)
        load = older.router.loads.get(TARGET.name, older.router.runtime.now())
        case.assertEqual(1, load.runs)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Return the test functions as unittest cases."""
    return support.load_functions(globals())
