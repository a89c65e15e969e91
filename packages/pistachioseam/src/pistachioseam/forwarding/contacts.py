"""Which peers a host talks to; pure functions over who is known and alive.

Load pattern: in a large fleet messages between all pairs of hosts would fill
the links between regions. There each host talks to its own domain only, and
one host of each domain tells the others what its domain knows.
"""

from collections import abc

import attrs

from pistachioseam import membership
from pistachioseam.placement import homes

RELAYED_HOSTS = 24
"""Size from which domains talk through one host each. Up to here all pairs
exchange fewer than 1,600 messages a second."""
LEAST_PAUSE_SECONDS = 0.35
"""Least pause between two messages to each peer; bytes are dear."""
MOST_PAUSE_SECONDS = 0.6
"""A word that an engine is loading is repeated before 0.8 s have passed."""
PAUSE_PER_PEER_SECONDS = 0.04
"""Pause for each peer that is told; 25 messages a second take a percent of a
processor."""
CANDIDATES = 2
"""Hosts of a silent domain that are tried at a time."""
DUTY_PREFIX = 2
"""Seed of the order in which hosts stand by for duties."""


@attrs.frozen(kw_only=True)
class Contacts:
    """Peers that are told what this host knows.

    `near` hear its own status, `distant` that of its whole domain; `distant`
    is empty unless this host speaks for its domain.
    """

    near: tuple[membership.Peer, ...]
    distant: tuple[membership.Peer, ...] = ()

    def list_all(self) -> tuple[membership.Peer, ...]:
        """Return all of them."""
        return (*self.near, *self.distant)

    def get_pause(self) -> float:
        """Return the seconds between two rounds of messages."""
        pause = PAUSE_PER_PEER_SECONDS * len(self.near)
        return min(MOST_PAUSE_SECONDS, max(LEAST_PAUSE_SECONDS, pause))


def rank_peers(
    peers: abc.Iterable[membership.Peer], order: homes.HomeOrder
) -> tuple[membership.Peer, ...]:
    """Return peers in the order in which they stand by for duties."""
    by_name = {peer.name: peer for peer in peers}
    names = sorted(by_name)
    ranked = order.rank(DUTY_PREFIX, names, len(names))
    return tuple(by_name[name] for name in ranked)


def find_speaker(
    own: membership.Peer,
    alive: abc.Iterable[membership.Peer],
    order: homes.HomeOrder,
) -> membership.Peer:
    """Return the live host that speaks for this host's domain."""
    near = [peer for peer in alive if peer.domain == own.domain]
    return rank_peers([*near, own], order)[0]


def is_relayed(known: abc.Collection[membership.Peer]) -> bool:
    """Tell whether domains talk through one host each."""
    return 1 + len(known) >= RELAYED_HOSTS


def get_standby_rank(
    own: membership.Peer,
    known: abc.Collection[membership.Peer],
    alive: abc.Collection[membership.Peer],
    order: homes.HomeOrder,
) -> int:
    """Return a host's place in the succession of duties.

    In a large fleet the hosts that speak for domains come first, as the
    others see only their own domain.
    """
    ranked = rank_peers([*alive, own], order)
    rank = [peer.name for peer in ranked].index(own.name)
    if is_relayed(known) and find_speaker(own, alive, order) is not own:
        rank += len({peer.domain for peer in known})
    return rank


def choose_contacts(
    own: membership.Peer,
    known: abc.Collection[membership.Peer],
    alive: abc.Collection[membership.Peer],
    order: homes.HomeOrder,
) -> Contacts:
    """Return the peers to talk to, silent ones that should be tried too."""
    if not is_relayed(known):
        return Contacts(near=tuple(known))
    near = tuple(peer for peer in known if peer.domain == own.domain)
    if find_speaker(own, alive, order).name != own.name:
        return Contacts(near=near)
    live = {peer.name for peer in alive}
    distant: list[membership.Peer] = []
    for domain in sorted({peer.domain for peer in known} - {own.domain}):
        ranked = rank_peers(
            (peer for peer in known if peer.domain == domain), order
        )
        speaking = [peer for peer in ranked if peer.name in live][:1]
        distant += speaking or ranked[:CANDIDATES]
    return Contacts(near=near, distant=tuple(distant))
