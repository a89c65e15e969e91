"""Writer of log lines that never waits for its reader."""

import collections
import os

MAX_WAITING_BYTES = 262_144
"""Lines beyond this are dropped and counted while nobody reads."""


class LogWriter:
    """Bounded buffer before a file descriptor that may be full."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it, or drop it, without waiting."""
        data = line.encode()
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self.flush()

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last time."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read again; keep the process serving.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
