"""Registry of placement policies.

A policy picks one candidate. Baselines stay registered so that every
measurement can run them beside the policy in use.
"""

from collections import abc
import typing

import attrs

from pistachioseam import interfaces

BOUND_FACTOR = 1.25


@attrs.frozen(kw_only=True)
class Weights:
    """Weights of the cost model.

    `waste` multiplies recomputed prefill on top of its own time; `rank` is
    seconds per place in the home order; `herd` is the cost difference in
    seconds below which two candidates count as equal.
    """

    waste: float = 3.0
    rank_seconds: float = 0.01
    herd_seconds: float = 0.005


@attrs.define(slots=True)
class Candidate:
    """Target that may serve a request; times in seconds, sizes in pieces."""

    name: str
    rank: int
    wait: float
    cached: float
    missing: float
    prefill: float
    latency: float


class Policy(typing.Protocol):
    """Choice among candidates, never empty, in home order."""

    def __call__(
        self,
        candidates: abc.Sequence[Candidate],
        weights: Weights,
        random: interfaces.RandomSource,
    ) -> Candidate:
        """Return the chosen candidate."""


REGISTRY: dict[str, Policy] = {}


def register(name: str) -> abc.Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name."""

    def add(policy: Policy) -> Policy:
        REGISTRY[name] = policy
        return policy

    return add


@register('random')
def choose_random(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose any candidate."""
    return candidates[int(random.random() * len(candidates))]


@register('least_loaded')
def choose_least_loaded(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose the candidate with the least outstanding work."""
    return min(candidates, key=lambda c: (c.wait, random.random()))


@register('rendezvous')
def choose_rendezvous(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose the first home of the prefix."""
    return min(candidates, key=lambda c: c.rank)


@register('rendezvous_bounded')
def choose_rendezvous_bounded(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose the first home whose load is near the average."""
    total = sum(candidate.wait for candidate in candidates)
    bound = BOUND_FACTOR * total / len(candidates)
    for candidate in sorted(candidates, key=lambda c: c.rank):
        if candidate.wait <= bound:
            return candidate
    return choose_least_loaded(candidates, weights, random)


def compute_cost(candidate: Candidate, weights: Weights) -> float:
    """Return the cost of a candidate in seconds."""
    recompute = candidate.missing * candidate.prefill
    return (
        candidate.wait
        + recompute * (1.0 + weights.waste)
        + candidate.rank * weights.rank_seconds
        + candidate.latency
    )


@register('cost')
def choose_by_cost(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose the lowest cost, at random between near-equal best two."""
    best = second = None
    best_cost = second_cost = float('inf')
    for candidate in candidates:
        cost = compute_cost(candidate, weights)
        if cost < best_cost:
            second, second_cost = best, best_cost
            best, best_cost = candidate, cost
        elif cost < second_cost:
            second, second_cost = candidate, cost
    assert best is not None
    is_close = second_cost - best_cost < weights.herd_seconds
    if second is not None and is_close and random.random() < 0.5:
        return second
    return best
