"""Membership of entry hosts, as seen by this host.

Every message from a peer counts as a heartbeat.
"""

from collections import abc

import attrs

from pistachioseam import events
from pistachioseam import interfaces
from pistachioseam.placement import rendezvous

PEER_TIMEOUT_SECONDS = 2.0
"""Time without a heartbeat after which a peer counts as lost."""
PEER_REMOVAL_SECONDS = 300.0
"""Time without a heartbeat after which a peer is no longer contacted."""
POLLERS_PER_DOMAIN = 3
"""Hosts of a domain that poll the platform more often than the others."""
POLLER_RANK_KEY = 1
"""Key of the rendezvous hash that ranks hosts as pollers."""


@attrs.frozen(kw_only=True)
class Peer:
    """One incarnation of an entry host; `address` is that of its peer port.

    It is sent to peers as a `Host` message.
    """

    name: str
    incarnation: str
    domain: str
    address: str
    is_leaving: bool = False


@attrs.define
class _PeerState:
    peer: Peer
    last_seen_at: float
    is_alive: bool = True


class Members:
    """Known peers by name; `own` describes this host."""

    def __init__(
        self,
        own: Peer,
        runtime: interfaces.Runtime,
        sink: interfaces.EventSink,
    ) -> None:
        self.own = own
        self._runtime = runtime
        self._sink = sink
        self._states: dict[str, _PeerState] = {}
        self._rendezvous = rendezvous.RendezvousHash()

    def record_heartbeat(self, peer: Peer) -> None:
        """Record a message sent by the peer itself."""
        if peer.name == self.own.name:
            return
        now = self._runtime.now()
        state = self._states.get(peer.name)
        is_new = state is None or not state.is_alive
        if is_new or (state and state.peer.incarnation != peer.incarnation):
            self._sink.emit(
                events.Event.PEER_ALIVE,
                peer=peer.name,
                incarnation=peer.incarnation,
            )
        self._states[peer.name] = _PeerState(peer, now)

    def add_discovered(self, peers: abc.Iterable[Peer]) -> None:
        """Add peers named by another host or by the platform's host list.

        They count as lost until their first heartbeat, and are contacted like
        other lost peers.
        """
        last_seen_at = self._runtime.now() - PEER_TIMEOUT_SECONDS
        for peer in peers:
            if peer.name == self.own.name or peer.name in self._states:
                continue
            self._states[peer.name] = _PeerState(
                peer, last_seen_at, is_alive=False
            )

    def expire_peers(self) -> None:
        """Mark silent peers as lost, and remove those lost for long."""
        now = self._runtime.now()
        for name, state in list(self._states.items()):
            idle_seconds = now - state.last_seen_at
            if state.is_alive and idle_seconds > PEER_TIMEOUT_SECONDS:
                state.is_alive = False
                self._sink.emit(events.Event.PEER_LOST, peer=name)
            if idle_seconds > PEER_REMOVAL_SECONDS:
                del self._states[name]

    def list_alive(self) -> tuple[Peer, ...]:
        """Return the peers with a recent heartbeat."""
        return tuple(
            state.peer for state in self._states.values() if state.is_alive
        )

    def list_recent(self, seconds: float) -> tuple[Peer, ...]:
        """Return the peers with a heartbeat in the last `seconds`."""
        since = self._runtime.now() - seconds
        return tuple(
            state.peer
            for state in self._states.values()
            if state.is_alive and state.last_seen_at >= since
        )

    def list_known(self) -> tuple[Peer, ...]:
        """Return all peers, lost ones included until they are removed."""
        return tuple(state.peer for state in self._states.values())

    def find(self, name: str) -> Peer | None:
        """Return the last known incarnation of a peer, or None."""
        state = self._states.get(name)
        return state.peer if state else None

    def is_poller(self) -> bool:
        """Return whether this host is one of its domain's pollers."""
        names = [
            peer.name
            for peer in self.list_alive()
            if peer.domain == self.own.domain and not peer.is_leaving
        ]
        names.append(self.own.name)
        ranked = self._rendezvous.rank(
            POLLER_RANK_KEY, sorted(names), POLLERS_PER_DOMAIN
        )
        return self.own.name in ranked
