"""Targets that fall over if they have to reject many calls.

Load pattern: the targets of a service let few calls wait, and one that rejects
more than some calls a second for want of room crashes. Each host sees only a
part of a target's calls, and the loads that hosts report are older than a call
lasts. So after a rejection, which hosts tell each other at once, all hosts
leave the target alone for a while. Then each paces its calls to it: at less
than it sent before, and slowly more while none is rejected.
"""

import collections
from collections import abc
import math

import attrs

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import ports
from pistachioseam import interfaces

REJECTION_STATUSES = (429, 503)
"""Statuses of calls that a target has not run for want of room."""
REJECTIONS_PER_PAUSE = 3.0
"""Calls that hosts may have sent to a full target before all know that it is
full; the pause is as long as the target bears so many rejections."""
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 3.0
MIN_WAIT_SECONDS = 0.04
"""Shortest wait of a paced call."""
MAX_REJECTION_ID = 2**52
REJECTION_MEMORY_SECONDS = 10.0
"""Time for which a rejection is known; no host repeats it for so long."""
SEND_WINDOW_SECONDS = 2.0
"""Time over which a host's calls to a target are counted."""
PACE_DECREASE = 0.6
"""Factor of the pace after a rejection; it clears the queue of the target."""
PACE_GROWTH_PER_SECOND = 0.08
"""Growth of the pace, so that the targets' room is found again. A rejection
then follows some six seconds after the last."""
MIN_PACE = 0.2
"""Least calls a second of one host to one target."""
PACE_EXPIRY_SECONDS = 20.0
"""Time without a rejection after which calls are no longer paced."""

Incarnation = catalog.Incarnation


@attrs.frozen
class FullTarget:
    """Target that rejected a call, and for how long it gets no more.

    `rejection_id` tells the rejection from others; each counts once, however
    often and late hosts repeat it.
    """

    incarnation: Incarnation
    pause_seconds: float
    rejection_id: int


@attrs.define
class _Pace:
    """Token bucket for one call, of this host's calls to one target."""

    rate: float
    updated_at: float
    lowered_at: float
    tokens: float

    def update(self, now: float) -> None:
        elapsed_seconds = now - self.updated_at
        self.tokens = min(1.0, self.tokens + elapsed_seconds * self.rate)
        self.rate *= math.exp(PACE_GROWTH_PER_SECOND * elapsed_seconds)
        self.updated_at = now


@attrs.frozen
class _Brittleness:
    max_rejections: float
    observed_at: float


