"""Bodies of targets' answers, buffered within bounds."""

import asyncio
import collections
import typing

from returns import result
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

from pistachioseam import chats
from pistachioseam import interfaces

PAUSE_EVENTS = 256
RESUME_EVENTS = 64
EVENT_SEPARATOR = b'\n\n'

ReadResult: typing.TypeAlias = result.Result[bytes, interfaces.CallFailure]
PieceResult: typing.TypeAlias = result.Result[
    interfaces.Piece, interfaces.CallFailure
]


class Discarder(protocol.Protocol):
    """Reader that ignores a body."""


class Body(protocol.Protocol):
    """Reader of one body, as a whole or as server-sent events."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = b''
        self._events: collections.deque[bytes] = collections.deque()
        self._is_paused = False
        self._ended: interfaces.CallFailure | None = None
        self._is_whole = False
        self._changed = asyncio.Event()
        self._is_streaming = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer data, pausing the sender when events pile up."""
        self._buffer += data
        if len(self._buffer) > self._max_bytes:
            self._drop('the answer is too large')
            return
        if EVENT_SEPARATOR in self._buffer and self._is_streaming:
            self._split()
        self._changed.set()

    def _split(self) -> None:
        *whole, self._buffer = self._buffer.split(EVENT_SEPARATOR)
        self._events.extend(whole)
        if len(self._events) > PAUSE_EVENTS and not self._is_paused:
            self._is_paused = True
            self._transport().pauseProducing()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Note the end of the body, whole or broken."""
        self._is_whole = reason.check(client.ResponseDone) is not None
        self._end('the connection was lost')

    def _end(self, detail: str) -> None:
        if self._ended is None:
            kind = interfaces.FailureKind.BROKEN
            self._ended = interfaces.CallFailure(kind, detail)
        self._changed.set()

    def _transport(self) -> typing.Any:
        return self.transport

    def abort(self) -> None:
        """Drop the connection unless the body has ended."""
        if self._ended is None:
            self._drop('disconnected')

    def _drop(self, detail: str) -> None:
        self._end(detail)
        if self.transport is not None:
            self._transport().loseConnection()

    async def read_all(self, idle_seconds: float) -> ReadResult:
        """Return the whole body."""
        while self._ended is None:
            if not await self._wait(idle_seconds):
                self.abort()
                return _time_out()
        if self._is_whole:
            return result.Success(self._buffer)
        return result.Failure(self._ended)

    async def read_event(self, idle_seconds: float) -> ReadResult:
        """Return the next event."""
        self._is_streaming = True
        if EVENT_SEPARATOR in self._buffer:
            self._split()
        while not self._events:
            if self._ended is not None:
                return result.Failure(self._ended)
            if not await self._wait(idle_seconds):
                return _time_out()
        if self._is_paused and len(self._events) < RESUME_EVENTS:
            self._is_paused = False
            self._transport().resumeProducing()
        return result.Success(self._events.popleft())

    async def _wait(self, seconds: float) -> bool:
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True


def _time_out() -> ReadResult:
    kind = interfaces.FailureKind.TIMED_OUT
    return result.Failure(interfaces.CallFailure(kind, 'no data in time'))


def parse_piece(event: bytes) -> PieceResult:
    """Return the piece of an event with `id: REQUEST:NUMBER` and data."""
    head, _, data = event.partition(b'\ndata: ')
    request_id, _, number = head.removeprefix(b'id: ').rpartition(b':')
    if not number.isdigit():
        kind = interfaces.FailureKind.BROKEN
        return result.Failure(interfaces.CallFailure(kind, 'malformed event'))
    piece = interfaces.Piece(
        request_id.decode(), int(number), data, data == chats.END_MARK
    )
    return result.Success(piece)
