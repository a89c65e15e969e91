"""Clock, background tasks and randomness of a process.

Implements `interfaces.Runtime` and `interfaces.RandomSource`.
"""

import asyncio
from collections import abc
import contextlib
import random
import secrets
import typing

from pistachioseam import events
from pistachioseam import interfaces
from pistachioseam_entry import loops

TOKEN_BYTES = 12


class AsyncioSignal:
    """One-shot event of the running event loop."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def set(self) -> None:
        """Wake all current and later waiters."""
        self._event.set()

    async def wait(self) -> None:
        """Return once the signal is set."""
        await self._event.wait()


class AsyncioRuntime:
    """Runtime on the running event loop; owns the background tasks."""

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self._tasks: set[asyncio.Task[None]] = set()
        self.loops = loops.LoopSupervisor(sink)

    def __enter__(self) -> 'AsyncioRuntime':
        """Return the runtime."""
        return self

    def __exit__(self, *_: object) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    def now(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Return after a delay."""
        await asyncio.sleep(seconds)

    def create_signal(self) -> AsyncioSignal:
        """Return a new unset signal."""
        return AsyncioSignal()

    def start(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine in the background; log an error that it raises."""
        task = asyncio.ensure_future(self._run_and_log_errors(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_loop(
        self,
        name: str,
        work: abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]],
        is_essential: bool = False,
    ) -> None:
        """Run a loop in the background, again after each error it raises."""
        self.start(self.loops.run(name, work, is_essential))

    async def _run_and_log_errors(
        self, work: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            try:
                await work
            except Exception as error:
                self._sink.emit(events.Event.INTERNAL_ERROR, error=repr(error))


class SystemRandom:
    """Pseudorandom numbers, and tokens from the operating system's source."""

    def __init__(self) -> None:
        self._random = random.Random()

    def random(self) -> float:
        """Return a float in [0, 1)."""
        return self._random.random()

    def token(self) -> str:
        """Return a new unique token."""
        return secrets.token_hex(TOKEN_BYTES)
