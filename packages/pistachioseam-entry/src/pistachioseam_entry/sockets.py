"""Sockets whose receive buffers are bounded, and what they have sent."""

import fcntl
import select
import socket
import struct
import termios
import typing

from pistachioseam_entry import reactors

RECEIVE_BUFFER_BYTES = 65_536
"""Receive buffer of a connection, in the kernel. It counts towards the memory
of the machine while nothing is read. Linux would let it grow to 6 MB."""
BOOKKEEPING_FACTOR = 2
"""Linux doubles the size that is set, for its own bookkeeping."""


def limit_receive_buffer(handle: socket.socket) -> None:
    """Bound the receive buffer of a socket, or of those that it accepts."""
    handle.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        RECEIVE_BUFFER_BYTES // BOOKKEEPING_FACTOR,
    )


def count_buffered_bytes(transport: typing.Any) -> int:
    """Return the written bytes that are still in this process."""
    # Transports of tests have no buffer.
    buffer = getattr(transport, 'dataBuffer', None)
    if buffer is None:
        return 0
    count: int = len(buffer) - transport.offset + transport._tempDataLen
    return count


def count_unacknowledged_bytes(descriptor: int) -> int:
    """Return the bytes in a socket's send queue, 0 where it is not known."""
    try:
        answer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    count: int = struct.unpack('i', answer)[0]
    return count


def count_unreceived_bytes(transport: typing.Any) -> int:
    """Return the written bytes that the other machine has not acknowledged."""
    return count_buffered_bytes(transport) + count_unacknowledged_bytes(
        transport.fileno()
    )


def is_ended_by_peer(descriptor: int) -> bool:
    """Return whether the other side has ended a connection.

    Unlike reading, this shows it also behind bytes that have not been read.
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))


def listen(site: typing.Any, address: str) -> typing.Any:
    """Accept connections at `IP:port`; return the listening port."""
    host, _, port = address.rpartition(':')
    listening_port = reactors.get_reactor().listenTCP(
        int(port), site, interface=host.strip('[]')
    )
    limit_receive_buffer(listening_port.socket)
    return listening_port
