"""Readers of responses that are needed whole, within the host's budget."""

import typing

from returns import result

from pistachioseam import response_budgets
from pistachioseam_entry import bodies


class WholeBodyReader(bodies.BodyReader):
    """Reader of one complete body of at most `max_bytes`.

    While the budget of responses is used up, it pauses unless it is the first
    in `order`. On exit it gives up what it holds and reads no further.
    """

    def __init__(
        self, max_bytes: int, order: response_budgets.ReadingOrder
    ) -> None:
        super().__init__(max_bytes)
        self._order = order
        self._parts: list[bytes] = []
        self._held_bytes = 0

    def __enter__(self) -> typing.Self:
        """Take a place in the order."""
        self._order.add(self)
        return self

    def __exit__(self, *_: object) -> None:
        """Release what is held, and the place."""
        self.abort()
        self._parts.clear()
        self._count(-self._held_bytes)
        self._order.remove(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hold data; pause reading while it is another response's turn."""
        if self._end_reason is not None:
            return
        self._parts.append(data)
        self._count(len(data))
        if self._held_bytes > self._max_bytes:
            self._end_and_disconnect('the response exceeds max_answer_bytes')
            return
        if not self._order.may_read(self):
            # Also if it is paused: `deliverBody` resumes the transport.
            self._is_paused = True
            self._get_transport().pauseProducing()
        self._changed.set()

    def resume(self) -> None:
        """Go on reading if it has paused."""
        if self._is_paused and self._end_reason is None:
            self._is_paused = False
            self._get_transport().resumeProducing()

    def _count(self, change: int) -> None:
        self._held_bytes += change
        self._order.budget.held_bytes += change

    async def read_all(self, idle_seconds: float) -> bodies.ReadResult:
        """Return the complete body; fail after `idle_seconds` without data."""
        read = await super().read_all(idle_seconds)
        return read.bind(lambda _: result.Success(b''.join(self._parts)))
