"""Connections of callers, with bounds on what a request may take to arrive."""

from collections import abc
import typing

from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

SLOW_ANSWER = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class CallerChannel(http.HTTPChannel):
    """HTTP connection that answers 408 to a request that arrives too slowly.

    The header must arrive within `header_seconds` of its first byte, each
    further piece of a body within the time that a connection may be idle. A
    request that has not arrived whole has not run, as the status says.
    """

    header_seconds: float = 0.0
    note_slow: abc.Callable[[], None] = staticmethod(lambda: None)
    _header_timer: typing.Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read on, and watch the time while a header is incomplete."""
        super().dataReceived(data)
        if not self._is_in_header():
            self._stop_header_timer()
        elif self._header_timer is None and self.header_seconds:
            self._header_timer = self.callLater(
                self.header_seconds, self._end_slow_header
            )

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Stop watching the time."""
        self._stop_header_timer()
        super().connectionLost(reason)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Answer a request that has stopped arriving; close otherwise."""
        if self._is_in_header() or self._transferDecoder is not None:
            self._answer_slow()
        super().timeoutConnection()

    def _is_in_header(self) -> bool:
        """Tell whether a part of a request's header has arrived."""
        if self._handlingRequest or not self.line_mode:
            return False
        return bool(self.requests or self._buffer)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _end_slow_header(self) -> None:
        self._header_timer = None
        self._answer_slow()
        self.setTimeout(None)
        super().timeoutConnection()

    def _answer_slow(self) -> None:
        self.note_slow()
        transport: typing.Any = self.transport
        transport.write(SLOW_ANSWER)
