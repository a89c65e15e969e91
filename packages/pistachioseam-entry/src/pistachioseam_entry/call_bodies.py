"""Bodies of forwarded calls and answers, byte for byte."""

import asyncio
import collections
from collections import abc
import typing

from returns import result
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import iweb
from zope import interface

from pistachioseam import interfaces

PAUSE_BYTES = 262_144
"""Bytes of one answer that wait for a slow caller before its target does."""

ReadResult: typing.TypeAlias = result.Result[bytes, interfaces.CallFailure]


@interface.implementer(iweb.IBodyProducer)
class BytesBody:
    """Body of a request that is in memory already."""

    def __init__(self, content: bytes) -> None:
        self.length = len(content)
        self._content = content

    def startProducing(  # noqa: N802
        self, consumer: typing.Any
    ) -> defer.Deferred[None]:
        """Write all of it at once."""
        consumer.write(self._content)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; all is written."""


class BytesReader(protocol.Protocol):
    """Reader of one answer's body, in the pieces that arrive.

    A body without a length ends with its connection: it is whole only if
    `is_reset` tells that the connection was not reset.
    """

    def __init__(self, is_reset: abc.Callable[[], bool]) -> None:
        self._is_reset = is_reset
        self._chunks: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._is_paused = False
        self._changed = asyncio.Event()
        self._ending: ReadResult | None = None

    def is_ended(self) -> bool:
        """Tell whether the body has arrived or broken off."""
        return self._ending is not None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep data, and pause the target when much of it waits."""
        self._chunks.append(data)
        self._waiting_bytes += len(data)
        if self._waiting_bytes > PAUSE_BYTES and not self._is_paused:
            self._is_paused = True
            self._get_transport().pauseProducing()
        self._changed.set()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Note the end of the body, whole or broken."""
        is_whole = reason.check(client.ResponseDone) is not None
        if reason.check(http.PotentialDataLoss):
            is_whole = not self._is_reset()
        if is_whole:
            self._ending = result.Success(b'')
        else:
            kind = interfaces.FailureKind.BROKEN
            self._ending = result.Failure(
                interfaces.CallFailure(kind, describe_failure(reason))
            )
        self._changed.set()

    def _get_transport(self) -> typing.Any:
        return self.transport

    async def read(self) -> ReadResult:
        """Return the next bytes; empty at the proven end of the body."""
        while not self._chunks:
            if self._ending is not None:
                return self._ending
            self._changed.clear()
            await self._changed.wait()
        data = b''.join(self._chunks)
        self._chunks.clear()
        self._waiting_bytes = 0
        if self._is_paused:
            self._is_paused = False
            self._get_transport().resumeProducing()
        return result.Success(data)


def describe_failure(reason: failure.Failure) -> str:
    """Return the names of an error and of what caused it."""
    causes = getattr(reason.value, 'reasons', None) or []
    names = [type(cause.value).__name__ for cause in causes]
    return '/'.join([type(reason.value).__name__, *names])
