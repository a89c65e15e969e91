"""Watches that keep this host's knowledge of the store up to date."""

from returns import pipeline as railway

from pistachioseam import events
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers

DESIRED_WAIT_SECONDS = 1.2
"""Longest silence of the watch; keys need a confirmation in time."""
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


class DesiredWatch:
    """Follows the operators' documents."""

    def __init__(
        self, router: routers.CallRouter, platform: ports.Platform
    ) -> None:
        self._router = router
        self._platform = platform
        self._cursor: int | None = None
        self._retry = Retry(router)
        self._contact = Contact(router, 'desired')

    async def run(self) -> None:
        """Read for ever."""
        while True:
            if not await self.read():
                await self._retry.pause()

    async def read(self) -> bool:
        """Read once; tell whether the store answered."""
        router = self._router
        sent_at = router.read_boot_clock()
        read = await self._platform.read_desired(
            self._cursor, DESIRED_WAIT_SECONDS
        )
        if not railway.is_successful(read):
            return self._note_trouble(read.failure())
        change = read.unwrap()
        self._cursor = change.cursor
        router.desired.apply(change, router.runtime.now())
        if router.desired.state is not None:
            router.freshness.note_confirmed(sent_at)
        self._contact.note_regained()
        self._retry.reset()
        return True

    def _note_trouble(self, trouble: ports.StoreTrouble) -> bool:
        if trouble.is_history_lost:
            self._cursor = None
            self._router.sink.emit(events.Event.HISTORY_LOST, watch='desired')
        self._contact.note_lost(trouble.detail)
        return False


class TargetsWatch:
    """Follows the targets' entries."""

    def __init__(
        self, router: routers.CallRouter, platform: ports.Platform
    ) -> None:
        self._router = router
        self._platform = platform
        self._cursor: int | None = None
        self._retry = Retry(router)
        self._contact = Contact(router, 'targets')

    async def run(self) -> None:
        """Read for ever, at most once a second."""
        while True:
            if await self.read():
                await self._router.runtime.sleep(TARGETS_SECONDS)
            else:
                await self._retry.pause()

    async def read(self) -> bool:
        """Read once; tell whether the store answered."""
        router = self._router
        read = await self._platform.read_targets(self._cursor)
        now = router.runtime.now()
        if not railway.is_successful(read):
            trouble = read.failure()
            if trouble.is_history_lost:
                self._cursor = None
                router.sink.emit(events.Event.HISTORY_LOST, watch='targets')
            self._contact.note_lost(trouble.detail)
            router.catalog.expire(now)
            return False
        found = read.unwrap()
        self._cursor = found.cursor
        for finding in found.findings:
            router.sink.emit(events.Event.DOCUMENT_MALFORMED, finding=finding)
        router.catalog.apply(found.change, now)
        self._contact.note_regained()
        self._retry.reset()
        return True
