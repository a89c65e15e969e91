"""Selection of the peers that a host sends its status to.

Pure functions of the known and the live peers. A small fleet exchanges
statuses between all pairs of hosts. In a large fleet that would take most of
the processors' time and fill the links between regions. There each host sends
its status only to the leader and the deputy of its own domain. The leader
relays the statuses within the domain, and sends the merged status of its
domain to the leaders of the others.

The leader of a domain is its first live host in the order of `rank_peers`, the
deputy is the second, which takes over when the leader is lost. They are not
elected: hosts that see different live peers may choose different leaders. A
host also answers the peers that send to it, so two hosts that disagree learn
of each other.
"""

from collections import abc
import hashlib

import attrs

from pistachioseam import links
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
LEADERS_PER_DOMAIN = 2
"""Number of hosts of a domain that get the statuses of all others: the leader
and the deputy."""
PROBES_PER_ROUND = 2
"""Silent hosts of its own domain that a host probes at a time, in a large
fleet."""
STANDBY_ORDER_KEY = 2
"""Arbitrary hash key, equal on all hosts, by which `RendezvousHash` ranks them
as standbys and domain leaders."""


@attrs.frozen(kw_only=True)
class Contacts:
    """Peers that this host sends its status to.

    `direct_peers` get the host's own status. `remote_peers`, the leaders or
    probed hosts of the other domains, get the merged status of this host's
    domain; there are none unless statuses are relayed and this host is the
    leader of its domain. `leaders` are the leader and the deputy of the
    domain, `is_leader` says whether this host is that leader; neither is set
    in a small fleet.
    """

    direct_peers: tuple[membership.Peer, ...]
    remote_peers: tuple[membership.Peer, ...] = ()
    leaders: tuple[membership.Peer, ...] = ()
    is_leader: bool = False

    def list_all(self) -> tuple[membership.Peer, ...]:
        """Return all receivers."""
        return (*self.direct_peers, *self.remote_peers)

    def get_pause_seconds(self) -> float:
        """Return the pause between two rounds of messages, in seconds."""
        if self.leaders:
            return MIN_PAUSE_SECONDS if self.is_leader else MAX_PAUSE_SECONDS
        pause = PAUSE_SECONDS_PER_PEER * len(self.direct_peers)
        return min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, pause))


@attrs.frozen(kw_only=True)
class FleetView:
    """Fleet as a host sees it.

    `known` and `alive` are peers; in a large fleet, the hosts that do not lead
    their domain see only those of their own domain alive. `remote_leaders` are
    those of other domains, `host_count` is the size of the fleet, lost hosts
    included.
    """

    own: membership.Peer
    known: tuple[membership.Peer, ...]
    alive: tuple[membership.Peer, ...]
    remote_leaders: tuple[membership.Peer, ...]
    host_count: int
    relays_statuses: bool


def find_permit_issuer(
    view: FleetView, rendezvous_hash: rendezvous.RendezvousHash
) -> membership.Peer:
    """Return the host that grants permits, or the next one towards it."""
    return _find_issuer(view, rendezvous_hash, STANDBY_ORDER_KEY)


def find_quota_issuer(
    view: FleetView,
    rendezvous_hash: rendezvous.RendezvousHash,
    account: str,
) -> membership.Peer:
    """Return the host that grants an account's quota, or one towards it.

    The accounts are spread over the hosts that may be issuers.
    """
    digest = hashlib.blake2b(account.encode(), digest_size=8).digest()
    key = int.from_bytes(digest, 'big')
    return _find_issuer(view, rendezvous_hash, key)


def _find_issuer(
    view: FleetView, rendezvous_hash: rendezvous.RendezvousHash, key: int
) -> membership.Peer:
    """Return the first host in the order of a key, or the next one towards it.

    In a large fleet only the leaders of domains know the other leaders.
    """
    candidates = list(view.alive)
    if view.relays_statuses:
        leader = find_domain_leader(view.own, view.alive, rendezvous_hash)
        if leader.name != view.own.name:
            return leader
        remote = {peer.name for peer in view.remote_leaders}
        candidates = [peer for peer in view.alive if peer.name in remote]
    return rank_peers([*candidates, view.own], rendezvous_hash, key)[0]


def compute_limit_share(view: FleetView) -> float:
    """Return the share of the targets' limits that an issuer may grant.

    All of them if it sees the majority of the fleet, else its part.
    """
    fraction = compute_seen_fraction(view)
    return 1.0 if fraction > 0.5 else fraction


def compute_seen_fraction(view: FleetView) -> float:
    """Return the part of the fleet that a host sees, in (0, 1]."""
    reachable = 1 + len(view.alive)
    if view.relays_statuses:
        # Of the other domains, only the leaders are seen.
        live_domains = {peer.domain for peer in view.alive}
        remote_domains = live_domains - {view.own.domain}
        reachable = 1 + sum(
            peer.domain == view.own.domain for peer in view.alive
        )
        reachable += sum(peer.domain in remote_domains for peer in view.known)
    return reachable / max(reachable, view.host_count)


