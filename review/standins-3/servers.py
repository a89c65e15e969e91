"""Stand-ins of servers: plain ones, and model engines.

They keep an entry in the store, run requests and record what they ran.
"""

import asyncio
import json
import time

import wire

HEARTBEAT_SECONDS = 1.2
PREFIX = 'x-pistachioseam-'
MODEL = 'm1'
LOAD_SECONDS = 0.4
EVENT_SECONDS = 0.02


class Run:
    """Run of a request at a server."""

    def __init__(self, server, head, body):
        self.server = server.name
        self.at = time.monotonic()
        self.request_id = head.get(PREFIX + 'request-id')
        self.tenant = head.get(PREFIX + 'tenant')
        self.salt = head.get(PREFIX + 'cache-salt')
        self.tokens = sum(
            int(part)
            for part in head.get(PREFIX + 'token-count').split(',')
            if part
        )
        self.parts = [
            part.split(':')[0]
            for part in head.get(PREFIX + 'prompt-prefix').split(',')
            if part
        ]
        self.version = server.version
        self.body = body
        self.is_whole = False


class Server:
    """Server of one service; `model` is set for an engine.

    A request whose body is `crash_body` ends it as it begins to run.
    """

    def __init__(self, fleet, name, service, is_engine=False, work_seconds=0):
        self.fleet = fleet
        self.service = service
        self.zone = fleet.pick_zone(len(fleet.servers))
        self.is_engine = is_engine
        self.work_seconds = work_seconds
        self.base_name = name
        self.starts = 0
        self.name = ''
        self.address = ''
        self.version = 1
        self.orders = []
        self.runs = []
        self.cache = {}
        self.is_loading = False
        self.is_up = False
        self.born = 0
        self._seq = 0
        self._listener = None
        self._writers = set()
        self._port = 0

    async def start(self):
        """Start a new incarnation at the same address and register it."""
        self.starts += 1
        self.name = f'{self.base_name}-{self.starts}'
        self.born = time.time_ns() // 1_000_000
        self._seq = 0
        self.orders = []
        self.cache = {}
        self._listener = await asyncio.start_server(
            self._serve, self.fleet.ip, self._port
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        self.address = f'{self.fleet.ip}:{self._port}'
        self.is_up = True
        self.register()

    def register(self):
        """Write the entry."""
        if self.is_up:
            self._seq += 1
            self.fleet.store.put('servers', self.name, self.create_entry())

    def create_entry(self):
        """Return the entry."""
        models = [{'name': MODEL, 'version': self.version, 'adapters': []}]
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': 16,
            'state': 'ready',
            'coldRemainingMs': 0,
            'seq': self._seq,
            'born': self.born,
            'stage': 'colocated',
            'models': models if self.is_engine else [],
        }

    def lapse(self):
        """Drop the entry, as the store does after three silent intervals."""
        self.fleet.store.remove('servers', self.name)

    def crash(self):
        """End the process: its port is closed, its channels are reset."""
        self.is_up = False
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self):
        """Stop listening at the end of a case."""
        if self._listener is not None:
            self.crash()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await wire.read_head(reader):
                body, _ = await wire.read_body(reader, head)
                await self._handle(head, body, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, head, body, writer):
        method, path, _ = head.line.split(' ')
        expected = head.get(PREFIX + 'expect-instance')
        if expected and expected != self.name:
            headers = {'X-Pistachioseam-Instance-Id': self.name}
            writer.write(wire.encode(421, headers, b''))
        elif path == '/-/report':
            writer.write(wire.encode_json(200, self.create_report()))
        elif (method, path) == ('POST', '/-/order'):
            writer.write(
                wire.encode_json(self._take_order(json.loads(body)), {})
            )
        else:
            await self._run(head, body, writer)

    def create_report(self):
        """Return the report of an engine."""
        models = [{'name': MODEL, 'version': self.version, 'adapters': []}]
        return {
            'stage': 'colocated',
            'models': models,
            'busy': self.is_loading,
            'seq': len(self.orders),
            'queued': 0,
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 80_000,
            'handles': 0,
        }

    def _take_order(self, order):
        if order['version'] == self.version:
            return 200
        if self.is_loading or order.get('expected', 0) != len(self.orders):
            return 409
        self.orders.append(order)
        self.is_loading = True
        asyncio.get_running_loop().call_later(
            LOAD_SECONDS, self._finish_load, order['version']
        )
        return 202

    def _finish_load(self, version):
        self.version = version
        self.is_loading = False
        self.cache = {}
        self.register()

    async def _run(self, head, body, writer):
        headers = {
            'X-Pistachioseam-Request-Id': head.get(PREFIX + 'request-id'),
            'Keep-Alive': 'timeout=15',
        }
        version = head.get(PREFIX + 'expect-version')
        if version and int(version) != self.version:
            writer.write(wire.encode(421, headers, b''))
            return
        if self.is_loading:
            headers['X-Pistachioseam-Not-Executed'] = '1'
            writer.write(wire.encode(503, headers, b''))
            return
        run = Run(self, head, body)
        self.runs.append(run)
        self.fleet.record_run(run)
        if self.fleet.crash_body and body == self.fleet.crash_body:
            self.fleet.record(f'server {self.name} crashes')
            self.crash()
            asyncio.get_running_loop().create_task(self.fleet.revive(self))
            return
        self._use_cache(run)
        headers['X-Pistachioseam-Server-Stamp'] = f'stamp.{self.name}'
        if self.is_engine:
            await self._stream(headers, writer)
        else:
            await asyncio.sleep(self.work_seconds)
            writer.write(wire.encode(200, headers, b'done'))
        run.is_whole = not writer.is_closing()

    def _use_cache(self, run):
        """Use the cached parts from the first on, and cache the others."""
        found = True
        for part in run.parts:
            made_by = self.cache.get((run.salt, part))
            found = found and made_by is not None
            if found:
                self.fleet.record_use(run, part, made_by)
            else:
                self.cache[run.salt, part] = run

    async def _stream(self, headers, writer):
        headers['X-Pistachioseam-Weight-Versions'] = str(self.version)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        for number in range(1, 4):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b'0\r\n\r\n')
