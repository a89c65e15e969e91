"""Stand-in of a model server with a queue, orders and a linger time."""

import asyncio
import dataclasses
import json
import time

import engines
import wire

PREFIX = engines.PREFIX
LOAD_SECONDS = 0.4
LATE_SECONDS = 9.0
"""Time after which a late order is carried out; `applied_late` has 2 to 12."""
CHECK_SECONDS = 0.01


@dataclasses.dataclass
class Work:
    """Work of an engine on a request, from its begin to its end."""

    request_id: str
    engine: str
    begun_at: float
    ended_at: float = float('inf')


class QueueingEngine(engines.Engine):
    """Model server whose requests wait for `queue_seconds` before they begin.

    It goes on with a request for `linger_seconds` after its channel has been
    closed. While `has_late_orders`, orders get no answer and are carried out
    late. Requests that wait when an order is accepted are rejected.
    """

    def __init__(self, name: str, service: str, model: str, zone: str) -> None:
        super().__init__(name, service, model, zone)
        self.queue_seconds = 0.0
        self.work_seconds = 0.1
        self.linger_seconds = 0.0
        self.has_late_orders = False
        self.works: list[Work] = []
        self._waiting = 0
        self._running = 0
        self._is_loading = False

    async def _serve(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.words[1] == '/-/order':
            return await self._take_order(request, writer)
        if request.words[1] == '/-/report':
            writer.write(wire.encode_json(200, self._create_report()))
            return True
        return await super()._serve(request, reader, writer)

    def _create_report(self) -> dict[str, object]:
        return {
            **super()._create_report(),
            'busy': self._is_loading,
            'queued': self._waiting,
            'running': self._running,
        }

    async def _take_order(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> bool:
        if self.has_late_orders:
            await asyncio.sleep(LATE_SECONDS)
        order = json.loads(request.body)
        if self._is_loading or order['expected'] != self._orders:
            writer.write(wire.encode_json(409, {}))
            return True
        self._orders += 1
        self._is_loading = True
        writer.write(wire.encode_json(202, {}))
        await writer.drain()
        await asyncio.sleep(LOAD_SECONDS)
        while self._running:
            await asyncio.sleep(CHECK_SECONDS)
        self._version = order['version']
        self._is_loading = False
        return True

    async def _answer(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Let a request wait, then work on it; stream it at the end."""
        request_id = request.get(PREFIX + 'Request-Id')
        left = Departure(reader, self.linger_seconds)
        begins_at = time.monotonic() + self.queue_seconds
        self._waiting += 1
        try:
            while time.monotonic() < begins_at:
                await asyncio.sleep(CHECK_SECONDS)
                if left.is_over():
                    return False
                if self._is_loading:
                    writer.write(self._encode_rejection(request_id))
                    return True
        finally:
            self._waiting -= 1
        work = Work(request_id, self.name, time.monotonic())
        self.works.append(work)
        self._running += 1
        try:
            ends_at = work.begun_at + self.work_seconds
            while time.monotonic() < ends_at and not left.is_over():
                await asyncio.sleep(CHECK_SECONDS)
        finally:
            self._running -= 1
            work.ended_at = time.monotonic()
        if left.is_over():
            return False
        return await super()._answer(request, reader, writer)

    def _encode_rejection(self, request_id: str) -> bytes:
        return wire.encode_response(
            503,
            [
                (PREFIX + 'Request-Id', request_id),
                (PREFIX + 'Not-Executed', '1'),
            ],
        )


class Departure:
    """Whether a caller has left and the linger time is over."""

    def __init__(
        self, reader: asyncio.StreamReader, linger_seconds: float
    ) -> None:
        self._reader = reader
        self._linger_seconds = linger_seconds
        self._left_at: float | None = None

    def is_over(self) -> bool:
        """Return whether the server drops the request now."""
        now = time.monotonic()
        has_left = self._reader.at_eof() or self._reader.exception()
        if has_left and self._left_at is None:
            self._left_at = now
        if self._left_at is None:
            return False
        return now >= self._left_at + self._linger_seconds
