"""Cache of the desired state and of the weights versions of engines."""

from collections import abc
import math

import attrs

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_clocks
from pistachioseam.forwarding import store_versions
from pistachioseam import interfaces


ANNOUNCED_VERSIONS = 3
"""Number of newest versions whose ages are sent to peers; engines skip older
ones."""
LOGGED_CHANGE_SECONDS = 0.1
"""Smallest change of an end of a version's date that is logged."""
MAX_WAITING_DATES = 64
"""Number of dates that are kept for versions that are not known yet."""


@attrs.frozen
class NamedWeights:
    """Weights version that the operators named for a model, and its age.

    `after` is a time at which the store had named no version newer than
    `predecessor`, None if unknown.
    """

    model: str
    version: int
    age_seconds: float
    after: store_clocks.StoreTime | None = None
    predecessor: int = 0


@attrs.frozen
class NamingInterval:
    """Interval in which a weights version was named.

    `after` is the last moment at which the store is known to have named no
    version newer than `predecessor`, None if there is none; `by` the first
    moment at which the version was known to be named. `store_after` is such a
    time of the store's clock, None if there is none.
    """

    after: float | None
    by: float
    predecessor: int = 0
    store_after: store_clocks.StoreTime | None = None

    def get_earliest(self) -> float:
        """Return the earliest possible time, `by` if none is known."""
        return self.by if self.after is None else self.after

    def limit_by(self, by: float) -> 'NamingInterval':
        """Return the interval for a version that was known at `by`."""
        by = min(self.by, by)
        after = None if self.after is None else min(self.after, by)
        return attrs.evolve(self, after=after, by=by)

    def is_close(self, other: 'NamingInterval') -> bool:
        """Return whether both ends differ by less than is logged."""
        if self.after is None or other.after is None:
            is_after_close = self.after == other.after
        else:
            difference = abs(self.after - other.after)
            is_after_close = difference < LOGGED_CHANGE_SECONDS
        return (
            is_after_close and abs(self.by - other.by) < LOGGED_CHANGE_SECONDS
        )


@attrs.frozen
class WaitingDate:
    """Date that a peer sent at `received_at` for a version not yet known."""

    named: NamedWeights
    received_at: float


