"""Hosts of the project, started with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import tomllib

import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_SECONDS = 30.0
READY_ANSWERS = 3

BOUNDS = {
    'revocation_ms': 5000,
    'weights_ms': 8000,
    'lease_ms': 3000,
    'shutdown_seconds': 8,
    'drain_ms': 3000,
}


def find_port() -> int:
    """Return a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
        return port


class Host:
    """Process of the role that carries the traffic."""

    def __init__(
        self, name: str, zone: str, store: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self._folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        ports = ('listen', 'ready', 'admin', 'peer')
        self.addresses = {port: f'127.0.0.1:{find_port()}' for port in ports}
        self._settings = {
            'host': {
                'name': name,
                'domain': zone,
                **{f'{port}_address': self.addresses[port] for port in ports},
            },
            'store_address': store,
            'regions': [
                {'name': 'pohja', 'domains': ['pohja-one']},
                {'name': 'pohja', 'domains': ['pohja-two']},
                {'name': 'louna', 'domains': ['louna-one']},
            ],
            'bounds': BOUNDS,
            'retries': {'ratio': 0.2, 'window_seconds': 10, 'slack': 58},
            'capacity': {'memory_mb': 150, 'max_descriptors': 4100},
        }

    @property
    def address(self) -> str:
        """Return the address for callers."""
        return self.addresses['listen']

    def start(self) -> None:
        """Start the process; its log goes into the folder."""
        path = self._folder / f'{self.name}.yaml'
        path.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PISTACHIOSEAM_BOOT'] = str(path)
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                deploy['roles']['front']['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it is still there."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness probe gets status 200."""
        request = wire.encode_request('GET', '/-/readiness', [('Host', 'x')])
        try:
            answer = await wire.call(self.addresses['ready'], request, 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until it has been ready for some probes in a row."""
        ready = 0
        until = time.monotonic() + START_SECONDS
        while ready < READY_ANSWERS:
            if time.monotonic() > until:
                raise RuntimeError(f'{self.name} does not become ready')
            ready = ready + 1 if await self.is_ready() else 0
            await asyncio.sleep(0.2)
