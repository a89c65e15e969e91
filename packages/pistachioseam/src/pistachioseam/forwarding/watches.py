"""Watches that keep this host's knowledge of the store up to date."""

import abc
import typing

from returns import pipeline as railway
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers

DESIRED_WAIT_SECONDS = 0.8
"""Longest silence of the watch; other hosts of the domain rely on it too."""
TARGETS_SECONDS = 1.0
"""Pause between reads of the targets' entries, within the drain bound."""
FIRST_RETRY_SECONDS = 0.2
LAST_RETRY_SECONDS = 1.0
"""Bounds of the pause after failed calls; a refused call is not free."""


class Retry:
    """Exponential backoff with jitter."""

    def __init__(self, router: routers.CallRouter) -> None:
        self._router = router
        self._seconds = FIRST_RETRY_SECONDS

    def reset(self) -> None:
        """Start again from the shortest pause."""
        self._seconds = FIRST_RETRY_SECONDS

    async def pause(self) -> None:
        """Wait longer after each failure."""
        jitter = 0.5 + self._router.random.random()
        await self._router.runtime.sleep(self._seconds * jitter)
        self._seconds = min(LAST_RETRY_SECONDS, self._seconds * 2)


class Contact:
    """Reports when a dependency is lost and when it is back."""

    def __init__(self, router: routers.CallRouter, name: str) -> None:
        self._router = router
        self._name = name
        self._lost_at: float | None = None

    def note_lost(self, detail: str) -> None:
        """Note a failed call."""
        if self._lost_at is None:
            self._lost_at = self._router.read_boot_clock()
            self._router.sink.emit(
                events.Event.STORE_LOST, watch=self._name, detail=detail
            )

    def note_regained(self) -> None:
        """Note a successful call."""
        if self._lost_at is not None:
            seconds = self._router.read_boot_clock() - self._lost_at
            self._lost_at = None
            self._router.sink.emit(
                events.Event.STORE_REGAINED,
                watch=self._name,
                seconds=round(seconds, 2),
            )


Value = typing.TypeVar('Value', ports.DesiredChange, ports.TargetsRead)


class TableWatch(abc.ABC, typing.Generic[Value]):
    """Follows one table of the store, by a cursor."""

    name: str
    pause_seconds = 0.0
    wait_seconds = 0.0

    def __init__(
        self, router: routers.CallRouter, platform: ports.Platform
    ) -> None:
        self.mark = confirmations.TableMark()
        self._router = router
        self._platform = platform
        self._retry = Retry(router)
        self._contact = Contact(router, self.name)

    async def run(self) -> None:
        """Read for ever, except while a peer confirms what is known."""
        while True:
            await self.mark.is_direct.wait()
            if not await self.read():
                await self._retry.pause()
            elif self.pause_seconds:
                await self._router.runtime.sleep(self.pause_seconds)

    async def read(self, wait_seconds: float | None = None) -> bool:
        """Read once; tell whether the store answered."""
        if wait_seconds is None:
            wait_seconds = self.wait_seconds
        sent_at = self._router.read_boot_clock()
        read = await self._ask(wait_seconds)
        if not railway.is_successful(read):
            self._note_trouble(read.failure())
            return False
        found = read.unwrap()
        has_changed = self._take_in(found)
        self.mark.note_read(found.cursor, has_changed, sent_at)
        self.note_confirmed(sent_at)
        self._contact.note_regained()
        self._retry.reset()
        return True

    def _note_trouble(self, trouble: ports.StoreFailure) -> None:
        if trouble.is_history_lost:
            self.mark.forget()
            self._router.sink.emit(events.Event.HISTORY_LOST, watch=self.name)
        self._contact.note_lost(trouble.detail)

    @abc.abstractmethod
    async def _ask(
        self, wait_seconds: float
    ) -> result.Result[Value, ports.StoreFailure]:
        """Return what has changed behind the cursor."""

    @abc.abstractmethod
    def _take_in(self, found: Value) -> bool:
        """Take in what was read; tell whether it changed anything."""

    @abc.abstractmethod
    def note_confirmed(self, confirmed_at: float) -> None:
        """Note that this host knew all that there was at a time."""


class DesiredWatch(TableWatch[ports.DesiredChange]):
    """Follows the operators' documents."""

    name = 'desired'
    wait_seconds = DESIRED_WAIT_SECONDS

    async def _ask(
        self, wait_seconds: float
    ) -> result.Result[ports.DesiredChange, ports.StoreFailure]:
        return await self._platform.read_desired(
            self.mark.cursor, wait_seconds
        )

    def _take_in(self, found: ports.DesiredChange) -> bool:
        router = self._router
        return router.desired.apply(found, router.runtime.now())

    def note_confirmed(self, confirmed_at: float) -> None:
        """Note the age of the keys."""
        if self._router.desired.state is not None:
            self._router.freshness.note_confirmed(confirmed_at)


class TargetsWatch(TableWatch[ports.TargetsRead]):
    """Follows the targets' entries, at most once a second."""

    name = 'targets'
    pause_seconds = TARGETS_SECONDS

    async def _ask(
        self, wait_seconds: float
    ) -> result.Result[ports.TargetsRead, ports.StoreFailure]:
        return await self._platform.read_targets(self.mark.cursor)

    def _take_in(self, found: ports.TargetsRead) -> bool:
        router = self._router
        for finding in found.findings:
            router.sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        # Hosts that do not read the entries hear of the weights as peers.
        for entry in found.change.entries:
            for model, version in entry.weights.items():
                router.weights.note(entry, model, version)
        return router.catalog.apply(found.change, router.runtime.now())

    def _note_trouble(self, trouble: ports.StoreFailure) -> None:
        super()._note_trouble(trouble)
        self._router.catalog.expire(self._router.runtime.now())

    def note_confirmed(self, confirmed_at: float) -> None:
        """Note that the entries are as they were."""
        self._router.catalog.apply(
            catalog.NO_CHANGE, self._router.runtime.now()
        )