class DesiredStateCache:
    """Newest desired state, and the weights versions named for each model.

    All times are of the boot clock, as weights also age while a host is
    suspended.
    """

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self.store_clock = store_clocks.StoreClock()
        self.state: desired.DesiredState | None = None
        self._named: dict[str, dict[int, NamingInterval]] = {}
        self._named_before_start: set[tuple[str, int]] = set()
        self._reported: dict[tuple[str, int], NamingInterval] = {}
        self._waiting: dict[tuple[str, int], WaitingDate] = {}
        self._is_first_read = True
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def apply(
        self,
        change: ports.DesiredChange,
        now: float,
        unconfirmed_seconds: float = float('inf'),
        cursor: store_versions.StoreVersion | None = None,
    ) -> bool:
        """Apply a read; return whether it brought a newer version.

        Versions of the state or of weights that are not newer than the known
        ones are ignored. `unconfirmed_seconds` is the time since the store
        confirmed the cache before this read, infinite before the first one: a
        version that the read brings was named within this time. `cursor` is
        that of the read before, None if there is none.
        """
        is_changed = self._apply_state(change.state)
        for model, version in change.weights.items():
            if version > self.get_newest_version(model):
                interval = NamingInterval(
                    after=None,
                    by=now,
                    predecessor=self.get_newest_version(model),
                )
                if not math.isinf(unconfirmed_seconds):
                    interval = self._limit_after(
                        attrs.evolve(
                            interval, after=now - unconfirmed_seconds
                        ),
                        self._find_store_after(change, model, cursor),
                    )
                self._named.setdefault(model, {})[version] = interval
                if self._is_first_read:
                    # It may have been named long ago.
                    self._named_before_start.add((model, version))
                is_changed = True
                self._sink.emit(
                    events.Event.NEWER_WEIGHTS_DESIRED,
                    model=model,
                    version=version,
                    named_within=(
                        None
                        if interval.after is None
                        else round(now - interval.after, 3)
                    ),
                )
                self._report_date(model, version, now, 'store')
                self._apply_waiting(model)
        self._is_first_read = False
        for finding in change.findings:
            self._sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        if is_changed:
            for listener in self._listeners:
                listener()
        return is_changed

    def _find_store_after(
        self,
        change: ports.DesiredChange,
        model: str,
        cursor: store_versions.StoreVersion | None,
    ) -> store_clocks.StoreTime | None:
        """Return when the store had named none of the versions in a read."""
        row = change.weights_rows.get(model)
        if change.weights[model] != self.get_newest_version(model) + 1:
            # The row may have named a version in between before.
            row = cursor and attrs.evolve(cursor, number=cursor.number + 1)
        return None if row is None else self.store_clock.find_time_before(row)

    def _limit_after(
        self,
        interval: NamingInterval,
        store_after: store_clocks.StoreTime | None,
    ) -> NamingInterval:
        """Return an interval that begins at a time of the store, if later."""
        if store_after is None:
            return interval
        after = self.store_clock.find_boot_time(store_after)
        if after is None:
            return interval
        after = min(after, interval.by)
        if interval.after is not None:
            after = max(after, interval.after)
        return attrs.evolve(interval, after=after, store_after=store_after)

    def _apply_waiting(self, model: str) -> None:
        """Apply the dates that peers sent before the version was known."""
        newest = self.get_newest_version(model)
        for key in sorted(self._waiting):
            if key[0] == model and key[1] <= newest:
                waiting = self._waiting.pop(key)
                self.merge_named_weights(waiting.named, waiting.received_at)

    def _apply_state(self, state: desired.DesiredState | None) -> bool:
        known = self.state.version if self.state else 0
        if state is None or state.version <= known:
            return False
        self.state = state
        self._sink.emit(
            events.Event.CONFIGURATION_IN_FORCE,
            number=state.version,
            before=known,
            routes=len(state.routes),
            services=len(state.services),
        )
        return True

    def get_newest_version(self, model: str) -> int:
        """Return the newest version named for a model, 0 if there is none."""
        return max(self._named.get(model, ()), default=0)

    def get_lag_seconds(self, model: str, version: int, now: float) -> float:
        """Return for how many seconds a version may have been outdated.

        It is outdated since any newer version was named; 0 for the newest. The
        time counts from the earliest moment at which that may have been, so it
        is never too short, however late this host learned of it. Where
        `is_lag_known` is false it may be too short: it then counts from the
        first date known, at the latest from the first read of this host.
        """
        newer_named_at = [
            interval.get_earliest()
            for named, interval in self._named.get(model, {}).items()
            if named > version
        ]
        return now - min(newer_named_at) if newer_named_at else 0.0

    def is_lag_known(self, model: str, version: int) -> bool:
        """Return whether it is known since when a version is outdated.

        The dates of newer versions must reach back to it, or another version
        may have been named before them.
        """
        return version >= self.get_newest_version(model) or any(
            interval.after is not None and interval.predecessor <= version
            for named, interval in self._named[model].items()
            if named > version
        )

    def list_named_weights(self, now: float) -> tuple[NamedWeights, ...]:
        """Return the newest versions with known ages, to be sent to peers.

        The ages count from when the versions were known to be named.
        """
        return tuple(
            NamedWeights(
                model,
                version,
                now - versions[version].by,
                versions[version].store_after,
                versions[version].predecessor,
            )
            for model, versions in self._named.items()
            for version in sorted(versions)[-ANNOUNCED_VERSIONS:]
            if (model, version) not in self._named_before_start
        )

    def merge_named_weights(self, named: NamedWeights, now: float) -> None:
        """Apply a version's date from a peer; the narrower one is kept.

        Dates of versions newer than the known ones wait for them: versions
        come only from the operators' documents.
        """
        if named.version > self.get_newest_version(named.model):
            self._keep_waiting(named, now)
            return
        versions = self._named.setdefault(named.model, {})
        self._named_before_start.discard((named.model, named.version))
        named_by = now - named.age_seconds
        interval = versions.get(named.version, NamingInterval(None, named_by))
        versions[named.version] = self._narrow(
            versions, interval.limit_by(named_by), named, now
        )
        self._report_date(named.model, named.version, now, 'peer')

    def _report_date(
        self, model: str, version: int, now: float, source: str
    ) -> None:
        """Log the date of a version unless it is about the one logged last."""
        interval = self._named[model][version]
        reported = self._reported.get((model, version))
        if reported is not None and interval.is_close(reported):
            return
        self._reported[model, version] = interval
        self._sink.emit(
            events.Event.WEIGHTS_DATED,
            model=model,
            version=version,
            after=_round_age(interval.after, now),
            by=_round_age(interval.by, now),
            source=source,
        )

    def _keep_waiting(self, named: NamedWeights, now: float) -> None:
        key = (named.model, named.version)
        known = self._waiting.get(key)
        if known is not None and (known.named.after or not named.after):
            return
        self._waiting[key] = WaitingDate(named, now)
        if len(self._waiting) > MAX_WAITING_DATES:
            del self._waiting[next(iter(self._waiting))]

    def _narrow(
        self,
        versions: abc.Mapping[int, NamingInterval],
        interval: NamingInterval,
        named: NamedWeights,
        received_at: float,
    ) -> NamingInterval:
        """Return an interval that begins at a peer's date, if that holds."""
        if named.predecessor >= named.version or self._is_later(
            named.after, received_at
        ):
            return interval
        narrowed = self._limit_after(interval, named.after)
        if narrowed.after == interval.after or (
            interval.after is not None
            and not _is_dated(
                versions, named.predecessor, interval.predecessor
            )
        ):
            return interval
        return attrs.evolve(narrowed, predecessor=named.predecessor)

    def _is_later(
        self, store_time: store_clocks.StoreTime | None, now: float
    ) -> bool:
        """Return whether a time of the store is later than `now`.

        That is so only if the store's clock was set in between.
        """
        if store_time is None:
            return False
        boot_time = self.store_clock.find_boot_time(store_time)
        return boot_time is not None and boot_time > now

    def get_newest_versions(self) -> dict[str, int]:
        """Return the newest named version of each model."""
        return {model: self.get_newest_version(model) for model in self._named}


