"""Watch of the stores of cached parts: which run, and since when.

Load pattern: a store restarts empty. Hosts that go on believing in what it
held would neither save parts there again nor know that they must be read.
"""

from collections import abc

from returns import pipeline as railway

from pistachioseam import events
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers

WATCHERS = 1
"""Hosts that watch a store; two could disagree, and places are few."""
RETRY_SECONDS = 0.5
"""Pause after a watch that failed."""


class StoreWatch:
    """Notes the epochs of all stores while this host is a watcher."""

    def __init__(
        self,
        router: routers.CallRouter,
        control: ports.EngineControl,
        get_standby_rank: abc.Callable[[], int],
    ) -> None:
        self._router = router
        self._control = control
        self._get_standby_rank = get_standby_rank

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            stores = self._list_addresses()
            if not stores or self._get_standby_rank() >= WATCHERS:
                await self._router.runtime.sleep(RETRY_SECONDS)
                continue
            for address in stores:
                if not await self._watch(address):
                    await self._router.runtime.sleep(RETRY_SECONDS)

    def _list_addresses(self) -> list[str]:
        state = self._router.desired.state
        if state is None:
            return []
        return [store.address for store in state.list_cache_stores()]

    async def _watch(self, address: str) -> bool:
        """Read a store's epoch once; tell whether it answered."""
        read = await self._control.read_epoch(address)
        if railway.is_successful(read):
            note_epoch(self._router, address, read.unwrap())
            return True
        if self._router.store_epochs.get(address) != DOWN:
            note_epoch(self._router, address, DOWN)
        return False


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
