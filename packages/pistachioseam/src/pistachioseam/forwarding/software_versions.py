"""Software versions with which each service may have begun streams.

Load pattern: all hosts are lost at the same moment, some seconds after a
version came into service or left it, and callers resume streams that no host
remembers. Therefore the platform's store holds a row for each service with the
versions that streams may have begun at. A host begins no stream at a version
before the row lists it. If the row lists one version only, any stream of the
service began at that one.
"""

import asyncio
from collections import abc
import contextlib
import typing

import attrs
from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import stream_origins
from pistachioseam import interfaces

STORE_WAIT_SECONDS = 0.5
"""Longest wait of a call for the rows: for a read if it resumes a stream, for
the listing of a target's version if it begins one."""
CHECK_SECONDS = 0.1
"""Pause between two checks of the targets' versions, unless a call waits."""
RETRY_SECONDS = 0.3
"""Shortest pause after a failed call to the store, before jitter."""
WRITE_SPREAD_SECONDS = 0.01
"""Time for each host of the fleet over which all hosts together write a new
version; most then find that another host has listed it."""
MAX_WRITE_SPREAD_SECONDS = 1.0
RETIRE_SECONDS = stream_origins.MEMORY_SECONDS
"""Time without a target of a version after which the row no longer lists
it."""
UNLISTED_SECONDS = 3.0
"""Time after which targets of a version get streams though the store has not
confirmed that the row lists it."""

ServiceVersion = tuple[str, str]


class Store(typing.Protocol):
    """Rows of the platform's store."""

    async def read_software(
        self,
    ) -> result.Result[
        abc.Mapping[str, ports.SoftwareRow], ports.StoreFailure
    ]:
        """Return the rows by service."""

    async def write_software(
        self, row: ports.SoftwareRow
    ) -> result.Result[None, ports.StoreFailure]:
        """Replace a row if it has not changed, else `is_conflict`."""


@attrs.define
class _Sighting:
    """When targets of a version were first and last registered."""

    first_seen_at: float
    last_seen_at: float


