"""Rows of the platform's store that the router writes, in memory."""

import asyncio
from collections import abc

import attrs
from returns import result

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import stream_origins

STORE_SECONDS = 0.005
"""Time that the store takes to respond."""
CLOCK_OFFSET_SECONDS = 5000.0
"""Time of the store's clock when that of the hosts is 0."""


class RowStore:
    """Rows with software versions, streams and crash records, in memory."""

    def __init__(self) -> None:
        self.rows: dict[str, ports.SoftwareRow] = {}
        self.is_down = False
        self.reads = 0
        self.read_seconds = STORE_SECONDS
        self.streams: dict[str, ports.KeysByOrigin] = {}
        self.crash_records: dict[
            crash_records.Subject, crash_records.CrashRecord
        ] = {}
        self.crash_reads = 0

    def list_versions(self, targets: abc.Iterable[catalog.LiveTarget]) -> None:
        """List the versions of targets."""
        for target in targets:
            row = self.rows.get(
                target.service, ports.SoftwareRow(target.service)
            )
            versions = {*row.versions, target.software_version}
            self.rows[target.service] = ports.SoftwareRow(
                target.service, tuple(sorted(versions)), row.row_version + 1
            )

    async def read_software(
        self,
    ) -> result.Result[
        abc.Mapping[str, ports.SoftwareRow], ports.StoreFailure
    ]:
        """Return the rows by service."""
        self.reads += 1
        await asyncio.sleep(self.read_seconds)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='down'))
        return result.Success(dict(self.rows))

    async def write_software(
        self, row: ports.SoftwareRow
    ) -> result.Result[None, ports.StoreFailure]:
        """Replace a row if it has not changed."""
        await asyncio.sleep(STORE_SECONDS)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='down'))
        known = self.rows.get(row.service, ports.SoftwareRow(row.service))
        if known.row_version != row.row_version:
            return result.Failure(
                ports.StoreFailure(detail='changed', is_conflict=True)
            )
        self.rows[row.service] = attrs.evolve(
            row, row_version=row.row_version + 1
        )
        return result.Success(None)

    async def read_streams(
        self,
    ) -> result.Result[ports.StreamsRead, ports.StoreFailure]:
        """Return the streams that any host has written."""
        await asyncio.sleep(STORE_SECONDS)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='down'))
        streams: dict[stream_origins.StreamOrigin, list[int]] = {}
        for written in self.streams.values():
            for origin, keys in written.items():
                streams.setdefault(origin, []).extend(keys)
        return result.Success(ports.StreamsRead(streams))

    async def write_streams(
        self, host: str, streams: ports.KeysByOrigin
    ) -> result.Result[None, ports.StoreFailure]:
        """Replace the streams that a host has written."""
        await asyncio.sleep(STORE_SECONDS)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='down'))
        self.streams[host] = streams
        return result.Success(None)

    async def read_crash_records(
        self,
    ) -> result.Result[crash_records.CrashRecordsRead, ports.StoreFailure]:
        """Return the records, with the time of the store's clock."""
        self.crash_reads += 1
        await asyncio.sleep(STORE_SECONDS)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='down'))
        now = asyncio.get_running_loop().time() + CLOCK_OFFSET_SECONDS
        return result.Success(
            crash_records.CrashRecordsRead(dict(self.crash_records), now)
        )

    async def write_crash_record(
        self, record: crash_records.CrashRecord
    ) -> result.Result[None, ports.StoreFailure]:
        """Replace a record if it has not changed."""
        await asyncio.sleep(STORE_SECONDS)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='down'))
        known = self.crash_records.get(record.subject)
        if record.row_version != (known.row_version if known else 0):
            return result.Failure(
                ports.StoreFailure(detail='changed', is_conflict=True)
            )
        self.crash_records[record.subject] = attrs.evolve(
            record, row_version=record.row_version + 1
        )
        return result.Success(None)

    async def remove_crash_record(
        self, subject: crash_records.Subject
    ) -> result.Result[None, ports.StoreFailure]:
        """Remove a record."""
        await asyncio.sleep(STORE_SECONDS)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='down'))
        self.crash_records.pop(subject, None)
        return result.Success(None)
