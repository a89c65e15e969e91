"""Targets that send bytes without end cost neither memory nor other calls."""

import asyncio
from collections import abc
import contextlib
import tracemalloc
import typing

import attrs
from returns import pipeline

from pistachioseam.forwarding import event_streams
from pistachioseam import interfaces
from pistachioseam import response_budgets
from pistachioseam_entry import reactors
from pistachioseam_entry import target_connections
from pistachioseam_platform import headers
from tests.entry import test_target_connections as connections
from tests import support

HEAD = connections.HEAD
FAST_SECONDS = 5.0
"""Time in which a fast endless response must have ended."""
MAX_SENT_BYTES = 24_000_000
"""Bytes that a target may get rid of: limits of the router, socket buffers."""
MAX_MEMORY_BYTES = 6_000_000
SLOW_CALL_SECONDS = 0.5

PLACES: dict[str, tuple[bytes, bytes]] = {
    'status line': (b'', b'x' * 1000),
    'status phrase': (b'HTTP/1.1 200 ', b'x' * 1000),
    'header name': (HEAD, b'x' * 1000),
    'header value': (HEAD + b'X-Long: ', b'x' * 1000),
    'header lines': (HEAD, b'X-Other: value\r\n' * 60),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 40),
    'body without length': (HEAD + b'\r\n', b'x' * 1000),
    'chunk size': (HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'1' * 1000),
    'chunk extension': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;',
        b'x' * 1000,
    ),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'3e8\r\n' + b'x' * 1000 + b'\r\n',
    ),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Other: value\r\n' * 60,
    ),
    'body beyond all limits': (
        HEAD + b'Content-Length: 999999999999\r\n\r\n',
        b'x' * 1000,
    ),
}
"""Start of a response, and what its target then repeats, by the place."""


@attrs.define
class EndlessTarget:
    """Target that starts a response and never ends it.

    `pause_seconds` is the pause between two repeated parts. The first
    `sound_responses` requests get a short complete response.
    """

    start: bytes
    part: bytes
    pause_seconds: float = 0.0
    sound_responses: int = 0
    sent_bytes: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @contextlib.asynccontextmanager
    async def listen(self) -> abc.AsyncIterator[str]:
        """Listen on loopback; give the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1')
        port = server.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'
        server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                if not self.sound_responses:
                    break
                self.sound_responses -= 1
                writer.write(connections.RESPONSE)
            writer.write(self.start)
            while True:
                writer.write(self.part)
                await writer.drain()
                self.sent_bytes += len(self.part)
                await asyncio.sleep(self.pause_seconds)
        self.closed.set()
        writer.close()


async def fetch(
    pool: target_connections.ConnectionPool, address: str, seconds: float
) -> typing.Any:
    """Return the body of a response, or the kind of the failure."""
    call = attrs.evolve(connections.create_call(), seconds_left=seconds)
    fetched = await pool.fetch(address, call)
    if pipeline.is_successful(fetched):
        return fetched.unwrap()[1]
    return fetched.failure().kind


def run(
    work: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    """Run a test on the reactor's loop."""
    loop = reactors.get_reactor()._asyncioEventloop
    loop.run_until_complete(asyncio.wait_for(work(), 60.0))


def test_fast_endless_responses_are_cut(case: support.Case) -> None:
    """The connection is closed after a bounded number of bytes."""

    async def work() -> None:
        for place, (start, part) in PLACES.items():
            target = EndlessTarget(start, part)
            pool = target_connections.ConnectionPool(headers.HeaderCodec())
            async with target.listen() as address:
                tracemalloc.start()
                kind = await fetch(pool, address, FAST_SECONDS)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                case.assertIs(interfaces.FailureKind.BROKEN, kind, place)
                await asyncio.wait_for(target.closed.wait(), 1.0)
            case.assertLess(target.sent_bytes, MAX_SENT_BYTES, place)
            case.assertLess(peak, MAX_MEMORY_BYTES, place)
            case.assertEqual(0, pool.count_open(), place)

    run(work)


def test_slow_endless_responses_end_with_their_call(
    case: support.Case,
) -> None:
    """A byte now and then does not keep a connection beyond the deadline."""

    async def work() -> None:
        for place, (start, part) in PLACES.items():
            target = EndlessTarget(start, part[:1], pause_seconds=0.02)
            pool = target_connections.ConnectionPool(headers.HeaderCodec())
            async with target.listen() as address:
                kind = await fetch(pool, address, SLOW_CALL_SECONDS)
                case.assertIsInstance(kind, interfaces.FailureKind, place)
                await asyncio.wait_for(target.closed.wait(), 1.0)
            case.assertEqual(0, pool.count_open(), place)

    run(work)


def test_endless_bytes_after_a_response_close_the_connection(
    case: support.Case,
) -> None:
    """The response counts, and the next call gets a connection of its own."""

    async def work() -> None:
        sound = connections.RESPONSE
        target = EndlessTarget(sound, b'x' * 1000)
        pool = target_connections.ConnectionPool(headers.HeaderCodec())
        async with target.listen() as address:
            case.assertEqual(b'ok', await fetch(pool, address, 1.0))
            await asyncio.wait_for(target.closed.wait(), 1.0)
            case.assertEqual(0, pool.count_open())
            target.sound_responses = 1
            case.assertEqual(b'ok', await fetch(pool, address, 1.0))
        pool.__exit__()

    run(work)


def test_event_without_end_is_not_buffered(case: support.Case) -> None:
    """A stream whose event grows beyond the limit is broken."""
    splitter = event_streams.EventSplitter()
    limit = event_streams.MAX_EVENT_BYTES
    case.assertEqual([], splitter.feed(b'id: 1\ndata: ' + b'x' * limit))
    case.assertTrue(splitter.is_too_large())
    splitter = event_streams.EventSplitter()
    events = splitter.feed(b'id: 1\ndata: ok\n\n' * limit)
    case.assertEqual(limit, len(events))
    case.assertFalse(splitter.is_too_large())


def test_plain_body_without_length_has_its_own_limit(
    case: support.Case,
) -> None:
    """A long body is accepted if its target has declared the length."""

    async def work() -> None:
        length = 2 * response_budgets.MAX_UNDECLARED_BYTES
        body = b'x' * length
        declared = HEAD + b'Content-Length: %d\r\n\r\n' % length + body
        async with connections.FakeTarget(declared) as target:
            pool = target_connections.ConnectionPool(headers.HeaderCodec())
            case.assertEqual(body, await fetch(pool, target.address, 5.0))
            pool.__exit__()

    run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
