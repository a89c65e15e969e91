"""Questions of a host to the coordinators of engines.

See `pistachioseam.forwarding.coordination`.
"""

from collections import abc
import typing

import attrs

from pistachioseam import events
from pistachioseam.forwarding import admission_order
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import coordination
from pistachioseam import interfaces
from pistachioseam import membership
from pistachioseam.placement import rendezvous

ANSWER_MARGIN_SECONDS = 0.15
"""Time beyond the round trip in which a coordinator answers."""
MIN_SUSPICION_SECONDS = 2.0
MAX_SUSPICION_SECONDS = 30.0
"""Bounds of the time for which a coordinator that did not answer is not asked,
doubled each time."""
UNANSWERED_BACKLOG_SECONDS = 0.5
"""Backlog assumed of an engine whose coordinators do not answer, so that hosts
without a view of its queue prefer other engines."""
VIEW_SECONDS = 0.5
"""Age up to which an answer tells the backlog of an engine."""


class CoordinatorLink(typing.Protocol):
    """Access to the hosts of the fleet, and messages to them."""

    def is_enabled(self) -> bool:
        """Return whether the fleet is large enough for coordinators."""

    def list_coordinators(self, domain: str) -> abc.Sequence[membership.Peer]:
        """Return the hosts of a domain that may be up, this one included."""

    async def ask(
        self,
        peer: membership.Peer,
        question: coordination.Question,
        seconds: float,
    ) -> coordination.Answer | None:
        """Return the answer of a host, None without one in time."""

    def report(
        self, peer: membership.Peer, progress: coordination.Progress
    ) -> None:
        """Tell a host of the progress of calls that it has admitted."""


@attrs.frozen
class Ticket:
    """Admission of one call to an engine, to be reported when it ends.

    `expected_seconds` is the expected time to the first byte.
    """

    key: int
    coordinator: membership.Peer
    target: str
    expected_seconds: float


@attrs.frozen(kw_only=True)
class Admission:
    """Result of asking; `ticket` is None unless the call was admitted."""

    ticket: Ticket | None
    expected_seconds: float


@attrs.define
class _Suspicion:
    until: float
    seconds: float


@attrs.define
class _View:
    backlog_seconds: float
    at: float


class CoordinatorClient:
    """Asks coordinators for this host; times are monotonic seconds."""

    def __init__(
        self,
        runtime: interfaces.Runtime,
        link: CoordinatorLink,
        rendezvous_hash: rendezvous.RendezvousHash,
        get_latency: abc.Callable[[str], float],
        sink: interfaces.EventSink,
    ) -> None:
        self._runtime = runtime
        self._sink = sink
        self._link = link
        self._rendezvous_hash = rendezvous_hash
        self._get_latency = get_latency
        self._suspicions: dict[str, _Suspicion] = {}
        self._views: dict[str, _View] = {}
        self.unanswered = 0

    def is_enabled(self) -> bool:
        """Return whether coordinators admit calls in this fleet."""
        return self._link.is_enabled()

    async def ask(
        self, target: catalog.LiveTarget, question: coordination.Question
    ) -> Admission | None:
        """Return the decision of the engine's coordinator, None without one.

        The next host of the order is asked if the first does not answer.
        """
        seconds = (
            question.max_wait_seconds
            + 2 * self._get_latency(target.domain)
            + ANSWER_MARGIN_SECONDS
        )
        started_at = self._runtime.now()
        for peer in self._choose_coordinators(target):
            asked_at = self._runtime.now()
            answer = None
            try:
                answer = await self._link.ask(
                    peer, question.spend(asked_at - started_at), seconds
                )
            finally:
                if answer is None:
                    # The answer may be under way.
                    self._link.report(
                        peer, coordination.Progress(ended=(question.key,))
                    )
            if answer is None:
                self._suspect(peer, self._runtime.now())
                self._sink.emit(
                    events.Event.COORDINATOR_UNANSWERED,
                    coordinator=peer.name,
                    target=target.name,
                    seconds=round(self._runtime.now() - asked_at, 3),
                )
                continue
            self._suspicions.pop(peer.name, None)
            if not answer.is_engine_known:
                continue
            self._record_view(target.name, question, answer)
            ticket = None
            if answer.is_granted:
                ticket = Ticket(
                    question.key,
                    answer.coordinator or peer,
                    target.name,
                    answer.expected_seconds,
                )
            return Admission(
                ticket=ticket, expected_seconds=answer.expected_seconds
            )
        self._views[target.name] = _View(
            UNANSWERED_BACKLOG_SECONDS, self._runtime.now()
        )
        return None

    def report_begun(self, ticket: Ticket) -> None:
        """Report that the first byte of an admitted call has arrived."""
        self._link.report(
            ticket.coordinator, coordination.Progress(begun=(ticket.key,))
        )

    def report_ended(self, ticket: Ticket) -> None:
        """Report that an admitted call has ended, or will not be sent."""
        self._link.report(
            ticket.coordinator, coordination.Progress(ended=(ticket.key,))
        )

    def get_backlog_seconds(self, target: str, now: float) -> float | None:
        """Return an engine's prefill work by a recent answer, else None."""
        view = self._views.get(target)
        if view is None or now - view.at > VIEW_SECONDS:
            return None
        return max(0.0, view.backlog_seconds - (now - view.at))

    def forget(self, target: str) -> None:
        """Drop what is known of an engine whose incarnation has ended."""
        self._views.pop(target, None)

    def _record_view(
        self,
        target: str,
        question: coordination.Question,
        answer: coordination.Answer,
    ) -> None:
        backlog = answer.expected_seconds
        if not answer.is_granted:
            backlog -= (
                question.prefill_tokens
                / admission_order.PREFILL_TOKENS_PER_SECOND
            )
        now = self._runtime.now()
        self._views[target] = _View(max(0.0, backlog), now)

    def _choose_coordinators(
        self, target: catalog.LiveTarget
    ) -> list[membership.Peer]:
        now = self._runtime.now()
        trusted = [
            peer
            for peer in self._link.list_coordinators(target.domain)
            if peer.name not in self._suspicions
            or self._suspicions[peer.name].until <= now
        ]
        return coordination.rank_coordinators(
            target.name, trusted, self._rendezvous_hash
        )

    def _suspect(self, peer: membership.Peer, now: float) -> None:
        self.unanswered += 1
        former = self._suspicions.get(peer.name)
        seconds = MIN_SUSPICION_SECONDS
        if former is not None:
            seconds = min(MAX_SUSPICION_SECONDS, former.seconds * 2)
        self._suspicions[peer.name] = _Suspicion(now + seconds, seconds)
