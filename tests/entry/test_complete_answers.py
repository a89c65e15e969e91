"""Truncated responses and invalid statuses never reach a caller as whole."""

import asyncio
from collections import abc
import contextlib
import pathlib
import socket
import struct
import typing

import attrs
from returns import pipeline

from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces
from pistachioseam_entry import target_connections
from pistachioseam_platform import headers
from tests import call_fakes
from tests.entry import test_target_connections as connections
from tests import support

Kind = interfaces.FailureKind
STAMP = b'X-Pistachioseam-Server-Stamp: s\r\n'
UPLOAD = b'x' * 3_000_000
"""More than the socket buffers of both ends hold."""
SMALL_UPLOAD = b'x' * 100_000
"""Fits into the socket buffers: it is written before the response ends."""
READ_LIMIT = 4_096
PAUSE_SECONDS = 0.02
CALL_SECONDS = 3.0

Ending: typing.TypeAlias = abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw_socket = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def reset_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection after the start of the body."""
    await asyncio.sleep(PAUSE_SECONDS)
    reset(writer)


async def close_with_unread_data(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Close as most servers do: shut down writing, then close the socket.

    The kernel resets the connection, as data of the upload are unread; the
    client may see the end of the response first.
    """
    await asyncio.sleep(PAUSE_SECONDS)
    writer.get_extra_info('socket').shutdown(socket.SHUT_WR)
    reset(writer)


async def reset_after_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Shut down writing; reset some time later."""
    writer.write_eof()
    await asyncio.sleep(5 * PAUSE_SECONDS)
    reset(writer)


async def close_cleanly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """End the response first, read the whole upload, then close."""
    writer.write(b'rest')
    writer.write_eof()
    while await reader.read(65_536):
        pass
    writer.close()


class EarlyTarget:
    """Target that responds before it has read the upload.

    `starts` is what it writes for each request, `ending` what follows.
    """

    def __init__(self, start: bytes, ending: Ending) -> None:
        self.start = start
        self.ending = ending
        self.requests = 0

    @contextlib.asynccontextmanager
    async def listen(self) -> abc.AsyncIterator[str]:
        """Listen on loopback; give the address."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', limit=READ_LIMIT
        )
        port = server.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'
        server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            own_id = connections.read_own_id(head)
            writer.write(self.start.replace(connections.OWN_ID, own_id))
            await writer.drain()
            await self.ending(reader, writer)


HEAD_STAMPED = connections.HEAD + STAMP
EARLY_HEAD = HEAD_STAMPED + b'Connection: close\r\n'
HALF = EARLY_HEAD + b'\r\nhalf'
EARLY_ENDINGS: tuple[tuple[Ending, bytes, bool], ...] = (
    (reset_at_once, UPLOAD, False),
    (reset_at_once, SMALL_UPLOAD, False),
    (close_with_unread_data, UPLOAD, False),
    (close_with_unread_data, SMALL_UPLOAD, False),
    (reset_after_end, UPLOAD, False),
    (close_cleanly, UPLOAD, True),
    (close_cleanly, SMALL_UPLOAD, True),
    (close_cleanly, b'', True),
)
"""How a response without a length ends, the upload, whether it is complete."""


async def upload(
    pool: target_connections.ConnectionPool, address: str, body: bytes
) -> typing.Any:
    """Return the body of the response to an upload, or the failure."""
    call = attrs.evolve(
        connections.create_call(),
        method=b'POST',
        body=body,
        seconds_left=CALL_SECONDS,
    )
    fetched = await pool.fetch(address, call)
    if pipeline.is_successful(fetched):
        return fetched.unwrap()[1]
    return fetched.failure().kind


def test_reset_during_the_upload_breaks_a_response_without_length(
    case: support.Case,
) -> None:
    """Guards against MIXED: half a body would count as the whole one."""

    async def work() -> None:
        for ending, body, is_complete in EARLY_ENDINGS:
            target = EarlyTarget(HALF, ending)
            async with target.listen() as address:
                with target_connections.ConnectionPool(
                    headers.HeaderCodec()
                ) as pool:
                    got = await upload(pool, address, body)
                    expected = b'halfrest' if is_complete else Kind.BROKEN
                    case.assertEqual(
                        expected, got, (ending.__name__, len(body))
                    )

    connections.run(work)


