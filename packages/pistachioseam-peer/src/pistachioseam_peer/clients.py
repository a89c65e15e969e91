"""Client for the gRPC service of other hosts."""

import asyncio
from collections import abc
import contextlib

import attrs
from grpclib import client
from grpclib import config
from returns import pipeline
from returns import result

from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_grpc
from pistachioseam_peer.generated import messages_pb2
from pistachioseam_peer import isolation
from pistachioseam_peer import servers

MAX_QUEUED_MESSAGES = 4
"""Further messages to a peer that reads too slowly are dropped."""


RETIRED_SECONDS = 60.0
"""Time after which a connection that takes no further relayed calls is closed;
longer than callers wait."""
RELAY_WINDOW_BYTES = 65_536
"""Bytes that a host buffers of one relayed response."""
MAX_RELAY_STREAMS = 64
"""Relayed calls of one connection; further ones get another. HTTP/2 servers
accept 100 streams of a connection by default."""
RELAY_CONFIGURATION = config.Configuration(
    http2_connection_window_size=MAX_RELAY_STREAMS * RELAY_WINDOW_BYTES,
    http2_stream_window_size=RELAY_WINDOW_BYTES,
)
"""The window of a connection has room for those of all its streams: responses
that their callers do not read leave room for the others."""


def _open_connection(
    address: str, configuration: config.Configuration | None = None
) -> client.Channel:
    host, _, port = address.rpartition(':')
    return client.Channel(host.strip('[]'), int(port), config=configuration)


@attrs.define
class Traffic:
    """One-way messages to peers.

    `dropped` counts those that were dropped as the peer or the link to it is
    too slow, `sent_bytes` the bytes of the others.
    """

    sent: int = 0
    sent_bytes: int = 0
    dropped: int = 0


class _MessageStream:
    """Open gRPC stream of one-way messages to one peer."""

    def __init__(self, connection: client.Channel, traffic: Traffic) -> None:
        self._connection = connection
        self._traffic = traffic
        self._queue: asyncio.Queue[messages_pb2.Envelope] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._task = asyncio.ensure_future(self._run())

    def is_open(self) -> bool:
        """Return whether the stream still sends messages."""
        return not self._task.done()

    def enqueue(self, envelope: messages_pb2.Envelope) -> None:
        """Queue a message, or drop it if the queue is full."""
        if self._queue.full():
            self._traffic.dropped += 1
            return
        self._traffic.sent += 1
        self._traffic.sent_bytes += len(envelope.payload)
        self._queue.put_nowait(envelope)

    def close(self) -> None:
        """Cancel the stream."""
        self._task.cancel()

    async def _run(self) -> None:
        stub = messages_grpc.PeerStub(self._connection)
        try:
            async with stub.Tell.open() as stream:
                while True:
                    await stream.send_message(await self._queue.get())
        except Exception:
            # The next one-way message opens a new stream.
            return


@attrs.define
class RelayConnection:
    """Connection of relayed calls to one host; `streams` are open."""

    channel: client.Channel
    streams: int = 0


class ClientRelayStream:
    """Client's end of the stream of a relayed call.

    `close` ends it; the other host then cancels the call unless it has ended.
    """

    def __init__(self, connection: RelayConnection, secret: bytes) -> None:
        connection.streams += 1
        self._secret = secret
        self._connection = connection
        self._stream = messages_grpc.PeerStub(connection.channel).Relay.open()
        self._is_entered = False
        self._closing: asyncio.Future[None] | None = None

    async def send(self, message: messages_pb2.Message) -> None:
        """Send a message; raises an exception if the stream is broken."""
        envelope = envelopes.create_envelope(
            self._secret, message, servers.get_now_ms()
        )
        await isolation.run_isolated(self._send(envelope))

    async def _send(self, envelope: messages_pb2.Envelope) -> None:
        if not self._is_entered:
            self._is_entered = True
            await self._stream.__aenter__()
        await self._stream.send_message(envelope)

    async def receive(self) -> messages_pb2.Message | None:
        """Return the next message, None at the end.

        Raises an exception if the stream is broken or a message not authentic.
        """
        envelope = await isolation.run_isolated(self._stream.recv_message())
        if envelope is None:
            return None
        opened = envelopes.open_envelope(
            self._secret, envelope, servers.get_now_ms()
        )
        if not pipeline.is_successful(opened):
            raise ValueError(opened.failure().value)
        return opened.unwrap()

    def close(self) -> None:
        """End the stream in the background."""
        if self._closing is None:
            self._closing = asyncio.ensure_future(self._close())

    async def _close(self) -> None:
        self._connection.streams -= 1
        if not self._is_entered:
            return
        # The stream may have ended or broken before; then nothing is left to
        # cancel.
        with contextlib.suppress(Exception):
            await self._stream.cancel()
        with contextlib.suppress(Exception):
            await self._stream.__aexit__(None, None, None)


