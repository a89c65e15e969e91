"""Queue of one engine, as its coordinator keeps it.

Load pattern: dozens of hosts send to one engine, each a few calls a second.
Their reports of each other's calls are late by as much as the whole queue, so
some engines get five seconds of work while others idle. The coordinator of an
engine admits every call to it, and so knows exactly what it has.
"""

import attrs

from pistachioseam.forwarding import admission_order
from pistachioseam.forwarding import loads

MAX_BACKLOG_SECONDS = 0.15
"""Prefill work up to which an engine gets more: about the time until the
coordinator hears of a first byte from another region. What waits beyond it
waits here, where the order can still be changed."""
IDLE_BACKLOG_SECONDS = 0.01
"""Prefill work below which an engine counts as idle."""
RESERVED_OBJECTIVE_FRACTION = 0.5
"""Part of the objective of calls of a higher priority that calls of a lower
one may fill with their prefill work."""
PRIORITY_MEMORY_SECONDS = 2.0
"""Time for which an engine that got calls of a higher priority is kept free
for more of them."""
REPORT_DELAY_SECONDS = 0.15
"""Longest usual time from a first byte to the report of it. A call is taken
to be prefilled in time until then; after that it counts as waiting."""
MAX_OVERDUE_SECONDS = 1.5
"""Time after which a call without a report of its first byte is forgotten: its
host is lost, or the engine is left to outlier detection."""
MAX_RUN_SECONDS = 30.0
"""Time after its deadline for the first byte at which a call that has begun is
forgotten, twice the longest time limit of a prompt. A call that still runs
takes its slot and memory; if it were forgotten, others would exceed them."""
SLOWDOWN_WEIGHT = 0.1
"""Weight of the newest call in the moving average of an engine's slowdown."""
MIN_SLOWDOWN = 0.9
MAX_SLOWDOWN = 2.5
"""Bounds of the ratio of actual to expected time to first byte."""
MIN_MEASURED_SECONDS = 0.15
"""Shorter expected times are too inexact to measure an engine's speed."""
REPORT_SECONDS = 0.03
"""Time that a report of a first byte takes to arrive, at the mean of the
regions."""
FULL_ENGINE_SECONDS = 0.2
"""Expected wait for a slot or memory of an engine that has none left."""
MAX_MEMORY_FRACTION = 0.95
"""Fraction of an engine's KV cache that admitted calls may take. An engine
crashes if what it holds exceeds its memory."""
TAKEOVER_SECONDS = 2.0
"""Time for which the load that other hosts report counts at a coordinator that
has admitted no call to the engine before."""


@attrs.frozen(kw_only=True)
class Decision:
    """Answer to the call with the given key.

    `expected_seconds` is the expected time to the first byte, from now on.
    """

    key: int
    is_granted: bool
    expected_seconds: float


@attrs.define
class _Admitted:
    demand: admission_order.Demand
    admitted_at: float
    first_byte_at: float
    has_first_byte: bool = False


@attrs.frozen
class _Class:
    """Calls of one priority and objective, which share a reserve."""

    priority: int
    objective_seconds: float

    def precedes(self, demand: admission_order.Demand) -> bool:
        """Return whether room is reserved for such calls against a call."""
        if self.priority != demand.priority:
            return self.priority < demand.priority
        return self.objective_seconds < demand.objective_seconds


