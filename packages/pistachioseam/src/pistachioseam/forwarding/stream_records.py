"""Origins of recent streams in the platform's store.

Load pattern: all hosts are lost at the same moment while several software
versions serve. Callers come back within seconds and resume streams that no
host remembers. Writing each stream would cost a call for each, so one host of
each region writes those of all hosts, a few times a second.
"""

from collections import abc
import typing

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import software_versions
from pistachioseam.forwarding import stream_origins
from pistachioseam import interfaces

WRITE_SECONDS = 0.25
"""Pause between two writes; streams that began in it may be lost."""
MAX_AGE_SECONDS = 8.0
"""Age up to which streams are written; most callers have given up by then."""
MAX_STREAMS = 4_000
"""Streams that are written, the newest first; a row holds 64 KB."""
READ_RETRY_SECONDS = 0.3
"""Pause before the read at the start is repeated, before jitter."""


class Store(typing.Protocol):
    """Rows of the platform's store."""

    async def read_streams(
        self,
    ) -> result.Result[ports.StreamsRead, ports.StoreFailure]:
        """Return the streams that any host has written."""

    async def write_streams(
        self, host: str, streams: ports.KeysByOrigin
    ) -> result.Result[None, ports.StoreFailure]:
        """Replace the streams that a host has written."""


class StreamRecorder:
    """Writes recent streams to the store, and reads them at the start.

    `is_writer` returns whether this host writes for its region.
    """

    def __init__(
        self,
        host: str,
        origins: stream_origins.StreamOrigins,
        software: software_versions.SoftwareVersions,
        runtime: interfaces.Runtime,
        random: interfaces.RandomSource,
        sink: interfaces.EventSink,
        store: Store,
        is_writer: abc.Callable[[], bool],
    ) -> None:
        self._host = host
        self._origins = origins
        self._software = software
        self._runtime = runtime
        self._random = random
        self._sink = sink
        self._store = store
        self._is_writer = is_writer
        self._written_count = 0

    async def run(self) -> None:
        """Read what was written before the start, then write forever."""
        while not await self.read():
            jitter = 0.5 + self._random.random()
            await self._runtime.sleep(READ_RETRY_SECONDS * jitter)
        while True:
            await self.write_new()
            await self._runtime.sleep(WRITE_SECONDS)

    async def read(self) -> bool:
        """Learn the streams in the store; return whether that succeeded."""
        read = await self._store.read_streams()
        if not returns_pipeline.is_successful(read):
            return False
        found = read.unwrap()
        for finding in found.findings:
            self._sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        now = self._runtime.now()
        for origin, keys in found.streams.items():
            self._origins.merge(keys, origin, now)
        return True

    async def write_new(self) -> None:
        """Write the recent streams if there are new ones.

        With a single version, the row of the versions is enough.
        """
        count = self._origins.added_count
        if (
            count == self._written_count
            or not self._is_writer()
            or not self._software.has_several()
        ):
            return
        streams = self._origins.list_recent(
            self._runtime.now(), MAX_AGE_SECONDS, MAX_STREAMS
        )
        written = await self._store.write_streams(self._host, streams)
        if returns_pipeline.is_successful(written):
            self._written_count = count
