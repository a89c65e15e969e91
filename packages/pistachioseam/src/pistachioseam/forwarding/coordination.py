"""Admission of model calls by the coordinators of their engines.

Every engine has a coordinator among the hosts of its failure domain, found by
rendezvous hashing without a message. It keeps the engine's queue. What it
knows is lost with it; its successor starts from the load that hosts report.
"""

import asyncio
from collections import abc

import attrs

from pistachioseam.forwarding import admission_order
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import engine_queues
from pistachioseam.forwarding import loads
from pistachioseam import interfaces
from pistachioseam import membership
from pistachioseam.placement import rendezvous

DECISION_INTERVAL_SECONDS = 0.02
"""Pause between two decisions on the calls that wait."""
QUEUE_EXPIRY_SECONDS = 30.0
"""Time after which the queue of an engine without calls is dropped."""
ASKED_COORDINATORS = 2
"""Hosts that are asked for one decision, one after the other."""


@attrs.frozen(kw_only=True)
class Question:
    """Request to admit a call to an engine; times are in seconds from now.

    `objective_left_seconds` may be negative. The coordinator answers within
    `max_wait_seconds`.
    """

    incarnation: catalog.Incarnation
    key: int
    prefill_tokens: int
    memory_tokens: int
    priority: int
    objective_seconds: float
    objective_left_seconds: float
    seconds_left: float
    max_wait_seconds: float

    def spend(self, seconds: float) -> 'Question':
        """Return the question some seconds later."""
        return attrs.evolve(
            self,
            objective_left_seconds=self.objective_left_seconds - seconds,
            seconds_left=self.seconds_left - seconds,
        )

    def create_demand(self, now: float) -> admission_order.Demand:
        """Return the call as it waits at the coordinator."""
        objective_at = now + self.objective_left_seconds
        return admission_order.Demand(
            key=self.key,
            priority=self.priority,
            prefill_tokens=self.prefill_tokens,
            memory_tokens=self.memory_tokens,
            objective_seconds=self.objective_seconds,
            objective_at=objective_at
            if self.objective_seconds > 0
            else float('inf'),
            deadline=now + self.seconds_left,
            answer_by=now + self.max_wait_seconds,
            received_at=min(now, objective_at - self.objective_seconds),
        )


@attrs.frozen
class Answer:
    """Decision of a coordinator, with the expected time to first byte.

    `is_engine_known` is False if the coordinator has not read of the engine.
    `coordinator` is the host that has decided, None if it is the one asked.
    """

    is_granted: bool
    expected_seconds: float
    is_engine_known: bool = True
    coordinator: membership.Peer | None = None


UNKNOWN_ENGINE = Answer(False, 0.0, is_engine_known=False)
"""Answer of a coordinator that has not read of the engine."""


@attrs.frozen(kw_only=True)
class Progress:
    """Keys of admitted calls that have begun or ended, for one coordinator."""

    begun: tuple[int, ...] = ()
    ended: tuple[int, ...] = ()


class Coordinator:
    """Queues of the engines that this host coordinates."""

    def __init__(
        self,
        runtime: interfaces.Runtime,
        find_engine: abc.Callable[
            [catalog.Incarnation], desired.Engine | None
        ],
        get_load: abc.Callable[[str], loads.Load],
    ) -> None:
        self._runtime = runtime
        self._find_engine = find_engine
        self._get_load = get_load
        self._queues: dict[catalog.Incarnation, engine_queues.EngineQueue] = {}
        self._owners: dict[int, catalog.Incarnation] = {}
        self._answers: dict[int, asyncio.Future[Answer]] = {}
        self._is_deciding = False

    async def admit(self, question: Question) -> Answer:
        """Return the decision on a call."""
        now = self._runtime.now()
        queue = self._find_queue(question.incarnation, now)
        if queue is None:
            return UNKNOWN_ENGINE
        key = question.key
        answer: asyncio.Future[Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self._answers[key] = answer
        self._owners[key] = question.incarnation
        queue.submit(question.create_demand(now), now)
        self._decide(queue, now)
        try:
            if not answer.done():
                self._start_deciding()
            return await answer
        finally:
            queue.withdraw(key)
            self._answers.pop(key, None)
            if not _is_granted(answer):
                self._owners.pop(key, None)

    def record_progress(self, progress: Progress) -> None:
        """Record what a host tells of calls that were admitted here."""
        now = self._runtime.now()
        changed = {}
        for key in progress.begun:
            queue = self._queues.get(self._owners.get(key, ('', 0)))
            if queue is not None:
                queue.record_first_byte(key, now)
                changed[id(queue)] = queue
        for key in progress.ended:
            queue = self._queues.get(self._owners.pop(key, ('', 0)))
            if queue is not None:
                queue.record_end(key, now)
                changed[id(queue)] = queue
        for queue in changed.values():
            self._decide(queue, now)

    def forget(self, incarnation: catalog.Incarnation) -> None:
        """Drop the queue of an incarnation that has ended.

        Calls that wait for it are answered at their next turn.
        """
        queue = self._queues.pop(incarnation, None)
        if queue is None:
            return
        for key, owner in list(self._owners.items()):
            if owner == incarnation:
                del self._owners[key]
                self._answer(key, Answer(False, 0.0))

    def count_waiting(self) -> int:
        """Return the number of calls that wait for a decision."""
        return len(self._answers)

    def count_queues(self) -> int:
        """Return the number of engines that this host coordinates."""
        return len(self._queues)

    def _find_queue(
        self, incarnation: catalog.Incarnation, now: float
    ) -> engine_queues.EngineQueue | None:
        queue = self._queues.get(incarnation)
        if queue is not None:
            return queue
        engine = self._find_engine(incarnation)
        if engine is None:
            return None
        self._drop_unused(now)
        queue = engine_queues.EngineQueue(
            engine.slots,
            engine.cache_tokens,
            self._get_load(incarnation[0]),
            now,
        )
        self._queues[incarnation] = queue
        return queue

    def _drop_unused(self, now: float) -> None:
        self._queues = {
            incarnation: queue
            for incarnation, queue in self._queues.items()
            if now - queue.used_at < QUEUE_EXPIRY_SECONDS
            or queue.has_calls(now)
        }
        self._owners = {
            key: owner
            for key, owner in self._owners.items()
            if owner in self._queues
        }

    def _start_deciding(self) -> None:
        if not self._is_deciding:
            self._is_deciding = True
            self._runtime.start(self._decide_while_waiting())

    async def _decide_while_waiting(self) -> None:
        try:
            while self._answers:
                await self._runtime.sleep(DECISION_INTERVAL_SECONDS)
                now = self._runtime.now()
                for queue in list(self._queues.values()):
                    if queue.has_waiting():
                        self._decide(queue, now)
        finally:
            self._is_deciding = False

    def _decide(self, queue: engine_queues.EngineQueue, now: float) -> None:
        for decision in queue.decide(now):
            self._answer(
                decision.key,
                Answer(decision.is_granted, decision.expected_seconds),
            )

    def _answer(self, key: int, answer: Answer) -> None:
        waiting = self._answers.get(key)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)


def _is_granted(answer: asyncio.Future[Answer]) -> bool:
    return (
        answer.done() and not answer.cancelled() and answer.result().is_granted
    )


def rank_coordinators(
    target: str,
    peers: abc.Iterable[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> list[membership.Peer]:
    """Return the hosts that coordinate a target, the first and the next."""
    by_name = {peer.name: peer for peer in peers}
    ranked = rendezvous_hash.rank(
        loads.hash_target(target), sorted(by_name), ASKED_COORDINATORS
    )
    return [by_name[name] for name in ranked]
