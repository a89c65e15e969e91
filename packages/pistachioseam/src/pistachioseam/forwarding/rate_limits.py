"""Request rates that targets in need have asked the whole fleet to keep to.

Load pattern: a target that is short of something states in its responses how
many requests a second it takes from all hosts together. Each host gets only
some of these responses, so hosts tell each other.
"""

from collections import abc
import math

import attrs

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import ports
from pistachioseam import interfaces

ANNOUNCE_SECONDS = 3.0
"""Age up to which an observation is reported to peers."""
LIFT_MARGIN_SECONDS = 1.0
"""Added to the age of a lifted limit that a peer reports. The time that the
message took is unknown, and the limit may have been stated again in it."""

Incarnation = catalog.Incarnation


@attrs.frozen(kw_only=True)
class LimitReport:
    """Limit of a target as a host has observed it, and how long ago.

    `rate` is in requests a second from all hosts; None if the target had no
    limit any more.
    """

    incarnation: Incarnation
    rate: float | None
    age_seconds: float


@attrs.frozen
class _Observation:
    rate: float | None
    observed_at: float


class RateLimits:
    """Newest known limit of each target; times are monotonic seconds."""

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self._observations: dict[Incarnation, _Observation] = {}
        self._odd_values: set[Incarnation] = set()

    def record_response(
        self,
        incarnation: Incarnation,
        received: ports.ReceivedHead,
        now: float,
    ) -> None:
        """Record what a response received at `now` says about the limit.

        A response without a limit lifts a known one only if it is the one to
        a caller's request that was sent after the limit was last stated.
        """
        rate = received.head.max_request_rate
        if rate is None:
            if received.is_own and incarnation in self._observations:
                self._apply(incarnation, None, received.sent_at)
        elif math.isnan(rate):
            self._report_odd_value(incarnation)
        else:
            self._apply(incarnation, rate, now)

    def merge(self, report: LimitReport, now: float) -> None:
        """Apply what a peer has observed, unless this host knows better."""
        age_seconds = report.age_seconds
        if report.rate is None:
            age_seconds += LIFT_MARGIN_SECONDS
        self._apply(report.incarnation, report.rate, now - age_seconds)

    def _apply(
        self, incarnation: Incarnation, rate: float | None, at: float
    ) -> None:
        known = self._observations.get(incarnation)
        if known is not None and at <= known.observed_at:
            return
        self._observations[incarnation] = _Observation(rate, at)
        before = known.rate if known else None
        if rate != before:
            self._sink.emit(
                events.Event.TARGET_LIMIT_CHANGED,
                target=incarnation[0],
                requests_per_second=rate,
                before=before,
            )

    def _report_odd_value(self, incarnation: Incarnation) -> None:
        if incarnation not in self._odd_values:
            self._odd_values.add(incarnation)
            self._sink.emit(
                events.Event.TARGET_LIMIT_ODD, target=incarnation[0]
            )

    def get(self, incarnation: Incarnation) -> float | None:
        """Return a target's limit in requests a second, None without one."""
        known = self._observations.get(incarnation)
        return known.rate if known else None

    def get_report(
        self, incarnation: Incarnation, now: float
    ) -> LimitReport | None:
        """Return the newest observation of a target, None without one."""
        known = self._observations.get(incarnation)
        if known is None:
            return None
        return LimitReport(
            incarnation=incarnation,
            rate=known.rate,
            age_seconds=max(0.0, now - known.observed_at),
        )

    def list_reports(
        self, now: float, max_age_seconds: float = ANNOUNCE_SECONDS
    ) -> abc.Iterator[LimitReport]:
        """Yield the recent observations, to be sent to peers."""
        for incarnation in self._observations:
            report = self.get_report(incarnation, now)
            if report is not None and report.age_seconds <= max_age_seconds:
                yield report

    def count_limited(self) -> int:
        """Return the number of targets with a limit."""
        return sum(
            known.rate is not None for known in self._observations.values()
        )

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the limit of an incarnation that has ended."""
        self._observations.pop(incarnation, None)
        self._odd_values.discard(incarnation)