def test_upload_that_is_never_read_does_not_outlast_its_call(
    case: support.Case,
) -> None:
    """The end of the response waits for the upload, but not without end."""

    async def never_read(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write_eof()
        await asyncio.sleep(2 * CALL_SECONDS)

    async def work() -> None:
        target = EarlyTarget(HALF, never_read)
        async with target.listen() as address:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                got = await upload(pool, address, UPLOAD)
                case.assertIn(got, (Kind.BROKEN, Kind.TIMED_OUT))
                await asyncio.sleep(connections.WAIT_SECONDS)
                case.assertEqual(0, pool.count_open())

    connections.run(work)


async def forward(
    prefix: str, target: EarlyTarget, body: bytes = UPLOAD
) -> tuple[int, call_fakes.Reply]:
    """Send a call through the filters to targets that all act alike.

    Return the status of its refusal, 0 without one, and what its caller got.
    """
    async with target.listen() as address:
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            is_stream = prefix in ('/stream/', '/resumable/')
            service = (
                call_fakes.ENGINE_SERVICE
                if is_stream
                else call_fakes.PLAIN_SERVICE
            )
            fixture = call_fakes.RouterFixture(
                [
                    call_fakes.create_target(number, service, address=address)
                    for number in range(2)
                ],
                typing.cast(typing.Any, pool),
            )
            call = fixture.create_call(
                prefix, timeout_seconds=CALL_SECONDS, body=body
            )
            named = (headers.REQUEST_ID, call.request_id.encode())
            call.head = attrs.evolve(
                call.head, headers=(*call.head.headers, named)
            )
            await routers.run_filters(call, fixture.router)
    status = call.refusal.status if call.refusal else 0
    return status, typing.cast(call_fakes.Reply, call.reply)


def test_caller_of_a_truncated_response_gets_no_complete_one(
    case: support.Case,
) -> None:
    """Guards against MIXED and REFUSED: 502 before the head, else a cut."""

    async def work() -> None:
        for ending in (close_with_unread_data, reset_after_end):
            target = EarlyTarget(HALF, ending)
            status, reply = await forward('/once/', target)
            case.assertEqual((502, 0), (status, reply.status))
            case.assertEqual(1, target.requests)
            event = b'\r\nid: 1\ndata: a\n\n'
            target = EarlyTarget(EARLY_HEAD + event, ending)
            status, reply = await forward('/stream/', target)
            case.assertEqual((502, 200), (status, reply.status))
            case.assertEqual(1, target.requests)

    connections.run(work)


def test_resumed_stream_is_whole_or_cut(case: support.Case) -> None:
    """Guards against ORDER: a stream that ended early counts as ended.

    Both targets end theirs with a reset, so that the caller's is cut.
    """

    async def work() -> None:
        target = EarlyTarget(
            EARLY_HEAD + b'\r\nid: 1\ndata: a\n\n', close_with_unread_data
        )
        status, reply = await forward('/resumable/', target)
        case.assertEqual((502, 200), (status, reply.status))
        case.assertEqual(b'id: 1\ndata: a\n\n', reply.body)
        case.assertEqual(2, target.requests)

    connections.run(work)


INVALID_STATUSES = (
    b'000',
    b'099',
    b'600',
    b'999',
    b'20',
    b'2000',
    b'0200',
    b'+20',
    b'2_0',
    b'-200',
    b'2e2',
    b'',
)


def create_answer(status: bytes) -> bytes:
    """Return a whole response of three bytes."""
    return (
        EARLY_HEAD.replace(b'200 OK', status + b' Odd')
        + b'Content-Length: 3\r\n\r\nodd'
    )


def test_invalid_status_is_a_broken_response(case: support.Case) -> None:
    """It proves nothing about the run and is not passed on.

    Calls that may run only once are sent once.
    """

    async def work() -> None:
        for text in INVALID_STATUSES:
            target = EarlyTarget(create_answer(text), close_cleanly)
            status, reply = await forward('/once/', target, b'')
            case.assertEqual((502, 0), (status, reply.status), text)
            case.assertEqual(1, target.requests, text)
            status, reply = await forward('/safe/', target, b'')
            case.assertEqual((502, 0), (status, reply.status), text)

    connections.run(work)


def test_statuses_of_the_whole_range_are_passed_on(
    case: support.Case,
) -> None:
    """A status that is unusual but valid reaches the caller unchanged."""

    async def work() -> None:
        for text in (b'200', b'299', b'404', b'499', b'599'):
            target = EarlyTarget(create_answer(text), close_cleanly)
            _, reply = await forward('/once/', target, b'')
            case.assertEqual(int(text), reply.status)

    connections.run(work)


PAGE = pathlib.Path(__file__).parents[2] / 'docs/explanation/promises.md'
FINAL = HEAD_STAMPED + b'Content-Length: 3\r\n\r\nown'
NO_BODY = HEAD_STAMPED.replace(b'200 OK', b'204 Any')
NOT_MODIFIED = HEAD_STAMPED.replace(b'200 OK', b'304 Any')
LENGTH = b'Content-Length: 3\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'\r\n3\r\nown\r\n0\r\n\r\n'
FRAMINGS = {
    '1xx, then a final response': (
        b'HTTP/1.1 100 Continue\r\n\r\n'
        b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' + FINAL
    ),
    '1xx with the head of a rejection, then a final response': (
        b'HTTP/1.1 102 Processing\r\nRetry-After: 9\r\n'
        b'X-Pistachioseam-Not-Executed: 1\r\n\r\n' + FINAL
    ),
    '1xx without a final response': b'HTTP/1.1 100 Continue\r\n\r\n',
    '1xx with a length and a body': (
        b'HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nown' + FINAL
    ),
    '204 without a body': NO_BODY + b'\r\n',
    '204 with a length and a body': NO_BODY + LENGTH + b'\r\nown',
    '204 with chunks': NO_BODY + CHUNKED + CHUNKS,
    '204 with bytes behind the head': NO_BODY + b'\r\nown',
    '304 with a length, without a body': NOT_MODIFIED + LENGTH + b'\r\n',
    '304 with a length and a body': NOT_MODIFIED + LENGTH + b'\r\nown',
    'the same length twice': HEAD_STAMPED + 2 * LENGTH + b'\r\nown',
    'two different lengths': (
        HEAD_STAMPED + LENGTH + b'Content-Length: 2\r\n\r\nown'
    ),
    'a length that is no number': (
        HEAD_STAMPED + b'Content-Length: +3\r\n\r\nown'
    ),
    'a length and chunks': HEAD_STAMPED + LENGTH + CHUNKED + CHUNKS,
    'bytes before the status line': b'own' + FINAL,
    'two transfer codings': HEAD_STAMPED + 2 * CHUNKED + CHUNKS,
    'another transfer coding': (
        HEAD_STAMPED + b'Transfer-Encoding: gzip\r\n\r\nown'
    ),
}
"""What a target sends, by the first column of the table."""


async def judge_framing(sent: bytes) -> tuple[str, str]:
    """Return what the caller gets, and whether the connection is used again.

    A body at the end of what the target sends arrives after a pause.
    """
    body = b'own' if sent.endswith(b'\r\n\r\nown') else b''

    async def send_body(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(body)
        await asyncio.sleep(6 * PAUSE_SECONDS)
        writer.close()

    target = EarlyTarget(sent.removesuffix(body), send_body)
    async with target.listen() as address:
        with target_connections.ConnectionPool(headers.HeaderCodec()) as pool:
            fetched = await pool.fetch(address, connections.create_call())
            outcome = 'broken, 502'
            if pipeline.is_successful(fetched):
                status, received = fetched.unwrap()
                outcome = f'{status}, {received.decode() or "no body"}'
            await asyncio.sleep(3 * PAUSE_SECONDS)
            idle = pool._idle.get(address, ())
            return outcome, 'yes' if any(idle) else 'no'


def test_unclear_responses_are_judged_as_the_table_says(
    case: support.Case,
) -> None:
    """Guards against MIXED: bytes of one response taken for another's."""
    tables = PAGE.read_text().split('\n\n')
    (table,) = [each for each in tables if each.startswith('| a target sends')]
    rows = [
        tuple(cell.strip() for cell in line.strip('|').split('|'))
        for line in table.splitlines()[2:]
    ]

    async def work() -> None:
        judged = [
            (name, *await judge_framing(sent))
            for name, sent in FRAMINGS.items()
        ]
        case.assertEqual(rows, judged)

    connections.run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
