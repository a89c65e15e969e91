"""Messages that are not yet authentic take a bounded amount of memory."""

import asyncio
from collections import abc
import typing

from grpclib import client as grpc_client

from pistachioseam_entry import reactors
from pistachioseam_peer import bounded_servers
from pistachioseam_peer import clients
from pistachioseam_peer.generated import messages_grpc
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import servers
from pistachioseam_standins import deployment
from tests import support

TEST_TIMEOUT_SECONDS = 10.0
SECRET = b'secret'
MESSAGE_BYTES = 1_048_576
HELD_BYTES = 2 * MESSAGE_BYTES
PART_BYTES = 65_536
Work: typing.TypeAlias = abc.Callable[
    [bounded_servers.BoundedServer, str],
    abc.Coroutine[typing.Any, typing.Any, None],
]


def run(work: Work) -> None:
    """Run a test beside a server with low limits."""

    async def respond(message: messages_pb2.Message) -> messages_pb2.Message:
        return message

    async def serve() -> None:
        server = servers.PeerServer(
            SECRET,
            respond,
            lambda _: None,
            lambda _: None,
            max_message_bytes=MESSAGE_BYTES,
            max_held_bytes=HELD_BYTES,
        )
        address = deployment.find_free_address()
        host, _, port = address.rpartition(':')
        await server.start(host, int(port))
        try:
            bounded = typing.cast(
                bounded_servers.BoundedServer, server._server
            )
            await work(bounded, address)
        finally:
            server.close()

    loop = reactors.get_reactor()._asyncioEventloop
    loop.run_until_complete(asyncio.wait_for(serve(), TEST_TIMEOUT_SECONDS))


async def send_part(address: str, announced: int, sent: int) -> typing.Any:
    """Open a connection; send a part of a message; return the channel."""
    host, _, port = address.rpartition(':')
    channel = grpc_client.Channel(host, int(port))
    stub = messages_grpc.PeerStub(channel)
    stream = await stub.Exchange.open().__aenter__()
    await stream.send_request()
    head = b'\0' + announced.to_bytes(4, 'big')
    raw = stream._stream
    try:
        await raw.send_data(head)
        for _ in range(sent // PART_BYTES):
            await raw.send_data(bytes(PART_BYTES))
            await asyncio.sleep(0)
    except Exception:
        # The server may close the connection meanwhile.
        return channel
    return channel


async def check_peer(case: support.Case, address: str) -> None:
    """Check that an authentic message is answered."""
    with clients.PeerClient(SECRET) as client:
        question = messages_pb2.Message(
            relay_go=messages_pb2.RelayGo(nonce=b'1')
        )
        answer = await client.exchange(address, question, 5.0)
        case.assertEqual(b'1', answer.unwrap().relay_go.nonce)


def test_oversized_message_closes_its_connection(case: support.Case) -> None:
    """Guards against a message of 4 GiB that is held until it is complete."""

    async def work(
        server: bounded_servers.BoundedServer, address: str
    ) -> None:
        sending = asyncio.ensure_future(
            send_part(address, 2**32 - 1, 8 * MESSAGE_BYTES)
        )
        while not server.closed_count:
            await asyncio.sleep(0.01)
        # The client waits for a window on a connection that is closed.
        sending.cancel()
        await check_peer(case, address)

    run(work)


def test_incomplete_messages_have_a_total(case: support.Case) -> None:
    """Guards against many connections with a permitted part each."""

    async def work(
        server: bounded_servers.BoundedServer, address: str
    ) -> None:
        channels = []
        for _ in range(6):
            channels.append(
                await send_part(address, MESSAGE_BYTES, MESSAGE_BYTES // 2)
            )
            await asyncio.sleep(0.05)
        while not server.closed_count:
            await asyncio.sleep(0.01)
        case.assertLess(sum(server._held.values()), HELD_BYTES + 1)
        await check_peer(case, address)
        for channel in channels:
            channel.close()

    run(work)


def test_connection_without_a_request_goes_first(case: support.Case) -> None:
    """Guards against idle connections that keep peers out."""

    async def work(
        server: bounded_servers.BoundedServer, address: str
    ) -> None:
        server._max_connections = 3
        host, _, port = address.rpartition(':')
        busy = await send_part(address, MESSAGE_BYTES, PART_BYTES)
        idle = [
            await asyncio.open_connection(host, int(port)) for _ in range(3)
        ]
        while not server.closed_count:
            await asyncio.sleep(0.01)
        case.assertEqual(3, server.count_connections())
        await check_peer(case, address)
        case.assertIn(PART_BYTES, server._held.values())
        busy.close()
        for _, writer in idle:
            writer.close()

    run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
