"""Queue of a server: few requests run at a time, the others wait."""

from collections import abc
import math
import typing

from twisted.internet import defer
from twisted.internet import reactor


class Run:
    """Request in a queue, from its arrival to the end of its run.

    `begun` fires with whether the run begins, at once if it need not wait;
    `ended` with whether the run reached its end, False if it never began.
    """

    def __init__(
        self, seconds: float, record_begin: abc.Callable[[], None]
    ) -> None:
        self.seconds = seconds
        self.has_begun = False
        self.is_over = False
        self.is_stopped = False
        self.begun: defer.Deferred[bool] = defer.Deferred()
        self.ended: defer.Deferred[bool] = defer.Deferred()
        self._record_begin = record_begin

    def begin(self) -> None:
        """Record the begin."""
        self.has_begun = True
        self._record_begin()
        self.begun.callback(True)

    def end(self, is_stopped: bool) -> None:
        """Record the end; a stopped run has not reached its own."""
        self.is_over = True
        self.is_stopped = is_stopped
        if not self.has_begun:
            self.begun.callback(False)
        self.ended.callback(not is_stopped)


class RunQueue:
    """Queue for `slots` runs at a time, in the order of arrival.

    A request whose caller has left is dropped `linger_seconds` later, never if
    that is infinite.
    """

    def __init__(
        self,
        slots: float = math.inf,
        linger_seconds: float = 0.0,
        clock: typing.Any = reactor,
    ) -> None:
        self._slots = slots
        self._linger_seconds = linger_seconds
        self._clock = clock
        self._running: list[Run] = []
        self._waiting: list[Run] = []
        self._idle_listeners: list[abc.Callable[[], None]] = []

    def count_running(self) -> int:
        """Return the number of requests that run."""
        return len(self._running)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    def add(
        self,
        seconds: float,
        seconds_left: float,
        record_begin: abc.Callable[[], None],
    ) -> Run:
        """Return the run of a request that has arrived.

        It takes `seconds` and is stopped `seconds_left` after its arrival,
        also while it waits.
        """
        run = Run(seconds, record_begin)
        self._waiting.append(run)
        self._begin_next()
        if not run.is_over and not math.isinf(seconds_left):
            self._clock.callLater(seconds_left, self._stop, run)
        return run

    def leave(self, run: Run) -> None:
        """Record that the caller of a request has left."""
        if not run.is_over and not math.isinf(self._linger_seconds):
            self._clock.callLater(self._linger_seconds, self._stop, run)

    def reject_waiting(self) -> None:
        """Drop all requests that have not begun."""
        for run in list(self._waiting):
            self._stop(run)

    def stop_running(self) -> None:
        """Stop all runs."""
        for run in list(self._running):
            self._stop(run)

    def call_when_idle(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` once as soon as nothing runs."""
        self._idle_listeners.append(listener)
        self._begin_next()

    def _begin_next(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            run = self._waiting.pop(0)
            self._running.append(run)
            run.begin()
            if run.seconds:
                self._clock.callLater(run.seconds, self._end, run)
            else:
                self._end(run)
        if not self._running:
            listeners, self._idle_listeners = self._idle_listeners, []
            for listener in listeners:
                listener()

    def _end(self, run: Run, is_stopped: bool = False) -> None:
        if run.is_over:
            return
        for runs in (self._running, self._waiting):
            if run in runs:
                runs.remove(run)
        run.end(is_stopped)
        self._begin_next()

    def _stop(self, run: Run) -> None:
        self._end(run, is_stopped=True)
