"""Catalog of the targets that have registered in the platform's store.

Each statement about a target's entry, read from the store or told by a peer,
carries the store's version. The newest one decides, in whatever order they
arrive; one that comes again changes nothing.
"""

from collections import abc

import attrs

from pistachioseam import events
from pistachioseam.forwarding import store_versions
from pistachioseam import interfaces

REREGISTRATION_GRACE_SECONDS = 2.0
"""Time in which entries are renewed after an outage, as documented by the
platform."""
MAX_UNLISTED = 1024
"""Targets without an entry whose last version is remembered."""
ANNOUNCE_SECONDS = 3.0
"""Time for which a departure is reported to peers."""
LAPSE_SECONDS = 10.0
"""Time after an outage in which a removed entry may have lapsed although its
target serves on. Peers that still have the entry are then not told."""
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
    counts the target's own writes of its entry, 0 if unknown; in a restored
    store, an entry with fewer of them is an older one.
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
class TargetEntry:
    """What the store says of a target's entry since one of its versions.

    `target` is None if the entry was removed or names no usable target.
    """

    name: str
    version: store_versions.StoreVersion
    target: LiveTarget | None = None


@attrs.frozen(kw_only=True)
class TargetChange:
    """Result of one read of the registered entries.

    It holds the changes up to `version`, several ones of a target if its entry
    has changed several times. If `is_complete`, targets that are not in
    `entries` had no entry at `version`.
    """

    entries: tuple[TargetEntry, ...]
    version: store_versions.StoreVersion
    is_complete: bool


@attrs.frozen
class Departure:
    """Incarnation that takes no more calls, since a version of the store.

    `version` is None if a host of an earlier build has reported it.
    """

    incarnation: Incarnation
    version: store_versions.StoreVersion | None = None


@attrs.define
class _Record:
    """Newest statement about a target's entry.

    `target` is the last one that this host has read, None if there is none.
    `is_reported` is set if only a peer has made the statement,
    `has_departed` if the target takes no more calls by it. `expires_at` is the
    end of the grace period of a removed entry, `suspended_at` the time of a
    peer's report without a version; times are monotonic seconds.
    """

    version: store_versions.StoreVersion
    target: LiveTarget | None = None
    is_reported: bool = False
    has_departed: bool = False
    expires_at: float | None = None
    suspended_at: float | None = None


