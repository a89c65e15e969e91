"""Watches that keep this host's cache of the platform's store up to date."""

import abc
import typing

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers

DESIRED_LONG_POLL_SECONDS = 0.8
"""Longest wait of a long poll without a change. If this host is the domain's
leader, the store's response also confirms the caches of its followers, so a
longer wait would make them stale."""
TARGETS_POLL_SECONDS = 1.0
"""Longest pause between reads of the targets' entries."""
POLLS_PER_DRAIN = 3
"""Reads of the targets' entries while a target drains. The host must see that
it leaves in time to stop sending it calls."""
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0
"""Bounds of the pause after failed calls, before jitter; the platform also
charges for calls that the store rejects."""


class Backoff:
    """Exponential backoff with jitter, for calls to the store."""

    def __init__(self, router: routers.CallRouter) -> None:
        self._router = router
        self._seconds = MIN_BACKOFF_SECONDS

    def reset(self) -> None:
        """Return to the shortest pause."""
        self._seconds = MIN_BACKOFF_SECONDS

    async def pause(self) -> None:
        """Sleep; before jitter, a pause is twice the last, up to a maximum."""
        jitter = 0.5 + self._router.random.random()
        await self._router.runtime.sleep(self._seconds * jitter)
        self._seconds = min(MAX_BACKOFF_SECONDS, self._seconds * 2)


class OutageReporter:
    """Logs the start and the end of an outage of the store, once each."""

    def __init__(self, router: routers.CallRouter, name: str) -> None:
        self._router = router
        self._name = name
        self._failing_since: float | None = None

    def record_failure(self, detail: str) -> None:
        """Record a failed call; the first one starts an outage."""
        if self._failing_since is None:
            self._failing_since = self._router.read_boot_clock()
            self._router.sink.emit(
                events.Event.STORE_UNREACHABLE, watch=self._name, detail=detail
            )

    def record_success(self) -> None:
        """Record a successful call; it ends an outage."""
        if self._failing_since is not None:
            seconds = self._router.read_boot_clock() - self._failing_since
            self._failing_since = None
            self._router.sink.emit(
                events.Event.STORE_RECOVERED,
                watch=self._name,
                seconds=round(seconds, 2),
            )


Value = typing.TypeVar('Value', ports.DesiredChange, ports.TargetsRead)


class TableWatch(abc.ABC, typing.Generic[Value]):
    """Watch of one table of the store, resumed from a cursor.

    `pause_seconds` is the pause between reads, `wait_seconds` the time for
    which a read waits for a change.
    """

    name: str
    pause_seconds = 0.0
    wait_seconds = 0.0

    def __init__(
        self, router: routers.CallRouter, platform: ports.Platform
    ) -> None:
        self.progress = confirmations.TableProgress()
        self._router = router
        self._platform = platform
        self._backoff = Backoff(router)
        self._outages = OutageReporter(router, self.name)

    async def run(self) -> None:
        """Read forever, except while the leader confirms this cache."""
        while True:
            await self.progress.direct_watch.wait()
            if not await self.read():
                await self._backoff.pause()
            elif self.pause_seconds:
                await self._router.runtime.sleep(self._get_pause_seconds())

    def _get_pause_seconds(self) -> float:
        return self.pause_seconds

    async def read(self, wait_seconds: float | None = None) -> bool:
        """Read the changes since the cursor; return whether that succeeded."""
        if wait_seconds is None:
            wait_seconds = self.wait_seconds
        sent_at = self._router.read_boot_clock()
        read = await self._fetch(wait_seconds)
        if self._must_reread(read):
            sent_at = self._router.read_boot_clock()
            read = await self._fetch(0.0)
        if not returns_pipeline.is_successful(read):
            self._handle_failure(read.failure())
            return False
        found = read.unwrap()
        self._router.desired.store_clock.record(
            found.cursor,
            found.store_seconds,
            sent_at,
            self._router.read_boot_clock(),
        )
        is_restored = self.progress.is_restored(found.cursor)
        if is_restored:
            self._router.record_store_restored(found.cursor.era)
        has_changed = self._apply(found, is_restored) or is_restored
        self.progress.record_read(found.cursor, has_changed, sent_at)
        self.record_confirmation(sent_at)
        self._outages.record_success()
        self._backoff.reset()
        return True

    def _must_reread(
        self, read: result.Result[Value, ports.StoreFailure]
    ) -> bool:
        """Return whether a read failed only because its cursor is unknown."""
        if returns_pipeline.is_successful(read):
            return False
        if not read.failure().is_history_lost:
            return False
        self.progress.reset()
        self._router.sink.emit(events.Event.HISTORY_LOST, watch=self.name)
        return True

    def _handle_failure(self, failure: ports.StoreFailure) -> None:
        if failure.is_history_lost:
            self.progress.reset()
        self._outages.record_failure(failure.detail)

    @abc.abstractmethod
    async def _fetch(
        self, wait_seconds: float
    ) -> result.Result[Value, ports.StoreFailure]:
        """Return the changes since the cursor, or all without a cursor."""

    @abc.abstractmethod
    def _apply(self, found: Value, is_restored: bool) -> bool:
        """Apply what was read; return whether it changed the cache.

        `is_restored` says that the store has lost its newest rows since the
        last read.
        """

    @abc.abstractmethod
    def record_confirmation(self, confirmed_at: float) -> None:
        """Record that the cache was up to date at `confirmed_at`."""


