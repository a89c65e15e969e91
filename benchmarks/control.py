"""CPU, memory and store reads of idle hosts: the control plane's cost.

Run: `.venv/bin/python -m benchmarks.control`. Gossip and polls run at the
default intervals; deployments of several sizes show the cost per peer.
"""

import pathlib
import tempfile
import time

from benchmarks import latency
from pistachioseam_standins import deployment

HOST_COUNTS = (1, 3, 9, 17)
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0


def measure_idle_hosts(host_count: int) -> None:
    """Print the mean CPU and memory per host and the total store reads."""
    spec = deployment.Spec(
        entries=host_count,
        domains=('pohja-1',),
        entry_settings={'logs': {'level': 'WARNING'}},
        poll_seconds=1.0,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(spec, pathlib.Path(folder)) as local,
    ):
        time.sleep(SETTLE_SECONDS)
        cpu_before = [latency.read_cpu_seconds(host) for host in local.entries]
        path = '/v1/counts'
        counts_before = deployment.call('GET', local.platform.address, path)
        time.sleep(MEASURE_SECONDS)
        cpu_after = sum(
            latency.read_cpu_seconds(host) for host in local.entries
        )
        counts_after = deployment.call('GET', local.platform.address, path)
        percent = (
            (cpu_after - sum(cpu_before)) / host_count / MEASURE_SECONDS * 100
        )
        memory_mb = (
            sum(latency.read_memory_mb(host) for host in local.entries)
            / host_count
        )
        reads = (
            counts_after['reads'] - counts_before['reads']
        ) / MEASURE_SECONDS
        print(
            f'{host_count} hosts: {percent:.2f}% of a core and '
            f'{memory_mb:.1f} MB per host, {reads:.1f} store reads/s in total'
        )


def main() -> None:
    """Measure deployments of all sizes."""
    for host_count in HOST_COUNTS:
        measure_idle_hosts(host_count)


if __name__ == '__main__':
    main()
