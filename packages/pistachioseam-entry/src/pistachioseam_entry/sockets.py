"""Sockets whose receive buffers are bounded."""

import socket
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


def listen(site: typing.Any, address: str) -> typing.Any:
    """Accept connections at `IP:port`; return the listening port."""
    host, _, port = address.rpartition(':')
    listening_port = reactors.get_reactor().listenTCP(
        int(port), site, interface=host.strip('[]')
    )
    limit_receive_buffer(listening_port.socket)
    return listening_port
