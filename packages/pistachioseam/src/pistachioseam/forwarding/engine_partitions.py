"""Partition of a service's engines between interactive and other prompts.

Load pattern: streams of short prompts with a high priority among long prompts.
An engine prefills in chunks between the tokens that it generates, so while it
prefills long prompts, its streams pause for as long as callers bear, and
whatever their priority. A part of the engines is therefore kept free of long
prompts. All hosts find the same engines by rendezvous hashing, without a
message.
"""

from collections import abc
import math

from pistachioseam.forwarding import catalog
from pistachioseam import links
from pistachioseam.placement import rendezvous

INTERACTIVE_FRACTION = 0.25
"""Part of a region's engines that is kept for interactive prompts, rounded up.
Short prompts take a tenth of the prefill work of the documented workloads, and
their streams need engines that prefill for less than half of the time."""
MIN_ENGINES = 4
"""Engines of a region below which none is kept for interactive prompts."""
PARTITION_KEY = 3
"""Arbitrary hash key, equal on all hosts, by which engines are ranked."""


def list_interactive_engines(
    targets: abc.Iterable[catalog.LiveTarget],
    topology: links.Topology,
    rendezvous_hash: rendezvous.RendezvousHash,
) -> frozenset[str]:
    """Return the names of the engines that are kept for interactive prompts.

    `targets` are all live engines of a service.
    """
    by_region: dict[str, list[str]] = {}
    for target in targets:
        region = topology.find_region(target.domain)
        by_region.setdefault(region, []).append(target.name)
    interactive: set[str] = set()
    for names in by_region.values():
        if len(names) >= MIN_ENGINES:
            count = math.ceil(len(names) * INTERACTIVE_FRACTION)
            interactive.update(
                rendezvous_hash.rank(PARTITION_KEY, sorted(names), count)
            )
    return frozenset(interactive)


def filter_engines(
    eligible: list[catalog.LiveTarget],
    interactive: abc.Container[str],
    is_interactive: bool,
) -> list[catalog.LiveTarget]:
    """Return the eligible engines of a call's part, or all if none is."""
    matching = [
        target
        for target in eligible
        if (target.name in interactive) == is_interactive
    ]
    return matching or eligible
