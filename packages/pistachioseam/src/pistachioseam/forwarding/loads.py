"""Load of targets: the calls and transfers in flight from all hosts."""

from collections import abc
import functools
import typing
import zlib

import attrs

TargetKey = typing.TypeVar('TargetKey', str, int)

PEER_LOAD_TTL_SECONDS = 2.0
"""Age after which a peer's loads are dropped: several reports were missed."""
FLEET_SOURCE = ''
"""Source of the table of all other hosts' loads, as told by a leader."""
MAX_HASHED_TARGETS = 8192


@attrs.frozen
class Load:
    """Work in flight at a target.

    `runs` is the number of calls, `tokens` the size of their KV cache entries,
    `prefill_tokens` the prompt tokens not yet prefilled, `urgent_tokens` those
    of them that the engine prefills before all others, and `transfer_ms` the
    total time of the cache transfers in flight.
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

    def subtract(self, other: 'Load') -> 'Load':
        """Return this load without a load that it includes."""
        return Load(
            self.runs - other.runs,
            self.tokens - other.tokens,
            self.prefill_tokens - other.prefill_tokens,
            self.transfer_ms - other.transfer_ms,
            self.urgent_tokens - other.urgent_tokens,
        )


NO_LOAD = Load()


@functools.lru_cache(MAX_HASHED_TARGETS)
def hash_target(name: str) -> int:
    """Return the 32-bit key of a target in tables of loads."""
    return zlib.crc32(name.encode())


def hash_targets(
    loads_by_target: abc.Mapping[str, Load],
) -> dict[int, Load]:
    """Return loads by the key of their target."""
    return {
        hash_target(target): load for target, load in loads_by_target.items()
    }


def sum_loads(
    loads_of_hosts: abc.Iterable[abc.Mapping[TargetKey, Load]],
) -> dict[TargetKey, Load]:
    """Return the sum of several hosts' loads, by target or its key."""
    sums: dict[TargetKey, Load] = {}
    for host_loads in loads_of_hosts:
        for target, load in host_loads.items():
            sums[target] = sums.get(target, NO_LOAD).add(load)
    return sums


@attrs.define(eq=False)
class InFlightWork:
    """Call or cache transfer of this host at a target, until it ends.

    `is_run` is false for a transfer from the target; `has_first_byte` is set
    when the first byte of the response arrives.
    """

    target: str
    tokens: int
    prefill_tokens: int
    transfer_ms: int = 0
    is_urgent: bool = False
    is_run: bool = True
    started_at: float = 0.0
    has_first_byte: bool = False


@attrs.define
class _PeerLoads:
    received_at: float
    loads: abc.Mapping[str, Load]


@attrs.define
class _TableEntry:
    load: Load
    received_at: float
    sender: str


@attrs.define
class _LoadTable:
    sender: str
    received_at: float
    entries: dict[int, _TableEntry] = attrs.field(factory=dict)