class PeerClient:
    """Connections to other hosts by address, `IP:port`.

    `secret` authenticates the messages; it may be replaced. Relayed calls have
    connections of their own, so that they do not delay statuses.
    """

    def __init__(self, secret: bytes) -> None:
        self.secret = secret
        self._traffic = Traffic()
        self._connections: dict[str, client.Channel] = {}
        self._streams: dict[str, _MessageStream] = {}
        self._relay_connections: dict[str, list[RelayConnection]] = {}

    def take_traffic(self) -> Traffic:
        """Return the one-way messages since the last call."""
        taken = attrs.evolve(self._traffic)
        self._traffic.sent = 0
        self._traffic.sent_bytes = 0
        self._traffic.dropped = 0
        return taken

    def __enter__(self) -> 'PeerClient':
        """Return the client."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections."""
        for address in list(self._connections):
            self.disconnect(address)
        for connections in self._relay_connections.values():
            for connection in connections:
                connection.channel.close()

    def open_relay(self, address: str) -> ClientRelayStream:
        """Return a new stream to relay a call through a host."""
        connections = self._relay_connections.setdefault(address, [])
        for connection in connections:
            if connection.streams < MAX_RELAY_STREAMS:
                return ClientRelayStream(connection, self.secret)
        connection = RelayConnection(
            _open_connection(address, RELAY_CONFIGURATION)
        )
        connections.append(connection)
        return ClientRelayStream(connection, self.secret)

    def disconnect_relay(self, address: str) -> None:
        """Relay no further calls on the connections to an address.

        Calls that they carry may still end, so they are closed later.
        """
        loop = asyncio.get_running_loop()
        for connection in self._relay_connections.pop(address, ()):
            loop.call_later(RETIRED_SECONDS, connection.channel.close)

    def disconnect(self, address: str) -> None:
        """Close the connection to an address; the next message reopens it."""
        stream = self._streams.pop(address, None)
        if stream is not None:
            stream.close()
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def _get_connection(self, address: str) -> client.Channel:
        connection = self._connections.get(address)
        if connection is None:
            connection = _open_connection(address)
            self._connections[address] = connection
        return connection

    def send_to_all(
        self, addresses: abc.Iterable[str], message: messages_pb2.Message
    ) -> None:
        """Queue a one-way message to each address.

        The envelope is created once.
        """
        envelope = envelopes.create_envelope(
            self.secret, message, servers.get_now_ms()
        )
        for address in addresses:
            stream = self._streams.get(address)
            if stream is None or not stream.is_open():
                stream = self._streams[address] = _MessageStream(
                    self._get_connection(address), self._traffic
                )
            stream.enqueue(envelope)

    async def exchange(
        self,
        address: str,
        message: messages_pb2.Message,
        timeout_seconds: float,
    ) -> result.Result[messages_pb2.Message, str]:
        """Send a message; return the response or why it failed.

        A failure is the exception's class name or the value of the
        `Rejection`.
        """
        stub = messages_grpc.PeerStub(self._get_connection(address))
        now_ms = servers.get_now_ms()
        secret = self.secret
        envelope = envelopes.create_envelope(secret, message, now_ms)
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await isolation.run_isolated(
                    stub.Exchange(envelope)
                )
        except Exception as error:
            return result.Failure(type(error).__name__)
        opened = envelopes.open_envelope(
            secret, response, servers.get_now_ms()
        )
        if not pipeline.is_successful(opened):
            return result.Failure(opened.failure().value)
        return result.Success(opened.unwrap())
