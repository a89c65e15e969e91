"""Metrics of the calls to the platform's store."""

from collections import abc
import typing

from returns import pipeline
from returns import result

from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from pistachioseam import interfaces
from pistachioseam_entry import metrics

Value = typing.TypeVar('Value')
StoreResult = result.Result[Value, ports.StoreFailure]


class MeasuredStore:
    """Store wrapper that records the outcomes and latencies of all calls."""

    def __init__(
        self,
        store: ports.Platform,
        process_metrics: metrics.Metrics,
        runtime: interfaces.Runtime,
    ) -> None:
        self._store = store
        self._metrics = process_metrics
        self._runtime = runtime

    async def _measure(
        self, name: str, call: abc.Awaitable[StoreResult[Value]]
    ) -> StoreResult[Value]:
        started_at = self._runtime.now()
        call_result = await call
        seconds = self._runtime.now() - started_at
        self._metrics.record_store_call(
            name, _get_outcome_label(call_result), seconds
        )
        return call_result

    async def read_desired(
        self, after: store_versions.StoreVersion | None, wait_seconds: float
    ) -> StoreResult[ports.DesiredChange]:
        """Return the changes after the cursor `after`; everything if None.

        It is a long poll of up to `wait_seconds`.
        """
        call = self._store.read_desired(after, wait_seconds)
        return await self._measure('read_desired', call)

    async def read_targets(
        self, after: store_versions.StoreVersion | None
    ) -> StoreResult[ports.TargetsRead]:
        """Return the changes after a cursor, or all entries if None."""
        call = self._store.read_targets(after)
        return await self._measure('read_targets', call)

    async def read_lease(self, lease_name: str) -> StoreResult[ports.LeaseRow]:
        """Return the lease of a duty; version 0 if there is none."""
        call = self._store.read_lease(lease_name)
        return await self._measure('read_lease', call)

    async def write_lease(
        self, lease_name: str, holder: str, previous: ports.LeaseRow
    ) -> StoreResult[ports.LeaseRow]:
        """Replace the lease; fail with `is_conflict` if it has changed."""
        call = self._store.write_lease(lease_name, holder, previous)
        return await self._measure('write_lease', call)

    async def write_host(self, entry: ports.HostEntry) -> StoreResult[None]:
        """Write the entry of this host."""
        call = self._store.write_host(entry)
        return await self._measure('write_host', call)

    async def remove_host(self, name: str) -> StoreResult[None]:
        """Remove the entry of a host that stops."""
        call = self._store.remove_host(name)
        return await self._measure('remove_host', call)

    async def list_hosts(self) -> StoreResult[ports.HostsRead]:
        """Return the entries of all hosts."""
        return await self._measure('list_hosts', self._store.list_hosts())

    async def share_secret(self, proposal: bytes) -> StoreResult[bytes]:
        """Return the fleet's secret, storing `proposal` if there was none."""
        call = self._store.share_secret(proposal)
        return await self._measure('share_secret', call)

    async def read_software(
        self,
    ) -> StoreResult[abc.Mapping[str, ports.SoftwareRow]]:
        """Return the software versions of each service's streams."""
        return await self._measure(
            'read_software', self._store.read_software()
        )

    async def write_software(
        self, row: ports.SoftwareRow
    ) -> StoreResult[None]:
        """Replace a service's row; fail with `is_conflict` if it changed."""
        return await self._measure(
            'write_software', self._store.write_software(row)
        )

    async def read_streams(self) -> StoreResult[ports.StreamsRead]:
        """Return the streams that any host has written."""
        return await self._measure('read_streams', self._store.read_streams())

    async def write_streams(
        self, host: str, streams: ports.KeysByOrigin
    ) -> StoreResult[None]:
        """Replace the streams that a host has written."""
        return await self._measure(
            'write_streams', self._store.write_streams(host, streams)
        )

    async def read_crash_records(
        self,
    ) -> StoreResult[crash_records.CrashRecordsRead]:
        """Return the records of what crashes targets."""
        return await self._measure(
            'read_crash_records', self._store.read_crash_records()
        )

    async def write_crash_record(
        self, record: crash_records.CrashRecord
    ) -> StoreResult[None]:
        """Replace a record; fail with `is_conflict` if it has changed."""
        call = self._store.write_crash_record(record)
        return await self._measure('write_crash_record', call)

    async def remove_crash_record(
        self, subject: crash_records.Subject
    ) -> StoreResult[None]:
        """Remove a record."""
        call = self._store.remove_crash_record(subject)
        return await self._measure('remove_crash_record', call)


def _get_outcome_label(call_result: StoreResult[Value]) -> str:
    if pipeline.is_successful(call_result):
        return 'ok'
    failure = call_result.failure()
    if failure.is_conflict:
        return 'conflict'
    if failure.is_history_lost:
        return 'history_lost'
    return 'unknown' if failure.is_outcome_unknown else 'failed'
