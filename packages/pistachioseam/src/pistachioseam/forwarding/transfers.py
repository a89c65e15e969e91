"""Choice between fetching cached parts from elsewhere and reading them.

Load pattern: engines evict shared parts within seconds, and another engine or
the store still has them. A transfer waits behind the others of its engine and
takes longer with the distance.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import residency
from pistachioseam.forwarding import prompts
from pistachioseam import links

REGION_FACTOR = 2.0
"""A transfer between domains takes twice as long; users' page."""
DISTANT_FACTOR = 10.0
"""A transfer between regions takes ten times as long; users' page."""
MAX_WAIT_SECONDS = 1.5
"""An engine does not start a transfer that would wait for two seconds."""


@attrs.frozen
class Holder:
    """Target or store that may hold parts; `name` is its cache's name."""

    name: str
    address: str
    domain: str


@attrs.frozen(kw_only=True)
class Source:
    """Where to fetch parts from; `tokens` beyond those of the engine."""

    address: str
    tokens: int
    seconds: float


NO_SOURCE = Source(address='', tokens=0, seconds=0.0)


def get_factor(topology: links.Topology, here: str, there: str) -> float:
    """Return how much longer a transfer takes than within one domain."""
    if here == there:
        return 1.0
    if topology.find_region(here) == topology.find_region(there):
        return REGION_FACTOR
    return DISTANT_FACTOR


def choose_source(
    holders: abc.Iterable[Holder],
    parts: abc.Sequence[prompts.Part],
    salt: str,
    own_tokens: int,
    seconds_per_token: float,
    domain: str,
    topology: links.Topology,
    caches: residency.ResidencyMap,
) -> Source:
    """Return the source that leaves the least to read, nearest first.

    `own_tokens` are cached at the engine in `domain` already;
    `seconds_per_token` is the time of a transfer within one domain.
    """
    best = NO_SOURCE
    for holder in holders:
        tokens = caches.count_leading(holder.name, salt, parts) - own_tokens
        if tokens <= 0 or tokens < best.tokens:
            continue
        factor = get_factor(topology, domain, holder.domain)
        seconds = tokens * seconds_per_token * factor
        if tokens > best.tokens or seconds < best.seconds:
            best = Source(
                address=holder.address, tokens=tokens, seconds=seconds
            )
    return best
