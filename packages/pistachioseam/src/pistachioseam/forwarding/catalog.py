"""Catalog of the targets that have registered in the platform's store."""

from collections import abc

import attrs

from pistachioseam import events
from pistachioseam import interfaces

REREGISTRATION_GRACE_SECONDS = 2.0
"""Time in which entries are renewed after an outage, as documented by the
platform."""
MAX_ENDED = 1024
"""Removed incarnations whose last entry is remembered."""
ANNOUNCE_SECONDS = 3.0
"""Time for which a departure is reported to peers."""
LAPSE_SECONDS = 10.0
"""Time after an outage in which a removed entry may have lapsed although its
target serves on. Peers that still have the entry are then not told."""
MAX_READ_SECONDS = 1.0
"""Longest time that a read of the entries takes. One that returns later was
sent after a departure that is known for so long."""
MAX_READ_GAP_SECONDS = 1.0
"""Twice this without a read is an outage, in which entries may expire."""

Incarnation = tuple[str, int]
"""Name of a target and its start time in Unix milliseconds."""


@attrs.frozen(kw_only=True)
class LiveTarget:
    """Registered entry of one incarnation of a target.

    `born_ms` is the start time in Unix milliseconds, `cold_seconds` the
    remaining warm-up time, `weights` the loaded version by model,
    `software_version` the version of the program that serves. `heartbeats`
    counts the target's own writes of its entry, 0 if unknown; an entry with
    fewer of them is an older one.
    """

    name: str
    service: str
    address: str
    domain: str
    is_ready: bool
    slots: int = 0
    born_ms: int = 0
    cold_seconds: float = 0.0
    weights: abc.Mapping[str, int] = attrs.field(factory=dict, hash=False)
    software_version: str = ''
    heartbeats: int = attrs.field(default=0, eq=False)

    def get_incarnation(self) -> Incarnation:
        """Return the name and start time, which identify the incarnation."""
        return (self.name, self.born_ms)


@attrs.frozen(kw_only=True)
class TargetChange:
    """Result of one read of the registered entries.

    `removed` holds the names of removed and of malformed entries. If
    `is_complete`, targets that are not in `entries` have been removed.
    """

    entries: tuple[LiveTarget, ...]
    removed: tuple[str, ...]
    is_complete: bool


NO_CHANGE = TargetChange(entries=(), removed=(), is_complete=False)