class DesiredWatch(TableWatch[ports.DesiredChange]):
    """Watch of the operators' documents by long polls."""

    name = 'desired'
    wait_seconds = DESIRED_LONG_POLL_SECONDS

    async def _fetch(
        self, wait_seconds: float
    ) -> result.Result[ports.DesiredChange, ports.StoreFailure]:
        return await self._platform.read_desired(
            self.progress.cursor, wait_seconds
        )

    def _apply(self, found: ports.DesiredChange, is_restored: bool) -> bool:
        now = self._router.read_boot_clock()
        return self._router.desired.apply(
            found,
            now,
            now - self.progress.confirmed_at,
            self.progress.cursor,
        )

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record the time up to which revocations of keys are known."""
        if self._router.desired.state is not None:
            self._router.freshness.record_confirmation(confirmed_at)


class TargetsWatch(TableWatch[ports.TargetsRead]):
    """Watch of the targets' entries, polled once a second."""

    name = 'targets'
    pause_seconds = TARGETS_POLL_SECONDS

    def _get_pause_seconds(self) -> float:
        drain_seconds = self._router.notices.drain_seconds
        return min(self.pause_seconds, drain_seconds / POLLS_PER_DRAIN)

    async def _fetch(
        self, wait_seconds: float
    ) -> result.Result[ports.TargetsRead, ports.StoreFailure]:
        return await self._platform.read_targets(self.progress.cursor)

    def _apply(self, found: ports.TargetsRead, is_restored: bool) -> bool:
        router = self._router
        for finding in found.findings:
            router.sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        # Recorded weights are also sent to peers that do not read the entries.
        for entry in found.change.entries:
            if entry.target is None:
                continue
            for model, version in entry.target.weights.items():
                router.weights.record(entry.target, model, version)
        now = router.runtime.now()
        if is_restored:
            router.catalog.record_outage_end(now)
        return router.catalog.apply(found.change, now)

    def _handle_failure(self, failure: ports.StoreFailure) -> None:
        super()._handle_failure(failure)
        self._router.catalog.expire(self._router.runtime.now())

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record the time up to which the entries are known.

        Without it the catalog would take the time without a read for an outage
        of the store.
        """
        router = self._router
        router.targets_freshness.record_confirmation(confirmed_at)
        now = router.runtime.now()
        age_seconds = router.read_boot_clock() - confirmed_at
        router.catalog.record_confirmation(now - age_seconds, now)