class EngineQueue:
    """Calls of one engine incarnation; times are monotonic seconds.

    `reported` is the load that other hosts have told of when this coordinator
    took over.
    """

    def __init__(
        self,
        slots: int,
        memory_tokens: int,
        reported: loads.Load,
        now: float,
    ) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.used_at = now
        self._reported = reported
        self._created_at = now
        self._admitted: dict[int, _Admitted] = {}
        self._waiting: dict[int, admission_order.Demand] = {}
        self._seen_at: dict[_Class, float] = {}
        self._prefilled_at = now
        self._slowdown = 1.0

    def submit(self, demand: admission_order.Demand, now: float) -> None:
        """Add a call that waits for admission."""
        self.used_at = now
        self._waiting[demand.key] = demand
        if demand.objective_seconds > 0:
            seen = _Class(demand.priority, demand.objective_seconds)
            self._seen_at[seen] = now

    def withdraw(self, key: int) -> None:
        """Remove a call that no longer waits."""
        self._waiting.pop(key, None)

    def record_first_byte(self, key: int, now: float) -> None:
        """Record that the engine has prefilled a call."""
        admitted = self._admitted.get(key)
        if admitted is None or admitted.has_first_byte:
            return
        admitted.has_first_byte = True
        self._measure_slowdown(admitted, now)
        left = sum(
            self._get_prefill_seconds(other.demand)
            for other in self._admitted.values()
            if not other.has_first_byte
        )
        self._prefilled_at = min(self._prefilled_at, now + left)

    def _measure_slowdown(self, admitted: _Admitted, now: float) -> None:
        expected = admitted.first_byte_at - admitted.admitted_at
        if expected < MIN_MEASURED_SECONDS:
            return
        actual = now - admitted.admitted_at - REPORT_SECONDS
        newest = self._slowdown * actual / expected
        self._slowdown += SLOWDOWN_WEIGHT * (
            min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, newest)) - self._slowdown
        )

    def _get_prefill_seconds(self, demand: admission_order.Demand) -> float:
        """Return the time in which this engine prefills a call."""
        return demand.get_prefill_seconds() * self._slowdown

    def record_end(self, key: int, now: float) -> None:
        """Record that a call has ended, or will not be sent."""
        admitted = self._admitted.get(key)
        if admitted is not None and not admitted.has_first_byte:
            # It tells nothing of the engine's speed.
            admitted.first_byte_at = admitted.admitted_at
        self.record_first_byte(key, now)
        self._admitted.pop(key, None)

    def has_waiting(self) -> bool:
        """Return whether any call waits for admission."""
        return bool(self._waiting)

    def has_calls(self, now: float) -> bool:
        """Return whether any call waits, or runs as far as is known."""
        self._forget_expired(now)
        return bool(self._waiting or self._admitted)

    def count_admitted(self) -> int:
        """Return the number of calls that were admitted and have not ended."""
        return len(self._admitted)

    def get_backlog_seconds(self, now: float) -> float:
        """Return the time in which the engine prefills what it has.

        A call whose first byte is overdue is still waiting there.
        """
        overdue = sum(
            self._get_prefill_seconds(admitted.demand)
            for admitted in self._admitted.values()
            if not admitted.has_first_byte
            and now > admitted.first_byte_at + REPORT_DELAY_SECONDS
        )
        backlog = max(0.0, self._prefilled_at - now) + overdue
        reported = (
            self._reported.prefill_tokens
            / admission_order.PREFILL_TOKENS_PER_SECOND
        )
        return backlog + max(0.0, reported - (now - self._created_at))

    def _get_reported_fraction(self, now: float) -> float:
        """Return the part of the reported calls that still counts."""
        age_seconds = now - self._created_at
        return max(0.0, 1 - age_seconds / TAKEOVER_SECONDS)

    def decide(self, now: float) -> list[Decision]:
        """Return decisions on waiting calls; the others go on waiting."""
        self._forget_expired(now)
        decisions = []
        backlog = self.get_backlog_seconds(now)
        expected = backlog
        is_blocked = False
        ordered = admission_order.sort_demands(self._waiting.values(), now)
        for demand in ordered:
            seconds = expected + self._get_prefill_seconds(demand)
            fits = demand.memory_tokens <= self.memory_tokens
            is_granted = (
                fits
                and not is_blocked
                and self._has_room(demand, backlog, now)
            )
            if is_granted:
                self._admit(demand, seconds, now)
                backlog = expected = seconds
            elif (
                fits
                and now + seconds <= demand.deadline
                and now + max(0.0, expected - MAX_BACKLOG_SECONDS)
                < demand.answer_by
            ):
                # Only calls that go on waiting delay those behind them.
                is_blocked = True
                expected = seconds
                continue
            if not is_granted and not self._has_free_slot(demand, now):
                seconds += FULL_ENGINE_SECONDS
            del self._waiting[demand.key]
            decisions.append(
                Decision(
                    key=demand.key,
                    is_granted=is_granted,
                    expected_seconds=seconds,
                )
            )
        return decisions

    def _has_room(
        self, demand: admission_order.Demand, backlog: float, now: float
    ) -> bool:
        if not self._has_free_slot(demand, now):
            return False
        if backlog <= IDLE_BACKLOG_SECONDS:
            return True
        reserved = self._get_reserved_seconds(demand, now)
        return (
            backlog <= MAX_BACKLOG_SECONDS
            and backlog + self._get_prefill_seconds(demand) <= reserved
        )

    def _has_free_slot(
        self, demand: admission_order.Demand, now: float
    ) -> bool:
        """Return whether the engine has a slot and memory for a call."""
        fraction = self._get_reported_fraction(now)
        runs = len(self._admitted) + self._reported.runs * fraction
        tokens = sum(a.demand.memory_tokens for a in self._admitted.values())
        tokens += int(self._reported.tokens * fraction)
        most = self.memory_tokens * MAX_MEMORY_FRACTION
        return runs < self.slots and (
            runs < 1 or tokens + demand.memory_tokens <= most
        )

    def _get_reserved_seconds(
        self, demand: admission_order.Demand, now: float
    ) -> float:
        """Return the prefill work that a call may leave behind.

        Infinite unless calls that precede it come to the engine: those of a
        higher priority, and those of its own with a shorter objective.
        """
        objectives = [
            seen.objective_seconds
            for seen, seen_at in self._seen_at.items()
            if now - seen_at < PRIORITY_MEMORY_SECONDS
            and seen.precedes(demand)
        ]
        return RESERVED_OBJECTIVE_FRACTION * min(
            objectives, default=float('inf')
        )

    def _admit(
        self,
        demand: admission_order.Demand,
        expected_seconds: float,
        now: float,
    ) -> None:
        self._admitted[demand.key] = _Admitted(
            demand, now, now + expected_seconds
        )
        self._prefilled_at = max(
            now, self._prefilled_at
        ) + self._get_prefill_seconds(demand)

    def _forget_expired(self, now: float) -> None:
        """Drop calls whose progress was not reported, as of a lost host."""
        self._admitted = {
            key: admitted
            for key, admitted in self._admitted.items()
            if now <= _get_forgotten_at(admitted)
        }


def _get_forgotten_at(admitted: _Admitted) -> float:
    """Return the time after which the end of a call is not waited for."""
    if admitted.has_first_byte:
        return admitted.demand.deadline + MAX_RUN_SECONDS
    return min(
        admitted.demand.deadline,
        admitted.first_byte_at + MAX_OVERDUE_SECONDS,
    )
