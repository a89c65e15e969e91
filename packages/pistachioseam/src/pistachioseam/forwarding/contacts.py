"""Selection of the peers that a host sends its status to.

Pure functions of the known and the live peers. A small fleet exchanges
statuses between all pairs of hosts. In a large fleet such messages would fill
the links between regions. There each host sends its status within its own
domain only, and the leader of each domain sends the merged status of its
domain to the leaders of the others.

The leader of a domain is its first live host in the order of `rank_peers`.
It is not elected: hosts that see different live peers may choose different
leaders.
"""

from collections import abc

import attrs

from pistachioseam import membership
from pistachioseam.placement import rendezvous

MIN_HOSTS_TO_RELAY = 24
"""Fleet size from which statuses are relayed by the domains' leaders. Below it
all pairs together exchange fewer than 1,600 messages a second."""
MIN_PAUSE_SECONDS = 0.35
"""Shortest pause between two messages to each peer; traffic is expensive."""
MAX_PAUSE_SECONDS = 0.6
"""Longest pause between two messages to each peer. After 0.8 s without a
message peers no longer count an engine as loading."""
PAUSE_SECONDS_PER_PEER = 0.04
"""Pause per direct peer, which limits a host to 25 messages a second, one
percent of a processor, until `MAX_PAUSE_SECONDS` is reached. Remote peers do
not count."""
PROBED_HOSTS = 2
"""Number of hosts that are sent the status in a domain without a live host, in
case one of them is back."""
STANDBY_ORDER_KEY = 2
"""Arbitrary hash key, equal on all hosts, by which `RendezvousHash` ranks them
as standbys and domain leaders."""


@attrs.frozen(kw_only=True)
class Contacts:
    """Peers that this host sends its status to.

    `direct_peers` get the host's own status. `remote_peers`, the leaders or
    probed hosts of the other domains, get the merged status of this host's
    domain; there are none unless statuses are relayed and this host is the
    leader of its domain.
    """

    direct_peers: tuple[membership.Peer, ...]
    remote_peers: tuple[membership.Peer, ...] = ()

    def list_all(self) -> tuple[membership.Peer, ...]:
        """Return all receivers."""
        return (*self.direct_peers, *self.remote_peers)

    def get_pause_seconds(self) -> float:
        """Return the pause between two rounds of messages, in seconds."""
        pause = PAUSE_SECONDS_PER_PEER * len(self.direct_peers)
        return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, pause))


def rank_peers(
    peers: abc.Iterable[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> tuple[membership.Peer, ...]:
    """Return peers in the order in which they become leader or standby."""
    by_name = {peer.name: peer for peer in peers}
    names = sorted(by_name)
    ranked = rendezvous_hash.rank(STANDBY_ORDER_KEY, names, len(names))
    return tuple(by_name[name] for name in ranked)


def find_domain_leader(
    own: membership.Peer,
    alive: abc.Iterable[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> membership.Peer:
    """Return the leader of this host's domain."""
    domain_peers = [peer for peer in alive if peer.domain == own.domain]
    return rank_peers([*domain_peers, own], rendezvous_hash)[0]


def should_relay_statuses(known: abc.Collection[membership.Peer]) -> bool:
    """Return whether the leaders of the domains relay statuses."""
    return 1 + len(known) >= MIN_HOSTS_TO_RELAY


def get_standby_rank(
    own: membership.Peer,
    known: abc.Collection[membership.Peer],
    alive: abc.Collection[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> int:
    """Return a host's rank among the standby hosts for a lease, 0 first.

    When statuses are relayed, the leaders of the domains come first, as the
    other hosts see only the live peers of their own domain.
    """
    ranked = rank_peers([*alive, own], rendezvous_hash)
    rank = [peer.name for peer in ranked].index(own.name)
    if (
        should_relay_statuses(known)
        and find_domain_leader(own, alive, rendezvous_hash) is not own
    ):
        rank += len({peer.domain for peer in known})
    return rank


def choose_contacts(
    own: membership.Peer,
    known: abc.Collection[membership.Peer],
    alive: abc.Collection[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> Contacts:
    """Return the peers to send the status to.

    In a domain without a live host, the first few hosts get it as a probe.
    """
    if not should_relay_statuses(known):
        return Contacts(direct_peers=tuple(known))
    direct_peers = tuple(peer for peer in known if peer.domain == own.domain)
    if find_domain_leader(own, alive, rendezvous_hash).name != own.name:
        return Contacts(direct_peers=direct_peers)
    live = {peer.name for peer in alive}
    remote_peers: list[membership.Peer] = []
    for domain in sorted({peer.domain for peer in known} - {own.domain}):
        ranked = rank_peers(
            (peer for peer in known if peer.domain == domain), rendezvous_hash
        )
        live_leader = [peer for peer in ranked if peer.name in live][:1]
        remote_peers += live_leader or ranked[:PROBED_HOSTS]
    return Contacts(
        direct_peers=direct_peers, remote_peers=tuple(remote_peers)
    )
