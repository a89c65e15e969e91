"""What this host believes of the desired state and of weights versions."""

from collections import abc

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam import interfaces


class DesiredKeeper:
    """Newest desired state and newest version named for each model."""

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self.state: desired.DesiredState | None = None
        self._named: dict[str, int] = {}
        self._named_at: dict[str, float] = {}
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def apply(self, change: ports.DesiredChange, now: float) -> None:
        """Move forward to what was read; never back."""
        is_changed = self._apply_state(change.state)
        for model, version in change.weights.items():
            if version > self._named.get(model, 0):
                self._named[model] = version
                self._named_at[model] = now
                is_changed = True
                self._sink.emit(
                    events.Event.WEIGHTS_NAMED, model=model, version=version
                )
        for finding in change.findings:
            self._sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        if is_changed:
            for listener in self._listeners:
                listener()

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
        return self._named.get(model, 0)

    def get_named_age(self, model: str, now: float) -> float:
        """Return the seconds since the newest version became known."""
        return now - self._named_at.get(model, now)

    def list_named(self) -> dict[str, int]:
        """Return the newest version of each model."""
        return dict(self._named)


class WeightsBoard:
    """Weights version that each incarnation of an engine was seen to run."""

    def __init__(self) -> None:
        self._seen: dict[tuple[str, int], dict[str, int]] = {}

    def note(
        self, target: catalog.LiveTarget, model: str, version: int
    ) -> None:
        """Note a version; versions of an incarnation only grow."""
        versions = self._seen.setdefault(target.get_incarnation(), {})
        versions[model] = max(version, versions.get(model, 0))

    def get(self, target: catalog.LiveTarget, model: str) -> int:
        """Return the newest version seen or listed; 0 if unknown."""
        seen = self._seen.get(target.get_incarnation(), {})
        return max(seen.get(model, 0), target.weights.get(model, 0))

    def forget(self, target: catalog.LiveTarget) -> None:
        """Drop an incarnation that has ended."""
        self._seen.pop(target.get_incarnation(), None)
