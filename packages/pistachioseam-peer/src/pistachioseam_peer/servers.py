"""Server of the protocol between entry hosts."""

from collections import abc
import time
import typing

import grpclib
from grpclib import const
from grpclib import server
from returns import pipeline

from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_grpc
from pistachioseam_peer.generated import messages_pb2

Answerer: typing.TypeAlias = abc.Callable[
    [messages_pb2.Message], abc.Awaitable[messages_pb2.Message]
]
Hearer: typing.TypeAlias = abc.Callable[[messages_pb2.Message], None]
Rejecter: typing.TypeAlias = abc.Callable[[envelopes.Rejection], None]


def get_now_ms() -> int:
    """Return Unix milliseconds."""
    return time.time_ns() // 1_000_000


class PeerServer(messages_grpc.PeerBase):
    """Answers authenticated messages; refuses and counts all others."""

    def __init__(
        self,
        secret: bytes,
        answer: Answerer,
        hear: Hearer,
        reject: Rejecter,
    ) -> None:
        self._secret = secret
        self._answer = answer
        self._hear = hear
        self._reject = reject
        self._server = server.Server([self])

    async def start(self, host: str, port: int) -> None:
        """Listen on an IP number and port."""
        await self._server.start(host, port)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def Exchange(self, stream: typing.Any) -> None:  # noqa: N802
        """Answer one message."""
        message = self._open(await stream.recv_message())
        answer = await self._answer(message)
        envelope = envelopes.seal(self._secret, answer, get_now_ms())
        await stream.send_message(envelope)

    async def Tell(self, stream: typing.Any) -> None:  # noqa: N802
        """Take in one-way messages until the peer ends the stream."""
        async for envelope in stream:
            self._hear(self._open(envelope))
        await stream.send_message(messages_pb2.Envelope())

    def _open(self, envelope: messages_pb2.Envelope) -> messages_pb2.Message:
        """Return the message; raise GRPCError if it is refused."""
        opened = envelopes.open_envelope(self._secret, envelope, get_now_ms())
        if pipeline.is_successful(opened):
            return opened.unwrap()
        self._reject(opened.failure())
        raise grpclib.GRPCError(
            const.Status.UNAUTHENTICATED, opened.failure().value
        )
