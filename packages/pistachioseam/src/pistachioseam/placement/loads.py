"""Outstanding prefill work of targets, in seconds of prefill.

This host's own work is an estimate, but without delay; peers send theirs
several times a second. An engine's report covers the work of all hosts, but it
is old when it arrives. It is used only if no peer has sent its work within
`PEER_SHARE_TTL_SECONDS`, and other hosts' work in it is assumed to shrink by
one second of work per second. Only the operator's experiments pass engines'
reports; entry hosts receive none.
"""

import collections
from collections import abc

import attrs

REPORT_TTL_SECONDS = 5.0
"""Time after its measurement at which an engine's report expires."""
PEER_SHARE_TTL_SECONDS = 2.0
"""Time after their receipt at which a peer's shares expire."""
MAX_HISTORY_ENTRIES = 512
"""Changes of this host's work kept per target, to match late reports."""


@attrs.frozen
class Share:
    """Outstanding work in seconds that one host has sent to a target.

    Peers receive it as a `Share` message.
    """

    target: str
    seconds: float


@attrs.frozen
class _PeerShare:
    """Outstanding work of a peer in seconds, and when it was received."""

    seconds: float
    received_at: float


@attrs.define
class _Load:
    """Outstanding work at a target, in seconds.

    `own_work` is this host's work, `reported_other_work` the other hosts' work
    by the engine's report as of `measured_at`, and `peer_shares` the peers'
    work by peer name. `own_work_history` holds (time, own work) after each
    change.
    """

    own_work: float = 0.0
    reported_other_work: float = 0.0
    measured_at: float = 0.0
    peer_shares: dict[str, _PeerShare] = attrs.field(factory=dict)
    own_work_history: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_HISTORY_ENTRIES)
    )


class LoadTracker:
    """Outstanding work by target name, from all hosts."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self._peer_shares_received_at = -REPORT_TTL_SECONDS

    def _get_load(self, target: str) -> _Load:
        load = self._loads.get(target)
        if load is None:
            load = self._loads[target] = _Load()
        return load

    def add_own_work(self, target: str, work: float, now: float) -> None:
        """Add seconds of work sent by this host, or subtract them.

        `work` is negative once the work is prefilled or has failed.
        """
        load = self._get_load(target)
        load.own_work = max(0.0, load.own_work + work)
        load.own_work_history.append((now, load.own_work))

    def record_engine_report(
        self, target: str, work: float, measured_at: float
    ) -> None:
        """Record an engine's report of all hosts' work as of `measured_at`.

        `work` is in seconds; this host's own work at that time is subtracted.
        """
        load = self._get_load(target)
        own_work_when_measured = 0.0
        for changed_at, own_work in load.own_work_history:
            if changed_at > measured_at:
                break
            own_work_when_measured = own_work
        load.reported_other_work = max(0.0, work - own_work_when_measured)
        load.measured_at = measured_at

    def set_peer_shares(
        self, peer: str, shares: abc.Iterable[Share], now: float
    ) -> None:
        """Replace the outstanding work of a peer."""
        self._peer_shares_received_at = now
        for load in self._loads.values():
            load.peer_shares.pop(peer, None)
        for share in shares:
            load = self._get_load(share.target)
            load.peer_shares[peer] = _PeerShare(share.seconds, now)

    def list_own_shares(self) -> tuple[Share, ...]:
        """Return this host's outstanding work, for its digest to peers."""
        return tuple(
            Share(target, load.own_work)
            for target, load in self._loads.items()
            if load.own_work > 0.0
        )

    def drop(self, target: str) -> None:
        """Drop the load of a target that has restarted."""
        self._loads.pop(target, None)

    def estimate_wait(self, target: str, now: float) -> float:
        """Return the expected seconds until new work starts at the target."""
        load = self._loads.get(target)
        if load is None:
            return 0.0
        return load.own_work + self._estimate_other_work(load, now)

    def _estimate_other_work(self, load: _Load, now: float) -> float:
        if now - self._peer_shares_received_at < PEER_SHARE_TTL_SECONDS:
            return sum(
                share.seconds
                for share in load.peer_shares.values()
                if now - share.received_at < PEER_SHARE_TTL_SECONDS
            )
        age = now - load.measured_at
        other_work = (
            load.reported_other_work if age < REPORT_TTL_SECONDS else 0.0
        )
        return max(0.0, other_work - age)