def _round_age(time: float | None, now: float) -> float | None:
    return None if time is None else round(now - time, 3)


def _is_dated(
    versions: abc.Mapping[int, NamingInterval], version: int, known: int
) -> bool:
    """Return whether the dates of versions up to `version` reach `known`.

    Else a version after `known` may have been named at an unknown time.
    """
    while version > known:
        interval = versions.get(version)
        if interval is None or interval.after is None:
            return False
        version = interval.predecessor
    return True


ANNOUNCE_SECONDS = 3.0
"""Time for which a change is sent to peers; by then the engine's own entry in
the platform's store shows it."""
LOADING_EXPIRY_SECONDS = 0.8
"""Time after which an engine no longer counts as draining or loading, unless
the host that upgrades it has reported so again."""

ASSUMPTION_SECONDS = 1.0
"""Time for which an assumed version is expected at an engine. The platform's
list and the peers tell of a new version within about a second."""


@attrs.frozen
class ObservedWeights:
    """Weights version that an incarnation of an engine has reported."""

    target: str
    born_ms: int
    model: str
    version: int


class WeightsTracker:
    """Weights versions of engines, and the engines that drain or load."""

    def __init__(self, runtime: interfaces.Runtime) -> None:
        self._runtime = runtime
        self._versions: dict[tuple[str, int], dict[str, int]] = {}
        self._recent: dict[ObservedWeights, float] = {}
        self._loading_until: dict[tuple[str, int], float] = {}
        self._assumed: dict[tuple[str, int, str], tuple[int, float]] = {}
        self._listeners: list[abc.Callable[[str], None]] = []

    def add_listener(self, listener: abc.Callable[[str], None]) -> None:
        """Call `listener` with the name of each engine that has reloaded."""
        self._listeners.append(listener)

    def record(
        self, target: catalog.LiveTarget, model: str, version: int
    ) -> None:
        """Record an engine's version; those of an incarnation only grow."""
        self._assumed.pop((*target.get_incarnation(), model), None)
        if version <= self.get_confirmed(target, model):
            return
        name, born_ms = target.get_incarnation()
        self.merge(ObservedWeights(name, born_ms, model, version))

    def merge(self, observed: ObservedWeights) -> None:
        """Apply a version that this host or a peer has observed."""
        incarnation = (observed.target, observed.born_ms)
        versions = self._versions.setdefault(incarnation, {})
        if observed.version <= versions.get(observed.model, 0):
            return
        is_reload = observed.model in versions
        versions[observed.model] = observed.version
        for listener in self._listeners if is_reload else ():
            listener(observed.target)
        self._recent[observed] = self._runtime.now()
        self._loading_until.pop(incarnation, None)

    def get(self, target: catalog.LiveTarget, model: str) -> int:
        """Return the version to expect at an engine; 0 if unknown.

        It is the confirmed one, or for a short time a newer assumed one.
        """
        confirmed = self.get_confirmed(target, model)
        assumed = self._assumed.get((*target.get_incarnation(), model))
        if assumed is None or assumed[1] <= self._runtime.now():
            return confirmed
        return max(confirmed, assumed[0])

    def get_confirmed(self, target: catalog.LiveTarget, model: str) -> int:
        """Return the version that an engine has stated; 0 if unknown.

        It is the newer of the observed version and that of the engine's
        entry in the platform's store.
        """
        observed = self._versions.get(target.get_incarnation(), {})
        return max(observed.get(model, 0), target.weights.get(model, 0))

    def assume(
        self, target: catalog.LiveTarget, model: str, version: int
    ) -> None:
        """Expect a version at an engine until it states one or time is up."""
        key = (*target.get_incarnation(), model)
        until = self._runtime.now() + ASSUMPTION_SECONDS
        self._assumed[key] = (version, until)

    def list_recent(self) -> tuple[ObservedWeights, ...]:
        """Return the recently observed versions, to be sent to peers."""
        now = self._runtime.now()
        for observed in [
            observed
            for observed, at in self._recent.items()
            if now - at > ANNOUNCE_SECONDS
        ]:
            del self._recent[observed]
        return tuple(self._recent)

    def record_loading(self, incarnation: tuple[str, int]) -> None:
        """Record that an engine is draining or loading, so calls avoid it."""
        self._loading_until[incarnation] = (
            self._runtime.now() + LOADING_EXPIRY_SECONDS
        )

    def is_loading(self, target: catalog.LiveTarget) -> bool:
        """Return whether an engine counts as draining or loading."""
        return self.is_loading_incarnation(target.get_incarnation())

    def is_loading_incarnation(self, incarnation: tuple[str, int]) -> bool:
        """Return whether an incarnation counts as draining or loading."""
        return self._runtime.now() < self._loading_until.get(incarnation, 0.0)

    def forget(self, target: catalog.LiveTarget) -> None:
        """Drop the state of an incarnation that has ended."""
        self._versions.pop(target.get_incarnation(), None)
        for model in target.weights:
            self._assumed.pop((*target.get_incarnation(), model), None)
        self._loading_until.pop(target.get_incarnation(), None)
