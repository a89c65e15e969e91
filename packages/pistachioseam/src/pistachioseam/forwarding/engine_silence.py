"""Engines that do not answer the reports and orders of one host."""

import math

import attrs

from pistachioseam.forwarding import catalog
from pistachioseam import interfaces

DOUBT_SECONDS = 0.3
"""Time without an answer from which an engine is slow, and from which it is in
doubt whether a rollout makes progress."""
STALL_SECONDS = 1.5
"""Time without any answer after which a rollout has stalled."""
MIN_SILENT_FRACTION = 1 / 4
"""Fraction of the engines below which silent ones are themselves at fault."""
MIN_SILENT_ENGINES = 3
"""The same as a number; one or two engines tell nothing about the host."""
NO_ANSWER = frozenset(
    {
        interfaces.FailureKind.NOT_SENT,
        interfaces.FailureKind.BROKEN,
        interfaces.FailureKind.TIMED_OUT,
        interfaces.FailureKind.PATH_LOST,
    }
)
"""Failures that are no answer of an engine."""


@attrs.define
class EngineSilence:
    """Calls to engines since the last answer; times are of the boot clock.

    `failures` is the number of calls that failed without an answer since then.
    """

    failures: int = 0
    _pending: set[catalog.Incarnation] = attrs.field(factory=set)
    _silent_since: dict[catalog.Incarnation, float] = attrs.field(factory=dict)

    def record_call(
        self, incarnation: catalog.Incarnation, now: float
    ) -> None:
        """Record that a call is sent to an engine."""
        self._pending.add(incarnation)
        self._silent_since.setdefault(incarnation, now)

    def record_answer(
        self, incarnation: catalog.Incarnation, now: float
    ) -> None:
        """Record a response of an engine, whatever it says."""
        self._pending.discard(incarnation)
        self._silent_since = dict.fromkeys(self._pending, now)
        self.failures = 0

    def record_failure(
        self,
        incarnation: catalog.Incarnation,
        failure: interfaces.CallFailure,
        now: float,
    ) -> None:
        """Record the failure of a call, which may be an answer.

        An engine that refuses the connection is not silent. That says nothing
        about the others, as a partition may refuse connections as well.
        """
        if failure.kind not in NO_ANSWER:
            self.record_answer(incarnation, now)
        elif failure.is_refused:
            self._pending.discard(incarnation)
            self._silent_since.pop(incarnation, None)
        elif incarnation in self._pending:
            self._pending.discard(incarnation)
            self.failures += 1

    def reset(self) -> None:
        """Forget all calls."""
        self._pending.clear()
        self._silent_since.clear()
        self.failures = 0

    def count_engines(self, seconds: float, now: float) -> int:
        """Return the number of engines that have been silent so long."""
        return sum(
            now - since >= seconds for since in self._silent_since.values()
        )

    def has_lasted(
        self, seconds: float, engine_count: int, now: float
    ) -> bool:
        """Return whether many of `engine_count` engines are silent so long."""
        least = max(
            MIN_SILENT_ENGINES, math.ceil(engine_count * MIN_SILENT_FRACTION)
        )
        return self.count_engines(seconds, now) >= least
