"""Acceptance of table edits as numbered snapshots by compare-and-set.

Each host that reads new edits validates them and tries to commit the next
snapshot to the row `accepted/current`. Of several hosts one succeeds. Each
host that commits or reads a newer snapshot sends it to its peers before it
uses it; peers that miss it read it at their next poll.
"""

import hashlib
import json
import typing

import attrs
from returns import pipeline

from pistachioseam import events
from pistachioseam import interfaces
from pistachioseam import snapshots
from pistachioseam import tables

ACCEPTED_KEY = interfaces.RowKey('accepted', 'current')
FINDINGS_KEY = interfaces.RowKey('accepted', 'findings')
SCANNED_TABLES = (tables.ROUTES, tables.POOLS, ACCEPTED_KEY.table)
FINGERPRINT_BYTES = 16


@attrs.frozen
class _TableContents:
    """Contents of the edited rows by key, and a hash of their versions."""

    routes: dict[str, object]
    pools: dict[str, object]
    fingerprint: str


def _group_rows(view: interfaces.TablesView) -> _TableContents:
    """Return the rows of the tables that operators edit."""
    routes: dict[str, object] = {}
    pools: dict[str, object] = {}
    versions = []
    for row in view.rows:
        if row.key.table == tables.ROUTES:
            routes[row.key.key] = row.value
        elif row.key.table == tables.POOLS:
            pools[row.key.key] = row.value
        else:
            continue
        versions.append((row.key.table, row.key.key, row.version))
    text = json.dumps(sorted(versions)).encode()
    digest = hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES)
    return _TableContents(routes, pools, digest.hexdigest())


def _find_accepted_value(
    view: interfaces.TablesView,
) -> dict[str, typing.Any] | None:
    for row in view.rows:
        if row.key == ACCEPTED_KEY:
            return row.value
    return None


class Broadcaster(typing.Protocol):
    """Sender of a snapshot to the live peers before it comes into force."""

    async def broadcast(self, snapshot: snapshots.Snapshot) -> None:
        """Return when the live peers have it, or after a timeout."""


class Acceptor:
    """Accepts table edits and holds the configuration in force on this host.

    The number of the configuration in force never decreases.
    """

    def __init__(
        self,
        store: interfaces.TableStore,
        sink: interfaces.EventSink,
        broadcaster: Broadcaster | None = None,
    ) -> None:
        self._broadcaster = broadcaster
        self.snapshot = snapshots.Snapshot()
        self._store = store
        self._sink = sink
        self._revision = -1
        self._listeners: list[typing.Callable[[snapshots.Snapshot], None]] = []

    def add_listener(
        self, listener: typing.Callable[[snapshots.Snapshot], None]
    ) -> None:
        """Call `listener` with each snapshot after it comes into force."""
        self._listeners.append(listener)

    def install(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a newer snapshot in force; return whether it was newer."""
        if snapshot.number <= self.snapshot.number:
            return False
        self.snapshot = snapshot
        self._sink.emit(
            events.Event.CONFIGURATION_IN_FORCE,
            number=snapshot.number,
            source_revision=snapshot.source_revision,
        )
        for listener in self._listeners:
            listener(snapshot)
        return True

    async def broadcast_and_install(
        self, snapshot: snapshots.Snapshot
    ) -> bool:
        """Send a newer snapshot to the peers, then put it in force.

        Return whether it came into force.
        """
        if snapshot.number <= self.snapshot.number:
            return False
        if self._broadcaster is not None:
            await self._broadcaster.broadcast(snapshot)
        return self.install(snapshot)

    async def refresh(self) -> bool:
        """Read the tables once and accept new edits.

        Return False if the tables could not be read, or another host or a
        store failure prevented the commit.
        """
        scanned = await self._store.scan(SCANNED_TABLES)
        if not pipeline.is_successful(scanned):
            reason = scanned.failure().value
            self._sink.emit(events.Event.TABLES_NOT_READ, reason=reason)
            return False
        view = scanned.unwrap()
        record = _find_accepted_value(view)
        previous = self._choose_newer(record)
        await self.broadcast_and_install(previous)
        contents = _group_rows(view)
        is_up_to_date = (
            record is not None
            and record['fingerprint'] == contents.fingerprint
            and previous.number >= self.snapshot.number
        )
        if is_up_to_date:
            return True
        return await self._accept(view, contents, previous)

    def _choose_newer(
        self, record: dict[str, typing.Any] | None
    ) -> snapshots.Snapshot:
        """Return the newer of the stored snapshot and the one in force."""
        if record is None:
            return self.snapshot
        decoded = snapshots.decode_snapshot(record['snapshot'])
        if not pipeline.is_successful(decoded):
            return self.snapshot
        recorded = decoded.unwrap()
        if recorded.number < self.snapshot.number:
            return self.snapshot
        return recorded

    async def _accept(
        self,
        view: interfaces.TablesView,
        contents: _TableContents,
        previous: snapshots.Snapshot,
    ) -> bool:
        """Commit the tables as the next snapshot and put it in force."""
        validated = snapshots.validate_tables(
            contents.routes, contents.pools, previous
        )
        snapshot = snapshots.Snapshot(
            number=previous.number + 1,
            source_revision=view.revision,
            routes=validated.routes,
            pools=validated.pools,
        )
        lines = [finding.format() for finding in validated.findings]
        versions = {row.key: row.version for row in view.rows}
        condition = interfaces.Condition(
            ACCEPTED_KEY, versions.get(ACCEPTED_KEY, 0)
        )
        record = {
            'snapshot': snapshots.encode_snapshot(snapshot),
            'fingerprint': contents.fingerprint,
        }
        writes = (
            interfaces.Write(ACCEPTED_KEY, record),
            interfaces.Write(FINDINGS_KEY, {'findings': lines}),
        )
        committed = await self._store.commit([condition], writes)
        if not pipeline.is_successful(committed):
            return False
        if lines:
            self._sink.emit(
                events.Event.CONFIGURATION_FINDINGS, findings=lines
            )
        await self.broadcast_and_install(snapshot)
        return True
