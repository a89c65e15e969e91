"""Ports of machines that do not respond."""

import contextlib
import socket
import typing

FILLER_CONNECTIONS = 4
"""Connections that fill the queue of a socket which accepts none, so that the
kernel drops the packets of further ones."""


class DarkPort:
    """Loopback port to which connections hang, while the block lasts.

    `address` must have no listener, like that of a killed process.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._sockets = contextlib.ExitStack()

    def __enter__(self) -> typing.Self:
        """Listen, and fill the queue of the socket."""
        host, _, port = self._address.rpartition(':')
        listening = self._sockets.enter_context(socket.socket())
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = self._sockets.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
        return self

    def __exit__(self, *_: object) -> None:
        """Close all sockets."""
        self._sockets.close()
