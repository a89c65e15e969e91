"""How much of targets' responses a host holds while callers read slowly.

All responses of a host share one budget. While it has room, a response is
held until it is complete, so that one that breaks can be tried again. When it
is used up, each response keeps a small buffer and its target has to wait for
the caller. Nothing here reads a clock or a connection.
"""

from collections import abc
import typing

MAX_HELD_BYTES = 8_388_608
"""Part of a body that is held until the body is complete."""
MAX_UNDECLARED_BYTES = 1_048_576
"""The same for a body whose target has not declared the length."""
MAX_BUFFERED_BYTES = 262_144
"""Buffered bytes of one response beyond which reading from its target pauses,
as backpressure from a slow caller. Targets cut off a response that stays
unread for some seconds, so a response is not paused before."""
MIN_BUFFERED_BYTES = 16_384
"""The same while the responses together use up their budget."""
DEFAULT_LIMIT_BYTES = 8_388_608
"""Budget of all responses together, unless it is set."""


class ResponseBudget:
    """Bytes of targets' responses that a host holds for slow callers.

    `held_bytes` is their sum, `limit_bytes` the budget. It may be exceeded by
    MIN_BUFFERED_BYTES and one read for each response.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self.limit_bytes = DEFAULT_LIMIT_BYTES

    def is_used_up(self) -> bool:
        """Return whether responses may keep small buffers only."""
        return self.held_bytes > self.limit_bytes

    def is_full_for(
        self, own_bytes: int, max_bytes: int = MAX_BUFFERED_BYTES
    ) -> bool:
        """Return whether a response with these bytes must be paused.

        `max_bytes` is what it may hold while the budget has room.
        """
        if self.is_used_up():
            return own_bytes > MIN_BUFFERED_BYTES
        return own_bytes > max_bytes


class WholeReader(typing.Protocol):
    """Reader of a response that is needed whole."""

    def resume(self) -> None:
        """Go on reading if it has paused."""


class ReadingOrder:
    """Order in which responses that are needed whole are read.

    While the budget is used up, only the one that was added first goes on, so
    that each is complete at some time.
    """

    def __init__(self, budget: ResponseBudget) -> None:
        self.budget = budget
        self._readers: dict[WholeReader, None] = {}

    def add(self, reader: WholeReader) -> None:
        """Give a reader its place."""
        self._readers[reader] = None

    def remove(self, reader: WholeReader) -> None:
        """Let others go on in place of a reader that has released its data."""
        del self._readers[reader]
        for other in list(self._readers):
            if self.may_read(other):
                other.resume()

    def may_read(self, reader: WholeReader) -> bool:
        """Return whether a reader may hold more."""
        if not self.budget.is_used_up():
            return True
        return reader is next(iter(self._readers), None)


class HeldParts:
    """Parts of one response that wait for its caller; released on exit."""

    def __init__(self, budget: ResponseBudget) -> None:
        self.held_bytes = 0
        self._budget = budget
        self._parts: list[bytes] = []

    def __enter__(self) -> typing.Self:
        """Return the parts, none at first."""
        return self

    def __exit__(self, *_: object) -> None:
        """Release the parts that are left."""
        self.clear()

    def clear(self) -> None:
        """Release the parts that are left."""
        self._parts.clear()
        self._count(-self.held_bytes)

    def add(self, part: bytes) -> None:
        """Hold a further part."""
        self._parts.append(part)
        self._count(len(part))

    def is_full(self, max_bytes: int) -> bool:
        """Return whether no further part may be held."""
        return self._budget.is_full_for(self.held_bytes, max_bytes)

    def __iter__(self) -> abc.Iterator[bytes]:
        """Yield the parts in order; release each once it has been used.

        A part whose use is interrupted comes again.
        """
        while self._parts:
            part = self._parts[0]
            yield part
            del self._parts[:1]
            self._count(-len(part))

    def _count(self, change: int) -> None:
        self.held_bytes += change
        self._budget.held_bytes += change
