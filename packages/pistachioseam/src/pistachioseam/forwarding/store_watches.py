"""Watch of the stores of cached parts: which run, and since when.

Load pattern: a store restarts empty. Hosts that go on believing in what it
held would neither save parts there again nor know that they must be read.
"""

from collections import abc

from returns import pipeline as railway

from pistachioseam import events
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers

WATCH_SECONDS = 1.0
"""Pause between two questions to a store; quick ones are priced."""


class StoreWatch:
    """Notes the epochs of the stores that this host watches.

    `is_watcher` tells whether it watches a store in a domain. One host in
    the store's region does: two could disagree, and bytes between regions
    are dear.
    """

    def __init__(
        self,
        router: routers.CallRouter,
        control: ports.EngineControl,
        is_watcher: abc.Callable[[str], bool],
    ) -> None:
        self._router = router
        self._control = control
        self._is_watcher = is_watcher
        self._cursors: dict[str, int] = {}

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            for store in self._list_stores():
                await self._watch(store.address)
            await self._router.runtime.sleep(WATCH_SECONDS)

    def _list_stores(self) -> list[desired.CacheStore]:
        state = self._router.desired.state
        if state is None:
            return []
        return [
            store
            for store in state.list_cache_stores()
            if self._is_watcher(store.domain)
        ]

    async def _watch(self, address: str) -> None:
        """Read a store's epoch once."""
        cursor = self._cursors.get(address, 0)
        read = await self._control.read_epoch(address, cursor)
        if railway.is_successful(read):
            found = read.unwrap()
            self._cursors[address] = found.cursor
            note_epoch(self._router, address, found.epoch)
        else:
            self._cursors.pop(address, None)
            note_epoch(self._router, address, DOWN)


DOWN = -1
"""Epoch of a store that does not answer."""


def note_epoch(router: routers.CallRouter, address: str, epoch: int) -> None:
    """Drop what is believed of a store that has restarted or is down."""
    known = router.store_epochs.get(address)
    if known == epoch:
        return
    router.store_epochs[address] = epoch
    if known is None and epoch != DOWN:
        return
    router.caches.forget(address)
    router.sink.emit(
        events.Event.CACHE_STORE_CHANGED,
        address=address,
        epoch=epoch,
        before=known,
    )


def is_down(router: routers.CallRouter, address: str) -> bool:
    """Tell whether a store is known not to answer."""
    return router.store_epochs.get(address) == DOWN
