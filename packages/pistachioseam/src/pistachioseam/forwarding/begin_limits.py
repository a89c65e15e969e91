"""Limit on the wait of a call in its engine's queue.

Load pattern: few engines may still get calls, and many hosts send theirs to
the same one before they learn of each other's. The wait that placement expects
is then far too short, and a call that was sent on weights young enough would
begin on weights that are too old.
"""

import asyncio
from collections import abc
import math
import typing

CHECK_SECONDS = 0.3
"""Longest pause between two checks: a peer may report that newer weights were
named earlier than this host knew, about twice a second."""
CLOCK_RESOLUTION_SECONDS = 0.001
"""Time left that counts as none; rounding could repeat the check forever."""


class BeginLimit:
    """Asynchronous context manager that cancels an attempt begun too late.

    `get_seconds_left` returns the time within which the attempt must begin,
    infinite if there will be no limit. It is called again until then, as the
    time may change. The context raises TimeoutError unless `end` is called in
    time.
    """

    def __init__(self, get_seconds_left: abc.Callable[[], float]) -> None:
        self._get_seconds_left = get_seconds_left
        self._timeout = asyncio.timeout(None)
        self._check: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> 'BeginLimit':
        """Start to wait for the attempt to begin."""
        await self._timeout.__aenter__()
        self._check_seconds_left()
        return self

    async def __aexit__(self, *exception: typing.Any) -> None:
        """End the limit; raise TimeoutError if it was exceeded."""
        self.end()
        await self._timeout.__aexit__(*exception)

    def end(self) -> None:
        """Record that the attempt has begun, or has ended."""
        if self._check is not None:
            self._check.cancel()
            self._check = None
        if not self._timeout.expired():
            # The check may have run in the same iteration of the loop.
            self._timeout.reschedule(None)

    def is_exceeded(self) -> bool:
        """Return whether the attempt was cancelled for this limit."""
        return self._timeout.expired()

    def _check_seconds_left(self) -> None:
        loop = asyncio.get_running_loop()
        seconds = self._get_seconds_left()
        self._check = None
        if seconds < CLOCK_RESOLUTION_SECONDS:
            self._timeout.reschedule(loop.time())
        elif not math.isinf(seconds):
            self._check = loop.call_later(
                min(seconds, CHECK_SECONDS), self._check_seconds_left
            )
