"""Latency that one host adds to a request, and its CPU time and memory.

Run: `.venv/bin/python -m benchmarks.latency`. Direct calls to the engine
stand-in and calls through the host alternate, so that other load on the
machine affects both alike.
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
TOKENS_PER_STREAM = 2000
STREAMS = 5
IDLE_SECONDS = 5.0
SHORT_RESPONSE_TOKENS = 1
CHAT_PATH = '/v1/chat/completions'


class ChatClient:
    """Keep-alive connection to an engine or a host."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._connection = client.HTTPConnection(host, int(port))
        key = deployment.TEAM_KEYS['carvers']
        self._headers = {
            'authorization': f'Bearer {key}',
            'content-type': 'application/json',
        }

    def call(self, tokens: int, *, is_stream: bool) -> float:
        """Send a prompt; return the seconds until its response is complete."""
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
        """Send a body; return the status and body of the response."""
        self._connection.request('POST', CHAT_PATH, body, self._headers)
        response = self._connection.getresponse()
        return response.status, response.read()


def read_cpu_seconds(server: deployment.ServerProcess) -> float:
    """Return the CPU seconds that a process has used."""
    text = pathlib.Path(f'/proc/{server.process.pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def read_memory_mb(server: deployment.ServerProcess) -> float:
    """Return the resident memory of a process in MB."""
    status = pathlib.Path(f'/proc/{server.process.pid}/status').read_text()
    line = next(x for x in status.splitlines() if x.startswith('VmRSS'))
    return int(line.split()[1]) / 1000


def compute_percentile_ms(values: abc.Sequence[float], percent: int) -> float:
    """Return a percentile of values in seconds, in milliseconds."""
    ordered = sorted(values)
    return ordered[len(ordered) * percent // 100] * 1e3


def main() -> None:
    """Measure an idle host, then short calls, then streams."""
    spec = deployment.Spec(
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
        deployment.Deployment(spec, pathlib.Path(folder)) as local,
    ):
        host = local.entries[0]
        print(f'memory when idle: {read_memory_mb(host):.1f} MB')
        cpu_before = read_cpu_seconds(host)
        time.sleep(IDLE_SECONDS)
        idle_cpu = read_cpu_seconds(host) - cpu_before
        idle_fraction = idle_cpu / IDLE_SECONDS
        print(f'CPU when idle: {idle_fraction * 100:.2f}% of a core')
        direct, routed = (
            ChatClient(local.engines[0].address),
            ChatClient(host.address),
        )
        times: dict[str, list[float]] = {'direct': [], 'routed': []}
        cpu_before = read_cpu_seconds(host)
        for _ in range(CALLS):
            times['direct'].append(
                direct.call(SHORT_RESPONSE_TOKENS, is_stream=False)
            )
            times['routed'].append(
                routed.call(SHORT_RESPONSE_TOKENS, is_stream=False)
            )
        cpu_seconds = (read_cpu_seconds(host) - cpu_before) / CALLS
        for name, values in times.items():
            p50, p99 = (
                compute_percentile_ms(values, 50),
                compute_percentile_ms(values, 99),
            )
            print(f'{name}: p50 {p50:.2f} ms, p99 {p99:.2f} ms')
        print(f'CPU per request: {cpu_seconds * 1e6:.0f} us')
        cpu_before = read_cpu_seconds(host)
        for _ in range(STREAMS):
            routed.call(TOKENS_PER_STREAM, is_stream=True)
        cpu_seconds = (read_cpu_seconds(host) - cpu_before) / (
            STREAMS * TOKENS_PER_STREAM
        )
        print(f'CPU per streamed token: {cpu_seconds * 1e6:.0f} us')
        print(f'memory after the run: {read_memory_mb(host):.1f} MB')


if __name__ == '__main__':
    main()
