"""Registry of placement policies, by the names used in settings.

A policy chooses one of several candidates. The simple policies are kept so
that experiments can compare them with `cost`, the default.
"""

from collections import abc
import typing

import attrs

from pistachioseam import interfaces

MAX_WAIT_TO_MEAN_RATIO = 1.25
"""Ratio of a candidate's wait to the mean, above which it is skipped."""


@attrs.frozen(kw_only=True)
class Weights:
    """Weights of the cost model.

    `waste` is the extra cost of a second of prefill, in seconds;
    `rank_seconds` is the cost per position in the list of candidates;
    `herd_seconds` is the cost difference below which the two best candidates
    are chosen at random, so that hosts do not all choose the same one.
    """

    waste: float = 3.0
    rank_seconds: float = 0.01
    herd_seconds: float = 0.005


@attrs.define(slots=True)
class Candidate:
    """Target that may run a request, with the inputs of the cost model.

    Times are in seconds and sizes in pieces.

    `rank` is the position in the list of candidates; for a prompt of at least
    one piece, 0 is the first by rendezvous hashing. `wait` is the expected
    time until prefill starts, `cached` and `missing` the expected pieces in
    the cache and to be prefilled, `prefill` the time to prefill a piece, and
    `latency` the one-way latency.
    """

    name: str
    rank: int
    wait: float
    cached: float
    missing: float
    prefill: float
    latency: float


class Policy(typing.Protocol):
    """Choice of one candidate; there is at least one, sorted by rank."""

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
    """Choose a random candidate."""
    return candidates[int(random.random() * len(candidates))]


@register('least_loaded')
def choose_least_loaded(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose the candidate with the shortest wait; ties at random."""
    return min(candidates, key=lambda c: (c.wait, random.random()))


@register('rendezvous')
def choose_rendezvous(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose the first candidate by rendezvous hashing."""
    return min(candidates, key=lambda c: c.rank)


@register('rendezvous_bounded')
def choose_rendezvous_bounded(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose by rendezvous hashing with bounded loads.

    Candidates whose wait exceeds `MAX_WAIT_TO_MEAN_RATIO` times the mean wait
    are skipped.
    """
    total = sum(candidate.wait for candidate in candidates)
    wait_bound = MAX_WAIT_TO_MEAN_RATIO * total / len(candidates)
    for candidate in sorted(candidates, key=lambda c: c.rank):
        if candidate.wait <= wait_bound:
            return candidate
    return choose_least_loaded(candidates, weights, random)


def compute_cost(candidate: Candidate, weights: Weights) -> float:
    """Return the cost of a candidate in seconds, weighted as in `Weights`."""
    prefill_seconds = candidate.missing * candidate.prefill
    return (
        candidate.wait
        + prefill_seconds * (1.0 + weights.waste)
        + candidate.rank * weights.rank_seconds
        + candidate.latency
    )


@register('cost')
def choose_by_cost(
    candidates: abc.Sequence[Candidate],
    weights: Weights,
    random: interfaces.RandomSource,
) -> Candidate:
    """Choose the candidate with the lowest cost.

    In a near tie, choose one of the best two at random.
    """
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
    is_near_tie = second_cost - best_cost < weights.herd_seconds
    if second is not None and is_near_tie and random.random() < 0.5:
        return second
    return best
