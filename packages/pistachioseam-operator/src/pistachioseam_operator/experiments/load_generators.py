"""Load generator: sends the requests of a scenario to hosts over HTTP."""

import asyncio
import collections
from collections import abc
import http
import json
import time
import typing

import attrs
from hdrh import histogram
import treq

from pistachioseam_operator.experiments import scenarios
from pistachioseam_operator.experiments import workloads

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
PERCENTILES = (50, 95, 99)
PADDING = 'x'
CHAT_PATH = '/v1/chat/completions'


@attrs.frozen(kw_only=True)
class LoadOptions:
    """Hosts and model to send to.

    `rate` is in requests per second; `key` is the API key of the caller and
    `piece_bytes` the size of one piece of a prompt.
    """

    hosts: tuple[str, ...]
    key: str
    model: str
    rate: float
    piece_bytes: int


class LoadGenerator:
    """Sender of one run; records latencies in microseconds and outcomes."""

    def __init__(self, options: LoadOptions) -> None:
        self.first_token_latencies = histogram.HdrHistogram(
            MIN_LATENCY_MICROSECONDS,
            MAX_LATENCY_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        )
        self.last_token_latencies = histogram.HdrHistogram(
            MIN_LATENCY_MICROSECONDS,
            MAX_LATENCY_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        )
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._options = options

    async def run(self, scenario: scenarios.Scenario, seed: int) -> None:
        """Send all requests at their arrival times, then await the responses.

        An open loop: slow responses do not reduce the rate.
        """
        started = time.monotonic()
        tasks = []
        requests = workloads.create_requests(
            scenario, self._options.rate, seed
        )
        for request in requests:
            delay = started + request.arrived_at - time.monotonic()
            await asyncio.sleep(max(0.0, delay))
            tasks.append(asyncio.ensure_future(self._send_request(request)))
        await asyncio.gather(*tasks)

    async def _send_request(self, request: workloads.Request) -> None:
        started = time.monotonic()
        try:
            self.outcomes[await self._measure_stream(request, started)] += 1
        except Exception as error:
            self.outcomes[type(error).__name__] += 1

    async def _measure_stream(
        self, request: workloads.Request, started: float
    ) -> str:
        """Send one request, record its latencies and return its outcome."""
        loop = asyncio.get_running_loop()
        host = self._options.hosts[request.host % len(self._options.hosts)]
        response = await treq.post(
            f'http://{host}{CHAT_PATH}',
            data=self._encode_body(request),
            headers={'authorization': f'Bearer {self._options.key}'},
            unbuffered=True,
        ).asFuture(loop)
        chunk_times: list[float] = []
        collected = treq.collect(
            response, lambda _: chunk_times.append(time.monotonic())
        )
        await collected.asFuture(loop)
        if response.code != http.HTTPStatus.OK:
            return f'status {response.code}'
        self.first_token_latencies.record_value(
            int((chunk_times[0] - started) * MICROSECONDS_PER_SECOND)
        )
        self.last_token_latencies.record_value(
            int((chunk_times[-1] - started) * MICROSECONDS_PER_SECOND)
        )
        return 'done'

    def _encode_body(self, request: workloads.Request) -> bytes:
        """Return a body whose prompt has one piece for each hash of the chain.

        Requests with equal leading hashes get equal leading pieces.
        """
        piece_bytes = self._options.piece_bytes
        pieces = [
            f'{piece} '.ljust(piece_bytes, PADDING) for piece in request.chain
        ]
        content: dict[str, typing.Any] = {
            'model': self._options.model,
            'stream': True,
            'max_tokens': request.tokens,
            'messages': [{'role': 'user', 'content': ''.join(pieces)}],
        }
        return json.dumps(content).encode()

    def format_lines(self) -> abc.Iterator[str]:
        """Yield counts by outcome, then percentiles of latency in ms."""
        yield ', '.join(f'{k}: {n}' for k, n in sorted(self.outcomes.items()))
        for name, latencies in (
            ('first', self.first_token_latencies),
            ('last', self.last_token_latencies),
        ):
            values = (
                f'p{p} {latencies.get_value_at_percentile(p) / 1000:.1f} ms'
                for p in PERCENTILES
            )
            joined = ', '.join(values)
            yield f'{name} token: {joined}'