class SoftwareVersions:
    """Versions by service, as listed in the store and as registered.

    `is_retirer` returns whether this host removes versions that have left,
    `count_hosts` the number of hosts in the fleet.
    """

    def __init__(
        self,
        targets: catalog.TargetCatalog,
        state: known_versions.DesiredStateCache,
        runtime: interfaces.Runtime,
        random: interfaces.RandomSource,
        sink: interfaces.EventSink,
        store: Store,
        is_retirer: abc.Callable[[], bool] = lambda: False,
        count_hosts: abc.Callable[[], int] = lambda: 1,
    ) -> None:
        self._targets = targets
        self._state = state
        self._runtime = runtime
        self._random = random
        self._sink = sink
        self._store = store
        self._is_retirer = is_retirer
        self._count_hosts = count_hosts
        self._rows: dict[str, ports.SoftwareRow] = {}
        self._sightings: dict[ServiceVersion, _Sighting] = {}
        self._read_lock = asyncio.Lock()
        self._reads_begun = 0
        self._is_last_read_ok = False
        self._has_synced = False
        self._is_failing = False
        self._wanted = runtime.create_signal()
        self._updated = runtime.create_signal()

    async def run(self) -> None:
        """Keep the rows in line with the registered targets, forever."""
        started_at = self._runtime.now()
        while True:
            is_updated = await self.update()
            seconds = self._runtime.now() - started_at
            if self._targets.has_synced() and self._state.state is not None:
                self._has_synced |= seconds > UNLISTED_SECONDS or (
                    is_updated and not self._list_unlisted()
                )
            self._report_update(is_updated)
            if not is_updated:
                jitter = 0.5 + self._random.random()
                await self._runtime.sleep(RETRY_SECONDS * jitter)
            await self._pause()

    def _report_update(self, is_updated: bool) -> None:
        """Wake the calls that wait for an update."""
        self._is_failing = not is_updated
        self._updated.set()
        self._updated = self._runtime.create_signal()

    async def _pause(self) -> None:
        """Return when the next check is due, or a call waits for it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_SECONDS):
                await self._wanted.wait()
        self._wanted = self._runtime.create_signal()

    async def wait_for_update(self, max_seconds: float) -> None:
        """Return after an update, which begins at once, or the given time."""
        self._wanted.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_seconds):
                await self._updated.wait()

    async def update(self) -> bool:
        """List new versions, retire old ones; return whether that worked."""
        self._record_sightings()
        if not self._list_unlisted() and not self._list_retired():
            return True
        if await self.read() is None:
            return False
        if not self._list_unlisted() and not self._list_retired():
            return True
        spread = min(
            MAX_WRITE_SPREAD_SECONDS,
            WRITE_SPREAD_SECONDS * self._count_hosts(),
        )
        await self._runtime.sleep(self._random.random() * spread)
        if await self.read() is None:
            return False
        return await self._write()

    def _record_sightings(self) -> None:
        now = self._runtime.now()
        for service_version in self._list_registered():
            sighting = self._sightings.get(service_version)
            if sighting is None:
                self._sightings[service_version] = _Sighting(now, now)
                continue
            if self._is_retirable(sighting, now):
                sighting.first_seen_at = now
                self._rows.pop(service_version[0], None)
            sighting.last_seen_at = now
        for service, row in self._rows.items():
            for version in row.versions:
                # Listed before this host has seen a target of it.
                self._sightings.setdefault(
                    (service, version), _Sighting(now, now)
                )

    def _list_registered(self) -> set[ServiceVersion]:
        """Return the versions of the targets of resumable streams."""
        services = self._list_services()
        return {
            (target.service, target.software_version)
            for target in self._targets.list_all()
            if target.service in services
        }

    def _list_services(self) -> set[str]:
        state = self._state.state
        return {
            service.name
            for route in (state.routes if state else ())
            if route.semantics is desired.CallSemantics.RESUMABLE
            for service in route.services
        }

    def _is_retirable(self, sighting: _Sighting, now: float) -> bool:
        """Return whether another host may have retired a version."""
        return now - sighting.last_seen_at > RETIRE_SECONDS / 2

    def _list_unlisted(self) -> set[ServiceVersion]:
        return {
            (service, version)
            for service, version in self._list_registered()
            if not self._is_in_row(service, version)
        }

    def _is_in_row(self, service: str, version: str) -> bool:
        row = self._rows.get(service)
        return row is not None and version in row.versions

    def _list_retired(self) -> set[ServiceVersion]:
        """Return the listed versions that this host has to retire."""
        if not self._is_retirer():
            return set()
        now = self._runtime.now()
        return {
            (service, version)
            for service, row in self._rows.items()
            for version in row.versions
            if now - self._sightings[service, version].last_seen_at
            > RETIRE_SECONDS
        }

    async def _write(self) -> bool:
        retired = self._list_retired()
        unlisted = self._list_unlisted()
        for service in {service for service, _ in unlisted | retired}:
            row = self._rows.get(service, ports.SoftwareRow(service))
            versions = {
                *(v for v in row.versions if (service, v) not in retired),
                *(version for name, version in unlisted if name == service),
            }
            written = await self._store.write_software(
                attrs.evolve(row, versions=tuple(sorted(versions)))
            )
            if not returns_pipeline.is_successful(written):
                if written.failure().is_conflict:
                    continue
                # The next check reads the rows again.
                self._rows = {}
                return False
            self._sink.emit(
                events.Event.SOFTWARE_VERSIONS_CHANGED,
                service=service,
                versions=sorted(versions),
                before=list(row.versions),
            )
        return await self.read() is not None

    async def read(self) -> abc.Mapping[str, ports.SoftwareRow] | None:
        """Return rows from a read that begins now or later, None on failure.

        Callers that wait at the same time share a read.
        """
        begun_before = self._reads_begun
        async with self._read_lock:
            if self._reads_begun > begun_before:
                return self._rows if self._is_last_read_ok else None
            self._reads_begun += 1
            self._is_last_read_ok = False
            read = await self._store.read_software()
            if not returns_pipeline.is_successful(read):
                return None
            self._is_last_read_ok = True
            self.apply_rows(read.unwrap())
            return self._rows

    def apply_rows(self, rows: abc.Mapping[str, ports.SoftwareRow]) -> None:
        """Replace the rows by those that were read."""
        self._rows = dict(rows)
        self._record_sightings()

    def forget_rows(self) -> None:
        """Read and write the rows again: the store may have lost them."""
        self._rows = {}

    def has_synced(self) -> bool:
        """Return whether streams may begin, or the store has failed so far."""
        return self._has_synced

    def may_begin_streams(self, target: catalog.LiveTarget) -> bool:
        """Return whether a stream may begin at a target.

        Its version is listed, or the store has not confirmed that for long.
        """
        service_version = (target.service, target.software_version)
        sighting = self._sightings.get(service_version)
        now = self._runtime.now()
        if sighting is None or self._is_retirable(sighting, now):
            return False
        seconds = now - sighting.first_seen_at
        return seconds > UNLISTED_SECONDS or self._is_in_row(*service_version)

    def is_being_listed(self, target: catalog.LiveTarget) -> bool:
        """Return whether streams may soon begin at a target, but not yet.

        False if the store fails, which may take long.
        """
        return (
            not self._is_failing
            and target.service in self._list_services()
            and not self.may_begin_streams(target)
        )

    def has_several(self) -> bool:
        """Return whether a service may have streams of several versions."""
        versions: dict[str, set[str]] = {}
        for service, version in self._list_registered():
            versions.setdefault(service, set()).add(version)
        for service, row in self._rows.items():
            versions.setdefault(service, set()).update(row.versions)
        return any(len(found) > 1 for found in versions.values())

    async def find_only_version(self, service: str) -> str | None:
        """Return the version of all streams of a service, None if unclear."""
        try:
            async with asyncio.timeout(STORE_WAIT_SECONDS):
                rows = await self.read()
        except TimeoutError:
            return None
        row = rows.get(service) if rows else None
        if row is None or len(row.versions) != 1:
            return None
        return row.versions[0]
