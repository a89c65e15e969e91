"""Live entry hosts as this host has heard of them."""

from collections import abc

import attrs

from pistachioseam import events
from pistachioseam import interfaces
from pistachioseam.placement import homes

SILENCE_SECONDS = 2.0
FORGET_SECONDS = 300.0
POLLERS = 3
POLLING_DUTY = 1


@attrs.frozen(kw_only=True)
class Peer:
    """One incarnation of another entry host; `address` of its peer port."""

    name: str
    incarnation: str
    domain: str
    address: str
    is_leaving: bool = False


@attrs.define
class _Track:
    peer: Peer
    heard_at: float
    is_alive: bool = True


class Members:
    """Peers by name; `own` describes this host."""

    def __init__(
        self,
        own: Peer,
        runtime: interfaces.Runtime,
        sink: interfaces.EventSink,
    ) -> None:
        self.own = own
        self._runtime = runtime
        self._sink = sink
        self._tracks: dict[str, _Track] = {}
        self._homes = homes.HomeOrder()

    def note_heard(self, peer: Peer) -> None:
        """Note a message that came from the peer itself."""
        if peer.name == self.own.name:
            return
        now = self._runtime.now()
        track = self._tracks.get(peer.name)
        is_new = track is None or not track.is_alive
        if is_new or (track and track.peer.incarnation != peer.incarnation):
            self._sink.emit(
                events.Event.PEER_ALIVE,
                peer=peer.name,
                incarnation=peer.incarnation,
            )
        self._tracks[peer.name] = _Track(peer, now)

    def note_named(self, peers: abc.Iterable[Peer]) -> None:
        """Note peers that another host has named; they are tried next."""
        silent = self._runtime.now() - SILENCE_SECONDS
        for peer in peers:
            if peer.name == self.own.name or peer.name in self._tracks:
                continue
            self._tracks[peer.name] = _Track(peer, silent, is_alive=False)

    def note_silence(self) -> None:
        """Count peers that were silent too long as lost."""
        now = self._runtime.now()
        for name, track in list(self._tracks.items()):
            silence = now - track.heard_at
            if track.is_alive and silence > SILENCE_SECONDS:
                track.is_alive = False
                self._sink.emit(events.Event.PEER_LOST, peer=name)
            if silence > FORGET_SECONDS:
                del self._tracks[name]

    def list_alive(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately."""
        return tuple(t.peer for t in self._tracks.values() if t.is_alive)

    def list_known(self) -> tuple[Peer, ...]:
        """Return all peers that are worth a message."""
        return tuple(track.peer for track in self._tracks.values())

    def find(self, name: str) -> Peer | None:
        """Return the last known incarnation of a peer."""
        track = self._tracks.get(name)
        return track.peer if track else None

    def is_poller(self) -> bool:
        """Tell whether this host is one of its domain's pollers."""
        names = [
            peer.name
            for peer in self.list_alive()
            if peer.domain == self.own.domain and not peer.is_leaving
        ]
        names.append(self.own.name)
        ranked = self._homes.rank(POLLING_DUTY, sorted(names), POLLERS)
        return self.own.name in ranked
