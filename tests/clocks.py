"""Event loop with a virtual clock that jumps to the next timer when idle."""

import asyncio
from collections import abc
import selectors
import typing

T = typing.TypeVar('T')
RUN_TIMEOUT_SECONDS = 600.0


class _Selector(selectors.SelectSelector):
    """Selector that advances the loop's clock instead of blocking."""

    loop: 'VirtualLoop'

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready keys; advance the clock by `timeout` if none."""
        ready = super().select(0)
        if not ready and timeout:
            self.loop.advance(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only while no task can run."""

    def __init__(self) -> None:
        selector = _Selector()
        selector.loop = self
        self._now = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self._now += seconds


def run(
    coroutine: abc.Coroutine[typing.Any, typing.Any, T],
    timeout_seconds: float = RUN_TIMEOUT_SECONDS,
) -> T:
    """Run a coroutine in virtual time and return its result.

    Raises TimeoutError after `timeout_seconds` of virtual time.
    """
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(
            asyncio.wait_for(coroutine, timeout_seconds)
        )
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


async def run_pending() -> None:
    """Run ten loop cycles, so that started tasks reach their next wait."""
    for _ in range(10):
        await asyncio.sleep(0)
