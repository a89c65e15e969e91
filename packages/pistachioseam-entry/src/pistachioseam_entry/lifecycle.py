"""Life of a process from start to the end of its graceful shutdown."""

import typing

import attrs
import automat

from pistachioseam import events
from pistachioseam import interfaces


class Lifecycle(typing.Protocol):
    """Inputs of the process's life."""

    def become_ready(self) -> None:
        """A configuration is in force."""

    def drain(self) -> None:
        """A planned stop was asked for."""

    def stop(self) -> None:
        """All requests have ended."""

    def get_state(self) -> str:
        """Return the name of the state."""


@attrs.define
class _Process:
    sink: interfaces.EventSink


_builder = automat.TypeMachineBuilder(Lifecycle, _Process)
_starting = _builder.state('starting')
_ready = _builder.state('ready')
_draining = _builder.state('draining')
_stopped = _builder.state('stopped')


@_starting.upon(Lifecycle.become_ready).to(_ready)
def _announce_ready(life: Lifecycle, process: _Process) -> None:
    process.sink.emit(events.Event.PROCESS_READY)


@_ready.upon(Lifecycle.become_ready).loop()
def _stay_ready(life: Lifecycle, process: _Process) -> None:
    """Stay ready."""


@_draining.upon(Lifecycle.become_ready).loop()
def _stay_draining(life: Lifecycle, process: _Process) -> None:
    """Go on draining."""


@_starting.upon(Lifecycle.drain).to(_draining)
def _drain_early(life: Lifecycle, process: _Process) -> None:
    process.sink.emit(events.Event.PROCESS_DRAINING)


@_ready.upon(Lifecycle.drain).to(_draining)
def _drain(life: Lifecycle, process: _Process) -> None:
    process.sink.emit(events.Event.PROCESS_DRAINING)


@_draining.upon(Lifecycle.drain).loop()
def _drain_again(life: Lifecycle, process: _Process) -> None:
    """Go on draining."""


@_draining.upon(Lifecycle.stop).to(_stopped)
def _stop(life: Lifecycle, process: _Process) -> None:
    process.sink.emit(events.Event.PROCESS_STOPPED)


@_starting.upon(Lifecycle.get_state).loop()
def _name_starting(life: Lifecycle, process: _Process) -> str:
    return 'starting'


@_ready.upon(Lifecycle.get_state).loop()
def _name_ready(life: Lifecycle, process: _Process) -> str:
    return 'ready'


@_draining.upon(Lifecycle.get_state).loop()
def _name_draining(life: Lifecycle, process: _Process) -> str:
    return 'draining'


@_stopped.upon(Lifecycle.get_state).loop()
def _name_stopped(life: Lifecycle, process: _Process) -> str:
    return 'stopped'


_create = _builder.build()


def create_lifecycle(sink: interfaces.EventSink) -> Lifecycle:
    """Return the life of a process that has just started."""
    return _create(_Process(sink))
