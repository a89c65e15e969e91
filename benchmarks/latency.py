"""Latency, processor time and memory that one router adds.

Run: `.venv/bin/python benchmarks/latency.py`. Direct calls to the engine
stand-in and calls through the router alternate in one run.
"""

from collections import abc
from http import client
import json
import os
import pathlib
import tempfile
import time

from pistachioseam_standins import deployment

CALLS = 400
STREAM_TOKENS = 2000
STREAMS = 5
SMALL_TOKENS = 1
CHAT = '/v1/chat/completions'


class Caller:
    """Keep-alive connection to an engine or a router."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._connection = client.HTTPConnection(host, int(port))
        key = deployment.TEAM_KEYS['carvers']
        self._headers = {
            'authorization': f'Bearer {key}',
            'content-type': 'application/json',
        }

    def call(self, tokens: int, *, is_stream: bool) -> float:
        """Send a prompt; return the seconds to the end of its answer."""
        content = {
            'model': deployment.MODEL,
            'stream': is_stream,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': 'short question'}],
        }
        body = json.dumps(content).encode()
        started = time.perf_counter()
        status, _ = self.send(body)
        assert status == 200
        return time.perf_counter() - started

    def send(self, body: bytes) -> tuple[int, bytes]:
        """Send a body; return status and body of the answer."""
        self._connection.request('POST', CHAT, body, self._headers)
        response = self._connection.getresponse()
        return response.status, response.read()


def read_cpu(member: deployment.ServerProcess) -> float:
    """Return the processor seconds a process has used."""
    text = pathlib.Path(f'/proc/{member.process.pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def read_memory(member: deployment.ServerProcess) -> float:
    """Return the resident memory of a process in MB."""
    status = pathlib.Path(f'/proc/{member.process.pid}/status').read_text()
    line = next(x for x in status.splitlines() if x.startswith('VmRSS'))
    return int(line.split()[1]) / 1000


def get_percentile(values: abc.Sequence[float], percent: int) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(values)
    return ordered[len(ordered) * percent // 100] * 1e3


def main() -> None:
    """Print all figures."""
    shape = deployment.Spec(
        entries=1,
        engines=1,
        engine_options={
            'token_seconds': 0.0002,
            'prefill_seconds_per_piece': 0.001,
        },
        entry_settings={'logs': {'level': 'WARNING'}},
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(shape, pathlib.Path(folder)) as local,
    ):
        entry = local.entries[0]
        print(f'memory at rest: {read_memory(entry):.1f} MB')
        idle = read_cpu(entry)
        time.sleep(5.0)
        share = (read_cpu(entry) - idle) / 5.0
        print(f'processor at rest: {share * 100:.2f}% of a core')
        direct, routed = (
            Caller(local.engines[0].address),
            Caller(entry.address),
        )
        times: dict[str, list[float]] = {'direct': [], 'routed': []}
        before = read_cpu(entry)
        for _ in range(CALLS):
            times['direct'].append(direct.call(SMALL_TOKENS, is_stream=False))
            times['routed'].append(routed.call(SMALL_TOKENS, is_stream=False))
        spent = (read_cpu(entry) - before) / CALLS
        for name, values in times.items():
            low, high = get_percentile(values, 50), get_percentile(values, 99)
            print(f'{name}: p50 {low:.2f} ms, p99 {high:.2f} ms')
        print(f'processor a request: {spent * 1e6:.0f} us')
        before = read_cpu(entry)
        for _ in range(STREAMS):
            routed.call(STREAM_TOKENS, is_stream=True)
        spent = (read_cpu(entry) - before) / (STREAMS * STREAM_TOKENS)
        print(f'processor a streamed token: {spent * 1e6:.0f} us')
        print(f'memory after the run: {read_memory(entry):.1f} MB')


if __name__ == '__main__':
    main()
