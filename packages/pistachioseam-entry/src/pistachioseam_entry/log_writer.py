"""Non-blocking writer of log lines."""

import collections
import os

MAX_BUFFERED_BYTES = 262_144
"""Lines beyond this are dropped and counted until the reader catches up."""


class LogWriter:
    """Writer to a non-blocking file descriptor, with a bounded buffer.

    `dropped` counts the lines lost since the last call of `take_dropped`.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        data = line.encode()
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self.flush()

    def take_dropped(self) -> int:
        """Return and reset the number of dropped lines."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: a lost log must not end the
                # process.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
