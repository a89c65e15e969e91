"""Load of a scenario over HTTP against running hosts."""

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

LEAST_MICROSECONDS = 1
MOST_MICROSECONDS = 600_000_000
DIGITS = 3
MICROSECONDS = 1_000_000
PERCENTILES = (50, 95, 99)
PIECE_FILLER = 'x'
PATH = '/v1/chat/completions'


@attrs.frozen(kw_only=True)
class Goal:
    """Where the load goes; `rate` in requests a second."""

    hosts: tuple[str, ...]
    key: str
    model: str
    rate: float
    piece_bytes: int


class Load:
    """One run; latencies in microseconds, outcomes by name."""

    def __init__(self, goal: Goal) -> None:
        self.first = histogram.HdrHistogram(
            LEAST_MICROSECONDS, MOST_MICROSECONDS, DIGITS
        )
        self.whole = histogram.HdrHistogram(
            LEAST_MICROSECONDS, MOST_MICROSECONDS, DIGITS
        )
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._goal = goal

    async def run(self, scenario: scenarios.Scenario, seed: int) -> None:
        """Send all requests at their times, whatever the answers do."""
        started = time.monotonic()
        sends = []
        requests = workloads.create_requests(scenario, self._goal.rate, seed)
        for request in requests:
            delay = started + request.at - time.monotonic()
            await asyncio.sleep(max(0.0, delay))
            sends.append(asyncio.ensure_future(self._send(request)))
        await asyncio.gather(*sends)

    async def _send(self, request: workloads.Request) -> None:
        started = time.monotonic()
        try:
            self.outcomes[await self._stream(request, started)] += 1
        except Exception as error:
            self.outcomes[type(error).__name__] += 1

    async def _stream(self, request: workloads.Request, started: float) -> str:
        loop = asyncio.get_running_loop()
        host = self._goal.hosts[request.host % len(self._goal.hosts)]
        response = await treq.post(
            f'http://{host}{PATH}',
            data=self._encode(request),
            headers={'authorization': f'Bearer {self._goal.key}'},
            unbuffered=True,
        ).asFuture(loop)
        seen: list[float] = []
        collecting = treq.collect(
            response, lambda _: seen.append(time.monotonic())
        )
        await collecting.asFuture(loop)
        if response.code != http.HTTPStatus.OK:
            return f'status {response.code}'
        self.first.record_value(int((seen[0] - started) * MICROSECONDS))
        self.whole.record_value(int((seen[-1] - started) * MICROSECONDS))
        return 'done'

    def _encode(self, request: workloads.Request) -> bytes:
        """Return a prompt whose pieces are shared as the chain says."""
        size = self._goal.piece_bytes
        parts = [
            f'{piece} '.ljust(size, PIECE_FILLER) for piece in request.chain
        ]
        content: dict[str, typing.Any] = {
            'model': self._goal.model,
            'stream': True,
            'max_tokens': request.tokens,
            'messages': [{'role': 'user', 'content': ''.join(parts)}],
        }
        return json.dumps(content).encode()

    def format_lines(self) -> abc.Iterator[str]:
        """Yield the outcomes and the percentiles in milliseconds."""
        yield ', '.join(f'{k}: {n}' for k, n in sorted(self.outcomes.items()))
        for name, measured in (('first', self.first), ('last', self.whole)):
            values = (
                f'p{p} {measured.get_value_at_percentile(p) / 1000:.1f} ms'
                for p in PERCENTILES
            )
            joined = ', '.join(values)
            yield f'{name} token: {joined}'
