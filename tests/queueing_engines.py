"""Engines that prefill prompts in turn and obey time limits, for all hosts."""

import asyncio

import attrs
from returns import result

from pistachioseam.forwarding import ports
from tests import call_fakes


@attrs.define
class EngineTerms:
    """Times of an engine in seconds.

    `linger_seconds` is how late it notices that a connection was closed,
    `way_seconds` how long calls and closes take to reach it.
    """

    prefill_seconds: float = 0.05
    run_seconds: float = 0.3
    linger_seconds: float = 1.5
    way_seconds: float = 0.0


@attrs.define
class Record:
    """What engines have done; `begun_at` holds loop times."""

    begun_at: list[float] = attrs.field(factory=list)
    finished: int = 0
    cut: int = 0
    rejected: int = 0


class QueueingEngines(call_fakes.ScriptedTargets):
    """Engines by address; each one prefills one prompt at a time.

    A call that is still queued at its time limit is rejected with proof, a
    run is broken off.
    """

    def __init__(self, terms: EngineTerms) -> None:
        super().__init__()
        self.record = Record()
        self._terms = terms
        self._turns: dict[str, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[ports.SendResult]] = set()

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Run a call, and go on for a while if the host gives it up."""
        call.begin_sending()
        task = asyncio.ensure_future(self._run(address, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self._terms.way_seconds + self._terms.linger_seconds,
                task.cancel,
            )
            raise

    async def _run(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._terms.way_seconds)
        ends_at = loop.time() + call.get_target_seconds()
        turn = self._turns.setdefault(address, asyncio.Lock())
        try:
            async with asyncio.timeout_at(ends_at), turn:
                await asyncio.sleep(self._terms.prefill_seconds)
        except TimeoutError:
            self.record.rejected += 1
            return self._respond(call, 503, (b'late',), is_not_run=True)
        self.record.begun_at.append(loop.time())
        seconds_left = max(0.0, ends_at - loop.time())
        event = call_fakes.event
        if seconds_left < self._terms.run_seconds:
            self.record.cut += 1
            broken = call_fakes.create_failure(call_fakes.Kind.BROKEN)
            return self._respond(call, 200, (event(1), seconds_left, broken))
        self.record.finished += 1
        chunks = (event(1), self._terms.run_seconds, event(2))
        return self._respond(call, 200, chunks, is_end_marked=True)

    @staticmethod
    def _respond(
        call: ports.OutgoingCall,
        status: int,
        chunks: tuple[call_fakes.Chunk, ...],
        is_not_run: bool = False,
        is_end_marked: bool = False,
    ) -> ports.SendResult:
        response = call_fakes.respond(
            status, chunks, request_id=call.request_id, is_not_run=is_not_run
        )
        response.is_end_marked = is_end_marked
        return result.Success(response)
