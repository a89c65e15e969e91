"""Statuses that hold only what their receiver was not told before.

A leader of a large fleet has many receivers on a narrow link. What peers must
know at once comes first, then heartbeats and loads; cache updates, which are
hints, get what is left of the budget.
"""

import collections
from collections import abc
import itertools
import zlib

import attrs

from pistachioseam.forwarding import loads
from pistachioseam import interfaces
from pistachioseam import membership
from pistachioseam_entry import member_messages
from pistachioseam_entry import peer_messages
from pistachioseam_peer.generated import messages_pb2

CHANGES_VERSION = 1
"""Message version from which hosts understand `FleetChanges`."""
BYTES_PER_SECOND = 13_500
"""What a leader sends to all peers together in statuses. The rest of the
15 KB/s of a host is left to handshakes, permits and store queries."""
MAX_BUDGETED_RECEIVERS = 20
"""Receivers among which `BYTES_PER_SECOND` are shared."""
FURTHER_BYTES_PER_SECOND = 1_000
"""What each further receiver adds; else messages would hold no loads."""
BURST_SECONDS = 0.4
"""Time for which the unused budget is kept."""
REPEAT_SECONDS = 1.0
"""Time after which a word that still holds is sent again, as messages may be
lost."""
SLOW_REPEAT_SECONDS = 5.0
"""The same for the names of hosts, loads without change, and the names of
engines that still load, whose keys are repeated in each regular status."""
HEARTBEAT_SECONDS = 0.6
"""Shortest pause between two relays of heartbeats to a host."""
LOAD_PAUSE_SECONDS = 0.5
"""Shortest pause between two loads of one target to a host; hosts report
theirs no more often."""
SIGHTING_REFRESH_SECONDS = 10.0
"""Time for which peers are not told again that a cache has a part."""
MAX_NEW_MEMBERS = 4
"""Hosts that are named in full in one message."""
MAX_PENDING_SIGHTINGS = 64
"""Cache updates that wait for room; the oldest are dropped."""
MAX_TOLD_PARTS = 20_000
TOKEN_UNIT = 16
"""Tokens in a unit of `LoadTable`."""
BITS_PER_VARINT_BYTE = 7
KEY_BYTES = 4
FIELD_BYTES = 2
"""Bytes of the tag and length of a short field."""

Incarnation = tuple[str, int]
WordKey = tuple[object, ...]


def hash_incarnation(incarnation: Incarnation) -> int:
    """Return the 32-bit key of an incarnation of an engine."""
    return zlib.crc32('{} {}'.format(*incarnation).encode())


def hash_host(peer: membership.Peer) -> int:
    """Return the 32-bit key of an incarnation of a host."""
    text = f'{peer.name} {peer.incarnation} {peer.is_leaving}'
    return zlib.crc32(text.encode())


@attrs.frozen
class Word:
    """Entry of a repeated field of `HostStatus`, with a key without ages.

    `engine_key` is that of a loading engine, else None.
    """

    field: str
    key: WordKey
    message: object
    engine_key: int | None = None


def list_words(
    status: messages_pb2.HostStatus, now: float
) -> tuple[Word, ...]:
    """Return the entries of a status but its loads and cache updates."""
    words = [
        Word(
            'named',
            (
                n.model,
                n.weights_version,
                n.after_ms,
                n.after_era,
                n.predecessor,
                _date(n.age_ms, now),
            ),
            n,
        )
        for n in status.named
    ]
    for engine in status.engines:
        engine_key = None
        if engine.is_loading:
            engine_key = hash_incarnation((engine.target, engine.born_ms))
        key = (
            engine.target,
            engine.born_ms,
            engine.model,
            engine.weights_version,
        )
        words.append(Word('engines', key, engine, engine_key))
    words += [
        Word('suspects', (s.digest, s.crashes), s) for s in status.suspects
    ]
    for part in status.part_evidence:
        crashes = tuple((c.target, c.born_ms) for c in part.crashes)
        survived = part.HasField('survival_age_ms') and _date(
            part.survival_age_ms, now
        )
        part_key = (part.model, part.name, crashes, survived)
        words.append(Word('part_evidence', part_key, part))
    words += [
        Word(
            'leaving',
            (
                t.target,
                t.born_ms,
                t.is_listed,
                t.store_era,
                t.store_version,
            ),
            t,
        )
        for t in status.leaving
    ]
    words += [
        Word('full_targets', (t.target, t.born_ms, t.rejection_id), t)
        for t in status.full_targets
    ]
    words += [
        Word('limits', (t.target, t.born_ms, t.requests_per_second), t)
        for t in status.limits
    ]
    words += [
        Word('store_epochs', (e.address, e.epoch), e)
        for e in status.store_epochs
    ]
    words += [
        Word('begun_streams', (b.service, b.software_version, *b.keys), b)
        for b in status.begun_streams
    ]
    return tuple(words)


