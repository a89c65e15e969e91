"""Bodies of forwarded requests and responses, which stay unchanged."""

import asyncio
import collections
from collections import abc
import typing

from returns import result
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http
from twisted.web import iweb
from zope import interface

from pistachioseam import interfaces

MAX_BUFFERED_BYTES = 262_144
"""Buffered bytes of one response beyond which reading from its target pauses,
as backpressure from a slow caller. Targets cut off a response that stays
unread for some seconds, so a response is not paused before."""
MIN_BUFFERED_BYTES = 16_384
"""The same while the buffers of all responses together are full."""
DEFAULT_BUFFERS_BYTES = 8_388_608
"""Limit on the buffers of all responses together, unless it is set."""
MAX_QUOTED_CHARACTERS = 60
"""Characters of malformed data in a log line."""

ReadResult: typing.TypeAlias = result.Result[bytes, interfaces.CallFailure]


class ResponseBuffers:
    """Bytes of targets' responses that a host holds for slow callers."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.limit_bytes = DEFAULT_BUFFERS_BYTES

    def is_full_for(self, own_bytes: int) -> bool:
        """Return whether a response with these bytes must be paused."""
        if self.held_bytes > self.limit_bytes:
            return own_bytes > MIN_BUFFERED_BYTES
        return own_bytes > MAX_BUFFERED_BYTES


@interface.implementer(iweb.IBodyProducer)
class BytesBody:
    """Producer of a request body that is held in memory."""

    def __init__(self, content: bytes) -> None:
        self.length = len(content)
        self._content = content

    def startProducing(  # noqa: N802
        self, consumer: typing.Any
    ) -> defer.Deferred[None]:
        """Write the whole body at once."""
        consumer.write(self._content)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body has been written."""


class BodyReader(protocol.Protocol):
    """Reader of one response body, in chunks as they arrive.

    A body without a length ends with its connection. It is complete only if
    `is_reset` returns False: the connection was closed without a reset.
    `is_end_marked` is set at the end of a body with a length or chunks.
    `buffers` counts what this reader holds.
    """

    def __init__(
        self,
        is_reset: abc.Callable[[], bool],
        buffers: ResponseBuffers | None = None,
    ) -> None:
        self._is_reset = is_reset
        self._buffers = buffers or ResponseBuffers()
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_paused = False
        self._is_abandoned = False
        self._changed = asyncio.Event()
        self._end: ReadResult | None = None
        self.is_end_marked = False

    def is_ended(self) -> bool:
        """Return whether the body has ended, complete or not."""
        return self._end is not None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffer data; pause reading from the target if there is too much."""
        if self._is_abandoned:
            return
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._buffers.held_bytes += len(data)
        is_full = self._buffers.is_full_for(self._buffered_bytes)
        if is_full and not self._is_paused:
            self._is_paused = True
            self._get_transport().pauseProducing()
        self._changed.set()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Record the end of the body, complete or truncated."""
        self.is_end_marked = reason.check(client.ResponseDone) is not None
        is_complete = self.is_end_marked
        if reason.check(http.PotentialDataLoss):
            is_complete = not self._is_reset()
        if is_complete:
            self._end = result.Success(b'')
        else:
            kind = interfaces.FailureKind.BROKEN
            self._end = result.Failure(
                interfaces.CallFailure(kind, describe_failure(reason))
            )
        self._changed.set()

    def _get_transport(self) -> typing.Any:
        return self.transport

    def abandon(self) -> None:
        """Discard what is buffered and all that is still to come."""
        self._is_abandoned = True
        self._release()

    def _release(self) -> None:
        self._chunks.clear()
        self._buffers.held_bytes -= self._buffered_bytes
        self._buffered_bytes = 0

    async def read(self) -> ReadResult:
        """Return the next bytes, empty at the end of a complete body."""
        while not self._chunks:
            if self._end is not None:
                return self._end
            self._changed.clear()
            await self._changed.wait()
        data = b''.join(self._chunks)
        self._release()
        if self._is_paused:
            self._is_paused = False
            self._get_transport().resumeProducing()
        return result.Success(data)


def describe_failure(reason: failure.Failure) -> str:
    """Return the class names of an error and its causes, joined by `/`.

    Malformed data are quoted.
    """
    causes = getattr(reason.value, 'reasons', None) or []
    names = [_describe_error(cause.value) for cause in causes]
    return '/'.join([_describe_error(reason.value), *names])


def _describe_error(error: BaseException | None) -> str:
    name = type(error).__name__
    if not isinstance(error, _newclient.ParseError):
        return name
    return f'{name}: {error.args[0]}: {error.data!r:.{MAX_QUOTED_CHARACTERS}}'
