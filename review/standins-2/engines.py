"""Stand-in of a model server that knows who made each cached part."""

import asyncio
import dataclasses
import time

import store as stores
import wire

PREFIX = 'X-Pistachioseam-'
HEARTBEAT_SECONDS = 1.2
PREFILL_TOKENS_PER_MS = 41.4
STEP_SECONDS = 0.005
EVENTS = 5


@dataclasses.dataclass(frozen=True)
class CachedPart:
    """Part of a prompt, and the tenant whose request made it."""

    tenant: str
    version: int


@dataclasses.dataclass(frozen=True)
class Run:
    """Run of a request; `used` are the cached parts that it read."""

    at: float
    request_id: str
    tenant: str
    salt: str
    used: tuple[tuple[str, CachedPart], ...]


class Engine:
    """Model server with a KV cache; it registers itself at the store."""

    def __init__(self, name: str, service: str, model: str, zone: str) -> None:
        self.name = name
        self.runs: list[Run] = []
        self._service = service
        self._model = model
        self._zone = zone
        self._version = 1
        self._orders = 0
        self._cache: dict[tuple[str, str], CachedPart] = {}
        self._born_ms = time.time_ns() // 1_000_000
        self._listener = wire.Listener(self._serve)

    async def open(self) -> None:
        """Listen on a free port."""
        await self._listener.open()

    async def close(self) -> None:
        """Close all sockets."""
        await self._listener.close()

    async def run_heartbeats(self, store: stores.Store) -> None:
        """Write the entry to the store, again and again."""
        beats = 0
        while True:
            beats += 1
            entry = {
                'service': self._service,
                'address': self._listener.address,
                'zone': self._zone,
                'version': 'v1',
                'capacity': 128,
                'state': 'ready',
                'coldRemainingMs': 0,
                'stage': 'colocated',
                'models': self._list_models(),
                'seq': beats,
                'born': self._born_ms,
            }
            store.write('servers', self.name, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _list_models(self) -> list[dict[str, object]]:
        return [
            {'name': self._model, 'version': self._version, 'adapters': []}
        ]

    async def _serve(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        path = request.words[1]
        if path == '/-/report':
            writer.write(wire.encode_json(200, self._create_report()))
            return True
        request_id = request.get(PREFIX + 'Request-Id')
        own = [(PREFIX + 'Request-Id', request_id)]
        own.append((PREFIX + 'Instance-Id', self.name))
        if request.get(PREFIX + 'Expect-Instance') not in ('', self.name):
            writer.write(wire.encode_response(421, own))
            return True
        expected = request.get(PREFIX + 'Expect-Version')
        if expected not in ('', str(self._version)):
            writer.write(wire.encode_response(421, own))
            return True
        return await self._answer(request, reader, writer)

    def _create_report(self) -> dict[str, object]:
        return {
            'stage': 'colocated',
            'models': self._list_models(),
            'busy': False,
            'seq': self._orders,
            'queued': 0,
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 88566,
            'handles': 0,
            'runs': [],
        }

    async def _answer(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and stream its events."""
        request_id = request.get(PREFIX + 'Request-Id')
        missing = self._run(request, request_id)
        await asyncio.sleep(missing / PREFILL_TOKENS_PER_MS / 1000)
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'{PREFIX}Request-Id: {request_id}',
            f'{PREFIX}Server-Stamp: {self.name}.{request_id}',
            f'{PREFIX}Weight-Versions: {self._version}',
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        first = int(request.get('Last-Event-Id') or 0) + 1
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(STEP_SECONDS)
        writer.write(b'0\r\n\r\n')
        return True

    def _run(self, request: wire.Message, request_id: str) -> int:
        """Record a run; return the tokens that it has to prefill."""
        salt = request.get(PREFIX + 'Cache-Salt')
        tenant = request.get(PREFIX + 'Tenant')
        used = []
        missing = 0
        for part in request.get(PREFIX + 'Prompt-Prefix').split(','):
            name, _, tokens = part.partition(':')
            cached = self._cache.get((salt, name))
            if cached is not None and not missing:
                used.append((name, cached))
                continue
            missing += int(tokens or 0)
            made = CachedPart(tenant, self._version)
            self._cache[salt, name] = made
        self.runs.append(
            Run(time.monotonic(), request_id, tenant, salt, tuple(used))
        )
        return missing
