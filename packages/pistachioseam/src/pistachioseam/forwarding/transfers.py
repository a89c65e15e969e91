"""Choice between fetching cached parts from elsewhere and reading them.

Load pattern: engines evict shared parts within seconds, and another engine or
the store still has them. A transfer waits behind the others of its engine and
takes longer with the distance.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam import links

REGION_FACTOR = 2.0
"""A transfer between domains takes twice as long; users' page."""
DISTANT_FACTOR = 10.0
"""A transfer between regions takes ten times as long; users' page."""
MAX_WAIT_SECONDS = 1.5
"""An engine does not start a transfer that would wait for two seconds."""
PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Speed at which engines read prompts; users' sheets."""
WASTE_WEIGHT = 20.0
"""Weight of reading again what is cached elsewhere: it delays all others."""
READ_SECONDS_PER_TOKEN = WASTE_WEIGHT / PREFILL_TOKENS_PER_SECOND
"""Cost of reading a token that could have been fetched."""


@attrs.frozen
class Holder:
    """Target or store that may hold parts.

    `name` is its cache's name, `bytes_per_second` the speed of its link and
    `wait_seconds` the time of the transfers that it has begun.
    """

    name: str
    address: str
    domain: str
    bytes_per_second: float
    wait_seconds: float


@attrs.frozen(kw_only=True)
class Source:
    """Where to fetch parts from; `tokens` beyond those of the engine.

    `seconds` is the time of the transfer, `wait_seconds` that before it.
    """

    name: str
    address: str
    tokens: int
    seconds: float
    wait_seconds: float


NO_SOURCE = Source(
    name='', address='', tokens=0, seconds=0.0, wait_seconds=0.0
)


def get_factor(topology: links.Topology, here: str, there: str) -> float:
    """Return how much longer a transfer takes than within one domain."""
    if here == there:
        return 1.0
    if topology.find_region(here) == topology.find_region(there):
        return REGION_FACTOR
    return DISTANT_FACTOR


@attrs.frozen(kw_only=True)
class Receiver:
    """Engine that is to fetch; `own_tokens` of the parts it has already."""

    domain: str
    own_tokens: int
    token_bytes: int
    bytes_per_second: float


def choose_source(
    receiver: Receiver,
    holders: abc.Iterable[Holder],
    parts: abc.Sequence[prompts.Part],
    salt: str,
    topology: links.Topology,
    caches: residency.ResidencyMap,
    now: float,
) -> Source:
    """Return the source that saves the most time, if any saves time."""
    best, best_gain = NO_SOURCE, 0.0
    for holder in holders:
        held = caches.count_leading(holder.name, salt, parts, now)
        tokens = held - receiver.own_tokens
        if tokens <= 0 or holder.wait_seconds > MAX_WAIT_SECONDS:
            continue
        factor = get_factor(topology, receiver.domain, holder.domain)
        speed = min(holder.bytes_per_second, receiver.bytes_per_second)
        seconds = tokens * receiver.token_bytes / max(1.0, speed) * factor
        gain = tokens * READ_SECONDS_PER_TOKEN - seconds - holder.wait_seconds
        if gain > best_gain:
            best_gain = gain
            best = Source(
                name=holder.name,
                address=holder.address,
                tokens=tokens,
                seconds=seconds,
                wait_seconds=holder.wait_seconds,
            )
    return best
