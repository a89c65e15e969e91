"""Exchange of permits for limited targets between hosts.

See `pistachioseam.forwarding.rate_permits`.
"""

from collections import abc
import typing

import attrs

from pistachioseam import events
from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import rate_permits
from pistachioseam.forwarding import router as routers
from pistachioseam import membership
from pistachioseam_entry import member_messages
from pistachioseam_entry import peer_messages
from pistachioseam_peer.generated import messages_pb2

TIMEOUT_SECONDS = (0.3, 0.2)
"""Longest wait for a permit, by how often the question has been passed on."""
MAX_HOPS = len(TIMEOUT_SECONDS)
"""Hosts that a question for a permit passes: the leader of the domain, then
the issuer. Hosts that see different peers might pass it on without end."""

Exchange: typing.TypeAlias = abc.Callable[
    [str, messages_pb2.Message, float],
    abc.Awaitable[messages_pb2.Message | None],
]
"""Sends a message to an address; returns the response, None without one in the
given seconds."""


class PermitExchange:
    """Asks the issuer of permits, and decides where this host is the issuer.

    `get_view` returns the fleet as this host sees it.
    """

    def __init__(
        self,
        own: membership.Peer,
        router: routers.CallRouter,
        get_view: abc.Callable[[], contacts.FleetView],
        exchange: Exchange,
    ) -> None:
        self._own = own
        self._router = router
        self._get_view = get_view
        self._exchange = exchange
        self._issuer = rate_permits.PermitIssuer(
            router.random, lambda: contacts.compute_limit_share(get_view())
        )

    async def request(
        self, request: rate_permits.PermitRequest, hops: int = 0
    ) -> rate_permits.PermitDecision | None:
        """Decide on a request if this host is the issuer, else pass it on.

        Return None if the issuer does not answer in time. `hops` is the number
        of hosts that have passed the request on.
        """
        issuer = contacts.find_permit_issuer(
            self._get_view(), self._router.rendezvous_hash
        )
        if issuer.name == self._own.name:
            return self._issuer.issue(request, self._router.runtime.now())
        if hops >= MAX_HOPS:
            return None
        message = self._create_message()
        peer_messages.add_permit_request(message, request, hops + 1)
        response = await self._exchange(
            issuer.address, message, TIMEOUT_SECONDS[hops]
        )
        decision = None
        if response is not None:
            decision = peer_messages.decode_permit_decision(response)
        if decision is None:
            self._router.sink.emit(
                events.Event.PERMIT_UNANSWERED,
                issuer=issuer.name,
                target=request.limit.incarnation[0],
            )
        return decision

    async def respond(
        self, question: messages_pb2.PermitQuestion
    ) -> messages_pb2.Message:
        """Return the issuer's decision for a peer, nothing without one."""
        request = peer_messages.decode_permit_request(question)
        limits = self._router.rate_limits
        now = self._router.runtime.now()
        limits.merge(request.limit, now)
        newest = limits.get_report(request.limit.incarnation, now)
        if newest is not None:
            request = attrs.evolve(request, limit=newest)
        decision = await self.request(request, question.hops)
        response = self._create_message()
        if decision is not None:
            peer_messages.add_permit_decision(response, decision)
        return response

    def _create_message(self) -> messages_pb2.Message:
        return messages_pb2.Message(
            sender=member_messages.encode_peer(self._own)
        )
