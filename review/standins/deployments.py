"""Small deployment: the project's hosts as processes, among stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import typing

from review.standins import clients
from review.standins import proxies
from review.standins import servers
from review.standins import store

REPOSITORY = pathlib.Path(__file__).parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0
ENGINES = 'engines'
PLAIN = 'plain'
PORTS = (10_000, 30_000)
_RANDOM = random.SystemRandom()


class Host:
    """Process of a host."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.folder = folder
        self.address = ''
        self.ready_address = ''
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy_file = REPOSITORY / 'deploy' / 'system.toml'
        roles = tomllib.loads(deploy_file.read_text())['roles']
        command = shlex.split(roles['front']['run'])
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
            'PISTACHIOSEAM_BOOT': str(self.folder / f'{self.name}.yaml'),
        }
        if command[0] == 'python3':
            command[0] = sys.executable
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return (self.folder / f'{self.name}.log').read_text(errors='replace')


class Deployment:
    """Store, servers and hosts; ends all processes on exit."""

    def __init__(self, case_folder: pathlib.Path) -> None:
        self.store = store.Store()
        self.servers: list[servers.Server] = []
        self.hosts: list[Host] = []
        self.paths: dict[str, list[proxies.Path]] = {}
        self.routes: list[dict[str, typing.Any]] = []
        self.desired_version = 0
        self.bounds: dict[str, typing.Any] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._record = (case_folder / 'record.txt').open('w')
        self._started_at = time.monotonic()
        self.add_route('/safe/', 'safe', PLAIN, attempts=2)
        self.add_route('/once/', 'unsafe', PLAIN)
        self.add_route('/stream/', 'streaming', ENGINES)
        self.add_route(
            '/resumable/', 'streaming', ENGINES, attempts=2, resumable=True
        )

    def record(self, text: str) -> None:
        """Write a line to the record."""
        seconds = time.monotonic() - self._started_at
        self._record.write(f'{seconds:8.3f} {text}\n')
        self._record.flush()

    def add_route(
        self, prefix: str, kind: str, service: str, **fields: typing.Any
    ) -> None:
        """Add a route of the next desired state."""
        self.routes.append(
            {
                'name': prefix.strip('/'),
                'host': clients.ROUTE_HOST,
                'prefix': prefix,
                'kind': kind,
                'service': service,
                'attempts': 1,
                'timeoutMs': 4000,
                'targetLatencyMs': 500,
                'priority': 1,
                'public': False,
                'sessionAffinity': service == ENGINES,
                'targetGapMs': 400,
                **fields,
            }
        )

    def write_desired_state(self, **changes: typing.Any) -> None:
        """Write the next desired state."""
        self.desired_version += 1
        engine = {
            'capacity': 6,
            'kvCapacityTokens': 50_000,
            'kvTokenBytes': 262_144,
            'bandwidthMbps': 1_000_000.0,
            'models': [{'name': servers.MODEL}],
        }
        state = {
            'version': self.desired_version,
            'routes': self.routes,
            'services': [
                {
                    'name': PLAIN,
                    'healthCheck': '/health',
                    'maxConnections': 110,
                },
                {
                    'name': ENGINES,
                    'healthCheck': '/health',
                    'maxConnections': 630,
                    'engine': engine,
                },
            ],
            'limits': {
                'headerBytes': 16_384,
                'maxBodyBytes': 4_194_304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15_000,
            },
            'tenants': [
                {
                    'name': name,
                    'apiKeys': [key],
                    'priority': 1,
                    'isolated': False,
                }
                for name, key in clients.KEYS.items()
            ],
            **changes,
        }
        self.store.write('op', 'config', state)

    async def add_server(
        self,
        name: str,
        service: str = PLAIN,
        handler: servers.Handler = servers.answer_whole,
    ) -> servers.Server:
        """Start a server."""
        server = servers.Server(
            name,
            service,
            self.store,
            self.record,
            handler,
            has_model=service == ENGINES,
        )
        await server.start()
        self.servers.append(server)
        return server

    async def add_host(self, name: str, has_paths: bool = False) -> Host:
        """Start a host; one with paths reaches the servers by proxies."""
        host = Host(name, self.folder)
        store_address = await self.store.listen()
        if has_paths:
            port = int(store_address.rpartition(':')[2])
            view = self.store.views[port] = {}
            self.paths[name] = []
            for server in self.servers:
                path = proxies.Path(server.address)
                await path.open()
                view[server.address] = path.address
                self.paths[name].append(path)
        host.address, host.ready_address, admin, peer = find_free_addresses(4)
        settings = {
            'host': {
                'name': name,
                'domain': 'zone-1',
                'listen_address': host.address,
                'ready_address': host.ready_address,
                'admin_address': admin,
                'peer_address': peer,
            },
            'store_address': store_address,
            'regions': [{'name': 'region-1', 'domains': ['zone-1']}],
            'bounds': {
                'revocation_ms': 5000,
                'weights_ms': 8000,
                'lease_ms': 3000,
                'shutdown_seconds': 8,
                'drain_ms': 3000,
                **self.bounds,
            },
            'retries': {'ratio': 0.2, 'window_seconds': 10, 'slack': 58},
        }
        path = self.folder / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        host.start()
        self.hosts.append(host)
        return host

    async def wait_ready(self, *hosts: Host) -> None:
        """Wait until hosts report readiness."""
        end = time.monotonic() + READY_SECONDS
        for host in hosts or self.hosts:
            while not await is_ready(host):
                if time.monotonic() > end:
                    raise TimeoutError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)

    def close(self) -> None:
        """End all processes."""
        for host in self.hosts:
            host.kill()
        logs = os.environ.get('LOGS')
        if logs:
            for host in self.hosts:
                copy = pathlib.Path(logs) / f'{host.name}.log'
                copy.write_text(host.read_log())
        self._record.close()
        self._temporary.cleanup()


def find_free_addresses(count: int) -> list[str]:
    """Return different loopback addresses to which no socket is bound.

    They lie below the range that the system gives to outgoing connections.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = _RANDOM.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if f'127.0.0.1:{port}' not in addresses:
            addresses.append(f'127.0.0.1:{port}')
    return addresses


async def is_ready(host: Host) -> bool:
    """Return whether a host answers the platform's question with 200."""
    answer = await clients.send_once(
        host.ready_address, 'GET', '/-/readiness', timeout_seconds=1.0
    )
    return answer.status == 200


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    case_file: str,
    play: typing.Callable[[Deployment], typing.Awaitable[list[str]]],
) -> None:
    """Play a case and exit; `play` returns what broke the rule."""
    deployment = Deployment(pathlib.Path(case_file).parent)
    deployment.record(f'trouble: {has_trouble()}')
    status = NOT_RUN
    try:
        broken = asyncio.run(play(deployment))
        for text in broken:
            deployment.record(f'BROKEN {text}')
        deployment.record('the rule was broken' if broken else 'it held')
        print('\n'.join(broken) or 'the rule held')
        status = BROKEN if broken else HELD
    except Exception:
        deployment.record('the case could not run:')
        deployment.record(traceback.format_exc())
        for host in deployment.hosts:
            deployment.record(
                f'log of {host.name}:\n{host.read_log()[-4000:]}'
            )
        traceback.print_exc()
    finally:
        deployment.close()
    sys.exit(status)