def _date(age_ms: int, now: float) -> int:
    """Return when something was, in whole seconds."""
    return round(now - age_ms / peer_messages.MS_PER_SECOND)


class ByteBudget:
    """Bytes that may be sent; what must be sent can overdraw them."""

    def __init__(self, runtime: interfaces.Runtime) -> None:
        self._runtime = runtime
        self._bytes_per_second = BYTES_PER_SECOND
        self._left = 0.0
        # The runtime has no time before its loop runs.
        self._counted_at = float('-inf')

    def set_receivers(self, count: int) -> None:
        """Set the number of hosts that share the budget."""
        further = max(0, count - MAX_BUDGETED_RECEIVERS)
        self._bytes_per_second = (
            BYTES_PER_SECOND + further * FURTHER_BYTES_PER_SECOND
        )

    def get_left(self) -> float:
        """Return the bytes that are left, negative if overdrawn."""
        now = self._runtime.now()
        earned = (now - self._counted_at) * self._bytes_per_second
        most = self._bytes_per_second * BURST_SECONDS
        self._left = min(self._left + earned, most)
        self._counted_at = now
        return self._left

    def spend(self, sent_bytes: int) -> None:
        """Count bytes that are sent."""
        self._left = self.get_left() - sent_bytes


@attrs.define
class _Receiver:
    """What a receiver was told, and when."""

    told_at: dict[WordKey, float] = attrs.field(factory=dict)
    members: dict[int, float] = attrs.field(factory=dict)
    sent_loads: dict[int, tuple[loads.Load, float]] = attrs.field(factory=dict)
    heartbeats_at: float = float('-inf')
    leaders_at: float = float('-inf')


@attrs.frozen
class Heartbeat:
    """Host that was heard, when, and whether it says it reaches no target."""

    peer: membership.Peer
    heard_at: float
    reaches_no_target: bool = False


