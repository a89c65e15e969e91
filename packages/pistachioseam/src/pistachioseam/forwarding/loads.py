"""Load of targets as the sum of what this host and its peers have sent."""

from collections import abc

import attrs

PEER_SECONDS = 2.0
"""A peer's word is dropped after some missed messages."""


@attrs.frozen
class Load:
    """Work at a target: runs, their memory and what is still to prefill.

    `transfer_ms` is the time of the transfers that are still under way,
    `urgent_tokens` the part of `prefill_tokens` that goes before all other.
    """

    runs: int = 0
    tokens: int = 0
    prefill_tokens: int = 0
    transfer_ms: int = 0
    urgent_tokens: int = 0

    def add(self, other: 'Load') -> 'Load':
        """Return the sum of two loads."""
        return Load(
            self.runs + other.runs,
            self.tokens + other.tokens,
            self.prefill_tokens + other.prefill_tokens,
            self.transfer_ms + other.transfer_ms,
            self.urgent_tokens + other.urgent_tokens,
        )


NO_LOAD = Load()


def add_loads(
    parts: abc.Iterable[abc.Mapping[str, Load]],
) -> dict[str, Load]:
    """Return the sums of loads by target."""
    sums: dict[str, Load] = {}
    for part in parts:
        for target, load in part.items():
            sums[target] = sums.get(target, NO_LOAD).add(load)
    return sums


@attrs.define(eq=False)
class Ticket:
    """Work that this host has at a target until it ends."""

    target: str
    tokens: int
    prefill_tokens: int
    transfer_ms: int = 0
    is_urgent: bool = False
    is_run: bool = True
    begun_at: float = 0.0
    is_answered: bool = False


@attrs.define
class _PeerLoads:
    heard_at: float
    loads: abc.Mapping[str, Load]


class LoadBoard:
    """Loads by target name."""

    def __init__(self) -> None:
        self._tickets: dict[str, set[Ticket]] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._peer_sums: dict[str, Load] = {}
        self._peer_sums_until = 0.0

    def begin(
        self,
        target: str,
        tokens: int,
        prefill_tokens: int,
        transfer_ms: int = 0,
        is_urgent: bool = False,
        now: float = 0.0,
    ) -> Ticket:
        """Count a call that is about to be sent."""
        ticket = Ticket(
            target,
            tokens,
            prefill_tokens,
            transfer_ms,
            is_urgent,
            begun_at=now,
        )
        self._tickets.setdefault(target, set()).add(ticket)
        return ticket

    def begin_transfer(self, source: str, transfer_ms: int) -> Ticket:
        """Count a transfer that a call has its target fetch."""
        ticket = Ticket(source, 0, 0, transfer_ms, is_run=False)
        self._tickets.setdefault(source, set()).add(ticket)
        return ticket

    def note_prefilled(self, ticket: Ticket) -> None:
        """Note that the target has begun to answer."""
        ticket.prefill_tokens = 0
        ticket.transfer_ms = 0
        ticket.is_answered = True

    def end(self, ticket: Ticket) -> None:
        """Take a call off its target."""
        tickets = self._tickets.get(ticket.target, set())
        tickets.discard(ticket)
        if not tickets:
            self._tickets.pop(ticket.target, None)

    def note_peer(
        self, peer: str, loads: abc.Mapping[str, Load], now: float
    ) -> None:
        """Replace what a peer, or the host that speaks for others, says."""
        self._peers[peer] = _PeerLoads(now, loads)
        self._peer_sums_until = now

    def count_overdue(self, target: str, begun_before: float) -> int:
        """Return this host's calls there that are still unanswered."""
        return sum(
            ticket.is_run
            and not ticket.is_answered
            and ticket.begun_at < begun_before
            for ticket in self._tickets.get(target, ())
        )

    def get_own(self) -> dict[str, Load]:
        """Return this host's part of the loads."""
        return {
            target: self._sum(tickets)
            for target, tickets in self._tickets.items()
        }

    def get(self, target: str, now: float) -> Load:
        """Return the load of a target."""
        if now >= self._peer_sums_until:
            self._add_up_peers(now)
        own = self._sum(self._tickets.get(target, ()))
        return own.add(self._peer_sums.get(target, NO_LOAD))

    def _add_up_peers(self, now: float) -> None:
        """Sum the peers' loads; valid until one of their words is too old."""
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if now - peer.heard_at < PEER_SECONDS
        }
        self._peer_sums = add_loads(p.loads for p in self._peers.values())
        self._peer_sums_until = PEER_SECONDS + min(
            (peer.heard_at for peer in self._peers.values()), default=now
        )

    def add_up(self, peers: abc.Container[str], now: float) -> dict[str, Load]:
        """Return the loads that this host and some peers have caused."""
        told = [
            peer.loads
            for name, peer in self._peers.items()
            if name in peers and now - peer.heard_at < PEER_SECONDS
        ]
        return add_loads([self.get_own(), *told])

    def _sum(self, tickets: abc.Iterable[Ticket]) -> Load:
        load = NO_LOAD
        for ticket in tickets:
            load = load.add(
                Load(
                    1 if ticket.is_run else 0,
                    ticket.tokens,
                    ticket.prefill_tokens,
                    ticket.transfer_ms,
                    ticket.prefill_tokens if ticket.is_urgent else 0,
                )
            )
        return load
