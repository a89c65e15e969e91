"""Whether this host has a path to the targets of the fleet.

Load pattern: a host is partitioned from all targets, while callers, the store
and other hosts reach it. Its connections to targets hang, are reset, or live
on while new ones are refused. Calls would fail one after another, and each
target would be taken for lost. A single target that fails shows nothing, so a
failed connect, or silence while calls wait, is checked with other targets.
"""

import asyncio
from collections import abc
import typing

from pistachioseam import events
from pistachioseam import interfaces

PROBED_TARGETS = 4
"""Targets that a check connects to at most."""
PROBED_TARGETS_WHEN_LOST = 12
"""The same while the path is lost. If all targets have crashed, the first one
that is back must soon be found."""
PROBE_TIMEOUT_SECONDS = 0.5
"""Time in which a target must accept a connection during a check. It is well
above the round trip to another region and below the time in which a caller
takes a host for dead."""
CHECK_VALID_SECONDS = 0.5
"""Time for which the result of a check is reused, and pause between two checks
while the path is lost."""
SILENCE_SECONDS = 0.7
"""Time without a byte from any target, while calls wait, before a check."""
WATCH_INTERVAL_SECONDS = 0.1
"""Pause between two looks for silence."""

IsReachable: typing.TypeAlias = abc.Callable[[str, float], abc.Awaitable[bool]]
"""Returns whether an address accepts a connection within some seconds."""


class TargetPaths:
    """Path of this host to the targets, as a whole; times are monotonic.

    `list_addresses` returns the addresses of all targets.
    """

    def __init__(
        self,
        runtime: interfaces.Runtime,
        random: interfaces.RandomSource,
        sink: interfaces.EventSink,
        list_addresses: abc.Callable[[], abc.Sequence[str]],
        is_reachable: IsReachable,
    ) -> None:
        self._runtime = runtime
        self._random = random
        self._sink = sink
        self._list_addresses = list_addresses
        self._is_reachable = is_reachable
        self._lost_at: float | None = None
        self._lost_signal = runtime.create_signal()
        self._heard_at = float('-inf')
        self._waiting: dict[object, float] = {}
        self._checked_at = float('-inf')
        self._check: asyncio.Future[None] | None = None
        self._listeners: list[abc.Callable[[], None]] = []

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after the path was lost or has come back."""
        self._listeners.append(listener)

    def is_lost(self) -> bool:
        """Return whether this host reaches no target."""
        return self._lost_at is not None

    async def wait_until_lost(self) -> None:
        """Return once the path is lost."""
        await self._lost_signal.wait()

    def record_received(self) -> None:
        """Record bytes from a target."""
        self._heard_at = self._runtime.now()

    def record_sent(self, call: object) -> None:
        """Record a call that waits for the head of its response."""
        self._waiting[call] = self._runtime.now()

    def record_head(self, call: object) -> None:
        """Record that a call has got a response, or waits no longer."""
        self._waiting.pop(call, None)

    def was_heard_since(self, time: float) -> bool:
        """Return whether a target has sent bytes after a time."""
        return self._heard_at > time

    async def check(
        self, max_age_seconds: float = CHECK_VALID_SECONDS
    ) -> bool:
        """Return whether the path is lost, by a check of no greater age.

        Called when a target did not accept a connection.
        """
        now = self._runtime.now()
        if self._check is None and now - self._checked_at < max_age_seconds:
            return self.is_lost()
        await asyncio.shield(self._start_check())
        return self.is_lost()

    def _start_check(self) -> asyncio.Future[None]:
        if self._check is None:
            self._check = asyncio.ensure_future(self._probe_targets())
        return self._check

    async def run(self) -> None:
        """Check for silence, and for the end of a loss, forever."""
        while True:
            if self.is_lost():
                await self._runtime.sleep(CHECK_VALID_SECONDS)
                await self.check()
                continue
            await self._runtime.sleep(WATCH_INTERVAL_SECONDS)
            if self._is_silent():
                await self.check()

    def _is_silent(self) -> bool:
        """Return whether calls wait and no target has sent a byte for long."""
        if not self._waiting:
            return False
        quiet_since = max(self._heard_at, min(self._waiting.values()))
        return self._runtime.now() - quiet_since > SILENCE_SECONDS

    async def _probe_targets(self) -> None:
        """Connect to some targets and record whether there is a path."""
        try:
            addresses = self._choose_addresses()
            accepting = 0
            if addresses:
                accepting = sum(
                    await asyncio.gather(
                        *(
                            self._is_reachable(address, PROBE_TIMEOUT_SECONDS)
                            for address in addresses
                        )
                    )
                )
            self._record_check(len(addresses), accepting)
        finally:
            self._checked_at = self._runtime.now()
            self._check = None

    def _choose_addresses(self) -> list[str]:
        """Return some addresses in random order."""
        addresses = sorted(set(self._list_addresses()))
        addresses.sort(key=lambda _: self._random.random())
        limit = PROBED_TARGETS_WHEN_LOST if self.is_lost() else PROBED_TARGETS
        return addresses[:limit]

    def _record_check(self, probed: int, accepting: int) -> None:
        if accepting:
            self._heard_at = self._runtime.now()
        if probed and not accepting and self._lost_at is None:
            self._lost_at = self._runtime.now()
            self._lost_signal.set()
            self._sink.emit(
                events.Event.TARGET_PATHS_LOST,
                probed=probed,
                waiting=len(self._waiting),
            )
        elif self._lost_at is not None and accepting:
            lost_seconds = self._runtime.now() - self._lost_at
            self._lost_at = None
            self._lost_signal = self._runtime.create_signal()
            self._sink.emit(
                events.Event.TARGET_PATHS_BACK, seconds=round(lost_seconds, 2)
            )
        else:
            return
        for listener in self._listeners:
            listener()
