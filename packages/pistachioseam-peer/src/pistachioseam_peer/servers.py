"""gRPC server for messages from other hosts."""

from collections import abc
import time
import typing

import grpclib
from grpclib import const
from returns import pipeline

from pistachioseam_peer import bounded_servers
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


class RelayStream(typing.Protocol):
    """Messages of one relayed call, to and from the other host."""

    async def send(self, message: messages_pb2.Message) -> None:
        """Send a message, waiting while the other host reads too slowly."""

    async def receive(self) -> messages_pb2.Message | None:
        """Return the next message, None at the end of the stream."""


RelayHandler: typing.TypeAlias = abc.Callable[
    [RelayStream], abc.Awaitable[None]
]


async def refuse_relay(stream: RelayStream) -> None:
    """Refuse to relay any call."""
    raise grpclib.GRPCError(const.Status.UNIMPLEMENTED, 'no relay')


class _ServerRelayStream:
    """Server's end of the stream of a relayed call."""

    def __init__(self, stream: typing.Any, server: 'PeerServer') -> None:
        self._stream = stream
        self._server = server
        self._secret = b''

    async def send(self, message: messages_pb2.Message) -> None:
        """Send a message with the secret of the last one received."""
        envelope = envelopes.create_envelope(
            self._secret, message, get_now_ms()
        )
        await self._stream.send_message(envelope)

    async def receive(self) -> messages_pb2.Message | None:
        """Return the next authentic message, None at the end."""
        envelope = await self._stream.recv_message()
        if envelope is None:
            return None
        message, self._secret = self._server.open_envelope(envelope)
        return message


def get_now_ms() -> int:
    """Return the current Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class PeerServer(messages_grpc.PeerBase):
    """gRPC service that handles authentic messages and rejects all others.

    `handle_request` returns the response to a message, `handle_message`
    processes a one-way message, `handle_rejection` gets the reason of a
    rejection, `handle_relay` the stream of a call to relay. The limits are
    those of `bounded_servers`.
    """

    def __init__(
        self,
        secret: bytes,
        handle_request: RequestHandler,
        handle_message: MessageHandler,
        handle_rejection: RejectionHandler,
        handle_relay: RelayHandler = refuse_relay,
        max_message_bytes: int = bounded_servers.MAX_MESSAGE_BYTES,
        max_held_bytes: int = bounded_servers.MAX_HELD_BYTES,
    ) -> None:
        self._secrets = [secret]
        self._handle_request = handle_request
        self._handle_message = handle_message
        self._handle_rejection = handle_rejection
        self._handle_relay = handle_relay
        self._server = bounded_servers.BoundedServer(
            [self], max_message_bytes, max_held_bytes
        )

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
        message, secret = self.open_envelope(await stream.recv_message())
        response = await self._handle_request(message)
        envelope = envelopes.create_envelope(secret, response, get_now_ms())
        await stream.send_message(envelope)

    async def Tell(self, stream: typing.Any) -> None:  # noqa: N802
        """Handle one-way messages until the peer ends the stream."""
        async for envelope in stream:
            self._handle_message(self.open_envelope(envelope)[0])
        await stream.send_message(messages_pb2.Envelope())

    async def Relay(self, stream: typing.Any) -> None:  # noqa: N802
        """Relay a call until the other host resets the stream."""
        await self._handle_relay(_ServerRelayStream(stream, self))

    def open_envelope(
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
