"""Stand-in of a model server that may fall silent, and records its orders."""

import asyncio
from collections import abc
import dataclasses
import json
import time

import queues
import wire

REPORT_LAG_SECONDS = 0.2
"""Reports tell "values as of some hundred ms ago"."""


@dataclasses.dataclass(frozen=True)
class Order:
    """Order as the server sees it."""

    at: float
    holder: str
    fencing_token: int
    version: int


class SilentEngine(queues.QueueingEngine):
    """Model server that is silent for a while when it gets a chosen order.

    `choose_silence` is called with the holder of an order that has reached
    its socket; it returns for how long the server does nothing, from the
    moment before it reads the order.
    """

    def __init__(
        self,
        name: str,
        service: str,
        model: str,
        zone: str,
        choose_silence: abc.Callable[[str], float],
    ) -> None:
        super().__init__(name, service, model, zone)
        self.orders: list[Order] = []
        self._choose_silence = choose_silence
        self._silent_until = 0.0
        self._reports: list[tuple[float, dict[str, object]]] = []

    async def _serve(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.words[1] == '/-/order':
            holder = json.loads(request.body)['holder']
            silence = self._choose_silence(holder)
            if silence:
                self._silent_until = time.monotonic() + silence
        await asyncio.sleep(max(0.0, self._silent_until - time.monotonic()))
        return await super()._serve(request, reader, writer)

    async def _take_order(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> bool:
        content = json.loads(request.body)
        self.orders.append(
            Order(
                time.monotonic(),
                content['holder'],
                content['fencingToken'],
                content['version'],
            )
        )
        return await super()._take_order(request, writer)

    async def record_reports(self) -> None:
        """Record what reports will tell a little later, forever."""
        while True:
            now = time.monotonic()
            self._reports.append((now, super()._create_report()))
            while self._reports[1:] and (
                self._reports[1][0] <= now - REPORT_LAG_SECONDS
            ):
                del self._reports[0]
            await asyncio.sleep(queues.CHECK_SECONDS)

    def _create_report(self) -> dict[str, object]:
        return self._reports[0][1]
