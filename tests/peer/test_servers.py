"""Streams of relayed calls are authenticated and end with their caller."""

import asyncio
from collections import abc
import contextlib
import typing

import grpclib
from grpclib import exceptions

from pistachioseam_entry import reactors
from pistachioseam_peer import clients
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers
from pistachioseam_standins import deployment
from tests import support

TEST_TIMEOUT_SECONDS = 10.0
DEATH_SECONDS = 0.1
SECRET = b'secret'
REJECTIONS = (grpclib.GRPCError, exceptions.StreamTerminatedError)


class Relay:
    """Handler that answers each message with one of its own."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.cancelled = asyncio.Event()

    async def serve(self, stream: servers.RelayStream) -> None:
        """Answer until the other host ends the stream."""
        try:
            while (message := await stream.receive()) is not None:
                self.received.append(message.relay_go.nonce)
                await stream.send(create_message(b'answer'))
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


def create_message(nonce: bytes) -> messages_pb2.Message:
    """Return a message with some content."""
    return messages_pb2.Message(relay_go=messages_pb2.RelayGo(nonce=nonce))


def run(
    work: abc.Callable[
        [Relay, str], abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Run a test beside a server on a free port."""

    async def serve() -> None:
        relay = Relay()

        async def respond(
            message: messages_pb2.Message,
        ) -> messages_pb2.Message:
            await asyncio.sleep(message.relay_go.waited_ms / 1000)
            return message

        server = servers.PeerServer(
            SECRET, respond, lambda _: None, lambda _: None, relay.serve
        )
        address = deployment.find_free_address()
        host, _, port = address.rpartition(':')
        await server.start(host, int(port))
        try:
            await work(relay, address)
        finally:
            server.close()

    loop = reactors.get_reactor()._asyncioEventloop
    loop.run_until_complete(asyncio.wait_for(serve(), TEST_TIMEOUT_SECONDS))


def test_messages_of_a_relayed_call_pass_both_ways(
    case: support.Case,
) -> None:
    """Several calls share the connection to a host."""

    async def work(relay: Relay, address: str) -> None:
        with clients.PeerClient(SECRET) as client:
            for _ in range(2):
                stream = client.open_relay(address)
                for nonce in (b'1', b'2'):
                    await stream.send(create_message(nonce))
                    answer = await stream.receive()
                    assert answer is not None
                    case.assertEqual(b'answer', answer.relay_go.nonce)
                stream.close()
            case.assertEqual([b'1', b'2'] * 2, relay.received)

    run(work)


def test_answers_on_one_connection_are_told_apart(case: support.Case) -> None:
    """Permits and handshakes bear no id; each has a stream of its own."""

    async def work(relay: Relay, address: str) -> None:
        with clients.PeerClient(SECRET) as client:
            questions = [create_message(b'%d' % n) for n in range(4)]
            for number, question in enumerate(questions):
                question.relay_go.waited_ms = 300 - 100 * number
            answers = await asyncio.gather(
                *(client.exchange(address, each, 5.0) for each in questions)
            )
            case.assertEqual(
                [b'0', b'1', b'2', b'3'],
                [each.unwrap().relay_go.nonce for each in answers],
            )

    run(work)


def test_late_answer_is_not_that_to_the_next_question(
    case: support.Case,
) -> None:
    """A permit for one target would count for another."""

    async def work(relay: Relay, address: str) -> None:
        with clients.PeerClient(SECRET) as client:
            late = create_message(b'late')
            late.relay_go.waited_ms = 200
            given_up = await client.exchange(address, late, 0.1)
            case.assertEqual('TimeoutError', given_up.failure())
            question = create_message(b'next')
            question.relay_go.waited_ms = 300
            answer = await client.exchange(address, question, 5.0)
            case.assertEqual(b'next', answer.unwrap().relay_go.nonce)

    run(work)


def test_relayed_call_with_another_secret_is_rejected(
    case: support.Case,
) -> None:
    """The handler does not see the message."""

    async def work(relay: Relay, address: str) -> None:
        with clients.PeerClient(b'another') as client:
            stream = client.open_relay(address)
            await stream.send(create_message(b'1'))
            with case.assertRaises(REJECTIONS):
                await stream.receive()
            stream.close()
        case.assertEqual([], relay.received)

    run(work)


