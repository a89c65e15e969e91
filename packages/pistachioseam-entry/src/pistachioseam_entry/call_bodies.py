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
from pistachioseam import response_budgets
from pistachioseam_entry import sockets

MAX_READ_BYTES = 16_384
"""Most bytes of a body that are passed on at once. A relayed part has several
copies while it waits for the other host."""
MAX_QUOTED_CHARACTERS = 60
"""Characters of malformed data in a log line."""

ReadResult: typing.TypeAlias = result.Result[bytes, interfaces.CallFailure]


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
    `budget` counts what this reader holds, and what the kernel may hold while
    it does not read.
    """

    def __init__(
        self,
        is_reset: abc.Callable[[], bool],
        budget: response_budgets.ResponseBudget | None = None,
    ) -> None:
        self._is_reset = is_reset
        self._budget = budget or response_budgets.ResponseBudget()
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
        self._count(len(data))
        if self._is_full():
            self._pause()
        self._changed.set()

    def _is_full(self) -> bool:
        return self._budget.is_full_for(self._buffered_bytes)

    def _count(self, change: int) -> None:
        self._buffered_bytes += change
        self._budget.held_bytes += change

    def _pause(self) -> None:
        """Stop reading from the target.

        `deliverBody` resumes the transport after the first data, so this is
        repeated for each part that arrives nevertheless.
        """
        if not self._is_paused:
            self._is_paused = True
            self._budget.held_bytes += sockets.RECEIVE_BUFFER_BYTES
        self._get_transport().pauseProducing()

    def _resume(self) -> None:
        """Read from the target again."""
        if not self._is_paused:
            return
        self._is_paused = False
        self._budget.held_bytes -= sockets.RECEIVE_BUFFER_BYTES
        if self._end is None and not self._is_abandoned:
            self._get_transport().resumeProducing()

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
        self._chunks.clear()
        self._count(-self._buffered_bytes)
        self._resume()

    async def read(self) -> ReadResult:
        """Return the next bytes, empty at the end of a complete body."""
        while not self._chunks:
            if self._end is not None:
                return self._end
            self._changed.clear()
            await self._changed.wait()
        part = self._take_part()
        self._count(-len(part))
        if not self._is_full():
            self._resume()
        return result.Success(part)

    def _take_part(self) -> bytes:
        """Remove and return the first bytes, short chunks joined."""
        parts: list[bytes] = []
        room = MAX_READ_BYTES
        while self._chunks and room:
            chunk = self._chunks.popleft()
            if len(chunk) > room:
                self._chunks.appendleft(chunk[room:])
            parts.append(chunk[:room])
            room -= len(parts[-1])
        return b''.join(parts)


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
