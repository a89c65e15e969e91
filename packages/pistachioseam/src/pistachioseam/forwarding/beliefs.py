"""What this host believes of the desired state and of weights versions."""

from collections import abc

import attrs

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam import interfaces


LONG_AGO = float('-inf')
"""Naming time of versions that were there when this host started."""
TOLD_VERSIONS = 3
"""Newest versions whose ages peers are told; engines skip the others."""


@attrs.frozen
class NamedWeights:
    """Version of a model's weights and the time since it was named."""

    model: str
    version: int
    age_seconds: float


class DesiredKeeper:
    """Newest desired state and newest version named for each model."""

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self.state: desired.DesiredState | None = None
        self._named: dict[str, dict[int, float]] = {}
        self._is_first = True
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def apply(self, change: ports.DesiredChange, now: float) -> bool:
        """Move forward to what was read, never back; tell if it was new."""
        is_changed = self._apply_state(change.state)
        for model, version in change.weights.items():
            if version > self.get_named(model):
                # What was there at the start may have been named long ago.
                named_at = LONG_AGO if self._is_first else now
                self._named.setdefault(model, {})[version] = named_at
                is_changed = True
                self._sink.emit(
                    events.Event.WEIGHTS_NAMED, model=model, version=version
                )
        self._is_first = False
        for finding in change.findings:
            self._sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        if is_changed:
            for listener in self._listeners:
                listener()
        return is_changed

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

    def get_named(self, model: str) -> int:
        """Return the newest version named for a model, 0 if none is."""
        return max(self._named.get(model, {0: 0.0}))

    def get_behind_seconds(
        self, model: str, version: int, now: float
    ) -> float:
        """Return how long a version has been replaced; 0 if it is not."""
        since = [
            named_at
            for named, named_at in self._named.get(model, {}).items()
            if named > version
        ]
        return now - min(since) if since else 0.0

    def is_age_known(self, model: str, version: int) -> bool:
        """Tell whether it is known when a version was replaced."""
        return LONG_AGO not in [
            named_at
            for named, named_at in self._named.get(model, {}).items()
            if named > version
        ]

    def list_ages(self, now: float) -> tuple[NamedWeights, ...]:
        """Return the newest versions with known ages, for peers."""
        return tuple(
            NamedWeights(model, version, now - named_at)
            for model, versions in self._named.items()
            for version, named_at in sorted(versions.items())[-TOLD_VERSIONS:]
            if named_at != LONG_AGO
        )

    def merge_age(self, named: NamedWeights, now: float) -> None:
        """Take in when a peer has learned of a version."""
        versions = self._named.get(named.model, {})
        if named.version > self.get_named(named.model):
            return
        known = versions.get(named.version, LONG_AGO)
        named_at = now - named.age_seconds
        if known == LONG_AGO or named_at < known:
            versions[named.version] = named_at

    def list_named(self) -> dict[str, int]:
        """Return the newest version of each model."""
        return {model: self.get_named(model) for model in self._named}


RECENT_SECONDS = 3.0
"""Time for which peers are told of a change; entries in the store follow."""
LOADING_SECONDS = 0.8
"""A word that an engine is loading is repeated before this has passed."""


@attrs.frozen
class SeenWeights:
    """Version that an incarnation of an engine was seen to run."""

    target: str
    born_ms: int
    model: str
    version: int


class WeightsBoard:
    """Versions that engines were seen to run, and engines that load."""

    def __init__(self, runtime: interfaces.Runtime) -> None:
        self._runtime = runtime
        self._seen: dict[tuple[str, int], dict[str, int]] = {}
        self._changed: dict[SeenWeights, float] = {}
        self._loading: dict[tuple[str, int], float] = {}
        self._listeners: list[abc.Callable[[str], None]] = []

    def add_listener(self, listener: abc.Callable[[str], None]) -> None:
        """Call `listener` with the name of an engine that has reloaded."""
        self._listeners.append(listener)

    def note(
        self, target: catalog.LiveTarget, model: str, version: int
    ) -> None:
        """Note a version; versions of an incarnation only grow."""
        if version <= self.get(target, model):
            return
        name, born_ms = target.get_incarnation()
        self.merge(SeenWeights(name, born_ms, model, version))

    def merge(self, seen: SeenWeights) -> None:
        """Take in what this host or a peer has seen."""
        incarnation = (seen.target, seen.born_ms)
        versions = self._seen.setdefault(incarnation, {})
        if seen.version <= versions.get(seen.model, 0):
            return
        is_reload = seen.model in versions
        versions[seen.model] = seen.version
        for listener in self._listeners if is_reload else ():
            listener(seen.target)
        self._changed[seen] = self._runtime.now()
        self._loading.pop(incarnation, None)

    def get(self, target: catalog.LiveTarget, model: str) -> int:
        """Return the newest version seen or listed; 0 if unknown."""
        seen = self._seen.get(target.get_incarnation(), {})
        return max(seen.get(model, 0), target.weights.get(model, 0))

    def list_recent(self) -> tuple[SeenWeights, ...]:
        """Return what was seen lately, for peers."""
        now = self._runtime.now()
        for seen in [
            seen
            for seen, at in self._changed.items()
            if now - at > RECENT_SECONDS
        ]:
            del self._changed[seen]
        return tuple(self._changed)

    def note_loading(self, incarnation: tuple[str, int]) -> None:
        """Note that an engine takes no new runs while it loads."""
        self._loading[incarnation] = self._runtime.now() + LOADING_SECONDS

    def is_loading(self, target: catalog.LiveTarget) -> bool:
        """Tell whether an engine was lately said to load."""
        return self.is_loading_incarnation(target.get_incarnation())

    def is_loading_incarnation(self, incarnation: tuple[str, int]) -> bool:
        """Tell whether an incarnation was lately said to load."""
        return self._runtime.now() < self._loading.get(incarnation, 0.0)

    def forget(self, target: catalog.LiveTarget) -> None:
        """Drop an incarnation that has ended."""
        self._seen.pop(target.get_incarnation(), None)
        self._loading.pop(target.get_incarnation(), None)