class TargetCatalog:
    """Registered targets by name, as of the last read.

    A target departs when its entry shows that it leaves, or is removed. Hosts
    tell each other, as the store may refuse some of them.
    """

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self._listed: dict[str, _Record] = {}
        self._unlisted: dict[str, _Record] = {}
        self._departures: dict[str, tuple[Departure, float]] = {}
        self._era: int | None = None
        self._copied_up_to = store_versions.FIRST
        self._read_at: float | None = None
        self._outage_ended_at: float | None = None
        self._listeners: list[abc.Callable[[LiveTarget], None]] = []
        self._departure_listeners: list[abc.Callable[[], None]] = []

    def add_departure_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each departure that was not known."""
        self._departure_listeners.append(listener)

    def record_departure(self, departure: Departure, now: float) -> None:
        """Record that a peer has seen a target depart."""
        name, _ = departure.incarnation
        record = self._find(name)
        if departure.version is None:
            self._suspend(record, departure.incarnation, now)
            return
        if record is None:
            record = _Record(departure.version)
            self._add_unlisted(name, record)
        elif departure.version <= record.version:
            return
        record.version = departure.version
        record.is_reported = True
        record.has_departed = False
        self._depart(record, departure, now)

    def _suspend(
        self, record: _Record | None, incarnation: Incarnation, now: float
    ) -> None:
        """Give a target no calls until the store confirms its entry.

        The peer had read the removal before it reported it, so a read that is
        sent after the report shows the removal, or a later entry.
        """
        if record is None or record.target is None:
            return
        if record.target.get_incarnation() != incarnation:
            return
        if record.suspended_at is None and not record.has_departed:
            self._emit(events.Event.TARGET_LEAVING, record.target)
        record.suspended_at = now

    def _depart(
        self, record: _Record, departure: Departure, now: float
    ) -> None:
        """Mark a target as departed, and let the peers know."""
        if record.has_departed:
            return
        record.has_departed = True
        name, _ = departure.incarnation
        self._departures.pop(name, None)
        self._departures[name] = (departure, now)
        if name in self._listed and record.target is not None:
            self._emit(events.Event.TARGET_LEAVING, record.target)
        for listener in self._departure_listeners:
            listener()

    def list_recent_departures(self, now: float) -> tuple[Departure, ...]:
        """Return the departures that peers may not know yet."""
        for name, (_, departed_at) in list(self._departures.items()):
            if now - departed_at >= ANNOUNCE_SECONDS:
                del self._departures[name]
        return tuple(departure for departure, _ in self._departures.values())

    def is_available(self, target: LiveTarget) -> bool:
        """Return whether a target is listed, ready and has not departed."""
        record = self._listed.get(target.name)
        if record is None or record.target is None:
            return False
        return (
            target.is_ready
            and record.target.get_incarnation() == target.get_incarnation()
            and not record.has_departed
            and record.suspended_at is None
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
        self._detect_restored(change)
        entries = list(change.entries)
        if change.is_complete:
            names = {entry.name for entry in entries}
            entries += [
                TargetEntry(name=name, version=change.version)
                for name in self._listed.keys() - names
            ]
        newest: dict[str, TargetEntry] = {}
        has_changed = False
        for entry in sorted(entries, key=lambda entry: entry.version):
            if self._is_newer(entry):
                has_changed = has_changed or self._is_changed(entry)
                newest[entry.name] = entry
        for entry in newest.values():
            self._apply_entry(entry, now)
        self.expire(now)
        return has_changed

    def record_confirmation(self, confirmed_at: float, now: float) -> None:
        """Record that the store has confirmed the entries.

        All changes up to `confirmed_at` (monotonic seconds) have been applied.
        """
        self._detect_outage(now)
        for record in self._listed.values():
            suspended_at = record.suspended_at
            if suspended_at is not None and suspended_at < confirmed_at:
                record.suspended_at = None
        self.expire(now)

    def _find(self, name: str) -> _Record | None:
        return self._listed.get(name) or self._unlisted.get(name)

    def _is_newer(self, entry: TargetEntry) -> bool:
        """Return whether an entry that was read replaces what is known.

        The versions of a restored store compare only with its own. The entries
        of the copy that it was restored from are older than those read before.
        """
        record = self._find(entry.name)
        if record is None:
            return True
        if entry.version == record.version:
            return record.is_reported
        if entry.version.era <= record.version.era:
            return entry.version > record.version
        if entry.target is None or entry.version > self._copied_up_to:
            return True
        known = record.target
        return known is not None and (
            (entry.target.born_ms, entry.target.heartbeats)
            > (known.born_ms, known.heartbeats)
        )

    def _is_changed(self, entry: TargetEntry) -> bool:
        """Return whether an entry has changed in anything but weights."""
        record = self._listed.get(entry.name)
        if record is None or record.target is None or entry.target is None:
            return True
        if record.expires_at is not None or record.is_reported:
            return True
        known = record.target
        return attrs.evolve(entry.target, weights=known.weights) != known

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

    def _detect_restored(self, change: TargetChange) -> None:
        """Record up to which version entries may be those of a copy."""
        if self._era is not None and change.version.era > self._era:
            self._copied_up_to = change.version
        self._era = change.version.era

    def _apply_entry(self, entry: TargetEntry, now: float) -> None:
        record = self._find(entry.name)
        if record is None:
            record = _Record(entry.version)
            self._add_unlisted(entry.name, record)
        record.version = entry.version
        record.is_reported = False
        if entry.target is None:
            self._remove(entry.name, record, now)
        else:
            self._update(record, entry.target, now)

    def _update(self, record: _Record, target: LiveTarget, now: float) -> None:
        known = record.target if target.name in self._listed else None
        record.target = target
        record.expires_at = None
        record.suspended_at = None
        self._unlisted.pop(target.name, None)
        self._listed[target.name] = record
        if known is None:
            self._emit(events.Event.TARGET_ADDED, target)
        elif known.get_incarnation() != target.get_incarnation():
            self._notify_ended(known)
        if target.is_ready:
            record.has_departed = False
            self._departures.pop(target.name, None)
        else:
            departure = Departure(target.get_incarnation(), record.version)
            self._depart(record, departure, now)

    def _remove(self, name: str, record: _Record, now: float) -> None:
        """Drop an entry, or keep it for the grace period after an outage."""
        if name not in self._listed:
            return
        ended_at = self._outage_ended_at
        if ended_at is None or (
            now - ended_at >= REREGISTRATION_GRACE_SECONDS
        ):
            self._drop(name, now)
        elif record.expires_at is None:
            record.expires_at = ended_at + REREGISTRATION_GRACE_SECONDS

    def expire(self, now: float) -> None:
        """Drop removed entries whose grace period is over."""
        expired = [
            name
            for name, record in self._listed.items()
            if record.expires_at is not None and record.expires_at <= now
        ]
        for name in expired:
            self._drop(name, now)

    def _drop(self, name: str, now: float) -> None:
        record = self._listed.pop(name)
        assert record.target is not None
        record.expires_at = record.suspended_at = None
        self._add_unlisted(name, record)
        self._emit(events.Event.TARGET_REMOVED, record.target)
        if not self._may_have_lapsed(now):
            departure = Departure(
                record.target.get_incarnation(), record.version
            )
            self._depart(record, departure, now)
        self._notify_ended(record.target)

    def _add_unlisted(self, name: str, record: _Record) -> None:
        """Remember a target without an entry; forget the oldest ones."""
        self._unlisted[name] = record
        while len(self._unlisted) > MAX_UNLISTED:
            del self._unlisted[next(iter(self._unlisted))]

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
        record = self._listed.get(name)
        return None if record is None else record.target

    def list_service(self, service: str) -> tuple[LiveTarget, ...]:
        """Return the targets of a service, leaving ones included."""
        return tuple(
            target for target in self.list_all() if target.service == service
        )

    def list_all(self) -> tuple[LiveTarget, ...]:
        """Return the targets of all services, leaving ones included."""
        return tuple(
            record.target
            for record in self._listed.values()
            if record.target is not None
        )
