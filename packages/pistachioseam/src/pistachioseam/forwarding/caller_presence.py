"""Whether the caller of a call still waits for its response."""

from collections import abc
import contextlib

import attrs


@attrs.define
class CallerPresence:
    """Presence of one caller; `has_left` is set once it has disconnected."""

    has_left: bool = False
    _on_left: abc.Callable[[], None] | None = attrs.field(
        default=None, init=False
    )

    def leave(self) -> None:
        """Record that the caller has disconnected; notify the watcher."""
        self.has_left = True
        if self._on_left is not None:
            self._on_left()

    def is_present(self) -> bool:
        """Return whether the caller still waits."""
        return not self.has_left

    @contextlib.contextmanager
    def watch(self, on_left: abc.Callable[[], None]) -> abc.Iterator[None]:
        """Call `on_left` if the caller leaves, at once if it has left.

        A call is on one connection at a time, so there is one watcher.
        """
        self._on_left = on_left
        if self.has_left:
            on_left()
        try:
            yield
        finally:
            self._on_left = None