class TargetCatalog:
    """Registered targets by name, as of the last read.

    A target departs when its entry shows that it leaves, or is removed. Hosts
    tell each other, as the store may refuse some of them.
    """

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self._targets: dict[str, LiveTarget] = {}
        self._expires_at: dict[str, float] = {}
        self._ended: dict[tuple[str, int], int] = {}
        self._read_at: float | None = None
        self._outage_ended_at: float | None = None
        self._departed_at: dict[Incarnation, float] = {}
        self._listeners: list[abc.Callable[[LiveTarget], None]] = []
        self._departure_listeners: list[abc.Callable[[], None]] = []

    def add_departure_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each departure that was not known."""
        self._departure_listeners.append(listener)

    def record_departure(self, incarnation: Incarnation, now: float) -> None:
        """Record that this host or a peer has seen a target depart."""
        if incarnation in self._departed_at:
            return
        self._departed_at[incarnation] = now
        if len(self._departed_at) > MAX_ENDED:
            del self._departed_at[next(iter(self._departed_at))]
        target = self._targets.get(incarnation[0])
        if target is not None and target.get_incarnation() == incarnation:
            self._emit(events.Event.TARGET_LEAVING, target)
        for listener in self._departure_listeners:
            listener()

    def list_recent_departures(self, now: float) -> tuple[Incarnation, ...]:
        """Return the departures that peers may not know yet."""
        return tuple(
            incarnation
            for incarnation, departed_at in self._departed_at.items()
            if now - departed_at < ANNOUNCE_SECONDS
        )

    def is_available(self, target: LiveTarget) -> bool:
        """Return whether a target is ready and has not departed."""
        return (
            target.is_ready
            and target.get_incarnation() not in self._departed_at
        )

    def add_listener(self, listener: abc.Callable[[LiveTarget], None]) -> None:
        """Call `listener` with each target whose incarnation has ended."""
        self._listeners.append(listener)

    def has_synced(self) -> bool:
        """Return whether the entries have been read at least once."""
        return self._read_at is not None

    def apply(self, change: TargetChange, now: float) -> bool:
        """Apply a read at `now` (monotonic seconds).

        Return whether anything but weights has changed. Hosts gossip weights
        to each other, and targets write unchanged entries repeatedly.
        """
        self._detect_outage(now)
        removed = set(change.removed) & self._targets.keys()
        if change.is_complete:
            listed = {entry.name for entry in change.entries}
            removed |= self._targets.keys() - listed
        has_changes = any(self._is_changed(entry) for entry in change.entries)
        for entry in change.entries:
            self._update(entry, now)
        for name in removed:
            self._remove(name, now)
        self.expire(now)
        return has_changes or bool(removed)

    def _is_changed(self, entry: LiveTarget) -> bool:
        """Return whether an entry has changed in anything but weights."""
        known = self._targets.get(entry.name)
        if known is None or entry.name in self._expires_at:
            return True
        return attrs.evolve(entry, weights=known.weights) != known

    def record_outage_end(self, now: float) -> None:
        """Record that the store has come back without its newest entries.

        Entries that are missing may be written again by their targets.
        """
        self._outage_ended_at = now

    def _detect_outage(self, now: float) -> None:
        """Record the time of a read and whether it ends a store outage."""
        last = self._read_at
        if last is not None and now - last > MAX_READ_GAP_SECONDS * 2:
            self._outage_ended_at = now
        self._read_at = now

    def _update(self, entry: LiveTarget, now: float) -> None:
        known = self._targets.get(entry.name)
        if known is not None and entry.born_ms < known.born_ms:
            return
        if self._is_stale(entry, known):
            return
        self._expires_at.pop(entry.name, None)
        self._targets[entry.name] = entry
        if known is None:
            self._emit(events.Event.TARGET_ADDED, entry)
        elif known.get_incarnation() != entry.get_incarnation():
            self._notify_ended(known)
        if not entry.is_ready:
            self.record_departure(entry.get_incarnation(), now)
        else:
            self._record_return(entry.get_incarnation(), now)

    def _record_return(self, incarnation: Incarnation, now: float) -> None:
        """Forget a departure, unless the read may have been sent before it."""
        departed_at = self._departed_at.get(incarnation)
        if departed_at is not None and now - departed_at > MAX_READ_SECONDS:
            del self._departed_at[incarnation]

    def _is_stale(self, entry: LiveTarget, known: LiveTarget | None) -> bool:
        """Return whether a later entry of the incarnation has been read.

        A store that was restored shows targets that had left as ready.
        """
        incarnation = entry.get_incarnation()
        if known is not None and known.get_incarnation() == incarnation:
            return entry.heartbeats < known.heartbeats
        return 0 < entry.heartbeats <= self._ended.get(incarnation, 0)

    def _remove(self, name: str, now: float) -> None:
        """Drop an entry, or keep it for the grace period after an outage."""
        if name not in self._targets:
            return
        ended = self._outage_ended_at
        if ended is not None and now - ended < REREGISTRATION_GRACE_SECONDS:
            self._expires_at.setdefault(
                name, ended + REREGISTRATION_GRACE_SECONDS
            )
            return
        self._drop(name, now)

    def expire(self, now: float) -> None:
        """Drop removed entries whose grace period is over."""
        expired = [name for name, at in self._expires_at.items() if at <= now]
        for name in expired:
            self._drop(name, now)

    def _drop(self, name: str, now: float) -> None:
        self._expires_at.pop(name, None)
        removed = self._targets.pop(name, None)
        if removed is not None:
            self._ended[removed.get_incarnation()] = removed.heartbeats
            if len(self._ended) > MAX_ENDED:
                del self._ended[next(iter(self._ended))]
            self._emit(events.Event.TARGET_REMOVED, removed)
            if not self._may_have_lapsed(now):
                self.record_departure(removed.get_incarnation(), now)
            self._notify_ended(removed)

    def _may_have_lapsed(self, now: float) -> bool:
        """Return whether entries may be missing because of an outage."""
        ended_at = self._outage_ended_at
        return ended_at is not None and now - ended_at < LAPSE_SECONDS

    def _notify_ended(self, target: LiveTarget) -> None:
        for listener in self._listeners:
            listener(target)

    def _emit(self, event: events.Event, target: LiveTarget) -> None:
        self._sink.emit(
            event,
            target=target.name,
            service=target.service,
            address=target.address,
        )

    def get(self, name: str) -> LiveTarget | None:
        """Return a target by name, or None if it is not registered."""
        return self._targets.get(name)

    def list_service(self, service: str) -> tuple[LiveTarget, ...]:
        """Return the targets of a service, leaving ones included."""
        return tuple(
            target
            for target in self._targets.values()
            if target.service == service
        )

    def list_all(self) -> tuple[LiveTarget, ...]:
        """Return the targets of all services, leaving ones included."""
        return tuple(self._targets.values())
