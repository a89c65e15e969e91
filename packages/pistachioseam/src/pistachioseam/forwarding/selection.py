"""Cost model that chooses the target of a call; pure functions.

Load patterns: nested shared prompts that exceed one engine's cache, hot
prompts that exceed one engine's capacity, and hosts that each see only a part
of the traffic, unevenly spread.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import transfers
from pistachioseam import links

CALL_SECONDS = 0.1
"""Service time of a call to a plain service, as documented by the platform."""
WARM_UP_COST_FACTOR = 0.5
"""Fraction of a cold target's remaining warm-up time that counts as cost."""
OVERLOAD_QUEUE_SECONDS = 2.0
"""Expected queueing time for each run beyond an engine's slots, and for tokens
beyond `MAX_CACHE_FRACTION` in proportion: this time for as many tokens as the
whole cache holds."""
SAFE_OBJECTIVE_FRACTION = 0.5
"""Fraction of the objective up to which lateness costs nothing."""
LATENESS_COST_FACTOR = 8.0
"""Cost of each second beyond the safe fraction of the objective."""
MAX_CACHE_FRACTION = 0.9
"""Fraction of an engine's KV cache that runs may take before others queue."""


@attrs.frozen(kw_only=True)
class Candidate:
    """Target with the terms of its cost, in seconds.

    `first_byte_seconds` is the expected time to the first byte of the
    response, `lateness_cost` a penalty where that is close to the objective or
    beyond it, `recompute_cost` the cost of prefilling shared parts that are
    neither cached nor fetched, and `other_cost` that of warm-up, failures,
    rank and outdated weights. `max_first_byte_seconds` is the time within
    which calls must begin there, and `prefill_tokens` the tokens that would be
    prefilled.
    """

    target: str
    first_byte_seconds: float
    lateness_cost: float = 0.0
    recompute_cost: float = 0.0
    other_cost: float = 0.0
    max_first_byte_seconds: float = float('inf')
    prefill_tokens: int = 0

    def is_too_slow(self) -> bool:
        """Return whether a call is expected to begin too late there."""
        return self.first_byte_seconds > self.max_first_byte_seconds

    def get_cost(self) -> float:
        """Return the sum of the terms, in seconds."""
        return (
            self.first_byte_seconds
            + self.lateness_cost
            + self.recompute_cost
            + self.other_cost
        )


def compute_lateness_cost(
    first_byte_seconds: float, objective_seconds: float
) -> float:
    """Return the penalty of an expected time to the first byte.

    Far below the objective, a cache hit matters more than a shorter queue;
    near the objective, the queue matters more.
    """
    if objective_seconds <= 0:
        return 0.0
    return LATENESS_COST_FACTOR * max(
        0.0, first_byte_seconds - SAFE_OBJECTIVE_FRACTION * objective_seconds
    )


@attrs.frozen(kw_only=True)
class Choice:
    """Chosen target and all scored candidates, cheapest first."""

    target: catalog.LiveTarget
    candidates: tuple[Candidate, ...]

    @property
    def first_byte_seconds(self) -> float:
        """Return the expected time to the chosen target's first byte."""
        return self.candidates[0].first_byte_seconds

    @property
    def max_first_byte_seconds(self) -> float:
        """Return the time within which the call must begin there."""
        return self.candidates[0].max_first_byte_seconds

    @property
    def prefill_tokens(self) -> int:
        """Return the tokens that the chosen engine would prefill."""
        return self.candidates[0].prefill_tokens


def choose_target(
    targets: abc.Sequence[catalog.LiveTarget],
    score: abc.Callable[[catalog.LiveTarget], Candidate],
    random_fraction: float,
) -> Choice | None:
    """Return the cheapest target at which the call begins in time.

    It is the cheapest of all if there is none. `random_fraction` in [0, 1)
    breaks ties.
    """
    if not targets:
        return None
    offset = int(random_fraction * len(targets))
    rotated = [*targets[offset:], *targets[:offset]]
    scored = [(score(target), target) for target in rotated]
    scored.sort(
        key=lambda scored_target: (
            scored_target[0].is_too_slow(),
            scored_target[0].get_cost(),
        )
    )
    return Choice(
        target=scored[0][1],
        candidates=tuple(candidate for candidate, _ in scored),
    )


def score_service(
    target: catalog.LiveTarget,
    load: loads.Load,
    topology: links.Topology,
    other_cost: float = 0.0,
) -> Candidate:
    """Return a target of a plain service as a candidate with its cost.

    `other_cost` is added to the cost of its warm-up.
    """
    slots = max(1, target.slots)
    queue_seconds = CALL_SECONDS * load.runs / slots
    if load.runs >= slots:
        queue_seconds += CALL_SECONDS * (load.runs - slots + 1) / slots
    return Candidate(
        target=target.name,
        first_byte_seconds=queue_seconds
        + 2 * topology.get_latency(target.domain),
        other_cost=other_cost + target.cold_seconds * WARM_UP_COST_FACTOR,
    )


def score_engine(
    target: catalog.LiveTarget,
    engine: desired.Engine,
    load: loads.Load,
    plan: plans.RunPlan,
    output_tokens: int,
    is_urgent: bool,
    backlog_seconds: float | None,
    slowdown: float,
    objective_seconds: float,
    topology: links.Topology,
    other_cost: float = 0.0,
    max_first_byte_seconds: float = float('inf'),
) -> Candidate:
    """Return an engine as a candidate with the cost of a planned run.

    Only the urgent work of others counts if `is_urgent`. `backlog_seconds` is
    the prefill work that the engine's coordinator has told of, None if it is
    not known. `slowdown` is the engine's recent time to first byte relative to
    the expected one. `other_cost` is added to the cost of its warm-up.
    """
    tokens_per_second = transfers.PREFILL_TOKENS_PER_SECOND / slowdown
    queued_tokens = load.urgent_tokens if is_urgent else load.prefill_tokens
    queue_seconds = queued_tokens / tokens_per_second
    if backlog_seconds is not None:
        queue_seconds = backlog_seconds
    if plan.source.tokens:
        queue_seconds += load.transfer_ms / 1000 + plan.source.wait_seconds
    tokens = plan.own_tokens + plan.recomputed_tokens + plan.source.tokens
    cache_fraction = (load.tokens + tokens + output_tokens) / max(
        1, engine.cache_tokens
    )
    if cache_fraction > MAX_CACHE_FRACTION:
        queue_seconds += OVERLOAD_QUEUE_SECONDS * (
            cache_fraction - MAX_CACHE_FRACTION
        )
    if load.runs >= engine.slots:
        queue_seconds += OVERLOAD_QUEUE_SECONDS * (
            load.runs + 1 - engine.slots
        )
    round_trip_seconds = 2 * topology.get_latency(target.domain)
    prefill_seconds = (
        plan.own_tokens + plan.recomputed_tokens
    ) / tokens_per_second
    first_byte_seconds = (
        queue_seconds
        + prefill_seconds
        + plan.source.seconds
        + round_trip_seconds
    )
    return Candidate(
        target=target.name,
        first_byte_seconds=first_byte_seconds,
        lateness_cost=compute_lateness_cost(
            first_byte_seconds, objective_seconds
        ),
        recompute_cost=plan.recomputed_tokens
        * transfers.RECOMPUTE_SECONDS_PER_TOKEN,
        other_cost=other_cost + target.cold_seconds * WARM_UP_COST_FACTOR,
        max_first_byte_seconds=max_first_byte_seconds,
        prefill_tokens=plan.own_tokens + plan.recomputed_tokens,
    )