class StatusChanges:
    """Creates statuses with what each receiver was not told yet."""

    def __init__(self, runtime: interfaces.Runtime) -> None:
        self._runtime = runtime
        self._receivers: dict[str, _Receiver] = {}
        self._sightings: collections.deque[messages_pb2.CacheSighting] = (
            collections.deque(maxlen=MAX_PENDING_SIGHTINGS)
        )
        self._told_parts: collections.OrderedDict[
            tuple[str, str, str], float
        ] = collections.OrderedDict()

    def keep_receivers(self, peers: abc.Iterable[membership.Peer]) -> None:
        """Forget what all but these receivers were told."""
        incarnations = {peer.incarnation for peer in peers}
        for incarnation in self._receivers.keys() - incarnations:
            del self._receivers[incarnation]

    def _get(self, peer: membership.Peer) -> _Receiver:
        return self._receivers.setdefault(peer.incarnation, _Receiver())

    def add_words(
        self,
        status: messages_pb2.HostStatus,
        receiver: membership.Peer,
        words: abc.Collection[Word],
        is_regular: bool,
    ) -> bool:
        """Add new words, in a regular status also those due for a repeat.

        Return whether there were any.
        """
        now = self._runtime.now()
        told_at = self._get(receiver).told_at
        has_words = False
        for word in words:
            key = (word.field, *word.key)
            age = now - told_at.get(key, float('-inf'))
            pause = REPEAT_SECONDS
            if word.engine_key is not None:
                pause = SLOW_REPEAT_SECONDS
            if key not in told_at or (is_regular and age >= pause):
                getattr(status, word.field).append(word.message)
                told_at[key] = now
                has_words = True
            elif is_regular and word.engine_key is not None:
                status.changes.loading.append(word.engine_key)
        current = {(word.field, *word.key) for word in words}
        for key in [key for key in told_at if key not in current]:
            # A word that came to an end and holds again is new.
            del told_at[key]
        return has_words

    def add_heartbeats(
        self,
        status: messages_pb2.HostStatus,
        receiver: membership.Peer,
        heartbeats: abc.Iterable[Heartbeat],
    ) -> None:
        """Add the hosts heard since the last ones that were added."""
        now = self._runtime.now()
        state = self._get(receiver)
        if now - state.heartbeats_at < HEARTBEAT_SECONDS:
            return
        changes = status.changes
        has_refreshed = False
        for heartbeat in heartbeats:
            if (
                heartbeat.heard_at < state.heartbeats_at
                or heartbeat.peer.name == receiver.name
            ):
                continue
            key = hash_host(heartbeat.peer)
            named_at = state.members.get(key)
            is_due = (
                named_at is not None
                and now - named_at >= SLOW_REPEAT_SECONDS
                and not has_refreshed
            )
            if named_at is None and len(changes.members) < MAX_NEW_MEMBERS:
                is_due = True
            if is_due:
                has_refreshed = has_refreshed or named_at is not None
                changes.members.append(
                    member_messages.encode_peer(heartbeat.peer)
                )
                state.members[key] = now
            changes.heard.append(key)
            if heartbeat.reaches_no_target:
                changes.cut_off.append(key)
        state.heartbeats_at = now

    def add_leaders(
        self,
        status: messages_pb2.HostStatus,
        receiver: membership.Peer,
        leaders: abc.Collection[membership.Peer],
    ) -> None:
        """Add the leaders, to the deputy more often than to others."""
        now = self._runtime.now()
        state = self._get(receiver)
        is_leader = receiver.name in {peer.name for peer in leaders}
        pause = REPEAT_SECONDS if is_leader else SLOW_REPEAT_SECONDS
        if now - state.leaders_at >= pause:
            state.leaders_at = now
            status.leaders.extend(
                member_messages.encode_peer(peer) for peer in leaders
            )

    def add_loads(
        self,
        status: messages_pb2.HostStatus,
        receiver: membership.Peer,
        current: abc.Mapping[int, loads.Load],
        max_bytes: float,
    ) -> None:
        """Add the loads that have changed, those sent longest ago first."""
        now = self._runtime.now()
        sent = self._get(receiver).sent_loads
        due = []
        for key in current.keys() | sent.keys():
            load = current.get(key, loads.NO_LOAD)
            known, at = sent.get(key, (loads.NO_LOAD, float('-inf')))
            pause = (
                SLOW_REPEAT_SECONDS if load == known else LOAD_PAUSE_SECONDS
            )
            if now - at >= pause:
                due.append((at, key, load))
        due.sort(key=lambda entry: entry[:2])
        rows = [_encode_load(load) for _, _, load in due]
        columns = [n for n in range(len(_LOAD_FIELDS)) if any(_pick(rows, n))]
        left = max_bytes
        count = 0
        for row in rows:
            left -= KEY_BYTES + sum(_measure_varint(row[n]) for n in columns)
            if left < 0:
                break
            count += 1
        for _, key, load in due[:count]:
            if load == loads.NO_LOAD == sent.get(key, (None, 0.0))[0]:
                del sent[key]
            else:
                sent[key] = (load, now)
        table = status.changes.loads
        table.targets.extend(key for _, key, _ in due[:count])
        for n in columns:
            getattr(table, _LOAD_FIELDS[n]).extend(_pick(rows[:count], n))

    def queue_sightings(
        self, sightings: abc.Iterable[messages_pb2.CacheSighting]
    ) -> None:
        """Queue the cache updates that name parts not told recently."""
        now = self._runtime.now()
        for sighting in sightings:
            keys = [
                (sighting.holder, sighting.salt, name)
                for name in sighting.names
            ]
            since = now - SIGHTING_REFRESH_SECONDS
            if any(
                self._told_parts.get(key, float('-inf')) < since
                for key in keys
            ):
                self._sightings.append(sighting)

    def take_sightings(
        self, max_bytes: float
    ) -> list[messages_pb2.CacheSighting]:
        """Return the newest queued cache updates that fit."""
        now = self._runtime.now()
        taken = []
        left = max_bytes
        while self._sightings:
            left -= self._sightings[-1].ByteSize() + FIELD_BYTES
            if left < 0:
                break
            sighting = self._sightings.pop()
            taken.append(sighting)
            for name in sighting.names:
                key = (sighting.holder, sighting.salt, name)
                self._told_parts.pop(key, None)
                self._told_parts[key] = now
        while len(self._told_parts) > MAX_TOLD_PARTS:
            self._told_parts.popitem(last=False)
        return taken


_LOAD_FIELDS = (
    'runs',
    'tokens',
    'prefill_tokens',
    'transfer_ms',
    'urgent_tokens',
)


def _encode_load(load: loads.Load) -> tuple[int, ...]:
    return (
        load.runs,
        -(-load.tokens // TOKEN_UNIT),
        -(-load.prefill_tokens // TOKEN_UNIT),
        load.transfer_ms,
        -(-load.urgent_tokens // TOKEN_UNIT),
    )


def _pick(rows: abc.Iterable[tuple[int, ...]], column: int) -> list[int]:
    return [row[column] for row in rows]


def _measure_varint(number: int) -> int:
    return max(1, -(-number.bit_length() // BITS_PER_VARINT_BYTE))


def decode_loads(table: messages_pb2.LoadTable) -> dict[int, loads.Load]:
    """Return the loads of a table by the key of their target."""
    rows = itertools.zip_longest(
        table.targets,
        table.runs,
        table.tokens,
        table.prefill_tokens,
        table.transfer_ms,
        table.urgent_tokens,
        fillvalue=0,
    )
    return {
        key: loads.Load(
            runs,
            tokens * TOKEN_UNIT,
            prefill_tokens * TOKEN_UNIT,
            transfer_ms,
            urgent_tokens * TOKEN_UNIT,
        )
        for key, runs, tokens, prefill_tokens, transfer_ms, urgent_tokens in (
            rows
        )
    }
