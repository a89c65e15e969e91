"""Processor time and memory of one host that forwards calls.

Run: `.venv/bin/python -m benchmarks.forwarding [--against CLONE]`. A host runs
as a process between the stand-ins of the store, of an engine and of a plain
server, all on loopback. With a clone of another commit, hosts of both take
turns, and each line ends with the ratio of this checkout to the clone. Prints
one line for each figure, the least of all rounds: `NAME VALUE UNIT`.
"""

import os
import pathlib
import sys
import tempfile
import time

import fire

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests import deployments

ROUNDS = 4
CALLS = 300
STREAMS = 100
IDLE_SECONDS = 5.0
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
SOURCES = (
    'packages/pistachioseam/src',
    'packages/pistachioseam-peer/src',
    'packages/pistachioseam-entry/src',
    'platform/src',
)
FIGURES = {
    'start_cpu': 's',
    'start_to_ready': 's',
    'request_cpu': 'ms',
    'stream_cpu': 'ms',
    'idle_cpu': 'percent',
    'store_calls': 'per minute',
    'memory_peak': 'MB',
}


def read_cpu_seconds(server: deployment.ServerProcess) -> float:
    """Return the processor seconds that a process has used."""
    stat = pathlib.Path(f'/proc/{server.process.pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_peak_mb(server: deployment.ServerProcess) -> float:
    """Return the peak resident memory of a process in MB."""
    status = pathlib.Path(f'/proc/{server.process.pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / 1000
    raise ValueError('no VmHWM in the status of the process')


def send(address: str, path: str, number: int) -> None:
    """Send a call and check that it is served."""
    headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': 'Bearer key-1',
        'x-pistachioseam-request-id': f'{path}-{number}',
        'x-pistachioseam-deadline-ms': '3000',
    }
    response = deployments.send(address, 'POST', path, b'content', headers)
    if response.status != 200:
        raise RuntimeError(f'{path}: status {response.status}')


def measure_calls(
    host: deployment.ServerProcess, path: str, count: int
) -> float:
    """Return the processor milliseconds of one call."""
    before = read_cpu_seconds(host)
    for number in range(count):
        send(host.address, path, number)
    return (read_cpu_seconds(host) - before) / count * 1000


def measure_host(running: fleet.Fleet) -> dict[str, float]:
    """Start the fleet's host again, measure it and stop it."""
    running.kill(running.entries[0])
    started_at = time.monotonic()
    host = running.start_host(0, running.entries[0])
    running.wait_ready(host)
    figures = {
        'start_to_ready': time.monotonic() - started_at,
        'start_cpu': read_cpu_seconds(host),
    }
    running.entries = [host]
    running.wait_targets()
    measure_calls(host, '/safe/whole', 20)
    figures['request_cpu'] = measure_calls(host, '/safe/whole', CALLS)
    figures['stream_cpu'] = measure_calls(host, '/stream/whole', STREAMS)
    cpu, calls = read_cpu_seconds(host), count_store_calls(running)
    time.sleep(IDLE_SECONDS)
    used = read_cpu_seconds(host) - cpu
    figures['idle_cpu'] = used / IDLE_SECONDS * 100
    gained = count_store_calls(running) - calls
    figures['store_calls'] = gained / IDLE_SECONDS * 60
    figures['memory_peak'] = read_peak_mb(host)
    host.process.kill()
    host.process.wait()
    return figures


def count_store_calls(running: fleet.Fleet) -> int:
    """Return the number of calls that the store has received from hosts."""
    address = running.platform.address
    return int(deployment.call('GET', address, '/standin/calls')['calls'])


def measure_checkout(folder: pathlib.Path) -> dict[str, float]:
    """Measure a host of a checkout."""
    path = os.pathsep.join(str(folder / source) for source in SOURCES)
    spec = fleet.FleetSpec(hosts=1, engines=1, plain=1)
    with (
        tempfile.TemporaryDirectory() as temporary,
        fleet.Fleet(spec, pathlib.Path(temporary)) as running,
    ):
        running.host_environment = {'PYTHONPATH': path}
        return measure_host(running)


def run(against: str = '') -> None:
    """Measure this checkout, alternating with a clone of another commit."""
    own = pathlib.Path(__file__).resolve().parent.parent
    folders = [own, pathlib.Path(against).resolve()] if against else [own]
    measured = []
    for _ in range(ROUNDS):
        folders.reverse()
        measured.append(
            {folder: measure_checkout(folder) for folder in folders}
        )
    folders.sort(key=lambda folder: folder != own)
    for name, unit in FIGURES.items():
        values = [
            min(figures[folder][name] for figures in measured)
            for folder in folders
        ]
        ratio = f' {values[0] / values[1]:.2f}' if against else ''
        print(f'{name} {values[0]:.3f} {unit}{ratio}')


if __name__ == '__main__':
    sys.exit(fire.Fire(run))
