"""Targets get no more time than is left once a call is on its way."""

import asyncio
import typing

import attrs
from returns import result

from pistachioseam.forwarding import paths
from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from pistachioseam_entry import relay_client
from pistachioseam_entry import routed_connections
from pistachioseam_entry import runtime
from pistachioseam_entry import target_connections
from tests import call_fakes
from tests import clocks
from tests.entry import test_relay_messages
from tests import partitioned_hosts
from tests import support

ADDRESS = '10.0.0.1:80'
CONNECT_SECONDS = 0.9
"""Time in which a target accepts a connection over a full link."""
CALL = test_relay_messages.CALL


class SlowPool(partitioned_hosts.Pool):
    """Pool whose targets accept connections late; keeps the sent calls."""

    def __init__(self) -> None:
        super().__init__('host-1')
        self.sent: list[ports.OutgoingCall] = []

    async def connect(
        self, address: str, seconds: float = 1.0
    ) -> result.Result[partitioned_hosts.Connection, interfaces.CallFailure]:
        """Open a connection after a while."""
        await asyncio.sleep(min(seconds, CONNECT_SECONDS))
        return await super().connect(address, seconds)

    async def send_on(
        self, connection: partitioned_hosts.Connection, call: typing.Any
    ) -> ports.SendResult:
        """Record a call and send it."""
        self.sent.append(call)
        return await super().send_on(connection, call)


class Relay:
    """Relay client that keeps the calls and sends none."""

    def __init__(self) -> None:
        self.sent: list[ports.OutgoingCall] = []

    async def send(self, call: ports.OutgoingCall) -> ports.SendResult:
        """Record a call."""
        self.sent.append(call)
        return result.Failure(
            call_fakes.create_failure(interfaces.FailureKind.NOT_SENT)
        )


async def send(
    pool: SlowPool, relay: Relay, call: ports.OutgoingCall = CALL
) -> float:
    """Send a call to `ADDRESS`; return the seconds that it took."""
    sink = call_fakes.Sink()
    own_runtime = runtime.AsyncioRuntime(sink)
    target_paths = paths.TargetPaths(
        own_runtime,
        call_fakes.SeededRandom(),
        sink,
        lambda: [ADDRESS],
        pool.is_reachable,
    )
    connections = routed_connections.RoutedConnections(
        typing.cast(target_connections.ConnectionPool, pool),
        target_paths,
        typing.cast(relay_client.RelayClient, relay),
        own_runtime,
    )
    started_at = own_runtime.now()
    await connections.send(ADDRESS, call)
    return own_runtime.now() - started_at


def test_time_to_connect_is_taken_off_the_time_limit(
    case: support.Case,
) -> None:
    """The target would work for longer than the call may take."""

    async def run() -> None:
        pool = SlowPool()
        await send(pool, Relay())
        (sent,) = pool.sent
        case.assertLessEqual(
            sent.get_target_seconds(), CALL.seconds_left - CONNECT_SECONDS
        )

    clocks.run(run())


def test_grant_that_expired_during_the_connect_is_not_used(
    case: support.Case,
) -> None:
    """The call was sent 0.4 s after its grant out of a quota had expired."""

    async def run() -> None:
        pool = SlowPool()
        expires_at = asyncio.get_running_loop().time() + 0.5
        call = attrs.evolve(
            CALL,
            begin_sending=lambda: (
                asyncio.get_running_loop().time() < expires_at
            ),
        )
        await send(pool, Relay(), call)
        case.assertEqual([], pool.sent)

    clocks.run(run())


def test_time_to_find_the_path_lost_is_taken_off_the_time_limit(
    case: support.Case,
) -> None:
    """The relaying host would grant the time of the failed connect again."""

    async def run() -> None:
        pool = SlowPool()
        pool.set_mode('hang')
        relay = Relay()
        seconds = await send(pool, relay)
        (sent,) = relay.sent
        case.assertGreater(seconds, CONNECT_SECONDS)
        case.assertAlmostEqual(CALL.seconds_left - seconds, sent.seconds_left)

    clocks.run(run())


def test_call_cancelled_as_its_connection_opens_leaves_none(
    case: support.Case,
) -> None:
    """Guards against a connection that nobody knows and nobody closes."""

    class Pool(SlowPool):
        """Pool that cancels the call once its connection is open."""

        async def connect(
            self, address: str, seconds: float = 1.0
        ) -> result.Result[
            partitioned_hosts.Connection, interfaces.CallFailure
        ]:
            """Open a connection."""
            opened = await super().connect(address, seconds)
            connections.append(opened.unwrap())
            asyncio.get_running_loop().call_soon(calling.cancel)
            return opened

    connections: list[partitioned_hosts.Connection] = []

    calling: asyncio.Future[float]

    async def run() -> None:
        nonlocal calling
        calling = asyncio.ensure_future(send(Pool(), Relay()))
        await asyncio.wait((calling,))
        case.assertTrue(calling.cancelled())
        await asyncio.sleep(0.1)
        case.assertTrue(connections[0].broken.is_set())

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
