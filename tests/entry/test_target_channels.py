"""Channels to targets are kept while sound, and dropped when in doubt."""

import asyncio
from collections import abc
import contextlib
import socket
import struct
import typing

from returns import pipeline

from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from pistachioseam_entry import reactors
from pistachioseam_entry import target_channels
from pistachioseam_platform import headers
from tests import support

Kind = interfaces.FailureKind
HEAD = b'HTTP/1.1 200 OK\r\nX-Pistachioseam-Request-Id: 1\r\n'
WHOLE = HEAD + b'Content-Length: 2\r\n\r\nok'
LOOP_SECONDS = 10.0


class Target:
    """Server that writes given bytes for each request of a channel."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.channels = 0
        self.address = ''

    async def __aenter__(self) -> 'Target':
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1')
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.channels += 1
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionResetError
        ):
            await self._answer(reader, writer)
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while self.answers:
            await reader.readuntil(b'\r\n\r\n')
            answer = self.answers.pop(0)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
            if b'Content-Length' not in answer:
                return


def run(
    work: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    """Run a test on the reactor's loop."""
    loop = reactors.get_reactor()._asyncioEventloop
    loop.run_until_complete(asyncio.wait_for(work(), LOOP_SECONDS))


def create_call(max_idle_seconds: float = 60.0) -> ports.OutgoingCall:
    """Return a call without a body."""
    return ports.OutgoingCall(
        request_id='1',
        method=b'GET',
        uri=b'/x',
        headers=((b'Host', b'h'), (b'X-Pistachioseam-Request-Id', b'1')),
        body=b'',
        seconds_left=5.0,
        incarnation='i',
        max_idle_seconds=max_idle_seconds,
    )


async def fetch(
    pool: target_channels.ChannelPool, address: str, **fields: float
) -> typing.Any:
    """Return the body of an answer, or the failure."""
    sent = await pool.send(address, create_call(**fields))
    if not pipeline.is_successful(sent):
        return sent.failure().kind
    answer = sent.unwrap()
    read = await delivery.read_body(answer)
    answer.abort()
    if not pipeline.is_successful(read):
        return read.failure().kind
    return read.unwrap()


def test_sound_channel_is_kept(case: support.Case) -> None:
    """Two calls share a channel; a call may ask for a fresh one."""

    async def work() -> None:
        async with Target(WHOLE, WHOLE, WHOLE) as target:
            with target_channels.ChannelPool(headers.HeaderCodec()) as pool:
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(1, target.channels)
                await asyncio.sleep(0.05)
                case.assertEqual(
                    b'ok',
                    await fetch(pool, target.address, max_idle_seconds=0.01),
                )
                case.assertEqual(2, target.channels)

    run(work)


def test_stated_idle_time_is_kept_to(case: support.Case) -> None:
    """A channel is not used when its target may be about to close it."""
    stated = HEAD + b'Keep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok'

    async def work() -> None:
        async with Target(stated, WHOLE, WHOLE) as target:
            with target_channels.ChannelPool(headers.HeaderCodec()) as pool:
                for channels in (1, 2, 2):
                    case.assertEqual(b'ok', await fetch(pool, target.address))
                    case.assertEqual(channels, target.channels)

    run(work)
    choose = target_channels.choose_idle_seconds
    case.assertEqual(4.0, choose([b'timeout=5, max=100']))
    case.assertEqual(
        target_channels.MOST_IDLE_SECONDS, choose([b'timeout=60'])
    )
    case.assertEqual(target_channels.IDLE_SECONDS, choose([]))


def test_bytes_behind_an_answer_end_the_channel(case: support.Case) -> None:
    """What follows a whole answer belongs to no request."""

    async def work() -> None:
        async with Target(WHOLE + b'junk', WHOLE) as target:
            with target_channels.ChannelPool(headers.HeaderCodec()) as pool:
                case.assertEqual(b'ok', await fetch(pool, target.address))
                await asyncio.sleep(0.05)
                case.assertEqual(b'ok', await fetch(pool, target.address))
                case.assertEqual(2, target.channels)

    run(work)


def test_short_and_torn_answers_are_failures(case: support.Case) -> None:
    """A body that ends early, no head, and no bytes are all broken."""
    short = HEAD + b'Content-Length: 9\r\n\r\nok'
    chunked = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'

    async def work() -> None:
        for answer in (short, chunked, b'no protocol\r\n\r\n', None):
            async with Target(answer) as target:
                with target_channels.ChannelPool(
                    headers.HeaderCodec()
                ) as pool:
                    kind = await fetch(pool, target.address)
                    case.assertIs(Kind.BROKEN, kind)

    run(work)


def test_answer_without_length_ends_with_its_channel(
    case: support.Case,
) -> None:
    """A clean end of the channel is the end of such a body."""

    async def work() -> None:
        async with Target(HEAD + b'\r\nall') as target:
            with target_channels.ChannelPool(headers.HeaderCodec()) as pool:
                case.assertEqual(b'all', await fetch(pool, target.address))

    run(work)


def test_reset_inside_an_answer_without_length_is_a_failure(
    case: support.Case,
) -> None:
    """Only a clean end of the channel completes such a body."""

    async def work() -> None:
        async def tear(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD + b'\r\nhalf')
            await writer.drain()
            await asyncio.sleep(0.05)
            raw = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        server = await asyncio.start_server(tear, '127.0.0.1')
        port = server.sockets[0].getsockname()[1]
        with target_channels.ChannelPool(headers.HeaderCodec()) as pool:
            kind = await fetch(pool, f'127.0.0.1:{port}')
            case.assertIs(Kind.BROKEN, kind)
        server.close()

    run(work)


def test_refused_channel_is_not_sent(case: support.Case) -> None:
    """A port that nobody listens on got nothing."""

    async def work() -> None:
        async with Target() as target:
            address = target.address
        with target_channels.ChannelPool(headers.HeaderCodec()) as pool:
            case.assertIs(Kind.NOT_SENT, await fetch(pool, address))
            case.assertTrue(await pool.is_connection_refused(address))

    run(work)


def test_cancelled_call_drops_its_channel(case: support.Case) -> None:
    """The target sees the close of a call that nobody waits for."""

    async def work() -> None:
        closed = asyncio.Event()

        async def hang(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(hang, '127.0.0.1')
        port = server.sockets[0].getsockname()[1]
        with target_channels.ChannelPool(headers.HeaderCodec()) as pool:
            calling = asyncio.ensure_future(fetch(pool, f'127.0.0.1:{port}'))
            await asyncio.sleep(0.1)
            calling.cancel()
            await asyncio.wait_for(closed.wait(), 0.5)
        server.close()

    run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
