"""Stand-in of a server: registers itself and serves requests over HTTP/1.1."""

import asyncio
import dataclasses
import time
import typing

from review.standins import http
from review.standins import store

PREFIX = 'X-Pistachioseam-'
HEARTBEAT_SECONDS = 1.2
MODEL = 'model-1'

Handler: typing.TypeAlias = typing.Callable[
    ['Exchange'], typing.Awaitable[None]
]


@dataclasses.dataclass
class Exchange:
    """Request at a server, and the connection to answer on."""

    server: 'Server'
    request: http.Message
    writer: asyncio.StreamWriter

    def get(self, name: str) -> str:
        """Return a header of the platform's, by its short name."""
        return self.request.headers.get((PREFIX + name).lower(), '')

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.get('Request-Id')

    @property
    def path(self) -> str:
        """Return path and query."""
        return self.request.start.split(' ')[1]

    def record_run(self) -> None:
        """Record that the server begins to work on the request."""
        self.server.record(f'ran {self.request_id} {self.path}')
        self.server.runs.append((time.monotonic(), self.request_id))

    def encode(self, status: int, body: bytes = b'', **headers: str) -> bytes:
        """Return a response that echoes the id and bears the stamp."""
        fields = {
            PREFIX + 'Request-Id': self.request_id,
            PREFIX + 'Server-Stamp': f'stamp-{self.server.name}',
        }
        fields.update(
            {name.replace('_', '-'): text for name, text in headers.items()}
        )
        return http.encode_response(status, fields, body)

    def encode_shed(self) -> bytes:
        """Return the rejection of a server that is full."""
        fields = {
            PREFIX + 'Not-Executed': '1',
            PREFIX + 'Request-Id': self.request_id,
        }
        return http.encode_response(503, fields)

    def encode_wrong_instance(self) -> bytes:
        """Return the rejection of a request that expects another server."""
        fields = {
            PREFIX + 'Instance-Id': self.server.name,
            PREFIX + 'Request-Id': self.request_id,
        }
        return http.encode_response(421, fields)

    async def begin_stream(self) -> None:
        """Send the head of a stream of events in chunks."""
        lines = [
            'HTTP/1.1 200 OK',
            f'{PREFIX}Request-Id: {self.request_id}',
            f'{PREFIX}Server-Stamp: stamp-{self.server.name}',
            f'{PREFIX}Weight-Versions: {self.server.weights}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        await self.send('\r\n'.join([*lines, '', '']).encode())

    async def send_piece(self, number: int) -> None:
        """Send one event of a stream."""
        software = self.server.software
        event = (
            f'id: {number}\ndata: piece {number} of {software}\n\n'.encode()
        )
        await self.send(b'%x\r\n%b\r\n' % (len(event), event))

    async def end_stream(self) -> None:
        """Send the end of a stream."""
        await self.send(b'0\r\n\r\n')

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()


def create_prompt_headers(part: str) -> dict[str, str]:
    """Return the headers of a request with a short prompt."""
    return {
        PREFIX + 'Model': MODEL,
        PREFIX + 'Token-Count': '160,40',
        PREFIX + 'Prompt-Prefix': f'a1:100,{part}:60',
    }


async def answer_whole(exchange: Exchange) -> None:
    """Run the request and return its own id as the body."""
    exchange.record_run()
    await exchange.send(exchange.encode(200, exchange.request_id.encode()))


class Server:
    """Server of a service; `handler` answers the requests.

    `runs` holds the time and the id of each request that began to run;
    `orders` the time and the content of each order.
    """

    def __init__(
        self,
        name: str,
        service: str,
        platform: store.Store,
        record: typing.Callable[[str], None],
        handler: Handler = answer_whole,
        has_model: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.handler = handler
        self.address = ''
        self.state = 'ready'
        self.software = 'v1'
        self.weights = 1
        self.runs: list[tuple[float, str]] = []
        self.requests: list[tuple[float, str]] = []
        self.orders: list[tuple[float, dict[str, typing.Any]]] = []
        self.is_registered = True
        self.record = lambda text: record(f'{name}: {text}')
        self._store = platform
        self._has_model = has_model
        self._beats = 0
        self._born_ms = time.time_ns() // 1_000_000
        self._listening: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the former port if there was one, and register."""
        port = int(self.address.rpartition(':')[2] or 0)
        self._listening = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**22
        )
        host, port = self._listening.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self._task = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End at once; the entry stays as it was."""
        assert self._listening is not None
        self._listening.close()
        self._task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def start_again(self, software: str) -> None:
        """Start under the same id, with nothing of before."""
        self.software = software
        self._beats = 0
        self._born_ms = time.time_ns() // 1_000_000
        await self.start()

    async def _beat(self) -> None:
        while True:
            if self.is_registered:
                self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def register(self) -> None:
        """Write the server's entry."""
        self._beats += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-1',
            'version': self.software,
            'capacity': 6,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self._beats,
            'born': self._born_ms,
        }
        if self._has_model:
            entry['models'] = [{'name': MODEL, 'version': self.weights}]
        self._store.write('servers', self.name, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http.read_request(reader)) is not None:
                exchange = Exchange(self, request, writer)
                expected = exchange.get('Expect-Instance')
                if expected and expected != self.name:
                    await exchange.send(exchange.encode_wrong_instance())
                    continue
                self.requests.append((time.monotonic(), exchange.request_id))
                await self.handler(exchange)
        except (OSError, http.ProtocolError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