class LoadTracker:
    """Loads by target name, from this host's own work and peers' reports."""

    def __init__(self) -> None:
        self._in_flight: dict[str, set[InFlightWork]] = {}
        self._own: dict[str, Load] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._tables: dict[str, _LoadTable] = {}
        self._peer_sums: dict[str, Load] = {}
        self._table_sums: dict[int, Load] = {}
        self._peer_sums_valid_until = 0.0

    def start_call(
        self,
        target: str,
        tokens: int,
        prefill_tokens: int,
        transfer_ms: int = 0,
        is_urgent: bool = False,
        now: float = 0.0,
    ) -> InFlightWork:
        """Count a call, about to be sent, in the load of its target."""
        work = InFlightWork(
            target,
            tokens,
            prefill_tokens,
            transfer_ms,
            is_urgent,
            started_at=now,
        )
        self._add(work)
        return work

    def start_transfer(self, source: str, transfer_ms: int) -> InFlightWork:
        """Count a cache transfer in the load of its source."""
        work = InFlightWork(source, 0, 0, transfer_ms, is_run=False)
        self._add(work)
        return work

    def _add(self, work: InFlightWork) -> None:
        self._in_flight.setdefault(work.target, set()).add(work)
        self._own.pop(work.target, None)

    def finish_prefill(self, work: InFlightWork) -> None:
        """Record a call's first byte: its prefill and transfer are done."""
        work.prefill_tokens = 0
        work.transfer_ms = 0
        work.has_first_byte = True
        self._own.pop(work.target, None)

    def finish_prefills(self) -> None:
        """Record that no byte of the calls in flight will tell of them.

        The targets prefill them all the same, so they soon cause no more load.
        """
        for in_flight in self._in_flight.values():
            for work in in_flight:
                self.finish_prefill(work)

    def finish(self, work: InFlightWork) -> None:
        """Remove an ended call or transfer from the load of its target."""
        in_flight = self._in_flight.get(work.target, set())
        in_flight.discard(work)
        self._own.pop(work.target, None)
        if not in_flight:
            self._in_flight.pop(work.target, None)

    def record_peer_loads(
        self, peer: str, loads: abc.Mapping[str, Load], now: float
    ) -> None:
        """Record the loads that a peer reports for itself or its domain."""
        self._peers[peer] = _PeerLoads(now, loads)
        self._tables.pop(peer, None)
        self._peer_sums_valid_until = now

    def update_table(
        self,
        source: str,
        sender: str,
        changes: abc.Mapping[int, Load],
        now: float,
    ) -> None:
        """Apply changes to the loads of a domain or of `FLEET_SOURCE`.

        Keys are those of `hash_target`. Entries by a former sender expire, as
        the new one does not know of them.
        """
        table = self._tables.setdefault(source, _LoadTable(sender, now))
        table.sender = sender
        table.received_at = now
        for key, load in changes.items():
            table.entries[key] = _TableEntry(load, now, sender)
        table.entries = {
            key: entry
            for key, entry in table.entries.items()
            if entry.load != NO_LOAD
            and (
                entry.sender == sender
                or now - entry.received_at < PEER_LOAD_TTL_SECONDS
            )
        }
        self._peers.pop(source, None)
        self._peer_sums_valid_until = now

    def forget_table(self, source: str) -> None:
        """Drop a table, as when this host becomes a leader itself."""
        if self._tables.pop(source, None) is not None:
            self._peer_sums_valid_until = 0.0

    def count_overdue(self, target: str, started_before: float) -> int:
        """Return the number of this host's old calls without a first byte."""
        return sum(
            work.is_run
            and not work.has_first_byte
            and work.started_at < started_before
            for work in self._in_flight.get(target, ())
        )

    def get_own_loads(self) -> dict[str, Load]:
        """Return the loads that this host causes, by target."""
        return {target: self._get_own(target) for target in self._in_flight}

    def _get_own(self, target: str) -> Load:
        """Return this host's load of a target, summed once after a change."""
        own = self._own.get(target)
        if own is None:
            own = self._own[target] = self._sum_in_flight(
                self._in_flight[target]
            )
        return own

    def get(self, target: str, now: float) -> Load:
        """Return the load of a target from all hosts."""
        if now >= self._peer_sums_valid_until:
            self._sum_peers(now)
        peers = self._peer_sums.get(target, NO_LOAD)
        if self._table_sums:
            key = hash_target(target)
            peers = peers.add(self._table_sums.get(key, NO_LOAD))
        if target not in self._in_flight:
            return peers
        return self._get_own(target).add(peers)

    def _sum_peers(self, now: float) -> None:
        """Sum the peers' loads; the sum is valid until one of them expires.

        The table of the whole fleet replaces all other reports.
        """
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if now - peer.received_at < PEER_LOAD_TTL_SECONDS
        }
        self._tables = {
            source: table
            for source, table in self._tables.items()
            if now - table.received_at < PEER_LOAD_TTL_SECONDS
        }
        self._peer_sums = {}
        if FLEET_SOURCE in self._tables:
            self._table_sums = self._sum_tables([FLEET_SOURCE])
        else:
            self._table_sums = self._sum_tables(self._tables)
            self._peer_sums = sum_loads(p.loads for p in self._peers.values())
        received_at = [peer.received_at for peer in self._peers.values()]
        received_at += [table.received_at for table in self._tables.values()]
        self._peer_sums_valid_until = PEER_LOAD_TTL_SECONDS + min(
            received_at, default=now
        )

    def _sum_tables(self, sources: abc.Iterable[str]) -> dict[int, Load]:
        return sum_loads(
            {
                key: entry.load
                for key, entry in self._tables[source].entries.items()
            }
            for source in sources
        )

    def sum_all(self, now: float) -> dict[int, Load]:
        """Return the loads of all hosts by key, as a leader knows them."""
        self._sum_peers(now)
        peers = [peer.loads for peer in self._peers.values()]
        by_name = sum_loads([self.get_own_loads(), *peers])
        domains = [source for source in self._tables if source != FLEET_SOURCE]
        return sum_loads([hash_targets(by_name), self._sum_tables(domains)])

    def subtract_peer(
        self, sums: abc.Mapping[int, Load], peer: str
    ) -> dict[int, Load]:
        """Return sums by key without the loads that a peer has reported."""
        others = dict(sums)
        if peer in self._peers:
            for target, load in self._peers[peer].loads.items():
                key = hash_target(target)
                others[key] = others[key].subtract(load)
        return others

    def sum_with_peers(
        self, peers: abc.Container[str], now: float
    ) -> dict[str, Load]:
        """Return the loads by this host and the given peers, by target."""
        recent = [
            peer.loads
            for name, peer in self._peers.items()
            if name in peers and now - peer.received_at < PEER_LOAD_TTL_SECONDS
        ]
        return sum_loads([self.get_own_loads(), *recent])

    def _sum_in_flight(self, in_flight: abc.Iterable[InFlightWork]) -> Load:
        load = NO_LOAD
        for work in in_flight:
            load = load.add(
                Load(
                    1 if work.is_run else 0,
                    work.tokens,
                    work.prefill_tokens,
                    work.transfer_ms,
                    work.prefill_tokens if work.is_urgent else 0,
                )
            )
        return load
