"""Processor time and traffic of control between idle hosts.

Run: `.venv/bin/python benchmarks/control.py`. Gossip and polls run at the
default intervals; deployments of several sizes give the slope a peer.
"""

import pathlib
import tempfile
import time

import latency

from pistachioseam_standins import deployment

HOST_COUNTS = (1, 3, 9, 17)
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0


def measure(hosts: int) -> None:
    """Print the mean figures of one deployment at rest."""
    shape = deployment.Spec(
        entries=hosts,
        domains=('pohja-1',),
        entry_settings={'logs': {'level': 'WARNING'}},
        poll_seconds=1.0,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(shape, pathlib.Path(folder)) as local,
    ):
        time.sleep(SETTLE_SECONDS)
        before = [latency.read_cpu(entry) for entry in local.entries]
        path = '/v1/counts'
        counts = deployment.call('GET', local.platform.address, path)
        time.sleep(MEASURE_SECONDS)
        spent = sum(latency.read_cpu(entry) for entry in local.entries)
        after = deployment.call('GET', local.platform.address, path)
        share = (spent - sum(before)) / hosts / MEASURE_SECONDS * 100
        memory = sum(latency.read_memory(e) for e in local.entries) / hosts
        reads = (after['reads'] - counts['reads']) / MEASURE_SECONDS
        print(
            f'{hosts} hosts: {share:.2f}% of a core and {memory:.1f} MB a '
            f'host, {reads:.1f} store reads/s in all'
        )


def main() -> None:
    """Print the figures of all sizes."""
    for hosts in HOST_COUNTS:
        measure(hosts)


if __name__ == '__main__':
    main()
