"""Order in which calls wait for one engine; pure functions.

Load pattern: for seconds more prompts arrive than an engine can prefill, short
ones of a high priority among long ones of a low priority. Engines prefill in
the order of arrival, so the order is decided before calls are sent: what is
delayed or turned away is what costs callers least.
"""

from collections import abc

import attrs

PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Prefill throughput of an engine, as documented by the platform."""


@attrs.frozen(kw_only=True)
class Demand:
    """Call that waits for an engine; times are monotonic seconds.

    `objective_at` is the time until which its first byte meets the objective
    `objective_seconds` of its route, `deadline` the time after which nobody
    waits for it. The asker is answered until `answer_by`. `received_at` is
    when the caller's request arrived at the asking host.
    """

    key: int
    priority: int
    prefill_tokens: int
    memory_tokens: int
    objective_seconds: float
    objective_at: float
    deadline: float
    answer_by: float
    received_at: float

    def get_prefill_seconds(self) -> float:
        """Return the time in which an idle engine prefills the call."""
        return self.prefill_tokens / PREFILL_TOKENS_PER_SECOND

    def is_late(self, now: float) -> bool:
        """Return whether the call misses its objective at an idle engine."""
        return now + self.get_prefill_seconds() > self.objective_at


def sort_demands(demands: abc.Iterable[Demand], now: float) -> list[Demand]:
    """Return calls in the order in which they are admitted.

    A higher priority goes first, and within one the calls that can still meet
    their objective. Among these, less work goes first; the time waited counts
    against the work, so that long prompts are not overtaken for ever.
    """
    return sorted(
        demands,
        key=lambda demand: (
            demand.priority,
            demand.is_late(now),
            demand.get_prefill_seconds() - (now - demand.received_at),
            demand.key,
        ),
    )
