"""Health of targets as this host sees it."""

import typing

import attrs
import automat

from pistachioseam import events
from pistachioseam import interfaces

FIRST_PROBE_SECONDS = 0.5
LAST_PROBE_SECONDS = 8.0
FAILURES_TO_SUSPECT = 1


class Health(typing.Protocol):
    """Inputs of the health of one target."""

    def fail(self) -> None:
        """Note a broken or refused connection."""

    def succeed(self) -> None:
        """Note a whole answer."""

    def probe(self) -> None:
        """Note that one request was let through to a suspected target."""

    def is_usable(self) -> bool:
        """Tell whether requests may be placed here."""


@attrs.define
class _Track:
    """Probe schedule of a target; times are monotonic seconds."""

    runtime: interfaces.Runtime
    delay: float = FIRST_PROBE_SECONDS
    retry_at: float = 0.0


_builder = automat.TypeMachineBuilder(Health, _Track)
_healthy = _builder.state('healthy')
_suspected = _builder.state('suspected')
_probing = _builder.state('probing')


@_healthy.upon(Health.fail).to(_suspected)
def _begin_suspicion(health: Health, track: _Track) -> None:
    track.delay = FIRST_PROBE_SECONDS
    track.retry_at = track.runtime.now() + track.delay


@_suspected.upon(Health.fail).loop()
def _stay_suspected(health: Health, track: _Track) -> None:
    """Ignore failures of requests that were sent before the suspicion."""


@_probing.upon(Health.fail).to(_suspected)
def _lengthen_suspicion(health: Health, track: _Track) -> None:
    track.delay = min(track.delay * 2, LAST_PROBE_SECONDS)
    track.retry_at = track.runtime.now() + track.delay


@_healthy.upon(Health.succeed).loop()
def _stay_healthy(health: Health, track: _Track) -> None:
    """Stay healthy."""


@_suspected.upon(Health.succeed).to(_healthy)
def _recover_late(health: Health, track: _Track) -> None:
    """Recover through a request sent before the suspicion."""


@_probing.upon(Health.succeed).to(_healthy)
def _recover(health: Health, track: _Track) -> None:
    """Recover through the probe."""


@_healthy.upon(Health.probe).loop()
def _probe_healthy(health: Health, track: _Track) -> None:
    """Send without limit to a healthy target."""


@_suspected.upon(Health.probe).to(_probing)
def _begin_probe(health: Health, track: _Track) -> None:
    track.retry_at = track.runtime.now() + LAST_PROBE_SECONDS


@_probing.upon(Health.probe).loop()
def _probe_again(health: Health, track: _Track) -> None:
    track.retry_at = track.runtime.now() + LAST_PROBE_SECONDS


@_healthy.upon(Health.is_usable).loop()
def _is_healthy(health: Health, track: _Track) -> bool:
    return True


@_suspected.upon(Health.is_usable).loop()
def _is_probe_due(health: Health, track: _Track) -> bool:
    return track.runtime.now() >= track.retry_at


@_probing.upon(Health.is_usable).loop()
def _is_next_probe_due(health: Health, track: _Track) -> bool:
    return track.runtime.now() >= track.retry_at


_create_health = _builder.build()


class HealthBoard:
    """Health of every target by name; unknown targets are healthy."""

    def __init__(
        self, runtime: interfaces.Runtime, sink: interfaces.EventSink
    ) -> None:
        self._runtime = runtime
        self._sink = sink
        self._healths: dict[str, Health] = {}
        self._suspected: set[str] = set()

    def _get(self, target: str) -> Health:
        if target not in self._healths:
            self._healths[target] = _create_health(_Track(self._runtime))
        return self._healths[target]

    def is_usable(self, target: str) -> bool:
        """Tell whether the target is healthy or due for a probe."""
        return self._get(target).is_usable()

    def note_sent(self, target: str) -> None:
        """Note a request on its way; on a suspect it is the probe."""
        self._get(target).probe()

    def note_failure(self, target: str) -> None:
        """Note a broken connection."""
        self._get(target).fail()
        if target not in self._suspected:
            self._suspected.add(target)
            self._sink.emit(events.Event.TARGET_SUSPECTED, target=target)

    def note_success(self, target: str) -> None:
        """Note a whole answer or a first piece."""
        self._get(target).succeed()
        if target in self._suspected:
            self._suspected.discard(target)
            self._sink.emit(events.Event.TARGET_RECOVERED, target=target)

    def is_suspected(self, target: str) -> bool:
        """Tell whether the target is not healthy, probe due or not."""
        return target in self._suspected

    def list_suspected(self) -> tuple[str, ...]:
        """Return the names of targets that are not healthy."""
        return tuple(sorted(self._suspected))
