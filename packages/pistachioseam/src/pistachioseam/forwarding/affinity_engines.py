"""Affinity engines of shared prompt parts.

Load pattern: prompts share parts that each engine evicts within seconds, and
dozens of hosts learn late, or not at all, which engine holds a part. All hosts
find the same few engines of a part by rendezvous hashing, without a message,
and keep its prompts there under load. Overflow goes to the next engines of the
order, not to all.
"""

from collections import abc
import hashlib

import attrs

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import prompts
from pistachioseam.placement import rendezvous

AFFINITY_ENGINES = 3
"""Engines of a part that are ranked; all others come after them."""
RANK_COST_SECONDS = 0.01
"""Cost per rank, so that all hosts send a new part to the same target."""
AFFINITY_HIT_PROBABILITY = 0.8
"""Assumed probability that a part which no host has told of is cached at its
first engine or in the cache store near it."""


@attrs.frozen
class AffinityEngines:
    """Ranks of the affinity engines of one prompt's shared parts, by name.

    `domain` is the failure domain of the first of the service's engines, empty
    if there is none.
    `is_assumed` says whether the first engine is taken to hold parts that no
    host has told of, as in a large fleet.
    """

    ranks: abc.Mapping[str, int]
    domain: str = ''
    is_assumed: bool = False

    def compute_cost(self, target: str, recompute_cost: float) -> float:
        """Return the cost in seconds of a placement at a target.

        `recompute_cost` is that of the shared tokens that would be prefilled
        there, as far as known.
        """
        rank = self.ranks.get(target, AFFINITY_ENGINES)
        cost = RANK_COST_SECONDS * rank
        if self.is_assumed and rank:
            cost += AFFINITY_HIT_PROBABILITY * recompute_cost
        return cost


def find_affinity_engines(
    prompt: prompts.Prompt,
    targets: abc.Collection[catalog.LiveTarget],
    rendezvous_hash: rendezvous.RendezvousHash,
    is_assumed: bool = False,
    known: abc.Collection[catalog.LiveTarget] = (),
) -> AffinityEngines:
    """Return the affinity engines of a prompt among the given targets.

    `known` are all targets of the service, also those that take no calls at
    the moment; the domain is that of the first of them, so that it does not
    change when the first engine is busy for a while.
    """
    digest = hashlib.blake2b(
        prompt.get_affinity_part_name().encode(), digest_size=8
    )
    key = int.from_bytes(digest.digest(), 'big')
    domains = {target.name: target.domain for target in targets}
    ranked = rendezvous_hash.rank(key, sorted(domains), AFFINITY_ENGINES)
    known_domains = {target.name: target.domain for target in known} or domains
    first = rendezvous_hash.rank(key, sorted(known_domains), 1)
    return AffinityEngines(
        ranks={name: rank for rank, name in enumerate(ranked)},
        domain=known_domains[first[0]] if first else '',
        is_assumed=is_assumed,
    )