def test_host_that_closes_a_relayed_call_cancels_it(
    case: support.Case,
) -> None:
    """The relaying host must stop the work within half a second."""

    async def work(relay: Relay, address: str) -> None:
        with clients.PeerClient(SECRET) as client:
            stream = client.open_relay(address)
            await stream.send(create_message(b'1'))
            await stream.receive()
            stream.close()
            async with asyncio.timeout(0.5):
                await relay.cancelled.wait()

    run(work)


def test_retired_connection_carries_its_calls_to_their_end(
    case: support.Case,
) -> None:
    """Another call to the same host got no answer."""

    async def work(relay: Relay, address: str) -> None:
        with clients.PeerClient(SECRET) as client:
            stream = client.open_relay(address)
            await stream.send(create_message(b'1'))
            await stream.receive()
            client.disconnect_relay(address)
            await stream.send(create_message(b'2'))
            case.assertIsNotNone(await stream.receive())
            stream.close()

    run(work)


def test_many_waiting_calls_leave_room_for_another(
    case: support.Case,
) -> None:
    """Guards against calls that wait for a stream of a full connection.

    HTTP/2 servers accept 100 streams of a connection by default.
    """

    async def work(relay: Relay, address: str) -> None:
        with clients.PeerClient(SECRET) as client:
            streams = [
                client.open_relay(address)
                for _ in range(2 * clients.MAX_RELAY_STREAMS + 1)
            ]
            for stream in streams:
                await stream.send(create_message(b'1'))
                case.assertIsNotNone(await stream.receive())
            case.assertEqual(3, len(client._relay_connections[address]))
            for stream in streams:
                stream.close()
            await asyncio.sleep(0)
            open_streams = [
                connection.streams
                for connection in client._relay_connections[address]
            ]
            case.assertEqual([0, 0, 0], open_streams)

    run(work)


@contextlib.asynccontextmanager
async def open_dying_host() -> abc.AsyncIterator[str]:
    """Yield the address of a host that is killed once it has been sent to."""

    async def die(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(1)
        await asyncio.sleep(DEATH_SECONDS)
        writer.transport.abort()

    server = await asyncio.start_server(die, '127.0.0.1')
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        server.close()


def test_loss_of_a_host_does_not_end_its_callers_time_limit(
    case: support.Case,
) -> None:
    """Guards against MIXED: the limit must not look like a cancellation.

    grpclib wakes who waits for the lost host by a cancellation of the task.
    """

    async def relay(client: clients.PeerClient, address: str) -> None:
        stream = client.open_relay(address)
        await stream.send(create_message(b'1'))
        await stream.receive()

    async def exchange(client: clients.PeerClient, address: str) -> None:
        await client.exchange(address, create_message(b'1'), 1.0)

    async def work(_: Relay, __: str) -> None:
        for send in (relay, exchange):
            with clients.PeerClient(SECRET) as client:
                async with open_dying_host() as address:
                    with case.assertRaises(TimeoutError):
                        async with asyncio.timeout(3 * DEATH_SECONDS):
                            with contextlib.suppress(Exception):
                                await send(client, address)
                            await asyncio.sleep(TEST_TIMEOUT_SECONDS)

    run(work)


def test_caller_that_leaves_is_noticed_while_a_host_is_lost(
    case: support.Case,
) -> None:
    """A cancellation in the same moment as the loss is not swallowed."""

    async def work(_: Relay, __: str) -> None:
        with clients.PeerClient(SECRET) as client:
            async with open_dying_host() as address:
                stream = client.open_relay(address)
                await stream.send(create_message(b'1'))
                receiving = asyncio.ensure_future(stream.receive())
                await asyncio.sleep(DEATH_SECONDS / 2)
                client.__exit__()
                receiving.cancel()
                await asyncio.wait((receiving,))
                case.assertTrue(receiving.cancelled())

    run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
