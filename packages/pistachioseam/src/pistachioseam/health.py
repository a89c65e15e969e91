"""Health of targets, derived from the results of this host's requests."""

import typing

import attrs
import automat

from pistachioseam import events
from pistachioseam import interfaces

INITIAL_PROBE_DELAY_SECONDS = 0.5
MAX_PROBE_DELAY_SECONDS = 8.0
"""Also the time after which a probe without a result is repeated."""
FAILURES_TO_SUSPECT = 1


class TargetHealth(typing.Protocol):
    """State machine of one target: healthy, suspected or probing."""

    def fail(self) -> None:
        """Handle a failure that `HealthTracker.record_failure` records."""

    def succeed(self) -> None:
        """Handle a complete response."""

    def probe(self) -> None:
        """Handle a request sent; to a suspected target it is a probe."""

    def is_usable(self) -> bool:
        """Return whether a request may be sent to the target."""


@attrs.define
class _ProbeSchedule:
    """Probe backoff of a target; times are monotonic seconds."""

    runtime: interfaces.Runtime
    delay_seconds: float = INITIAL_PROBE_DELAY_SECONDS
    next_probe_at: float = 0.0


_builder = automat.TypeMachineBuilder(TargetHealth, _ProbeSchedule)
_healthy = _builder.state('healthy')
_suspected = _builder.state('suspected')
_probing = _builder.state('probing')


@_healthy.upon(TargetHealth.fail).to(_suspected)
def _suspect(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    schedule.delay_seconds = INITIAL_PROBE_DELAY_SECONDS
    schedule.next_probe_at = schedule.runtime.now() + schedule.delay_seconds


@_suspected.upon(TargetHealth.fail).loop()
def _ignore_failure(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    """Ignore the failures of requests sent before the target was suspected."""


@_probing.upon(TargetHealth.fail).to(_suspected)
def _back_off(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    schedule.delay_seconds = min(
        schedule.delay_seconds * 2, MAX_PROBE_DELAY_SECONDS
    )
    schedule.next_probe_at = schedule.runtime.now() + schedule.delay_seconds


@_healthy.upon(TargetHealth.succeed).loop()
def _stay_healthy(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    """Ignore successes of a healthy target."""


@_suspected.upon(TargetHealth.succeed).to(_healthy)
def _recover_without_probe(
    health: TargetHealth, schedule: _ProbeSchedule
) -> None:
    """Recover by a request sent before the target was suspected."""


@_probing.upon(TargetHealth.succeed).to(_healthy)
def _recover(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    """Recover by a successful probe."""


@_healthy.upon(TargetHealth.probe).loop()
def _ignore_probe(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    """Do nothing; only requests to suspected targets are probes."""


@_suspected.upon(TargetHealth.probe).to(_probing)
def _start_probe(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    schedule.next_probe_at = schedule.runtime.now() + MAX_PROBE_DELAY_SECONDS


@_probing.upon(TargetHealth.probe).loop()
def _restart_probe(health: TargetHealth, schedule: _ProbeSchedule) -> None:
    schedule.next_probe_at = schedule.runtime.now() + MAX_PROBE_DELAY_SECONDS


@_healthy.upon(TargetHealth.is_usable).loop()
def _is_healthy(health: TargetHealth, schedule: _ProbeSchedule) -> bool:
    return True


@_suspected.upon(TargetHealth.is_usable).loop()
def _can_probe(health: TargetHealth, schedule: _ProbeSchedule) -> bool:
    return schedule.runtime.now() >= schedule.next_probe_at


@_probing.upon(TargetHealth.is_usable).loop()
def _has_probe_timed_out(
    health: TargetHealth, schedule: _ProbeSchedule
) -> bool:
    return schedule.runtime.now() >= schedule.next_probe_at


_create_health = _builder.build()


class HealthTracker:
    """Health of every target by name; unknown targets are healthy."""

    def __init__(
        self, runtime: interfaces.Runtime, sink: interfaces.EventSink
    ) -> None:
        self._runtime = runtime
        self._sink = sink
        self._health_by_target: dict[str, TargetHealth] = {}
        self._suspected: set[str] = set()

    def _get(self, target: str) -> TargetHealth:
        if target not in self._health_by_target:
            self._health_by_target[target] = _create_health(
                _ProbeSchedule(self._runtime)
            )
        return self._health_by_target[target]

    def is_usable(self, target: str) -> bool:
        """Return whether the target is healthy or may be probed now."""
        return self._get(target).is_usable()

    def record_sent(self, target: str) -> None:
        """Record a request sent; to a suspected target it is a probe."""
        self._get(target).probe()

    def record_failure(self, target: str) -> None:
        """Record a failure of the target.

        It is a connection failure, a timeout, an invalid response or a lost
        stream.
        """
        self._get(target).fail()
        if target not in self._suspected:
            self._suspected.add(target)
            self._sink.emit(events.Event.TARGET_SUSPECTED, target=target)

    def record_success(self, target: str) -> None:
        """Record a complete response."""
        self._get(target).succeed()
        if target in self._suspected:
            self._suspected.discard(target)
            self._sink.emit(events.Event.TARGET_RECOVERED, target=target)

    def forget_failures(self) -> None:
        """Forget all failures, as they were not those of the targets."""
        self._health_by_target.clear()
        for target in sorted(self._suspected):
            self._sink.emit(events.Event.TARGET_RECOVERED, target=target)
        self._suspected.clear()

    def is_suspected(self, target: str) -> bool:
        """Return whether the target is suspected or probing."""
        return target in self._suspected

    def list_suspected(self) -> tuple[str, ...]:
        """Return the sorted names of suspected and probing targets."""
        return tuple(sorted(self._suspected))
