"""gRPC servers that bound what their connections make a host hold.

A message is authenticated only once it is complete. Until then anyone who
reaches the port could let it grow to 4 GiB, the limit of the protocol.
"""

from collections import abc
import typing

from grpclib import config
from grpclib import protocol
from grpclib import server

WINDOW_BYTES = 1_048_576
"""Flow control window of a connection and of its streams: what it may send
before a handler reads it."""
MAX_MESSAGE_BYTES = 33_554_432
"""Largest message by default. A configuration snapshot of 1,500 targets has
20.7 MB."""
MAX_HELD_BYTES = 67_108_864
"""Limit of all connections of a server together by default."""
MAX_CONNECTIONS = 1024
"""The largest fleet has 380 hosts, with up to two connections each."""


class BoundedProtocol(protocol.H2Protocol):
    """Connection that is closed when it holds too much."""

    def __init__(
        self,
        owner: 'BoundedServer',
        handler: typing.Any,
        options: config.Configuration,
        h2_config: typing.Any,
    ) -> None:
        super().__init__(handler, options, h2_config)
        self._owner = owner

    def connection_made(self, transport: typing.Any) -> None:
        """Start the connection unless there are too many."""
        super().connection_made(transport)
        self._owner.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection."""
        self._owner.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process data; close a connection if too much is held."""
        super().data_received(data)
        self._owner.check(self)

    def count_held_bytes(self) -> int:
        """Return the bytes of messages that no handler has read yet."""
        return sum(
            stream.buffer._acked_size
            + sum(part.data_size for part in _list_unread(stream.buffer))
            for stream in self.processor.streams.values()
        )

    def close_excess(self) -> None:
        """Close the connection because of what it holds."""
        self._owner.remove(self)
        self.processor.close('the connection holds too much')


def _list_unread(buffer: typing.Any) -> abc.Iterable[typing.Any]:
    parts: abc.Iterable[typing.Any] = buffer._unacked._queue
    return parts


class BoundedServer(server.Server):
    """Server with limits on messages, connections and what they hold.

    `closed_count` counts the connections that it has closed for them.
    """

    def __init__(
        self,
        handlers: abc.Collection[typing.Any],
        max_message_bytes: int = MAX_MESSAGE_BYTES,
        max_held_bytes: int = MAX_HELD_BYTES,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        options = config.Configuration(
            http2_connection_window_size=WINDOW_BYTES,
            http2_stream_window_size=WINDOW_BYTES,
        )
        super().__init__(handlers, config=options)
        self.closed_count = 0
        self._max_message_bytes = max_message_bytes
        self._max_held_bytes = max_held_bytes
        self._max_connections = max_connections
        self._held: dict[BoundedProtocol, int] = {}

    def _protocol_factory(self) -> protocol.H2Protocol:
        plain = super()._protocol_factory()
        return BoundedProtocol(
            self, plain.handler, self._config, self._h2_config
        )

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._held)

    def add(self, connection: BoundedProtocol) -> None:
        """Take a new connection into account.

        If there are too many, the oldest without a request is closed, the new
        one if all have requests.
        """
        self._held[connection] = 0
        if len(self._held) <= self._max_connections:
            return
        excess = next(
            each for each in self._held if not each.processor.streams
        )
        self._close(excess)

    def remove(self, connection: BoundedProtocol) -> None:
        """Forget a connection."""
        self._held.pop(connection, None)

    def check(self, connection: BoundedProtocol) -> None:
        """Count again what a connection holds; close some if too much."""
        if connection not in self._held:
            return
        held_bytes = connection.count_held_bytes()
        self._held[connection] = held_bytes
        if held_bytes > self._max_message_bytes + WINDOW_BYTES:
            self._close(connection)
            return
        if held_bytes and sum(self._held.values()) > self._max_held_bytes:
            # Handlers may have read since the others were counted.
            for each in self._held:
                self._held[each] = each.count_held_bytes()
            if sum(self._held.values()) > self._max_held_bytes:
                self._close(max(self._held, key=self._held.__getitem__))

    def _close(self, connection: BoundedProtocol) -> None:
        self.closed_count += 1
        connection.close_excess()
