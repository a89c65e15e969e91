"""Connections are reused only if safe; truncated responses are failures."""

import asyncio
from collections import abc
import contextlib
import itertools
import socket
import struct
import typing
from unittest import mock

import attrs
from returns import pipeline

from pistachioseam.forwarding import caller_presence
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import response_bodies
from pistachioseam import interfaces
from pistachioseam_entry import reactors
from pistachioseam_entry import sockets
from pistachioseam_entry import target_connections
from pistachioseam_platform import headers
from tests import support

Kind = interfaces.FailureKind
OWN_ID = b'X-Pistachioseam-Request-Id: 1\r\n'
"""Header of the responses to a call, by the default id of calls."""
HEAD = b'HTTP/1.1 200 OK\r\n' + OWN_ID
RESPONSE = HEAD + b'Content-Length: 2\r\n\r\nok'
TEST_TIMEOUT_SECONDS = 10.0
PIECE_PAUSE_SECONDS = 0.02
WAIT_SECONDS = 0.2
MAX_SILENCE_MS = 2000
"""A sound target may be silent for a second or so."""
CONNECT_SECONDS = 0.3
"""Time in which a target accepts a connection over a full link."""


call_numbers = itertools.count()


class FakeTarget:
    """Server that writes the next of the given byte strings for each request.

    It closes the connection after None or a response without a length. Two
    strings are written one after the other, with a pause between them. An
    `OWN_ID` in them becomes that of the request.
    """

    def __init__(self, *responses: bytes | tuple[bytes, bytes] | None) -> None:
        self.responses = list(responses)
        self.connections = 0
        self.heads: list[bytes] = []
        self.address = ''
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> 'FakeTarget':
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1')
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening."""
        self._server.close()

    def close_connections(self) -> None:
        """Close all connections, as the kernel does for a killed process."""
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.append(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionResetError
        ):
            await self._respond(reader, writer)
        writer.close()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while self.responses:
            self.heads.append(await reader.readuntil(b'\r\n\r\n'))
            own_id = read_own_id(self.heads[-1])
            response = self.responses.pop(0)
            if response is None:
                return
            if isinstance(response, tuple):
                cut = len(response[0])
                data = b''.join(response).replace(OWN_ID, own_id)
                writer.write(data[:cut])
                await asyncio.sleep(PIECE_PAUSE_SECONDS)
                response = data[cut:]
            else:
                response = response.replace(OWN_ID, own_id)
            writer.write(response)
            await writer.drain()
            if b'Content-Length' not in response:
                return


def run(
    work: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    """Run a test on the reactor's loop."""
    loop = reactors.get_reactor()._asyncioEventloop
    loop.run_until_complete(asyncio.wait_for(work(), TEST_TIMEOUT_SECONDS))


def read_own_id(head: bytes) -> bytes:
    """Return the header of a request's id, `OWN_ID` if it has none."""
    name = OWN_ID.partition(b':')[0]
    for line in head.split(b'\r\n'):
        if line.startswith(name):
            return line + b'\r\n'
    return OWN_ID


def create_call(
    max_idle_seconds: float = 60.0, request_id: str = '1'
) -> ports.OutgoingCall:
    """Return a call without a body."""
    named = (headers.REQUEST_ID, request_id.encode())
    return ports.OutgoingCall(
        request_id=request_id,
        method=b'GET',
        uri=b'/x',
        headers=((b'Host', b'h'), named),
        body=b'',
        seconds_left=5.0,
        incarnation='i',
        max_idle_seconds=max_idle_seconds,
    )


async def fetch(
    pool: target_connections.ConnectionPool, address: str, **fields: float
) -> typing.Any:
    """Return the body of a response, or the kind of the failure.

    Each call has an id of its own.
    """
    request_id = f'call-{next(call_numbers)}'
    call = create_call(request_id=request_id, **fields)
    sent = await pool.send(address, call)
    if not pipeline.is_successful(sent):
        return sent.failure().kind
    response = sent.unwrap()
    read = await response_bodies.read_body(response)
    response.abort()
    if not pipeline.is_successful(read):
        return read.failure().kind
    return read.unwrap()


