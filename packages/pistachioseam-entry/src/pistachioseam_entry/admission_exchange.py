"""Questions to the coordinators of engines, and the answers of this one.

See `pistachioseam.forwarding.coordination`.
"""

from collections import abc
import typing

import attrs

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import coordination
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import router as routers
from pistachioseam import membership
from pistachioseam_entry import admission_messages
from pistachioseam_entry import coalescing
from pistachioseam_entry import permit_exchange
from pistachioseam_peer.generated import messages_pb2

REPORT_DELAY_SECONDS = 0.02
"""Time for which progress is collected before it is reported."""

PASS_ON_SECONDS = 0.1
"""Time beyond the wait of a question in which the coordinator answers another
host of its domain."""

Send: typing.TypeAlias = abc.Callable[[str, messages_pb2.Message], None]
"""Sends a one-way message to an address."""


class AdmissionExchange:
    """Link of this host to the coordinators; it is one of them itself.

    `get_view` returns the fleet as this host sees it, `create_message` an
    empty message of this host. Hosts of older builds take questions for an
    empty status, so messages have this host's version.
    """

    def __init__(
        self,
        router: routers.CallRouter,
        get_view: abc.Callable[[], contacts.FleetView],
        create_message: abc.Callable[[], messages_pb2.Message],
        exchange: permit_exchange.Exchange,
        send: Send,
    ) -> None:
        self._router = router
        self._get_view = get_view
        self._create_message = create_message
        self._exchange = exchange
        self._send = send
        self._begun: dict[str, list[int]] = {}
        self._ended: dict[str, list[int]] = {}
        self._timer = coalescing.CoalescingTimer(
            router.runtime, REPORT_DELAY_SECONDS, self._send_reports
        )
        self.coordinator = coordination.Coordinator(
            router.runtime,
            self._find_engine,
            lambda target: router.loads.get(target, router.runtime.now()),
        )
        router.catalog.add_listener(self._forget)

    def _forget(self, target: catalog.LiveTarget) -> None:
        """Drop what is known of an engine whose incarnation has ended."""
        self.coordinator.forget(target.get_incarnation())
        if self._router.coordinators is not None:
            self._router.coordinators.forget(target.name)

    def _find_engine(
        self, incarnation: catalog.Incarnation
    ) -> desired.Engine | None:
        target = self._router.catalog.get(incarnation[0])
        state = self._router.desired.state
        if target is None or target.get_incarnation() != incarnation:
            return None
        service = state.find_service(target.service) if state else None
        return service.engine if service else None

    def is_enabled(self) -> bool:
        """Return whether the fleet is large enough for coordinators."""
        return self._get_view().relays_statuses

    def list_coordinators(self, domain: str) -> list[membership.Peer]:
        """Return the hosts of a domain that may be up, this one included.

        Only the hosts of its own domain are known to be up or lost.
        """
        view = self._get_view()
        if domain == view.own.domain:
            peers = [*view.alive, view.own]
        else:
            peers = list(view.known)
        return [
            peer
            for peer in peers
            if peer.domain == domain and not peer.is_leaving
        ]

    async def ask(
        self,
        peer: membership.Peer,
        question: coordination.Question,
        seconds: float,
        hops: int = 0,
    ) -> coordination.Answer | None:
        """Return the answer of a host, None without one in time."""
        if self._is_own(peer):
            return await self.coordinator.admit(question)
        message = self._create_message()
        admission_messages.add_question(message, question)
        message.host_status.admission_question.hops = hops
        response = await self._exchange(peer.address, message, seconds)
        if response is None:
            return None
        return admission_messages.decode_answer(response)

    def report(
        self, peer: membership.Peer, progress: coordination.Progress
    ) -> None:
        """Tell a host of the progress of calls that it has admitted."""
        if self._is_own(peer):
            self.coordinator.record_progress(progress)
            return
        self._begun.setdefault(peer.address, []).extend(progress.begun)
        self._ended.setdefault(peer.address, []).extend(progress.ended)
        self._timer.schedule()

    def _is_own(self, peer: membership.Peer) -> bool:
        return peer.name == self._get_view().own.name

    def _send_reports(self) -> None:
        for address in self._begun.keys() | self._ended.keys():
            message = self._create_message()
            admission_messages.add_progress(
                message,
                coordination.Progress(
                    begun=tuple(self._begun.get(address, ())),
                    ended=tuple(self._ended.get(address, ())),
                ),
            )
            self._send(address, message)
        self._begun.clear()
        self._ended.clear()

    async def respond(
        self, question: messages_pb2.AdmissionQuestion
    ) -> messages_pb2.Message:
        """Return the decision for a peer.

        A question to the wrong host of this domain is passed on once: hosts of
        other domains do not know which hosts are up.
        """
        decoded = admission_messages.decode_question(question)
        answer = None
        if not question.hops:
            answer = await self._pass_on(decoded)
        if answer is None:
            answer = await self.coordinator.admit(decoded)
        response = self._create_message()
        admission_messages.add_answer(response, answer)
        return response

    async def _pass_on(
        self, question: coordination.Question
    ) -> coordination.Answer | None:
        """Return the answer of the engine's coordinator, if it is another."""
        own = self._get_view().own
        first = coordination.rank_coordinators(
            question.incarnation[0],
            self.list_coordinators(own.domain),
            self._router.rendezvous_hash,
        )[0]
        if first.name == own.name:
            return None
        answer = await self.ask(
            first,
            question,
            question.max_wait_seconds + PASS_ON_SECONDS,
            hops=1,
        )
        if answer is None or not answer.is_engine_known:
            # A host that has just started has not read the targets yet.
            return None
        return attrs.evolve(answer, coordinator=first)

    def apply_progress(self, progress: messages_pb2.AdmissionProgress) -> None:
        """Apply a peer's report of calls that were admitted here."""
        self.coordinator.record_progress(
            admission_messages.decode_progress(progress)
        )
