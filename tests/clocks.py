"""Event loop with a virtual clock: it jumps to the next timer when idle."""

import asyncio
from collections import abc
import selectors
import typing

T = typing.TypeVar('T')
RUN_SECONDS = 600.0


class _Selector(selectors.SelectSelector):
    """Selector that moves the loop's clock instead of waiting."""

    loop: 'VirtualLoop'

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; a wait passes at once."""
        ready = super().select(0)
        if not ready and timeout:
            self.loop.advance(timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop whose time passes only while everything waits."""

    def __init__(self) -> None:
        selector = _Selector()
        selector.loop = self
        self._now = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self._now += seconds


def run(work: abc.Coroutine[typing.Any, typing.Any, T]) -> T:
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(asyncio.wait_for(work, RUN_SECONDS))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


async def settle() -> None:
    """Let started coroutines run until they wait."""
    for _ in range(10):
        await asyncio.sleep(0)