def test_connection_is_reused(case: support.Case) -> None:
    """Two calls share a connection unless a call limits its idle time."""

    async def work() -> None:
        async with FakeTarget(RESPONSE, RESPONSE, RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(1, target.connections)
                await asyncio.sleep(0.05)
                case.assertEqual(
                    b'ok',
                    await fetch(pool, target.address, max_idle_seconds=0.01),
                )
                case.assertEqual(2, target.connections)

    run(work)


def test_response_tells_what_its_connection_has_carried(
    case: support.Case,
) -> None:
    """The log names the connection on which an answer was believed."""
    other = RESPONSE.replace(b'Id: 1', b'Id: other')

    async def work() -> None:
        async with FakeTarget(RESPONSE, other + RESPONSE, RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                described = []
                for request_id in ('a', 'b', 'c'):
                    call = create_call(request_id=request_id)
                    sent = await pool.send(target.address, call)
                    response = sent.unwrap()
                    described.append(response.connection)
                    await response_bodies.read_body(response)
                case.assertEqual(['1/1/0', '1/2/1', '2/1/0'], described)

    run(work)


def test_connection_carries_a_request_id_once(case: support.Case) -> None:
    """Guards against TWICE, whoever sends a request again."""

    async def work() -> None:
        async with FakeTarget(*[RESPONSE] * 6) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                connections = []
                for request_id in ('a', 'b', 'a', 'b', 'c', ''):
                    call = create_call(request_id=request_id)
                    sent = await pool.send(target.address, call)
                    if pipeline.is_successful(sent):
                        response = sent.unwrap()
                        connections.append(response.connection)
                        await response_bodies.read_body(response)
                case.assertEqual(
                    ['1/1/0', '1/2/0', '2/1/0', '2/2/0', '2/3/0'],
                    connections[:5],
                )
                case.assertEqual(2, target.connections)
                # A sender with a connection of its own is held to it, too.
                connection = pool.take_idle(
                    target.address, create_call(request_id='d')
                )
                assert connection is not None
                sent = await pool.send_on(
                    connection, create_call(request_id='a')
                )
                case.assertEqual(Kind.NOT_SENT, sent.failure().kind)

    run(work)


def test_connection_is_closed_after_its_last_request(
    case: support.Case,
) -> None:
    """It remembers the ids of all requests that it has carried."""

    async def work() -> None:
        count = target_connections.MAX_REQUESTS + 1
        async with FakeTarget(*[RESPONSE] * count) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                for _ in range(count):
                    case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(2, target.connections)

    run(work)


def test_call_that_expires_during_the_connect_is_not_written(
    case: support.Case,
) -> None:
    """A check before the connect says nothing about the time after it."""

    async def work() -> None:
        async with FakeTarget(RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                fetched = await pool.fetch(
                    target.address,
                    create_call(),
                    lambda: pool.count_open() == 0,
                )
                case.assertEqual(Kind.NOT_SENT, fetched.failure().kind)
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(1, len(target.heads))
                case.assertEqual(1, target.connections)

    run(work)


def test_refused_connection_is_told_from_one_without_an_answer(
    case: support.Case,
) -> None:
    """Only the refusal proves that packets reach the target and return."""

    async def work() -> None:
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            with socket.create_server(('127.0.0.1', 0)) as server:
                address = '{}:{}'.format(*server.getsockname())
                late = (await pool.connect(address, 0.0)).failure()
            refused = (await pool.connect(address)).failure()
            case.assertEqual(Kind.NOT_SENT, late.kind)
            case.assertFalse(late.is_refused)
            case.assertEqual(Kind.NOT_SENT, refused.kind)
            case.assertTrue(refused.is_refused)

    run(work)


def test_time_to_connect_is_taken_off_the_time_limit(
    case: support.Case,
) -> None:
    """The target would work for longer than the call may take."""

    async def work() -> None:
        async with FakeTarget(RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                connect = pool.connect

                async def connect_late(
                    address: str,
                ) -> target_connections.OpenResult:
                    await asyncio.sleep(CONNECT_SECONDS)
                    return await connect(address)

                pool.connect = connect_late  # type: ignore[method-assign]
                case.assertEqual(b'ok', await fetch(pool, target.address))
        name = headers.DEADLINE_MS + b': '
        limit = target.heads[0].partition(name)[2].partition(b'\r\n')[0]
        max_seconds = create_call().seconds_left - CONNECT_SECONDS
        case.assertLessEqual(int(limit), max_seconds * 1000)

    run(work)


def test_only_a_body_that_ends_with_its_connection_has_no_marked_end(
    case: support.Case,
) -> None:
    """A target that stops may end such a body early."""
    chunked = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'

    async def work() -> None:
        for data, is_end_marked in (
            (RESPONSE, True),
            (chunked, True),
            (HEAD + b'\r\nok', False),
        ):
            async with FakeTarget(data) as target:
                with target_connections.ConnectionPool(
                    headers.HeaderCodec()
                ) as pool:
                    sent = await pool.send(target.address, create_call())
                    response = sent.unwrap()
                    body = await response_bodies.read_body(response)
                    case.assertEqual(b'ok', body.unwrap())
                    case.assertIs(is_end_marked, response.is_end_marked)

    run(work)


def test_keep_alive_timeout_is_respected(case: support.Case) -> None:
    """No request is sent on a connection that its target may be closing."""
    keep_alive = HEAD + b'Keep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok'

    async def work() -> None:
        async with FakeTarget(keep_alive, RESPONSE, RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                for connections in (1, 2, 2):
                    case.assertEqual(b'ok', await fetch(pool, target.address))
                    case.assertEqual(connections, target.connections)

    run(work)
    choose = target_connections.choose_idle_seconds
    case.assertEqual(4.0, choose([b'timeout=5, max=100']))
    case.assertEqual(
        target_connections.MAX_IDLE_SECONDS, choose([b'timeout=60'])
    )
    case.assertEqual(target_connections.DEFAULT_IDLE_SECONDS, choose([]))


def test_bytes_after_a_response_close_the_connection(
    case: support.Case,
) -> None:
    """Bytes after a complete response belong to no request."""

    async def work() -> None:
        async with FakeTarget(RESPONSE + b'junk', RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                case.assertEqual(b'ok', await fetch(pool, target.address))
                await asyncio.sleep(0.05)
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(2, target.connections)

    run(work)


def test_incomplete_responses_are_failures(case: support.Case) -> None:
    """An early end of the body, a bad head or no bytes count as broken."""
    truncated = HEAD + b'Content-Length: 9\r\n\r\nok'
    chunked = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'

    async def work() -> None:
        for response in (truncated, chunked, b'no protocol\r\n\r\n', None):
            async with FakeTarget(response) as target:
                with target_connections.ConnectionPool(
                    headers.HeaderCodec()
                ) as pool:
                    kind = await fetch(pool, target.address)
                    case.assertIs(Kind.BROKEN, kind)

    run(work)


def test_call_is_given_up_only_where_the_host_closes_the_channel(
    case: support.Case,
) -> None:
    """A target that has closed it works no more; another one may work on."""
    chunked = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    unnamed = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'

    async def work() -> None:
        for response, is_given_up in (
            (None, False),
            (HEAD + b'Content-Length: 9\r\n\r\nok', False),
            (chunked + b'2\r\nok\r\n', False),
            (chunked + b'two\r\nok\r\n', True),
            (b'no protocol\r\n\r\n', True),
            (unnamed, True),
        ):
            async with FakeTarget(response) as target:
                with target_connections.ConnectionPool(
                    headers.HeaderCodec()
                ) as pool:
                    fetched = await pool.fetch(target.address, create_call())
                    case.assertIs(is_given_up, fetched.failure().is_given_up)

    run(work)


def test_response_without_length_ends_with_its_connection(
    case: support.Case,
) -> None:
    """A clean close of the connection completes a body without a length."""

    async def work() -> None:
        async with FakeTarget(HEAD + b'\r\nall') as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                case.assertEqual(b'all', await fetch(pool, target.address))

    run(work)


def test_reset_during_a_response_without_length_is_a_failure(
    case: support.Case,
) -> None:
    """A connection reset does not complete a body without a length."""

    async def work() -> None:
        async def reset(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            own_id = read_own_id(await reader.readuntil(b'\r\n\r\n'))
            writer.write(HEAD.replace(OWN_ID, own_id) + b'\r\nhalf')
            await writer.drain()
            await asyncio.sleep(0.05)
            raw_socket = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        server = await asyncio.start_server(reset, '127.0.0.1')
        port = server.sockets[0].getsockname()[1]
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            kind = await fetch(pool, f'127.0.0.1:{port}')
            case.assertIs(Kind.BROKEN, kind)
        server.close()

    run(work)


def test_late_copy_of_a_response_is_no_report(case: support.Case) -> None:
    """A control call gets the second copy of a response to a caller's call.

    It must not be read as the target's report or as its answer to an order.
    """

    async def work() -> None:
        async with FakeTarget(RESPONSE, RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                case.assertEqual(b'ok', await fetch(pool, target.address))
                control = attrs.evolve(
                    create_call(),
                    request_id='',
                    headers=((b'Host', b'h'),),
                )
                fetched = await pool.fetch(target.address, control)
                case.assertFalse(pipeline.is_successful(fetched))
                case.assertIs(Kind.BROKEN, fetched.failure().kind)

    run(work)


def test_late_copy_of_a_rejection_closes_its_connection(
    case: support.Case,
) -> None:
    """Guards against TWICE: the next call would get this call's response.

    The call waits for its own response, and gives up or loses the connection.
    """

    async def work() -> None:
        for response in (COPIES[0], (COPIES[0], b'')):
            async with FakeTarget(response, RESPONSE, RESPONSE) as target:
                with target_connections.ConnectionPool(
                    headers.HeaderCodec()
                ) as pool:
                    if response is COPIES[0]:
                        with case.assertRaises(TimeoutError):
                            await asyncio.wait_for(
                                fetch(pool, target.address), WAIT_SECONDS
                            )
                    else:
                        kind = await fetch(pool, target.address)
                        case.assertIs(Kind.BROKEN, kind)
                    case.assertEqual(b'ok', await fetch(pool, target.address))
                    case.assertEqual(2, target.connections)

    run(work)


COPY_HEAD = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'X-Pistachioseam-Request-Id: earlier\r\n'
    b'X-Pistachioseam-Not-Executed: 1\r\n'
)
COPIES = (
    COPY_HEAD + b'Content-Length: 0\r\n\r\n',
    COPY_HEAD + b'Content-Length: 7\r\n\r\nearlier',
    COPY_HEAD + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
    2 * (COPY_HEAD + b'Content-Length: 7\r\n\r\nearlier'),
    b'HTTP/1.1 204 No Content\r\nX-Pistachioseam-Request-Id: earlier\r\n\r\n',
)
"""Whole responses to an earlier request."""


def test_response_behind_a_late_copy_is_read(case: support.Case) -> None:
    """A copy does not end the call; its connection is not used again."""

    async def work() -> None:
        for copy in COPIES:
            for cut in (0, 30, len(copy) - 1, len(copy), len(copy) + 20):
                await check_response_behind(case, copy, cut)

    run(work)


async def check_response_behind(
    case: support.Case, copy: bytes, cut: int
) -> None:
    """Check a response that comes behind a copy, both in two pieces."""
    data = copy + RESPONSE
    async with FakeTarget((data[:cut], data[cut:]), RESPONSE) as target:
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            case.assertEqual(b'ok', await fetch(pool, target.address), copy)
            case.assertEqual(b'ok', await fetch(pool, target.address), copy)
            case.assertEqual(2, target.connections)


def test_copy_without_an_end_is_not_waited_for(case: support.Case) -> None:
    """It ends with its connection, and so no response can follow."""

    async def work() -> None:
        for copy in (COPY_HEAD + b'\r\nrest', COPIES[1][:-1]):
            async with FakeTarget((copy, b'')) as target:
                with target_connections.ConnectionPool(
                    headers.HeaderCodec()
                ) as pool:
                    kind = await fetch(pool, target.address)
                    case.assertIs(Kind.BROKEN, kind)

    run(work)


def test_target_that_closes_an_idle_connection_early_may_have_restarted(
    case: support.Case,
) -> None:
    """Guards against ORDER: the kernel closes those of a killed process so.

    The target states that it keeps idle connections for longer.
    """

    async def work() -> None:
        kept = RESPONSE.replace(HEAD, HEAD + b'Keep-Alive: timeout=9\r\n')
        broken: list[str] = []
        async with FakeTarget(kept, None) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                pool.on_broken = broken.append
                case.assertEqual(b'ok', await fetch(pool, target.address))
                target.close_connections()
                await asyncio.sleep(WAIT_SECONDS)
                case.assertEqual(0, pool.count_open())
                case.assertEqual([target.address], broken)

    run(work)


def test_target_that_states_no_idle_time_may_close_at_any_time(
    case: support.Case,
) -> None:
    """It need not have restarted."""

    async def work() -> None:
        broken: list[str] = []
        async with FakeTarget(RESPONSE, None) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                pool.on_broken = broken.append
                case.assertEqual(b'ok', await fetch(pool, target.address))
                target.close_connections()
                await asyncio.sleep(WAIT_SECONDS)
                case.assertEqual(0, pool.count_open())
                case.assertEqual([], broken)

    run(work)


def test_response_without_an_id_ends_the_call(case: support.Case) -> None:
    """Most likely it is that of the call, and none follows."""

    async def work() -> None:
        unnamed = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'
        async with FakeTarget(unnamed, RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                case.assertIs(Kind.BROKEN, await fetch(pool, target.address))
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(2, target.connections)

    run(work)


def test_connection_with_unasked_bytes_takes_no_call(
    case: support.Case,
) -> None:
    """A call could be sent on it while it is being closed, and get lost."""

    async def work() -> None:
        async with FakeTarget(RESPONSE, RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                case.assertEqual(b'ok', await fetch(pool, target.address))
                (connection,) = pool._idle[target.address]
                connection.dataReceived(COPIES[0])
                case.assertFalse(connection.is_idle())
                case.assertEqual(b'ok', await fetch(pool, target.address))

    run(work)


COPY_FIELDS = (
    b'X-Pistachioseam-Not-Executed: 1\r\n',
    b'X-Pistachioseam-Request-Id: earlier\r\n',
    b'Server: earlier\r\n',
    b'Keep-Alive: timeout=5\r\n',
)
"""Fields of the head of a rejection, apart from the length."""


def test_torn_copy_of_a_rejection_proves_nothing(case: support.Case) -> None:
    """Guards against TWICE and REFUSED: a call that ran is not sent again.

    A copy of an earlier rejection breaks off at any byte, and the response to
    the call follows: one head may be read from both.
    """

    async def work() -> None:
        for shift in range(len(COPY_FIELDS)):
            fields = COPY_FIELDS[shift:] + COPY_FIELDS[:shift]
            copy = b'HTTP/1.1 503 Service Unavailable\r\n' + b''.join(fields)
            for cut in range(1, len(copy)):
                await check_response_after(case, copy[:cut])

    run(work)


async def check_response_after(case: support.Case, torn: bytes) -> None:
    """Check that the response to a call is read as it is, or not at all."""
    async with FakeTarget(torn + RESPONSE) as target:
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            sent = await pool.send(target.address, create_call())
            if not pipeline.is_successful(sent):
                case.assertIs(Kind.BROKEN, sent.failure().kind, torn)
                return
            head = sent.unwrap().head
            case.assertEqual(
                (200, False), (head.status, head.is_not_run), torn
            )


def test_refused_connection_is_not_sent(case: support.Case) -> None:
    """A call to a port without a listener is reported as not sent."""

    async def work() -> None:
        async with FakeTarget() as target:
            address = target.address
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            case.assertIs(Kind.NOT_SENT, await fetch(pool, address))
            case.assertTrue(await pool.is_connection_refused(address))

    run(work)


def test_cancelled_call_closes_its_connection(case: support.Case) -> None:
    """The target sees the connection of a cancelled call close."""

    async def work() -> None:
        closed = asyncio.Event()

        async def never_respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(never_respond, '127.0.0.1')
        port = server.sockets[0].getsockname()[1]
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            calling = asyncio.ensure_future(fetch(pool, f'127.0.0.1:{port}'))
            await asyncio.sleep(0.1)
            calling.cancel()
            await asyncio.wait_for(closed.wait(), 0.5)
        server.close()

    run(work)


def test_target_that_is_silent_for_a_while_is_waited_for(
    case: support.Case,
) -> None:
    """The limits of the kernel are above a sound target's silence."""

    async def work() -> None:
        async with FakeTarget(RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                connected = await pool.connect(target.address)
                handle = connected.unwrap().transport.getHandle()
                user_timeout_ms = handle.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
                case.assertGreaterEqual(user_timeout_ms, MAX_SILENCE_MS)

    run(work)


def test_connect_cancelled_as_it_succeeds_leaves_no_connection(
    case: support.Case,
) -> None:
    """Guards against a connection that nobody knows and nobody closes."""

    async def work() -> None:
        opened: list[target_connections.Connection] = []
        made = target_connections.Connection.connectionMade

        def cancel_once_made(self: target_connections.Connection) -> None:
            made(self)
            opened.append(self)
            asyncio.get_running_loop().call_soon(calling.cancel)

        async with FakeTarget(RESPONSE) as target:
            pool = target_connections.ConnectionPool(headers.HeaderCodec())
            with mock.patch.object(
                target_connections.Connection,
                'connectionMade',
                cancel_once_made,
            ):
                calling = asyncio.ensure_future(pool.connect(target.address))
                await asyncio.wait((calling,))
            case.assertTrue(calling.cancelled())
            await asyncio.sleep(WAIT_SECONDS)
            transport: typing.Any = opened[0].transport
            case.assertFalse(transport.connected)

    run(work)


def leave_silent_target(
    case: support.Case, unreceived_bytes: int | None
) -> interfaces.CallFailure | None:
    """Leave a call at a target that does not answer.

    Return its failure, None if it goes on. `unreceived_bytes` replaces those
    that the target's machine has not acknowledged.
    """
    caller = caller_presence.CallerPresence()
    call = attrs.evolve(create_call(), caller=caller)
    sent: typing.Any = None

    async def work() -> None:
        nonlocal sent
        server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1'
        )
        port = server.sockets[0].getsockname()[1]
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            sending = asyncio.ensure_future(
                pool.send(f'127.0.0.1:{port}', call)
            )
            await asyncio.sleep(WAIT_SECONDS)
            caller.leave()
            await asyncio.wait(
                (sending,),
                timeout=target_connections.RECEIPT_SECONDS + WAIT_SECONDS,
            )
            if sending.done():
                sent = sending.result()
                case.assertEqual(0, pool.count_open())
            sending.cancel()
        server.close()

    count = sockets.count_unreceived_bytes
    with mock.patch.object(
        sockets,
        'count_unreceived_bytes',
        lambda transport: (
            count(transport) if unreceived_bytes is None else unreceived_bytes
        ),
    ):
        run(work)
    return None if sent is None else sent.failure()


def test_request_that_its_target_did_not_receive_ends_as_its_caller_leaves(
    case: support.Case,
) -> None:
    """Guards against GONE: a kept connection to a machine without power.

    The kernel would repeat the request until the machine responds.
    """
    failure = leave_silent_target(case, 1_000)
    assert failure is not None
    case.assertIs(Kind.BROKEN, failure.kind)
    case.assertTrue(failure.is_given_up)
    case.assertEqual('not received by the target', failure.detail)


def test_request_that_its_target_received_goes_on_without_its_caller(
    case: support.Case,
) -> None:
    """A call that may run only once is not broken off at its target."""
    case.assertIsNone(leave_silent_target(case, None))
    # Of an upload, the target may have received the first part.
    case.assertIsNone(leave_silent_target(case, 10))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