class BrittleTargets:
    """Services whose targets are brittle; times are monotonic seconds."""

    def __init__(
        self, sink: interfaces.EventSink, random: interfaces.RandomSource
    ) -> None:
        self._sink = sink
        self._random = random
        self._services: dict[str, _Brittleness] = {}
        self._full_until: dict[Incarnation, float] = {}
        self._last: dict[Incarnation, int] = {}
        self._rejections: dict[int, float] = {}
        self._odd_services: set[str] = set()
        self._sent_at: dict[Incarnation, collections.deque[float]] = {}
        self._paces: dict[Incarnation, _Pace] = {}
        self._listeners: list[abc.Callable[[], None]] = []

    def record_sent(self, target: catalog.LiveTarget, now: float) -> None:
        """Record a call that this host sends to a target."""
        if target.service not in self._services:
            return
        incarnation = target.get_incarnation()
        sent_at = self._sent_at.setdefault(incarnation, collections.deque())
        sent_at.append(now)
        while sent_at[0] < now - SEND_WINDOW_SECONDS:
            sent_at.popleft()
        pace = self._find_pace(incarnation, now)
        if pace is not None:
            pace.tokens -= 1.0

    def _lower_pace(
        self, incarnation: Incarnation, severity: float, now: float
    ) -> None:
        sent_at = self._sent_at.get(incarnation, ())
        since = now - SEND_WINDOW_SECONDS
        rate = sum(at >= since for at in sent_at) / SEND_WINDOW_SECONDS
        pace = self._find_pace(incarnation, now)
        if pace is not None:
            rate = pace.rate
        factor = PACE_DECREASE ** min(1.0, severity)
        rate = max(MIN_PACE, rate * factor)
        # All hosts lower their paces at the same time; their next calls must
        # not come together.
        tokens = self._random.random()
        self._paces[incarnation] = _Pace(rate, now, now, tokens)

    def _find_pace(self, incarnation: Incarnation, now: float) -> _Pace | None:
        """Return the pace of a target as of now, None if it has expired."""
        pace = self._paces.get(incarnation)
        if pace is None:
            return None
        if now - pace.lowered_at > PACE_EXPIRY_SECONDS:
            del self._paces[incarnation]
            return None
        pace.update(now)
        return pace

    def _get_pace_seconds(self, incarnation: Incarnation, now: float) -> float:
        """Return the time until the pace allows a call, 0 if it does."""
        pace = self._find_pace(incarnation, now)
        if pace is None:
            return 0.0
        if pace.tokens >= 1.0:
            return 0.0
        return max(MIN_WAIT_SECONDS, (1.0 - pace.tokens) / pace.rate)

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` when a target has become full."""
        self._listeners.append(listener)

    def record_response(
        self,
        target: catalog.LiveTarget,
        received: ports.ReceivedHead,
        now: float,
    ) -> None:
        """Record what a response received at `now` says.

        All targets of a service say the same. A response without the statement
        ends it only if its call was sent after the last one with it.
        """
        head = received.head
        limit = head.max_rejections
        known = self._services.get(target.service)
        if limit is not None and math.isnan(limit):
            self._report_odd_value(target)
        elif limit is not None:
            self._services[target.service] = _Brittleness(limit, now)
        elif (
            known is not None
            and received.is_own
            and received.sent_at > known.observed_at
        ):
            del self._services[target.service]
        current = self._services.get(target.service)
        before = known.max_rejections if known else None
        after = current.max_rejections if current else None
        if before != after:
            self._sink.emit(
                events.Event.TARGETS_BRITTLE,
                service=target.service,
                max_rejections=after,
                before=before,
            )
        if (
            current is not None
            and head.is_not_run
            and head.status in REJECTION_STATUSES
        ):
            self._record_rejection(target, current, now)

    def _record_rejection(
        self, target: catalog.LiveTarget, known: _Brittleness, now: float
    ) -> None:
        seconds = REJECTIONS_PER_PAUSE / max(1.0, known.max_rejections)
        seconds = min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, seconds))
        self._sink.emit(
            events.Event.TARGET_FULL,
            target=target.name,
            pause=round(seconds, 2),
        )
        rejection_id = int(self._random.random() * MAX_REJECTION_ID)
        self.merge(
            FullTarget(target.get_incarnation(), seconds, rejection_id), now
        )

    def _report_odd_value(self, target: catalog.LiveTarget) -> None:
        if target.service not in self._odd_services:
            self._odd_services.add(target.service)
            self._sink.emit(events.Event.TARGET_LIMIT_ODD, target=target.name)

    def merge(self, full: FullTarget, now: float) -> None:
        """Record that a target is full, as seen by this host or a peer."""
        if full.rejection_id in self._rejections:
            return
        self._rejections[full.rejection_id] = now
        self._forget_old_rejections(now)
        until = now + min(full.pause_seconds, MAX_PAUSE_SECONDS)
        known = self._full_until.get(full.incarnation, 0.0)
        self._full_until[full.incarnation] = max(until, known)
        if known > now:
            return
        self._last[full.incarnation] = full.rejection_id
        self._lower_pace(full.incarnation, full.pause_seconds, now)
        for listener in self._listeners:
            listener()

    def _forget_old_rejections(self, now: float) -> None:
        while len(self._rejections) > 1:
            rejection_id = next(iter(self._rejections))
            if now - self._rejections[rejection_id] < REJECTION_MEMORY_SECONDS:
                return
            del self._rejections[rejection_id]

    def list_full(self, now: float) -> abc.Iterator[FullTarget]:
        """Yield the targets that are full, to be sent to peers."""
        for incarnation, until in self._full_until.items():
            if until > now:
                yield FullTarget(
                    incarnation, until - now, self._last[incarnation]
                )

    def get_pause_seconds(
        self, target: catalog.LiveTarget, now: float
    ) -> float:
        """Return how long a target gets no calls of this host, or 0."""
        if target.service not in self._services:
            return 0.0
        full_until = self._full_until.get(target.get_incarnation(), 0.0)
        if full_until > now:
            return full_until - now
        return self._get_pace_seconds(target.get_incarnation(), now)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is known of an incarnation that has ended."""
        self._full_until.pop(incarnation, None)
        self._last.pop(incarnation, None)
        self._sent_at.pop(incarnation, None)
        self._paces.pop(incarnation, None)
