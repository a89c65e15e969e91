"""What targets say in their responses about further requests.

Load pattern: a target that leaves, or that is overloaded, is known to the
hosts that it has responded to before any list of targets shows it. Requests
that it still gets are lost or delayed.
"""

import math

import attrs

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import ports
from pistachioseam import interfaces

DEFAULT_DRAIN_SECONDS = 3.0
DRAIN_MARGIN_SECONDS = 0.5
"""Subtracted from the drain time, for calls that wait before they are sent."""
MAX_PAUSE_SECONDS = 60.0
"""Longest pause that a target can ask for; a longer one is shortened."""
ANNOUNCE_SECONDS = 3.0
"""Time for which a leaving target is reported to peers."""

Incarnation = catalog.Incarnation


@attrs.frozen
class Notice:
    """Part of a response head that concerns further requests.

    `retry_after_seconds` is not a number if the value was malformed, and None
    if there was none.
    """

    is_leaving: bool = False
    retry_after_seconds: float | None = None


def read_notice(head: ports.ResponseHead) -> Notice:
    """Return what a response says about further requests to its target."""
    is_rejection = head.status == 503
    return Notice(
        is_leaving=head.is_leaving,
        retry_after_seconds=head.retry_after_seconds if is_rejection else None,
    )


@attrs.frozen
class LeavingReport:
    """Target that has said that it leaves, and how long ago."""

    incarnation: Incarnation
    age_seconds: float


class TargetNotices:
    """Targets that leave, and targets that have asked for a pause.

    Times are monotonic seconds. `drain_seconds` is the time for which a target
    still accepts calls after it has said that it leaves.
    """

    def __init__(
        self,
        sink: interfaces.EventSink,
        drain_seconds: float = DEFAULT_DRAIN_SECONDS,
    ) -> None:
        self.drain_seconds = drain_seconds
        self._sink = sink
        self._leaving_since: dict[Incarnation, float] = {}
        self._paused_until: dict[Incarnation, float] = {}
        self._odd_values: set[Incarnation] = set()

    def record(
        self, incarnation: Incarnation, notice: Notice, now: float
    ) -> None:
        """Record the notice of a response received at `now`."""
        if notice.is_leaving:
            self.record_leaving(incarnation, now)
        seconds = notice.retry_after_seconds
        if seconds is not None:
            self._record_pause(incarnation, seconds, now)

    def record_leaving(
        self, incarnation: Incarnation, observed_at: float
    ) -> None:
        """Record when a target said that it leaves; the earliest is kept."""
        known = self._leaving_since.get(incarnation)
        if known is not None:
            self._leaving_since[incarnation] = min(known, observed_at)
            return
        self._leaving_since[incarnation] = observed_at
        self._sink.emit(
            events.Event.TARGET_SAID_LEAVING, target=incarnation[0]
        )

    def merge(self, report: LeavingReport, now: float) -> None:
        """Apply a peer's report of a target that leaves."""
        self.record_leaving(report.incarnation, now - report.age_seconds)

    def _record_pause(
        self, incarnation: Incarnation, seconds: float, now: float
    ) -> None:
        if math.isnan(seconds) or seconds > MAX_PAUSE_SECONDS:
            self._report_odd_value(incarnation, seconds)
        if math.isnan(seconds):
            return
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        known = self._paused_until.get(incarnation, 0.0)
        self._paused_until[incarnation] = max(until, known)

    def _report_odd_value(
        self, incarnation: Incarnation, seconds: float
    ) -> None:
        if incarnation in self._odd_values:
            return
        self._odd_values.add(incarnation)
        self._sink.emit(
            events.Event.RETRY_AFTER_ODD,
            target=incarnation[0],
            seconds=str(seconds),
        )

    def is_leaving(self, target: catalog.LiveTarget) -> bool:
        """Return whether a target has said that it leaves."""
        return target.get_incarnation() in self._leaving_since

    def get_pause_seconds(self, incarnation: Incarnation, now: float) -> float:
        """Return for how long a target wants no requests, 0 if it does."""
        return max(0.0, self._paused_until.get(incarnation, 0.0) - now)

    def accepts_calls(self, target: catalog.LiveTarget, now: float) -> bool:
        """Return whether a call may be sent to a target at `now`."""
        incarnation = target.get_incarnation()
        if self.get_pause_seconds(incarnation, now) > 0:
            return False
        leaving_since = self._leaving_since.get(incarnation)
        if leaving_since is None:
            return True
        drain_seconds = self.drain_seconds - DRAIN_MARGIN_SECONDS
        return now - leaving_since < drain_seconds

    def list_recently_leaving(self, now: float) -> tuple[LeavingReport, ...]:
        """Return the leaving targets that peers may not know yet."""
        return tuple(
            LeavingReport(incarnation, now - since)
            for incarnation, since in self._leaving_since.items()
            if now - since < ANNOUNCE_SECONDS
        )

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the notices of an incarnation that has ended."""
        self._leaving_since.pop(incarnation, None)
        self._paused_until.pop(incarnation, None)
        self._odd_values.discard(incarnation)
