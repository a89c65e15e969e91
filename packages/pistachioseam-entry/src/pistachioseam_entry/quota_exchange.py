"""Exchange of quota requests between hosts.

See `pistachioseam.forwarding.quotas`.
"""

from collections import abc

from pistachioseam import events
from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import router as routers
from pistachioseam import membership
from pistachioseam_entry import member_messages
from pistachioseam_entry import peer_messages
from pistachioseam_entry import permit_exchange
from pistachioseam_peer.generated import messages_pb2

TIMEOUT_SECONDS = (0.3, 0.2)
"""Longest wait for a decision, by how often the request has been passed on.
A round trip between regions takes 60 ms."""
MAX_HOPS = len(TIMEOUT_SECONDS)
"""Hosts that a request passes: the leader of the domain, then the issuer.
Hosts that see different peers might pass it on without end."""


class QuotaExchange:
    """Asks the issuers of accounts, and decides where this host is one.

    `get_view` returns the fleet as this host sees it, `get_share` the part of
    the rates that it may grant.
    """

    def __init__(
        self,
        own: membership.Peer,
        router: routers.CallRouter,
        get_view: abc.Callable[[], contacts.FleetView],
        get_share: abc.Callable[[], float],
        exchange: permit_exchange.Exchange,
    ) -> None:
        self._own = own
        self._router = router
        self._get_view = get_view
        self._exchange = exchange
        self._issuer = quotas.QuotaIssuer(get_share)

    def follow_fleet(self) -> None:
        """Keep buckets for the accounts that this host is the issuer of."""
        state = self._router.desired.state
        limited = state.list_limited_accounts() if state else ()
        view = self._get_view()
        self._issuer.follow(
            [
                account
                for account in limited
                if self._find_issuer(view, account).name == self._own.name
            ],
            self._router.read_boot_clock(),
        )

    def _find_issuer(
        self, view: contacts.FleetView, account: str
    ) -> membership.Peer:
        return contacts.find_quota_issuer(
            view, self._router.rendezvous_hash, account
        )

    async def request(
        self, request: quotas.QuotaRequest, hops: int = 0
    ) -> quotas.QuotaDecision | None:
        """Decide on a request if this host is the issuer, else pass it on.

        Return None if the issuer does not answer in time. `hops` is the number
        of hosts that have passed the request on.
        """
        issuer = self._find_issuer(self._get_view(), request.account)
        if issuer.name == self._own.name:
            return self._issue(request)
        if hops >= MAX_HOPS:
            return None
        message = self._create_message()
        peer_messages.add_quota_request(message, request, hops + 1)
        response = await self._exchange(
            issuer.address, message, TIMEOUT_SECONDS[hops]
        )
        decision = None
        if response is not None:
            decision = peer_messages.decode_quota_decision(response)
        if decision is None:
            self._router.sink.emit(
                events.Event.QUOTA_UNANSWERED,
                issuer=issuer.name,
                account=request.account,
            )
        return decision

    def _issue(
        self, request: quotas.QuotaRequest
    ) -> quotas.QuotaDecision | None:
        """Decide by the quota in this host's desired state.

        An account that has none here is not limited: this host knows a newer
        state than the asker, or does not know the account yet.
        """
        state = self._router.desired.state
        if state is None:
            return None
        quota = state.find_quota(request.account)
        if quota is None:
            return quotas.QuotaDecision(True)
        return self._issuer.issue(
            request, quota, self._router.read_boot_clock()
        )

    async def respond(
        self, question: messages_pb2.QuotaQuestion
    ) -> messages_pb2.Message:
        """Return the issuer's decision for a peer, nothing without one."""
        request = peer_messages.decode_quota_request(question)
        decision = await self.request(request, question.hops)
        response = self._create_message()
        if decision is not None:
            peer_messages.add_quota_decision(response, decision)
        return response

    def _create_message(self) -> messages_pb2.Message:
        return messages_pb2.Message(
            sender=member_messages.encode_peer(self._own)
        )
