"""Choice of the hosts through which a host without a path sends its calls.

Load pattern: some hosts, up to a whole failure domain, reach no target, and
their callers are served through the others. The calls are spread over those,
near ones first, so that no single host gets all of them. A host never relays
a call further, so calls cannot go in circles.
"""

from collections import abc

import attrs

from pistachioseam import interfaces
from pistachioseam import links
from pistachioseam import membership

NEVER = float('-inf')
MAX_HOSTS_TRIED = 3
"""Hosts that are asked to relay one call before it is refused."""
STATUS_EXPIRY_SECONDS = 2.0
"""Time for which a host counts as without a path after it has said so."""
REFUSAL_PAUSE_SECONDS = 1.0
"""Time for which a host that refused, or did not answer, is asked last."""
OTHER_DOMAIN_COST = 2.0
OTHER_REGION_COST = 8.0
"""Cost of a host that is farther away, in relayed calls in flight. A call to
another region takes 60 ms longer, and its bytes are limited."""


@attrs.define
class RelayPeers:
    """Peers that may relay calls of this host; times are monotonic seconds."""

    own: membership.Peer
    topology: links.Topology
    random: interfaces.RandomSource
    list_alive: abc.Callable[[], abc.Iterable[membership.Peer]]
    list_known: abc.Callable[[], abc.Iterable[membership.Peer]]
    _cut_off_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _refused_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _in_flight: dict[str, int] = attrs.field(factory=dict, init=False)

    def record_status(
        self, name: str, reaches_no_target: bool, now: float
    ) -> None:
        """Record whether a peer says that it reaches no target."""
        if reaches_no_target:
            self._cut_off_at[name] = now
        else:
            self._cut_off_at.pop(name, None)

    def record_refusal(self, name: str, now: float) -> None:
        """Record that a peer refused to relay a call, or did not answer."""
        self._refused_at[name] = now

    def start(self, name: str) -> None:
        """Count a call that a peer relays."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def finish(self, name: str) -> None:
        """Count a relayed call that has ended."""
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]

    def choose(self, now: float) -> tuple[membership.Peer, ...]:
        """Return the hosts to ask for the next call, in order.

        Those that were not heard of lately come after the others. In a large
        fleet most hosts of other domains are known only so.
        """
        alive = {peer.name: peer for peer in self.list_alive()}
        candidates = {peer.name: peer for peer in self.list_known()} | alive
        usable = [
            peer
            for peer in candidates.values()
            if not peer.is_leaving
            and now - self._cut_off_at.get(peer.name, NEVER)
            > STATUS_EXPIRY_SECONDS
        ]

        def get_order(peer: membership.Peer) -> tuple[bool, bool, float]:
            refused_at = self._refused_at.get(peer.name, NEVER)
            has_refused = now - refused_at < REFUSAL_PAUSE_SECONDS
            return has_refused, peer.name not in alive, self._get_cost(peer)

        return tuple(sorted(usable, key=get_order)[:MAX_HOSTS_TRIED])

    def _get_cost(self, peer: membership.Peer) -> float:
        cost = self._in_flight.get(peer.name, 0) + self.random.random()
        if self.topology.is_remote(peer.domain):
            return cost + OTHER_REGION_COST
        if peer.domain != self.own.domain:
            return cost + OTHER_DOMAIN_COST
        return cost
