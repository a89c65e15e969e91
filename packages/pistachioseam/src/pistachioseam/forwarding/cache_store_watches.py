"""Watch of the KV cache stores for restarts and outages.

Load pattern: a store restarts empty. Hosts that still counted on its former
contents would neither save those KV cache entries again nor expect that
prompts need a prefill.
"""

from collections import abc

from returns import pipeline as railway

from pistachioseam import events
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers

POLL_SECONDS = 1.0
"""Pause between two reads of a store's epoch; the platform charges for each
read."""


class CacheStoreWatch:
    """Polls the epochs of the KV cache stores that this host watches.

    `should_watch` returns whether this host watches the stores of a domain.
    Only one host in the store's region does: two hosts could disagree, and
    traffic between regions is expensive.
    """

    def __init__(
        self,
        router: routers.CallRouter,
        control: ports.EngineControl,
        should_watch: abc.Callable[[str], bool],
    ) -> None:
        self._router = router
        self._control = control
        self._should_watch = should_watch
        self._cursors: dict[str, int] = {}

    async def run(self) -> None:
        """Poll all watched stores forever."""
        while True:
            for store in self._list_stores():
                await self._poll(store.address)
            await self._router.runtime.sleep(POLL_SECONDS)

    def _list_stores(self) -> list[desired.CacheStore]:
        state = self._router.desired.state
        if state is None:
            return []
        return [
            store
            for store in state.list_cache_stores()
            if self._should_watch(store.domain)
        ]

    async def _poll(self, address: str) -> None:
        """Read a store's epoch and record it, or that the store is down."""
        cursor = self._cursors.get(address, 0)
        read = await self._control.read_epoch(address, cursor)
        if railway.is_successful(read):
            current = read.unwrap()
            self._cursors[address] = current.cursor
            record_epoch(self._router, address, current.epoch)
        else:
            self._cursors.pop(address, None)
            record_epoch(self._router, address, DOWN_EPOCH)


DOWN_EPOCH = -1
"""Epoch of a store that does not respond."""


def record_epoch(router: routers.CallRouter, address: str, epoch: int) -> None:
    """Record an epoch; drop the store's cache model on a restart or outage."""
    known = router.store_epochs.get(address)
    if known == epoch:
        return
    router.store_epochs[address] = epoch
    if known is None and epoch != DOWN_EPOCH:
        return
    router.caches.forget(address)
    router.sink.emit(
        events.Event.CACHE_STORE_CHANGED,
        address=address,
        epoch=epoch,
        before=known,
    )


def is_down(router: routers.CallRouter, address: str) -> bool:
    """Return whether a store did not respond to the last poll."""
    return router.store_epochs.get(address) == DOWN_EPOCH
