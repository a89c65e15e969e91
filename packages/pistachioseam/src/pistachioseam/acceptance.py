"""Acceptance of table edits as numbered snapshots by compare-and-set."""

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
SCANNED = (tables.ROUTES, tables.POOLS, ACCEPTED_KEY.table)
FINGERPRINT_BYTES = 16


@attrs.frozen
class _Contents:
    """Row contents by key, and a fingerprint of their row versions."""

    routes: dict[str, object]
    pools: dict[str, object]
    fingerprint: str


def _group_rows(view: interfaces.TablesView) -> _Contents:
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
    return _Contents(routes, pools, digest.hexdigest())


def _find_record(
    view: interfaces.TablesView,
) -> dict[str, typing.Any] | None:
    for row in view.rows:
        if row.key == ACCEPTED_KEY:
            return row.value
    return None


class Spreader(typing.Protocol):
    """Way to tell the live peers of a snapshot before it is in force."""

    async def spread(self, snapshot: snapshots.Snapshot) -> None:
        """Return when the peers have it, or after a bounded wait."""


class Acceptor:
    """Holder of the configuration in force on this host.

    The number in force never falls. Listeners hear every newer snapshot
    after it is in force.
    """

    def __init__(
        self,
        store: interfaces.TableStore,
        sink: interfaces.EventSink,
        spreader: Spreader | None = None,
    ) -> None:
        self._spreader = spreader
        self.snapshot = snapshots.Snapshot()
        self._store = store
        self._sink = sink
        self._revision = -1
        self._listeners: list[typing.Callable[[snapshots.Snapshot], None]] = []

    def add_listener(
        self, listener: typing.Callable[[snapshots.Snapshot], None]
    ) -> None:
        """Call `listener` with each snapshot that comes into force."""
        self._listeners.append(listener)

    def install(self, snapshot: snapshots.Snapshot) -> bool:
        """Put a snapshot in force if its number is higher."""
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

    async def adopt(self, snapshot: snapshots.Snapshot) -> bool:
        """Spread a newer snapshot to the peers, then put it in force."""
        if snapshot.number <= self.snapshot.number:
            return False
        if self._spreader is not None:
            await self._spreader.spread(snapshot)
        return self.install(snapshot)

    async def refresh(self) -> bool:
        """Read the tables once and accept what is new; return success."""
        scanned = await self._store.scan(SCANNED)
        if not pipeline.is_successful(scanned):
            reason = scanned.failure().value
            self._sink.emit(events.Event.STORE_UNAVAILABLE, reason=reason)
            return False
        view = scanned.unwrap()
        record = _find_record(view)
        last = self._read_accepted(record)
        await self.adopt(last)
        contents = _group_rows(view)
        is_covered = (
            record is not None
            and record['fingerprint'] == contents.fingerprint
            and last.number >= self.snapshot.number
        )
        if is_covered:
            return True
        return await self._accept(view, contents, last)

    def _read_accepted(
        self, record: dict[str, typing.Any] | None
    ) -> snapshots.Snapshot:
        """Return the newer of the accepted record and what is in force."""
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
        contents: _Contents,
        last: snapshots.Snapshot,
    ) -> bool:
        draft = snapshots.validate_tables(
            contents.routes, contents.pools, last
        )
        snapshot = snapshots.Snapshot(
            number=last.number + 1,
            source_revision=view.revision,
            routes=draft.routes,
            pools=draft.pools,
        )
        lines = [finding.format() for finding in draft.findings]
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
        await self.adopt(snapshot)
        return True
