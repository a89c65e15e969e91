"""Loopback TCP proxies that delay, block, reset and refuse connections."""

import asyncio
import errno
import socket
import threading
import time
import typing

from pistachioseam_standins import deployment

MODES = ('pass', 'delay', 'silent', 'one_way', 'reset')
"""Modes of a network that is in trouble."""
PARTITION_MODES = ('hang', 'cut', 'refuse')
"""Modes of a network that lets no connection through."""
DELAY_SECONDS = 0.3
"""Delay of each chunk, and interval at which a blocked one checks the mode."""
CHUNK_BYTES = 65_536
BIND_SECONDS = 5.0
"""Time in which a port is free again. A process that another thread starts has
a copy of the closed socket until it runs its program."""
BIND_RETRY_SECONDS = 0.01
FILLER_CONNECTIONS = 4
"""Connections that fill the queue of a socket which accepts none, so that the
kernel drops the packets of further ones."""


class Proxy:
    """TCP proxy in front of one or several servers, on a thread of its own.

    `addresses` maps each server's address to the proxy's; `address` is that
    of the first. Modes: `pass` forwards, `delay` forwards each chunk after
    DELAY_SECONDS, `silent` blocks both directions, `one_way` blocks responses,
    `reset` aborts the open connections once, then forwards. `hang` blocks both
    directions and lets new connections hang, `refuse` refuses new connections
    and forwards on the open ones, `cut` also aborts these. `dark` is a `hang`
    before machines without power: what it has taken is not passed on later.
    """

    def __init__(self, *servers: str) -> None:
        self.mode = 'pass'
        self.addresses: dict[str, str] = {}
        self._servers = servers
        self._loop = asyncio.new_event_loop()
        self._sockets: dict[str, socket.socket] = {}
        self._acceptors: list[asyncio.Task[None]] = []
        self._fillers: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def address(self) -> str:
        """Return the address of the proxy before the first server."""
        return self.addresses[self._servers[0]]

    def __enter__(self) -> 'Proxy':
        """Listen on free loopback ports and start the thread.

        The ports are none that the system gives to outgoing connections, as
        they must be free again after a while without a listener.
        """
        for server in self._servers:
            self.addresses[server] = deployment.find_free_address()
        self._reopen_sockets()
        self._thread.start()
        self._call(self._start_accepting)
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections and end the thread."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result()
        for listening in self._sockets.values():
            listening.close()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _close(self) -> None:
        self._stop_accepting()
        self._abort_connections()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _abort_connections(self) -> None:
        for writer in self._writers:
            transport: typing.Any = writer.transport
            transport.abort()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _call(self, action: typing.Callable[[], None]) -> None:
        """Run an action on the proxy's thread and wait for its end."""

        async def run() -> None:
            action()

        asyncio.run_coroutine_threadsafe(run(), self._loop).result()

    def _listen(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(':')
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _bind(listening, (host, int(port)))
        listening.listen(128)
        listening.setblocking(False)
        return listening

    def set_mode(self, mode: str) -> None:
        """Set the mode, for open connections too."""
        self._call(lambda: self._set_mode(mode))

    def _set_mode(self, mode: str) -> None:
        self._stop_accepting()
        if mode in ('reset', 'cut') or self.mode == 'dark':
            self._abort_connections()
        self.mode = mode
        if mode in ('refuse', 'cut'):
            self._close_sockets()
        elif mode in ('hang', 'dark'):
            self._fill_queues()
        else:
            self._start_accepting()

    def _close_sockets(self) -> None:
        for listening in self._sockets.values():
            listening.close()
        self._sockets.clear()

    def _reopen_sockets(self) -> None:
        for server, address in self.addresses.items():
            self._sockets[server] = self._listen(address)

    def _fill_queues(self) -> None:
        self._close_sockets()
        self._reopen_sockets()
        for listening in self._sockets.values():
            listening.listen(0)
            for _ in range(FILLER_CONNECTIONS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listening.getsockname())
                self._fillers.append(filler)

    def _start_accepting(self) -> None:
        if self._fillers or not self._sockets:
            self._close_sockets()
            self._reopen_sockets()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        for server, listening in self._sockets.items():
            task = self._loop.create_task(self._accept(server, listening))
            self._acceptors.append(task)

    def _stop_accepting(self) -> None:
        for task in self._acceptors:
            task.cancel()
        self._acceptors.clear()
        # The loop may be about to accept although the task is cancelled.
        for listening in self._sockets.values():
            self._loop.remove_reader(listening)

    async def _accept(self, server: str, listening: socket.socket) -> None:
        while True:
            accepted, _ = await self._loop.sock_accept(listening)
            task = self._loop.create_task(self._serve(server, accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, server: str, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        host, _, port = server.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            self._copy(reader, upstream[1], is_response=False),
            self._copy(upstream[0], writer, is_response=True),
        )
        self._writers -= {writer, upstream[1]}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                while self.mode in ('silent', 'hang', 'dark') or (
                    self.mode == 'one_way' and is_response
                ):
                    await asyncio.sleep(DELAY_SECONDS)
                if writer.transport.is_closing():
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


def _bind(listening: socket.socket, address: tuple[str, int]) -> None:
    """Bind a socket, within a while if its address is still in use."""
    end = time.monotonic() + BIND_SECONDS
    while True:
        try:
            listening.bind(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or time.monotonic() > end:
                raise
            time.sleep(BIND_RETRY_SECONDS)
        else:
            return