def rank_peers(
    peers: abc.Iterable[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
    key: int = STANDBY_ORDER_KEY,
) -> tuple[membership.Peer, ...]:
    """Return peers in the order in which they become leader or standby."""
    by_name = {peer.name: peer for peer in peers}
    names = sorted(by_name)
    ranked = rendezvous_hash.rank(key, names, len(names))
    return tuple(by_name[name] for name in ranked)


def find_domain_leader(
    own: membership.Peer,
    alive: abc.Iterable[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> membership.Peer:
    """Return the leader of this host's domain."""
    return find_domain_leaders(own, alive, rendezvous_hash)[0]


def find_domain_leaders(
    own: membership.Peer,
    alive: abc.Iterable[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> tuple[membership.Peer, ...]:
    """Return the leader and the deputy of this host's domain."""
    domain_peers = [peer for peer in alive if peer.domain == own.domain]
    ranked = rank_peers([*domain_peers, own], rendezvous_hash)
    return ranked[:LEADERS_PER_DOMAIN]


def find_region_leader(
    own: membership.Peer,
    alive: abc.Iterable[membership.Peer],
    topology: links.Topology,
    rendezvous_hash: rendezvous.RendezvousHash,
) -> membership.Peer:
    """Return the leader of this host's region, the first of its leaders.

    Only leaders of domains know the other leaders of the region.
    """
    region_peers = [p for p in alive if not topology.is_remote(p.domain)]
    return rank_peers([*region_peers, own], rendezvous_hash)[0]


def should_relay_statuses(
    known: abc.Collection[membership.Peer], announced_hosts: int = 0
) -> bool:
    """Return whether the leaders of the domains relay statuses.

    `announced_hosts` is the size of the fleet as told by peers, which may have
    read a longer list of hosts.
    """
    return max(1 + len(known), announced_hosts) >= MIN_HOSTS_TO_RELAY


def get_standby_rank(
    own: membership.Peer,
    known: abc.Collection[membership.Peer],
    alive: abc.Collection[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
    announced_hosts: int = 0,
) -> int:
    """Return a host's rank among the standby hosts for a lease, 0 first.

    When statuses are relayed, the leaders of the domains come first, as the
    other hosts see only the live peers of their own domain.
    """
    ranked = rank_peers([*alive, own], rendezvous_hash)
    rank = [peer.name for peer in ranked].index(own.name)
    if (
        should_relay_statuses(known, announced_hosts)
        and find_domain_leader(own, alive, rendezvous_hash) is not own
    ):
        rank += len({peer.domain for peer in known})
    return rank


def choose_contacts(
    own: membership.Peer,
    known: abc.Collection[membership.Peer],
    alive: abc.Collection[membership.Peer],
    rendezvous_hash: rendezvous.RendezvousHash,
    senders: abc.Collection[membership.Peer] = (),
    announced_hosts: int = 0,
) -> Contacts:
    """Return the peers to send the status to.

    `senders` are the live peers of the domain that have recently sent their
    own status to this host. In a domain without a live host, the first few
    hosts get the status as a probe.
    """
    if not should_relay_statuses(known, announced_hosts):
        return Contacts(direct_peers=tuple(known))
    leaders = find_domain_leaders(own, alive, rendezvous_hash)
    receivers = {peer.name: peer for peer in (*leaders, *senders)}
    receivers.pop(own.name, None)
    direct_peers = tuple(receivers.values())
    if leaders[0].name != own.name:
        return Contacts(direct_peers=direct_peers, leaders=leaders)
    live = {peer.name for peer in alive}
    remote_peers: list[membership.Peer] = []
    for domain in sorted({peer.domain for peer in known} - {own.domain}):
        ranked = rank_peers(
            (peer for peer in known if peer.domain == domain), rendezvous_hash
        )
        live_leader = [peer for peer in ranked if peer.name in live][:1]
        remote_peers += live_leader or ranked[:PROBED_HOSTS]
    return Contacts(
        direct_peers=direct_peers,
        remote_peers=tuple(remote_peers),
        leaders=leaders,
        is_leader=True,
    )


def choose_probes(
    chosen: Contacts,
    known: abc.Collection[membership.Peer],
    alive: abc.Collection[membership.Peer],
    probed_at: abc.Mapping[str, float],
    rendezvous_hash: rendezvous.RendezvousHash,
) -> tuple[membership.Peer, ...]:
    """Return the silent peers to send a handshake to.

    Load pattern: all hosts start at once, or most hosts of a domain are lost.
    If each host of a large fleet probed all silent ones, the handshakes would
    take longer than the start itself. So a host probes only the hosts of its
    domain that would come before its deputy, a few at a time, those first that
    it has not probed for the longest time; `probed_at` holds these times by
    address.
    """
    live = {peer.name for peer in alive}
    if not chosen.leaders:
        return tuple(p for p in chosen.direct_peers if p.name not in live)
    own_domain = chosen.leaders[0].domain
    ranked = rank_peers(
        (*(p for p in known if p.domain == own_domain), *chosen.leaders),
        rendezvous_hash,
    )
    names = [peer.name for peer in ranked]
    last_rank = names.index(chosen.leaders[-1].name)
    if len(chosen.leaders) < LEADERS_PER_DOMAIN:
        last_rank = len(ranked)
    silent = [
        peer
        for peer in ranked[:last_rank]
        if peer.name not in live and peer not in chosen.leaders
    ]
    silent.sort(key=lambda peer: probed_at.get(peer.address, 0.0))
    remote = [p for p in chosen.remote_peers if p.name not in live]
    return (*silent[:PROBES_PER_ROUND], *remote)
