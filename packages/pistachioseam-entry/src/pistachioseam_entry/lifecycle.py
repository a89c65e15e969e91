"""State machine of a process: starting, ready, draining, stopped."""

import typing

import attrs
import automat

from pistachioseam import events
from pistachioseam import interfaces


class Lifecycle(typing.Protocol):
    """Inputs of the state machine."""

    def become_ready(self) -> None:
        """Report that a configuration is in force."""

    def drain(self) -> None:
        """Begin a graceful shutdown."""

    def stop(self) -> None:
        """End the graceful shutdown."""

    def get_state(self) -> str:
        """Return the name of the current state."""


@attrs.define
class _Context:
    sink: interfaces.EventSink


_builder = automat.TypeMachineBuilder(Lifecycle, _Context)
_starting = _builder.state('starting')
_ready = _builder.state('ready')
_draining = _builder.state('draining')
_stopped = _builder.state('stopped')


@_starting.upon(Lifecycle.become_ready).to(_ready)
def _log_ready(lifecycle: Lifecycle, context: _Context) -> None:
    context.sink.emit(events.Event.PROCESS_READY)


@_ready.upon(Lifecycle.become_ready).loop()
def _stay_ready(lifecycle: Lifecycle, context: _Context) -> None:
    """Ignore configurations after the first."""


@_draining.upon(Lifecycle.become_ready).loop()
def _stay_draining(lifecycle: Lifecycle, context: _Context) -> None:
    """Ignore configurations during a shutdown."""


@_starting.upon(Lifecycle.drain).to(_draining)
def _drain_before_ready(lifecycle: Lifecycle, context: _Context) -> None:
    context.sink.emit(events.Event.PROCESS_DRAINING)


@_ready.upon(Lifecycle.drain).to(_draining)
def _drain(lifecycle: Lifecycle, context: _Context) -> None:
    context.sink.emit(events.Event.PROCESS_DRAINING)


@_draining.upon(Lifecycle.drain).loop()
def _drain_again(lifecycle: Lifecycle, context: _Context) -> None:
    """Ignore repeated requests to shut down."""


@_draining.upon(Lifecycle.stop).to(_stopped)
def _stop(lifecycle: Lifecycle, context: _Context) -> None:
    context.sink.emit(events.Event.PROCESS_STOPPED)


@_starting.upon(Lifecycle.get_state).loop()
def _get_starting_state(lifecycle: Lifecycle, context: _Context) -> str:
    return 'starting'


@_ready.upon(Lifecycle.get_state).loop()
def _get_ready_state(lifecycle: Lifecycle, context: _Context) -> str:
    return 'ready'


@_draining.upon(Lifecycle.get_state).loop()
def _get_draining_state(lifecycle: Lifecycle, context: _Context) -> str:
    return 'draining'


@_stopped.upon(Lifecycle.get_state).loop()
def _get_stopped_state(lifecycle: Lifecycle, context: _Context) -> str:
    return 'stopped'


_create = _builder.build()


def create_lifecycle(sink: interfaces.EventSink) -> Lifecycle:
    """Return the state machine in the state `starting`."""
    return _create(_Context(sink))
