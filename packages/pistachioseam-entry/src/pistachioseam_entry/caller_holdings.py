"""Accounts of what a host's callers hold, over all of its HTTP ports."""

import collections
from collections import abc
import time
import typing

from pistachioseam import caller_budgets
from pistachioseam import response_budgets

SWEEP_SECONDS = 1.0
"""Time between two checks of the rates of all connections."""
DEFAULT_BODY_RATE = 1024.0
"""Least rate of a body in bytes/s."""


class Channel(typing.Protocol):
    """Connection of a caller, as the accounts see it."""

    def describe_holding(
        self, now: float, held_bytes: int, rate: float
    ) -> caller_budgets.Holding:
        """Return what the connection holds and how it progresses."""

    def count_held_bytes(self) -> int:
        """Return the bytes that the host holds for this connection."""

    def count_moved_bytes(self) -> int:
        """Return the bytes received and sent since it was opened."""

    def is_body_slow(self, now: float) -> bool:
        """Return whether its body falls behind the least rate."""

    def turn_away(self) -> None:
        """Refuse what has not run and close the connection."""

    def time_out_request(self) -> None:
        """Respond 408 and close the connection."""

    def call_later(
        self, seconds: float, work: abc.Callable[[], None]
    ) -> object:
        """Call a function later, on the clock of the connection."""


class Entry:
    """Bytes of one connection, and its progress in the last windows."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.marks = (0, 0)
        """Bytes moved at the last two sweeps, the older one first."""


class CallerHoldings:
    """What all callers of a host hold, within one budget.

    `responses` are the parts of targets' responses that wait for callers.
    `turned_away` counts connections by cause since the start.
    `on_turned_away` is called at most once in SWEEP_SECONDS with the counts
    since the last call.
    """

    def __init__(
        self,
        budget: caller_budgets.Budget = caller_budgets.DEFAULT_BUDGET,
        read_clock: abc.Callable[[], float] = time.monotonic,
        body_rate: float = DEFAULT_BODY_RATE,
    ) -> None:
        self.budget = budget
        self.body_rate = body_rate
        self.read_clock = read_clock
        self.pacer = caller_budgets.ChunkPacer()
        self.responses = response_budgets.ResponseBudget()
        self.channel_bytes = 0
        self.served_bytes = 0
        self._large_count = 0
        self.turned_away: collections.Counter[str] = collections.Counter()
        self.on_turned_away: abc.Callable[[dict[str, int]], None] = lambda _: (
            None
        )
        self._entries: dict[Channel, Entry] = {}
        self._swept_at = read_clock()
        self._has_timer = False
        self._reported: collections.Counter[str] = collections.Counter()
        self._is_relieving = False

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._entries)

    def count_bytes(self) -> int:
        """Return what all callers hold together."""
        return (
            self.channel_bytes + self.served_bytes + self.responses.held_bytes
        )

    def add(self, channel: Channel) -> None:
        """Take a new connection into account; close others if too many."""
        self._entries[channel] = Entry()
        if not self._has_timer:
            self._has_timer = True
            channel.call_later(SWEEP_SECONDS, self._sweep)
        if len(self._entries) > self.budget.connections:
            self._turn_away(
                caller_budgets.choose_connections(
                    self._describe_all(), self.budget
                ),
                'connections',
            )

    def remove(self, channel: Channel) -> None:
        """Forget a connection that has been closed."""
        entry = self._entries.pop(channel, None)
        if entry is not None:
            self.channel_bytes -= entry.held_bytes

    def update(self, channel: Channel) -> None:
        """Count again what a connection holds; turn some away if too much."""
        entry = self._entries.get(channel)
        if entry is None:
            return
        held_bytes = channel.count_held_bytes()
        self.channel_bytes += held_bytes - entry.held_bytes
        entry.held_bytes = held_bytes
        if self.count_bytes() > self.budget.bytes:
            self._relieve()

    def serve(self, body_bytes: int) -> bool:
        """Count a body whose request is to be served, if it may be.

        Its bytes count until `release` is called.
        """
        is_large = body_bytes > caller_budgets.ORDINARY_BYTES
        if not caller_budgets.can_serve(
            body_bytes,
            self.served_bytes,
            self.budget,
            is_only_large=is_large and not self._large_count,
        ):
            self.turned_away['serving'] += 1
            return False
        self.served_bytes += body_bytes
        self._large_count += is_large
        if self.count_bytes() > self.budget.bytes:
            self._relieve()
        return True

    def release(self, body_bytes: int) -> None:
        """End the count of a body that has been served."""
        self.served_bytes -= body_bytes
        self._large_count -= body_bytes > caller_budgets.ORDINARY_BYTES

    def _describe_all(self) -> list[caller_budgets.Holding]:
        now = self.read_clock()
        return [
            self._describe(channel, entry, now)
            for channel, entry in self._entries.items()
        ]

    def _describe(
        self, channel: Channel, entry: Entry, now: float
    ) -> caller_budgets.Holding:
        seconds = SWEEP_SECONDS + max(0.0, now - self._swept_at)
        rate = (channel.count_moved_bytes() - entry.marks[0]) / seconds
        return channel.describe_holding(now, entry.held_bytes, rate)

    def _relieve(self) -> None:
        # Turning a connection away updates its count.
        if self._is_relieving:
            return
        self._is_relieving = True
        try:
            chosen = caller_budgets.choose_holders(
                self._describe_all(), self.count_bytes(), self.budget
            )
            self._turn_away(chosen, 'bytes')
        finally:
            self._is_relieving = False

    def _turn_away(
        self, chosen: abc.Iterable[caller_budgets.Holding], cause: str
    ) -> None:
        for holding in chosen:
            self.turned_away[cause] += 1
            channel = typing.cast(Channel, holding.key)
            channel.turn_away()
            self._forget_held(channel)

    def _forget_held(self, channel: Channel) -> None:
        """Count what a connection that was turned away still holds."""
        entry = self._entries.get(channel)
        if entry is not None:
            held_bytes = channel.count_held_bytes()
            self.channel_bytes += held_bytes - entry.held_bytes
            entry.held_bytes = held_bytes

    def _sweep(self) -> None:
        self._has_timer = False
        now = self.read_clock()
        for channel, entry in list(self._entries.items()):
            if channel.is_body_slow(now):
                self.turned_away['slow body'] += 1
                channel.time_out_request()
            self.update(channel)
            entry.marks = (entry.marks[1], channel.count_moved_bytes())
        self._swept_at = now
        self._report()
        for channel in self._entries:
            self._has_timer = True
            channel.call_later(SWEEP_SECONDS, self._sweep)
            break

    def _report(self) -> None:
        counts = self.turned_away - self._reported
        if counts:
            self._reported = self.turned_away.copy()
            self.on_turned_away(dict(counts))
