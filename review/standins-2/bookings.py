"""Stand-in of a booking server, whose machine may lose its power."""

import asyncio
import contextlib
import dataclasses
import socket
import time

import store as stores
import wire

PREFIX = 'X-Pistachioseam-'
HEARTBEAT_SECONDS = 1.2
WORK_SECONDS = 0.09
FILLERS = 4
"""Connections that fill the queue of a socket which accepts none."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Request that reached the server, and whether it was run."""

    at: float
    request_id: str
    is_run: bool


class BookingServer:
    """Server of a plain service; it registers itself at the store."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        answer: bytes = b'booked',
    ) -> None:
        self.name = name
        self.arrivals: list[Arrival] = []
        self._service = service
        self._zone = zone
        self._answer = answer
        self._born_ms = time.time_ns() // 1_000_000
        self._is_dark = False
        self._state = 'ready'
        self._beats = 0
        self._registered_at = float('-inf')
        self._listener = wire.Listener(self._serve)
        self._kept: list[wire.Listener] = []
        self._sockets: list[socket.socket] = []

    async def open(self) -> None:
        """Listen on a free port."""
        await self._listener.open()

    async def run_heartbeats(self, store: stores.Store) -> None:
        """Write the entry to the store, except while there is no power."""
        while True:
            due_at = self._registered_at + HEARTBEAT_SECONDS
            left = due_at - time.monotonic()
            if left > 0:
                await asyncio.sleep(left)
            elif self._is_dark:
                await asyncio.sleep(HEARTBEAT_SECONDS)
            else:
                self.register(store)

    def register(self, store: stores.Store) -> None:
        """Write the entry to the store once."""
        self._beats += 1
        self._registered_at = time.monotonic()
        entry = self.create_entry()
        store.write('servers', self.name, {**entry, 'seq': self._beats})

    def create_entry(self) -> dict[str, object]:
        """Return the entry without the count of its writes."""
        return {
            'service': self._service,
            'address': self._listener.address,
            'zone': self._zone,
            'version': 'v1',
            'capacity': 6,
            'state': self._state,
            'coldRemainingMs': 0,
            'born': self._born_ms,
        }

    def drain(self, store: stores.Store) -> None:
        """Report that the server will leave; it serves on."""
        self._state = 'draining'
        self.register(store)

    async def leave(self, store: stores.Store) -> None:
        """Remove the entry and exit."""
        self._is_dark = True
        store.write_raw('servers', self.name, None)
        await self._listener.close()

    async def lose_power(self) -> None:
        """Answer nothing any more, on new and on open connections."""
        self._is_dark = True
        host, _, port = self._listener.address.rpartition(':')
        self._kept.append(self._listener)
        self._listener.stop_accepting()
        dark = socket.socket()
        dark.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        dark.bind((host, int(port)))
        dark.listen(0)
        self._sockets.append(dark)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, int(port)))
            self._sockets.append(filler)

    async def start_again(self) -> None:
        """Start under the same id and address, and know nothing of before."""
        for former in self._kept:
            await former.close()
        for each in self._sockets:
            each.close()
        self._sockets.clear()
        self._born_ms = time.time_ns() // 1_000_000
        self._beats = 0
        _, _, port = self._listener.address.rpartition(':')
        self._listener = wire.Listener(self._serve)
        await self._listener.open(int(port))
        self._is_dark = False

    async def close(self) -> None:
        """Close all sockets."""
        await self._listener.close()
        for each in self._sockets:
            each.close()

    async def _serve(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self._is_dark:
            await asyncio.sleep(3600)
        request_id = request.get(PREFIX + 'Request-Id')
        own = [
            (PREFIX + 'Request-Id', request_id),
            (PREFIX + 'Instance-Id', self.name),
        ]
        is_run = request.get(PREFIX + 'Expect-Instance') in ('', self.name)
        self.arrivals.append(Arrival(time.monotonic(), request_id, is_run))
        if not is_run:
            writer.write(wire.encode_response(421, own))
            return True
        await asyncio.sleep(WORK_SECONDS)
        await self._answer_run(request_id, writer)
        return True

    async def _answer_run(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request that has been run."""
        headers = [
            (PREFIX + 'Request-Id', request_id),
            (PREFIX + 'Server-Stamp', f'{self.name}.{request_id}'),
        ]
        writer.write(wire.encode_response(200, headers, self._answer))
