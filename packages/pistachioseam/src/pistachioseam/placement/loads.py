"""Outstanding prefill work of targets, corrected for lagging reports.

Work is in seconds of prefill. Own sends are known at once, and peers tell the
sum of theirs several times a second. An engine's report covers all routers
but is old, so it only counts while no peer is heard; its part is drained over
time.
"""

import collections
from collections import abc

import attrs

STALE_SECONDS = 5.0
PEER_STALE_SECONDS = 2.0
HISTORY_LIMIT = 512


@attrs.frozen
class Share:
    """Outstanding work in seconds that one host has sent to a target."""

    target: str
    seconds: float


@attrs.frozen
class _PeerShare:
    seconds: float
    heard_at: float


@attrs.define
class _Load:
    own: float = 0.0
    others: float = 0.0
    others_at: float = 0.0
    peers: dict[str, _PeerShare] = attrs.field(factory=dict)
    history: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=HISTORY_LIMIT)
    )


class LoadBoard:
    """Outstanding work per target name."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self._peer_heard_at = -STALE_SECONDS

    def _get(self, target: str) -> _Load:
        load = self._loads.get(target)
        if load is None:
            load = self._loads[target] = _Load()
        return load

    def add_own(self, target: str, work: float, now: float) -> None:
        """Add work that this host has just sent; negative when it ended."""
        load = self._get(target)
        load.own = max(0.0, load.own + work)
        load.history.append((now, load.own))

    def note_report(
        self, target: str, outstanding: float, measured_at: float
    ) -> None:
        """Note an engine's report of all work as of `measured_at`."""
        load = self._get(target)
        own_then = 0.0
        for at, own in load.history:
            if at > measured_at:
                break
            own_then = own
        load.others = max(0.0, outstanding - own_then)
        load.others_at = measured_at

    def note_peer(
        self, peer: str, shares: abc.Iterable[Share], now: float
    ) -> None:
        """Replace what is known of a peer's outstanding work."""
        self._peer_heard_at = now
        for load in self._loads.values():
            load.peers.pop(peer, None)
        for share in shares:
            load = self._get(share.target)
            load.peers[peer] = _PeerShare(share.seconds, now)

    def list_own(self) -> tuple[Share, ...]:
        """Return the own outstanding work, for peers."""
        return tuple(
            Share(target, load.own)
            for target, load in self._loads.items()
            if load.own > 0.0
        )

    def drop(self, target: str) -> None:
        """Forget a target's load after its restart."""
        self._loads.pop(target, None)

    def estimate_wait(self, target: str, now: float) -> float:
        """Return the expected seconds before new work starts."""
        load = self._loads.get(target)
        if load is None:
            return 0.0
        return load.own + self._estimate_others(load, now)

    def _estimate_others(self, load: _Load, now: float) -> float:
        if now - self._peer_heard_at < PEER_STALE_SECONDS:
            return sum(
                share.seconds
                for share in load.peers.values()
                if now - share.heard_at < PEER_STALE_SECONDS
            )
        age = now - load.others_at
        others = load.others if age < STALE_SECONDS else 0.0
        return max(0.0, others - age)
