"""Small deployment on loopback: stand-ins, and hosts as own processes."""

import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import time
import uuid

import platform_store
import servers
import template
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROUTE_HOST = 'host.example'
KEY = 'key-one'
REVIVE_SECONDS = 2.0
READY_SECONDS = 20.0
GUARANTEES = {
    'stableWindowMs': 4000,
    'drainMs': 3000,
    'graceS': 8,
    'configApplyMs': 3000,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetSlack': 58,
    'leaseMs': 3000,
    'versionMs': 8000,
    'versionAllMs': 11000,
}
"""Bounds of the users' first two deployments."""


class Host:
    """Host of the router and its process."""

    def __init__(self, number, ip, store_address):
        self.number = number
        self.name = f'front-{number}'
        self.ip = ip
        self.store_address = store_address
        self.front = ''
        self.ready = ''
        self.process = None


class Fleet:
    """Context manager of the stand-ins and the hosts.

    `record_lines` tells what was sent, answered and run. `zones` are the zones
    and their regions; hosts and servers are spread over them in turn.
    """

    def __init__(self, hosts=3, guarantees=None, zones=None):
        self.zones = zones or {'zone-one': 'region-one'}
        self.store = platform_store.Store()
        self.servers = []
        self.hosts = []
        self.record_lines = []
        self.runs = []
        self.uses = []
        self.crash_body = b''
        self.desired_version = 0
        self.started_at = time.monotonic()
        self._host_count = hosts
        self._guarantees = {**GUARANTEES, **(guarantees or {})}
        self._prefix = (
            f'127.{random.randint(20, 250)}.{random.randint(0, 250)}'
        )
        self.ip = f'{self._prefix}.1'
        self._folder = None

    async def __aenter__(self):
        """Return the fleet; nothing is started yet."""
        self._folder = tempfile.TemporaryDirectory()
        for number in range(1, self._host_count + 1):
            address = await self.store.listen(self.ip)
            self.hosts.append(
                Host(number, f'{self._prefix}.{10 + number}', address)
            )
        return self

    async def __aexit__(self, *_):
        """End all processes and stand-ins."""
        # Connections that are cut off here are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for server in self.servers:
            server.stop()
        self.store.close()
        self._folder.cleanup()

    def record(self, text):
        """Add a line to the record."""
        seconds = time.monotonic() - self.started_at
        self.record_lines.append(f'{seconds:8.3f} {text}')

    def record_run(self, run):
        """Record that a server runs a request."""
        self.runs.append(run)
        self.record(
            f'server {run.server} runs {run.request_id}'
            f' tenant={run.tenant} weights={run.version}'
        )

    def record_use(self, run, part, made_by):
        """Record that a run uses a cached part."""
        self.uses.append((run, part, made_by))
        self.record(
            f'server {run.server}: {run.request_id} of {run.tenant} uses part'
            f' {part}, made by {made_by.request_id} of {made_by.tenant}'
        )

    def pick_zone(self, number):
        """Return the zone of a host or server."""
        return list(self.zones)[number % len(self.zones)]

    async def add_server(self, name, service, **options):
        """Start a server."""
        server = servers.Server(self, name, service, **options)
        self.servers.append(server)
        await server.start()
        return server

    async def revive(self, server):
        """Start a server again some seconds after its crash."""
        former = server.name
        await asyncio.sleep(REVIVE_SECONDS)
        await server.start()
        self.record(f'server {server.name} is back')
        await asyncio.sleep(
            max(0.0, 3 * servers.HEARTBEAT_SECONDS - REVIVE_SECONDS)
        )
        self.store.remove('servers', former)

    def write_state(self, tenants, **changes):
        """Write the next desired state, with the routes of a small site."""
        self.desired_version += 3
        engine = {
            'capacity': 16,
            'kvCapacityTokens': 80_000,
            'kvTokenBytes': 262_144,
            'bandwidthMbps': 1_000_000.0,
            'models': [{'name': servers.MODEL}],
        }
        routes = [
            _create_route('safe', 'safe', 'plain', attempts=2),
            _create_route('once', 'unsafe', 'plain', attempts=1),
            _create_route(
                'stream',
                'streaming',
                'engines',
                attempts=2,
                resumable=True,
                sessionAffinity=True,
                timeoutMs=5000,
            ),
        ]
        state = {
            'version': self.desired_version,
            'routes': routes,
            'services': [
                {'name': 'plain', 'healthCheck': '/health'},
                {
                    'name': 'engines',
                    'healthCheck': '/health',
                    'engine': engine,
                },
            ],
            'limits': {
                'headerBytes': 16_384,
                'maxBodyBytes': 1_000_000,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15_000,
            },
            'tenants': tenants,
            **changes,
        }
        self.store.put('op', 'config', state)
        self.record(f'desired state {self.desired_version} is confirmed')

    def name_weights(self, version):
        """Name a version of the model's weights."""
        content = {'model': servers.MODEL, 'version': version}
        self.store.put('op', f'version/{servers.MODEL}', content)
        self.record(f'weights version {version} is named')

    def start_host(self, host):
        """Start the process of a host as the deploy file says."""
        host.front = f'{host.ip}:8782'
        host.ready = f'{host.ip}:8789'
        zone = self.pick_zone(host.number - 1)
        settings = {
            'node': host.name,
            'role': 'front',
            'ip': host.ip,
            'zone': zone,
            'region': self.zones[zone],
            'zones': self.zones,
            'listenAddrs': {'front': host.front, 'ready': host.ready},
            'internalPorts': [7340, 7355],
            'limits': {'memoryMb': 300, 'maxFds': 4100},
            'provider': {'address': host.store_address},
            'guarantees': self._guarantees,
        }
        text = (ROOT / 'deploy' / 'settings.yaml').read_text()
        folder = pathlib.Path(self._folder.name)
        path = folder / f'{host.name}.yaml'
        path.write_text(template.render(text, settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PISTACHIOSEAM_BOOT'] = str(path)
        with (folder / f'{host.name}.log').open('ab') as log:
            host.process = subprocess.Popen(
                ['python3', '-m', 'pistachioseam_platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record(f'host {host.name} starts')

    def read_log(self, host):
        """Return the log of a host."""
        path = pathlib.Path(self._folder.name) / f'{host.name}.log'
        return path.read_text(errors='replace')

    async def wait_ready(self):
        """Wait until all hosts say that they are ready."""
        until = time.monotonic() + READY_SECONDS
        for host in self.hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise TimeoutError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)
        self.record('all hosts are ready')

    async def is_ready(self, host):
        """Return whether a host says that it is ready."""
        answer = await wire.fetch(
            host.ready, 'GET', '/-/readiness', [('Host', 'ready')], seconds=1
        )
        return answer.status == 200

    async def start_hosts(self, gap_seconds=0.0):
        """Start all hosts, with a pause between, and wait until ready."""
        for host in self.hosts:
            self.start_host(host)
            await asyncio.sleep(gap_seconds)
        await self.wait_ready()

    def kill_hosts(self):
        """SIGKILL all hosts at the same moment."""
        for host in self.hosts:
            host.process.kill()
        for host in self.hosts:
            host.process.wait()
        self.record('all hosts are killed')

    async def call(
        self, host, route, body=b'', key=KEY, prompt=(), tokens_out=10
    ):
        """Send a request to a host; return its id and the answer.

        `prompt` are the parts of a model call, names and tokens.
        """
        request_id = uuid.uuid4().hex[:16]
        headers = [
            ('Host', ROUTE_HOST),
            ('X-Pistachioseam-Request-Id', request_id),
            ('X-Pistachioseam-Deadline-Ms', '5000'),
            ('Authorization', f'Bearer {key}'),
        ]
        if prompt:
            parts = ','.join(f'{name}:{count}' for name, count in prompt)
            tokens_in = sum(count for _, count in prompt)
            headers += [
                ('X-Pistachioseam-Model', servers.MODEL),
                ('X-Pistachioseam-Token-Count', f'{tokens_in},{tokens_out}'),
                ('X-Pistachioseam-Prompt-Prefix', parts),
            ]
        method = 'GET' if route == 'safe' and not body else 'POST'
        self.record(f'client sends {request_id} to {host.name} ({route})')
        answer = await wire.fetch(
            host.front, method, f'/{route}/thing', headers, body, seconds=6
        )
        self.record(
            f'client gets {answer.status} for {request_id}'
            f' whole={answer.is_whole}'
        )
        return request_id, answer

    def write_record(self, folder):
        """Write the record of the case."""
        text = '\n'.join(self.record_lines) + '\n'
        (folder / 'record.txt').write_text(text)


def create_tenant(name, key, **fields):
    """Return a tenant of a desired state."""
    return {'name': name, 'apiKeys': [key], 'isolated': False, **fields}


def _create_route(name, kind, service, **fields):
    return {
        'name': name,
        'host': ROUTE_HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': 3000,
        'targetLatencyMs': 800,
        'priority': 1,
        'public': False,
        **fields,
    }


def describe(answer):
    """Return a short text of an answer's body."""
    try:
        return json.loads(answer.body)['error']['message']
    except (ValueError, LookupError, TypeError):
        return answer.body[:40].decode(errors='replace')


def run_case(case, folder):
    """Run a case; exit 1 if the rule was broken, 0 if it held, 2 if not run.

    `case` is a coroutine function of whether there is trouble; it returns the
    fleet and what broke the rule.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        fleet, violations = asyncio.run(case(has_trouble))
    except Exception as error:
        print(f'could not run: {error!r}')
        return 2
    for text in violations:
        fleet.record(f'BROKEN: {text}')
        print(text)
    fleet.write_record(folder)
    print('the rule was broken' if violations else 'the rule held')
    return 1 if violations else 0
