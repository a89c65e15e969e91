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

import attrs

from pistachioseam.forwarding import catalog
from pistachioseam import links
from pistachioseam.placement import rendezvous

INTERACTIVE_FRACTION = 0.25
"""Part of a region's engines that is kept for interactive prompts, rounded up.
Short prompts take a tenth of the prefill work of the documented workloads, and
their streams need engines that prefill for less than half of the time."""
MIN_ENGINES = 4
"""Engines of a region below which none is kept for interactive prompts."""
OVERFLOW_COST_SECONDS = 0.1
"""Cost of an engine with long prompts for an interactive call: the time by
which its stream is slowed down there."""
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


@attrs.frozen
class Partition:
    """Engines that one call may use.

    `interactive` are the engines that are kept for interactive prompts, none
    if the service has no such partition.
    """

    interactive: abc.Container[str] = ()
    is_interactive_call: bool = True

    def filter_engines(
        self, eligible: list[catalog.LiveTarget]
    ) -> list[catalog.LiveTarget]:
        """Return the engines without those that are kept for other calls.

        All are returned if there are no others.
        """
        if self.is_interactive_call:
            return eligible
        return [
            target
            for target in eligible
            if target.name not in self.interactive
        ] or eligible

    def compute_cost(self, target: str) -> float:
        """Return the cost in seconds of an engine outside the call's part."""
        if not self.is_interactive_call or target in self.interactive:
            return 0.0
        return OVERFLOW_COST_SECONDS


NO_PARTITION = Partition(is_interactive_call=False)
