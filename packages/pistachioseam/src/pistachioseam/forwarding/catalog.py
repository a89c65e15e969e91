"""Targets that have registered themselves, and those that leave."""

from collections import abc

import attrs

from pistachioseam import events
from pistachioseam import interfaces

RETURN_GRACE_SECONDS = 2.0
"""Time in which lapsed entries return after an outage; users' letter."""
OUTAGE_SECONDS = 1.0
"""A gap between reads beyond this may have let entries lapse."""


@attrs.frozen(kw_only=True)
class LiveTarget:
    """Entry of one incarnation of a target.

    `born_ms` is the Unix millisecond of its start, `cold_seconds` how much
    longer it stays slow, `weights` the version of each model it has loaded.
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

    def get_incarnation(self) -> tuple[str, int]:
        """Return what differs between two starts of a target."""
        return (self.name, self.born_ms)


@attrs.frozen(kw_only=True)
class TargetChange:
    """Change of the entries; `removed` holds names, also of bad entries.

    `is_whole` tells that `entries` are all entries there are.
    """

    entries: tuple[LiveTarget, ...]
    removed: tuple[str, ...]
    is_whole: bool


NO_CHANGE = TargetChange(entries=(), removed=(), is_whole=False)


class TargetCatalog:
    """Live targets by name, as last read."""

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self._targets: dict[str, LiveTarget] = {}
        self._lapsed: dict[str, float] = {}
        self._read_at: float | None = None
        self._outage_ended_at: float | None = None
        self._listeners: list[abc.Callable[[LiveTarget], None]] = []

    def add_listener(self, listener: abc.Callable[[LiveTarget], None]) -> None:
        """Call `listener` with each target whose incarnation has ended."""
        self._listeners.append(listener)

    def is_known(self) -> bool:
        """Tell whether the entries were read at all."""
        return self._read_at is not None

    def apply(self, change: TargetChange, now: float) -> bool:
        """Take in what was read at `now` (monotonic seconds).

        Return whether it tells anything new but weights, which hosts tell
        each other; targets repeat their entries.
        """
        self._note_read(now)
        removed = set(change.removed) & self._targets.keys()
        if change.is_whole:
            listed = {entry.name for entry in change.entries}
            removed |= self._targets.keys() - listed
        is_new = any(self._is_new(entry) for entry in change.entries)
        for entry in change.entries:
            self._update(entry)
        for name in removed:
            self._remove(name, now)
        self.expire(now)
        return is_new or bool(removed)

    def _is_new(self, entry: LiveTarget) -> bool:
        """Tell whether an entry differs from the last one but in weights."""
        known = self._targets.get(entry.name)
        if known is None or entry.name in self._lapsed:
            return True
        return attrs.evolve(entry, weights=known.weights) != known

    def _note_read(self, now: float) -> None:
        last = self._read_at
        if last is not None and now - last > OUTAGE_SECONDS * 2:
            self._outage_ended_at = now
        self._read_at = now

    def _update(self, entry: LiveTarget) -> None:
        known = self._targets.get(entry.name)
        if known is not None and entry.born_ms < known.born_ms:
            return
        self._lapsed.pop(entry.name, None)
        self._targets[entry.name] = entry
        if known is None:
            self._emit(events.Event.TARGET_ADDED, entry)
            return
        if known.get_incarnation() != entry.get_incarnation():
            self._end(known)
        if known.is_ready and not entry.is_ready:
            self._emit(events.Event.TARGET_LEAVING, entry)

    def _remove(self, name: str, now: float) -> None:
        """Drop an entry, or hold it a while if it may have lapsed."""
        if name not in self._targets:
            return
        ended = self._outage_ended_at
        if ended is not None and now - ended < RETURN_GRACE_SECONDS:
            self._lapsed.setdefault(name, ended + RETURN_GRACE_SECONDS)
            return
        self._drop(name)

    def expire(self, now: float) -> None:
        """Drop lapsed entries that have not returned in time."""
        due = [name for name, at in self._lapsed.items() if at <= now]
        for name in due:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self._lapsed.pop(name, None)
        gone = self._targets.pop(name, None)
        if gone is not None:
            self._emit(events.Event.TARGET_REMOVED, gone)
            self._end(gone)

    def _end(self, target: LiveTarget) -> None:
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
        """Return a target by its name."""
        return self._targets.get(name)

    def list_service(self, service: str) -> tuple[LiveTarget, ...]:
        """Return the targets of a service, leaving ones included."""
        return tuple(
            target
            for target in self._targets.values()
            if target.service == service
        )

    def list_all(self) -> tuple[LiveTarget, ...]:
        """Return all targets."""
        return tuple(self._targets.values())
