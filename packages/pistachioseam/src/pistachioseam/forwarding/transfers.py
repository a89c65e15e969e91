"""Choice between fetching cached prompt parts and recomputing them.

Load pattern: engines evict shared parts within seconds, while another engine
or a cache store still has them. A transfer queues behind the others of its
source and takes longer across domains and regions.
"""

from collections import abc

import attrs

from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam import links

CROSS_DOMAIN_FACTOR = 2.0
"""Transfer time between domains relative to that within one domain, as
documented by the platform."""
CROSS_REGION_FACTOR = 10.0
"""Transfer time between regions relative to that within one domain, as
documented by the platform."""
MAX_TRANSFER_WAIT_SECONDS = 1.5
"""Longest wait at a source; engines start no transfer after waiting 2 s."""
PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Prefill throughput of an engine, as documented by the platform."""
RECOMPUTE_WEIGHT = 20.0
"""Weight of a recomputed token: its prefill delays all other calls of an
engine."""
RECOMPUTE_SECONDS_PER_TOKEN = RECOMPUTE_WEIGHT / PREFILL_TOKENS_PER_SECOND
"""Cost of a token of a shared part that is prefilled instead of being cached
or fetched."""


@attrs.frozen
class Holder:
    """Target or cache store whose cache may hold parts of a prompt.

    `name` identifies its cache model, `bytes_per_second` is its network
    bandwidth, and `wait_seconds` the total time of its transfers in flight.
    """

    name: str
    address: str
    domain: str
    bytes_per_second: float
    wait_seconds: float


@attrs.frozen(kw_only=True)
class Source:
    """Chosen source of a transfer.

    `tokens` is the number of tokens to fetch, `seconds` the duration of the
    transfer, and `wait_seconds` its queueing time.
    """

    name: str
    address: str
    tokens: int
    seconds: float
    wait_seconds: float


NO_SOURCE = Source(
    name='', address='', tokens=0, seconds=0.0, wait_seconds=0.0
)


def get_distance_factor(
    topology: links.Topology, domain: str, other_domain: str
) -> float:
    """Return a transfer's duration relative to one within a domain."""
    if domain == other_domain:
        return 1.0
    if topology.find_region(domain) == topology.find_region(other_domain):
        return CROSS_DOMAIN_FACTOR
    return CROSS_REGION_FACTOR


@attrs.frozen(kw_only=True)
class Receiver:
    """Engine that would fetch; it has `cached_tokens` of the prefix cached."""

    domain: str
    cached_tokens: int
    token_bytes: int
    bytes_per_second: float


def choose_source(
    receiver: Receiver,
    holders: abc.Iterable[Holder],
    parts: abc.Sequence[prompts.Part],
    salt: str,
    topology: links.Topology,
    cache_models: residency.CacheModels,
    now: float,
) -> Source:
    """Return the source that saves the most time, or `NO_SOURCE`."""
    best, best_saved_seconds = NO_SOURCE, 0.0
    for holder in holders:
        held_tokens = cache_models.count_prefix_tokens(
            holder.name, salt, parts, now
        )
        tokens = held_tokens - receiver.cached_tokens
        if tokens <= 0 or holder.wait_seconds > MAX_TRANSFER_WAIT_SECONDS:
            continue
        factor = get_distance_factor(topology, receiver.domain, holder.domain)
        bytes_per_second = min(
            holder.bytes_per_second, receiver.bytes_per_second
        )
        seconds = (
            tokens * receiver.token_bytes / max(1.0, bytes_per_second) * factor
        )
        saved_seconds = (
            tokens * RECOMPUTE_SECONDS_PER_TOKEN
            - seconds
            - holder.wait_seconds
        )
        if saved_seconds > best_saved_seconds:
            best_saved_seconds = saved_seconds
            best = Source(
                name=holder.name,
                address=holder.address,
                tokens=tokens,
                seconds=seconds,
                wait_seconds=holder.wait_seconds,
            )
    return best
