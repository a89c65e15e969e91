"""gRPC server for messages from other hosts."""

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

MAX_SECRETS = 3
"""Secrets that are accepted, the newest and former ones."""
RequestHandler: typing.TypeAlias = abc.Callable[
    [messages_pb2.Message], abc.Awaitable[messages_pb2.Message]
]
MessageHandler: typing.TypeAlias = abc.Callable[[messages_pb2.Message], None]
RejectionHandler: typing.TypeAlias = abc.Callable[[envelopes.Rejection], None]


def get_now_ms() -> int:
    """Return the current Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class PeerServer(messages_grpc.PeerBase):
    """gRPC service that handles authentic messages and rejects all others.

    `handle_request` returns the response to a message, `handle_message`
    processes a one-way message, `handle_rejection` gets the reason of a
    rejection.
    """

    def __init__(
        self,
        secret: bytes,
        handle_request: RequestHandler,
        handle_message: MessageHandler,
        handle_rejection: RejectionHandler,
    ) -> None:
        self._secrets = [secret]
        self._handle_request = handle_request
        self._handle_message = handle_message
        self._handle_rejection = handle_rejection
        self._server = server.Server([self])

    def add_secret(self, secret: bytes) -> None:
        """Accept also messages with this secret, tried before the others."""
        if secret in self._secrets:
            self._secrets.remove(secret)
        self._secrets.insert(0, secret)
        del self._secrets[MAX_SECRETS:]

    async def start(self, host: str, port: int) -> None:
        """Listen on an IP address and port."""
        await self._server.start(host, port)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def Exchange(self, stream: typing.Any) -> None:  # noqa: N802
        """Respond to one message."""
        message, secret = self._open_envelope(await stream.recv_message())
        response = await self._handle_request(message)
        envelope = envelopes.create_envelope(secret, response, get_now_ms())
        await stream.send_message(envelope)

    async def Tell(self, stream: typing.Any) -> None:  # noqa: N802
        """Handle one-way messages until the peer ends the stream."""
        async for envelope in stream:
            self._handle_message(self._open_envelope(envelope)[0])
        await stream.send_message(messages_pb2.Envelope())

    def _open_envelope(
        self, envelope: messages_pb2.Envelope
    ) -> tuple[messages_pb2.Message, bytes]:
        """Return the message and its secret.

        Raise GRPCError if the message is rejected.
        """
        for secret in self._secrets:
            opened = envelopes.open_envelope(secret, envelope, get_now_ms())
            if pipeline.is_successful(opened):
                return opened.unwrap(), secret
            if opened.failure() is not envelopes.Rejection.BAD_TAG:
                break
        self._handle_rejection(opened.failure())
        raise grpclib.GRPCError(
            const.Status.UNAUTHENTICATED, opened.failure().value
        )
