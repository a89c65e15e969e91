"""Watch of the KV cache stores for restarts and outages.

Load pattern: a cache store restarts empty. Hosts that still counted on its
former contents would neither save those KV cache entries again nor expect that
prompts need a prefill.
"""

from collections import abc

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces

ReadResult = result.Result[ports.CacheStoreEpoch, interfaces.CallFailure]
POLL_SECONDS = 1.0
"""Pause between two reads of a cache store's epoch; the platform charges for
each read."""


class CacheStoreWatch:
    """Polls the epochs of the KV cache stores that this host watches.

    Answers bear no id, so one that shows a change may be the late copy of an
    earlier one; it is confirmed on a new connection, which carries no copy.
    `should_watch` returns whether this host watches a domain's cache stores.
    Only one host in the cache store's region does: two hosts could disagree,
    and traffic between regions is expensive.
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
        """Poll all watched cache stores forever."""
        while True:
            for cache_store in self._list_cache_stores():
                await self._poll(cache_store.address)
            await self._router.runtime.sleep(POLL_SECONDS)

    def _list_cache_stores(self) -> list[desired.CacheStore]:
        state = self._router.desired.state
        if state is None:
            return []
        return [
            cache_store
            for cache_store in state.list_cache_stores()
            if self._should_watch(cache_store.domain)
        ]

    async def _poll(self, address: str) -> None:
        """Record the epoch of a cache store, `DOWN_EPOCH` on failure."""
        now = self._router.runtime.now()
        if self._router.notices.get_pause_seconds((address, 0), now) > 0:
            return
        cursor = self._cursors.get(address, 0)
        read = await self._control.read_epoch(address, cursor)
        if self._shows_change(address, read):
            read = await self._control.read_epoch(
                address, 0, needs_new_connection=True
            )
        if returns_pipeline.is_successful(read):
            current = read.unwrap()
            self._cursors[address] = current.cursor
            record_epoch(self._router, address, current.epoch)
        else:
            self._cursors.pop(address, None)
            record_epoch(self._router, address, DOWN_EPOCH)

    def _shows_change(self, address: str, read: ReadResult) -> bool:
        """Return whether an answer shows another state than the known one."""
        known = self._router.cache_store_epochs.get(address)
        if known is None:
            return False
        if returns_pipeline.is_successful(read):
            return read.unwrap().epoch != known
        is_answer = read.failure().kind is interfaces.FailureKind.FAILED
        return is_answer and known != DOWN_EPOCH


DOWN_EPOCH = -1
"""Epoch of a cache store that does not respond."""


def record_epoch(router: routers.CallRouter, address: str, epoch: int) -> None:
    """Record an epoch; drop the cache model after a restart or an outage."""
    known = router.cache_store_epochs.get(address)
    if known == epoch:
        return
    router.cache_store_epochs[address] = epoch
    if known is None and epoch != DOWN_EPOCH:
        return
    router.cache_models.forget(address)
    router.sink.emit(
        events.Event.CACHE_STORE_CHANGED,
        address=address,
        epoch=epoch,
        before=known,
    )


def is_down(router: routers.CallRouter, address: str) -> bool:
    """Return whether a cache store did not respond to the last poll."""
    return router.cache_store_epochs.get(address) == DOWN_EPOCH
