"""Readers of the bodies of targets' responses, with bounded buffers."""

import asyncio
import collections
import typing

from returns import result
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

from pistachioseam import chats
from pistachioseam import interfaces
from pistachioseam import numerals

HIGH_WATERMARK_EVENTS = 256
"""Buffered events above which reading from the target pauses."""
LOW_WATERMARK_EVENTS = 64
"""Buffered events below which reading resumes."""
EVENT_SEPARATOR = b'\n\n'

ReadResult: typing.TypeAlias = result.Result[bytes, interfaces.CallFailure]
PieceResult: typing.TypeAlias = result.Result[
    interfaces.Piece, interfaces.CallFailure
]


class DiscardingReader(protocol.Protocol):
    """Reader that discards a body."""


class BodyReader(protocol.Protocol):
    """Reader of one body, complete or as server-sent events.

    `max_bytes` bounds the buffer, which holds the complete body, or the data
    that is not split into events yet.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = b''
        self._events: collections.deque[bytes] = collections.deque()
        self._is_paused = False
        self._end_reason: interfaces.CallFailure | None = None
        self._is_complete = False
        self._changed = asyncio.Event()
        self._is_streaming = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer data; pause reading above the high watermark."""
        self._buffer += data
        if len(self._buffer) > self._max_bytes:
            self._end_and_disconnect('the response exceeds max_answer_bytes')
            return
        if EVENT_SEPARATOR in self._buffer and self._is_streaming:
            self._split_events()
        self._changed.set()

    def _split_events(self) -> None:
        *complete_events, self._buffer = self._buffer.split(EVENT_SEPARATOR)
        self._events.extend(complete_events)
        if len(self._events) > HIGH_WATERMARK_EVENTS and not self._is_paused:
            self._is_paused = True
            self._get_transport().pauseProducing()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Record the end of the body and whether it is complete."""
        self._is_complete = reason.check(client.ResponseDone) is not None
        self._mark_ended('the connection was lost')

    def _mark_ended(self, detail: str) -> None:
        if self._end_reason is None:
            kind = interfaces.FailureKind.BROKEN
            self._end_reason = interfaces.CallFailure(kind, detail)
        self._changed.set()

    def _get_transport(self) -> typing.Any:
        return self.transport

    def abort(self) -> None:
        """Close the connection unless the body has ended."""
        if self._end_reason is None:
            self._end_and_disconnect('this host closed the connection')

    def _end_and_disconnect(self, detail: str) -> None:
        self._mark_ended(detail)
        if self.transport is not None:
            self._get_transport().loseConnection()

    async def read_all(self, idle_seconds: float) -> ReadResult:
        """Return the complete body; fail after `idle_seconds` without data."""
        while self._end_reason is None:
            if not await self._wait_for_change(idle_seconds):
                self.abort()
                return _create_timeout_failure()
        if self._is_complete:
            return result.Success(self._buffer)
        return result.Failure(self._end_reason)

    async def read_event(self, idle_seconds: float) -> ReadResult:
        """Return the next event; fail after `idle_seconds` without data."""
        self._is_streaming = True
        if EVENT_SEPARATOR in self._buffer:
            self._split_events()
        while not self._events:
            if self._end_reason is not None:
                return result.Failure(self._end_reason)
            if not await self._wait_for_change(idle_seconds):
                return _create_timeout_failure()
        if self._is_paused and len(self._events) < LOW_WATERMARK_EVENTS:
            self._is_paused = False
            self._get_transport().resumeProducing()
        return result.Success(self._events.popleft())

    async def _wait_for_change(self, seconds: float) -> bool:
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True


def _create_timeout_failure() -> ReadResult:
    kind = interfaces.FailureKind.TIMED_OUT
    return result.Failure(
        interfaces.CallFailure(kind, 'timed out waiting for data')
    )


def parse_piece(event: bytes) -> PieceResult:
    """Parse an event of the lines `id: REQUEST_ID:NUMBER` and `data: ...`."""
    id_line, _, data = event.partition(b'\ndata: ')
    request_id, _, number = id_line.removeprefix(b'id: ').rpartition(b':')
    parsed_number = numerals.parse_natural(number.decode('latin-1'))
    if parsed_number is None:
        kind = interfaces.FailureKind.BROKEN
        return result.Failure(interfaces.CallFailure(kind, 'malformed event'))
    piece = interfaces.Piece(
        request_id.decode('utf-8', 'replace'),
        parsed_number,
        data,
        data == chats.END_MARK,
    )
    return result.Success(piece)
