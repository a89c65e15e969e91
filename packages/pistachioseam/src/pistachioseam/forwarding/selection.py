"""Choice of the target of a call; pure functions over what is known.

Load patterns answered here: nested shared prompts that exceed one engine's
cache, hot prompts that exceed one engine's room, and uneven hosts that see
only a part of the traffic each.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import transfers
from pistachioseam import links

RUN_SECONDS = 0.1
"""Work of a call to a plain service; users' sheets."""
COLD_FACTOR = 0.5
"""Part of a cold target's remaining warm-up that counts as waiting."""
OVERFULL_SECONDS = 2.0
"""Wait for each memory's worth of tokens beyond an engine's own."""
SAFE_SHARE = 0.5
"""Share of the objective up to which a call is surely in time."""
LATENESS_WEIGHT = 8.0
"""Weight of time beyond that against reading parts again."""
MAX_FILL = 0.9
"""Part of an engine's memory that runs may take before others wait."""


@attrs.frozen(kw_only=True)
class Candidate:
    """A target with the terms of its cost, in seconds.

    `expected` is the time to the first byte of the answer, `lateness` a
    penalty where that is close to the objective or beyond it, `waste` the
    cost of reading again what other targets have.
    """

    target: str
    expected: float
    lateness: float = 0.0
    waste: float = 0.0
    other: float = 0.0

    def get_cost(self) -> float:
        """Return the sum of the terms."""
        return self.expected + self.lateness + self.waste + self.other


def rate_lateness(expected: float, objective: float) -> float:
    """Return the penalty of an expected time to the first byte.

    While a call is surely in time, a shorter wait is worth little against a
    part that need not be read again; near the objective it is worth more.
    """
    if objective <= 0:
        return 0.0
    return LATENESS_WEIGHT * max(0.0, expected - SAFE_SHARE * objective)


@attrs.frozen(kw_only=True)
class Choice:
    """Chosen target and the candidates that were weighed, best first."""

    target: catalog.LiveTarget
    candidates: tuple[Candidate, ...]

    @property
    def expected(self) -> float:
        """Return the expected seconds to the first byte."""
        return self.candidates[0].expected


def choose(
    targets: abc.Sequence[catalog.LiveTarget],
    weigh: abc.Callable[[catalog.LiveTarget], Candidate],
    pick: float,
) -> Choice | None:
    """Return the cheapest target; `pick` in [0, 1) breaks ties."""
    if not targets:
        return None
    offset = int(pick * len(targets))
    rotated = [*targets[offset:], *targets[:offset]]
    weighed = [(weigh(target), target) for target in rotated]
    weighed.sort(key=lambda pair: pair[0].get_cost())
    return Choice(
        target=weighed[0][1],
        candidates=tuple(candidate for candidate, _ in weighed),
    )


def weigh_service(
    target: catalog.LiveTarget,
    load: loads.Load,
    topology: links.Topology,
) -> Candidate:
    """Return the cost of a target of a plain service."""
    slots = max(1, target.slots)
    wait = RUN_SECONDS * load.runs / slots
    if load.runs >= slots:
        wait += RUN_SECONDS * (load.runs - slots + 1) / slots
    return Candidate(
        target=target.name,
        expected=wait + 2 * topology.get_latency(target.domain),
        other=target.cold_seconds * COLD_FACTOR,
    )


def weigh_engine(
    target: catalog.LiveTarget,
    engine: desired.Engine,
    load: loads.Load,
    plan: plans.RunPlan,
    output_tokens: int,
    is_urgent: bool,
    pace: float,
    objective: float,
    topology: links.Topology,
) -> Candidate:
    """Return the cost of an engine for a planned run.

    Engines read urgent prompts first; `pace` is how much longer this engine
    has taken than expected.
    """
    ahead = load.urgent_tokens if is_urgent else load.prefill_tokens
    rate = transfers.PREFILL_TOKENS_PER_SECOND / pace
    wait = ahead / rate
    if plan.source.tokens:
        wait += load.transfer_ms / 1000 + plan.source.wait_seconds
    tokens = plan.own_tokens + plan.read_tokens + plan.source.tokens
    fill = (load.tokens + tokens + output_tokens) / max(1, engine.cache_tokens)
    if fill > MAX_FILL:
        wait += OVERFULL_SECONDS * (fill - MAX_FILL)
    if load.runs >= engine.slots:
        wait += OVERFULL_SECONDS * (load.runs + 1 - engine.slots)
    latency = 2 * topology.get_latency(target.domain)
    reading = (plan.own_tokens + plan.read_tokens) / rate
    expected = wait + reading + plan.source.seconds + latency
    return Candidate(
        target=target.name,
        expected=expected,
        lateness=rate_lateness(expected, objective),
        waste=plan.read_tokens * transfers.READ_SECONDS_PER_TOKEN,
        other=target.cold_seconds * COLD_FACTOR,
    )
