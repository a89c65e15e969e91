"""Background loops that run for the life of a process."""

import asyncio
from collections import abc
import random
import traceback
import typing

import attrs

from pistachioseam import events
from pistachioseam import interfaces

MIN_PAUSE_SECONDS = 0.1
"""Pause before a loop that has failed is started again; it doubles with each
failure of an episode."""
MAX_PAUSE_SECONDS = 5.0
EPISODE_SECONDS = 10.0
"""Time that a loop must run for its next failure to begin a new episode."""
MIN_FAILURES = 3
"""Failures of an episode from which on a loop counts as failing."""

Work: typing.TypeAlias = abc.Callable[
    [], abc.Coroutine[typing.Any, typing.Any, None]
]


class LoopEndedError(Exception):
    """A loop has returned, though it should run forever."""


@attrs.define(eq=False)
class Loop:
    """One loop; `failed_at` is the time of the last failure, None before.

    `failures` counts those of the present episode.
    """

    name: str
    work: Work = attrs.field(repr=False)
    is_essential: bool = False
    failures: int = 0
    failed_at: float | None = None


class LoopSupervisor:
    """Runs loops, and starts those that fail again after a growing pause."""

    def __init__(self, sink: interfaces.EventSink) -> None:
        self._sink = sink
        self._loops: list[Loop] = []

    async def run(self, name: str, work: Work, is_essential: bool) -> None:
        """Run a loop forever.

        Callers are served wrongly while an essential one does not run.
        """
        loop = Loop(name, work, is_essential)
        self._loops.append(loop)
        try:
            while True:
                await self._run_once(loop)
        finally:
            self._loops.remove(loop)

    async def _run_once(self, loop: Loop) -> None:
        """Run a loop until it fails, then wait until it may run again."""
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        try:
            await loop.work()
            raise LoopEndedError
        except Exception as error:
            if clock.time() - started_at > EPISODE_SECONDS:
                loop.failures = 0
            loop.failures += 1
            loop.failed_at = clock.time()
            self._report(loop, error)
        pause = MIN_PAUSE_SECONDS * 2 ** min(10, loop.failures - 1)
        jitter = 0.5 + random.random()
        await asyncio.sleep(min(MAX_PAUSE_SECONDS, pause) * jitter)

    def _report(self, loop: Loop, error: Exception) -> None:
        """Log a failure, with the traceback at the first of an episode."""
        lines: list[str] = []
        if loop.failures == 1:
            lines = traceback.format_exception(error)
        self._sink.emit(
            events.Event.LOOP_FAILED,
            loop=loop.name,
            error=repr(error),
            failures=loop.failures,
            traceback=''.join(lines),
        )

    def list_failing(self) -> list[str]:
        """Return the names of the loops that keep failing."""
        return [loop.name for loop in self._loops if _is_failing(loop)]

    def is_essential_failing(self) -> bool:
        """Return whether an essential loop keeps failing."""
        return any(
            loop.is_essential and _is_failing(loop) for loop in self._loops
        )


def _is_failing(loop: Loop) -> bool:
    if loop.failed_at is None or loop.failures < MIN_FAILURES:
        return False
    now = asyncio.get_running_loop().time()
    return now - loop.failed_at < EPISODE_SECONDS
