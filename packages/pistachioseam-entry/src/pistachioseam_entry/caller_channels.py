"""Connections of callers, with timeouts for the arrival of requests."""

from collections import abc
import typing

from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

from pistachioseam import caller_budgets
from pistachioseam_entry import caller_holdings
from pistachioseam_entry import sockets

CONNECTION_BYTES = 8192
"""Memory of the objects of one connection."""
CALL_BYTES = 28_672
"""Memory of the objects of one call and of its connection to a target."""
HEADER_FACTOR = 4
"""Memory of a header line's objects in relation to its bytes."""
CHUNK_SLICE_BYTES = 4096
"""Part of a chunked body that is parsed at once. 64 KiB of small chunks take
25 ms or more."""
MAX_DISCARDED_BODIES = 4
"""Multiple of the limit of a body that is read and discarded so that its
caller gets the response. Beyond it the connection is closed."""
MAX_TRAILER_BYTES = 4096
"""Trailers of a chunked body. They are kept, each with its own overhead."""
TRAILER_FACTOR = 16
"""Memory of trailers in relation to their bytes, for lines of 4 bytes."""
GRACE_FACTOR = 2
"""Multiple of the idle timeout after which a body must keep the least rate. By
default it is 30 s, longer than the time limit of any route."""
DEFAULT_IDLE_SECONDS = 15.0
END_CHECK_SECONDS = 0.1
"""Interval at which a connection is checked for its end while it is not read.
"""
BUSY_RESPONSE = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Connection: close\r\n'
    b'Retry-After: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
TOO_LARGE_RESPONSE = (
    b'HTTP/1.1 413 Request Entity Too Large\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)
TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class CallerChannel(http.HTTPChannel):
    """HTTP connection that limits the time and memory of requests.

    The header must arrive within `header_seconds` of its first byte, each
    further chunk of a body within the idle timeout of the connection. A slow
    request gets status 408, which tells the caller that it has not run.
    `on_request_timeout` is called for each such response, `on_closed` when the
    connection is closed.

    `holdings` has the account of what the connection makes the host hold.
    While a request is served, reading stops with the first bytes of the next
    one. Until then it goes on, so that a disconnect is noticed; afterwards the
    connection is checked for its end.
    """

    on_closed: abc.Callable[['CallerChannel'], None] = staticmethod(
        lambda _: None
    )
    header_seconds: float = 0.0
    on_request_timeout: abc.Callable[[], None] = staticmethod(lambda: None)
    _header_timer: typing.Any = None
    _pace_timer: typing.Any = None
    _end_timer: typing.Any = None

    def __init__(self, holdings: caller_holdings.CallerHoldings) -> None:
        super().__init__()
        self.holdings = holdings
        self._opened_at = holdings.read_clock()
        self._moved_at = self._opened_at
        self._received_bytes = 0
        self._written_bytes = 0
        self._served = 0
        self._body_began_at: float | None = None
        self._paced_seconds = 0.0
        self._is_turned_away = False
        self._is_sending_ended = False

    def connectionMade(self) -> None:  # noqa: N802
        """Start the account of the connection."""
        super().connectionMade()
        self.holdings.add(self)
        self.holdings.update(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data; run the header timer while a header is incomplete."""
        if self._is_turned_away:
            return
        self._received_bytes += len(data)
        self._moved_at = self.holdings.read_clock()
        super().dataReceived(data)
        if self._is_turned_away:
            return
        if not self._is_in_header():
            self._stop_header_timer()
        elif self._header_timer is None and self.header_seconds:
            self._header_timer = self.callLater(
                self.header_seconds, self._time_out_header
            )
        self.holdings.update(self)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Note when the body begins; bound its trailers."""
        self._body_began_at = self.holdings.read_clock()
        self._paced_seconds = 0.0
        if self.length is None:
            decoder: typing.Any = self._transferDecoder
            decoder._maxTrailerHeadersSize = MAX_TRAILER_BYTES
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Serve the request that has arrived.

        If the body's last bytes came with those of the next request, reading
        stops here, as `rawDataReceived` does not get them.
        """
        self._served += 1
        self._body_began_at = None
        if any(self._dataBuffer):
            self._pause_while_serving()
        super().allContentReceived()

    def _pause_while_serving(self) -> None:
        """Read no further request until the one in progress is served."""
        self._get_network().pauseProducing()
        self._schedule_end_check()

    def _schedule_end_check(self) -> None:
        if self._end_timer is None:
            self._end_timer = self.callLater(
                END_CHECK_SECONDS, self._check_end
            )

    def _check_end(self) -> None:
        """Close the connection if its caller has; its call is cancelled."""
        self._end_timer = None
        transport: typing.Any = self.transport
        if not self._handlingRequest or not transport.connected:
            return
        if sockets.is_ended_by_peer(transport.fileno()):
            transport.abortConnection()
        else:
            self._schedule_end_check()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a body, or hold the bytes of a further request.

        Twisted goes on reading further requests while the response to the one
        before is not accepted by the caller's side.
        """
        if self._is_turned_away:
            return
        if self._handlingRequest:
            self._dataBuffer.append(data)
            self._pause_while_serving()
            return
        if self.length is not None:
            super().rawDataReceived(data)
            return
        request = self.requests[-1]
        super().rawDataReceived(data[:CHUNK_SLICE_BYTES])
        # The loop of `LineReceiver` goes on with this, after what the
        # decoder may have left.
        transport: typing.Any = self.transport
        if transport.disconnecting:
            return
        self._buffer += data[CHUNK_SLICE_BYTES:]
        if self._body_began_at is not None and not self._is_turned_away:
            self._pace(request.take_small_chunks())

    def _pace(self, small_chunks: int) -> None:
        """Stop reading for a while after small chunks."""
        if not small_chunks:
            return
        seconds = self.holdings.pacer.take(
            small_chunks, self.holdings.read_clock()
        )
        self._paced_seconds += seconds
        self.paused = True
        self._get_network().pauseProducing()
        self.setTimeout(None)
        self._pace_timer = self.callLater(seconds, self._resume_parsing)

    def _resume_parsing(self) -> None:
        self._pace_timer = None
        self.paused = False
        self.setTimeout(self.timeOut)
        if not self._waitingForTransport:
            self._get_network().resumeProducing()
        self.dataReceived(b'')

    def requestDone(self, request: typing.Any) -> None:  # noqa: N802
        """Begin the next request once the caller reads the responses.

        Twisted begins it at once, and the response to it is not paused. After
        a response that announces the end of the connection no request is
        served: its caller takes it for not run.
        """
        if self.persistent and _announces_close(request):
            self._end_sending()
            return
        if self._waitingForTransport:
            self.paused = True
            self._get_network().pauseProducing()
        super().requestDone(request)

    def _end_sending(self) -> None:
        """Send the end of the connection; discard what still arrives.

        Closing the socket with unread bytes would reset the connection, and
        the caller might lose the response.
        """
        del self.requests[0]
        self._handlingRequest = False
        self._is_sending_ended = True
        self._stop_parsing()
        self.paused = False
        network = self._get_network()
        network.unregisterProducer()
        network.resumeProducing()
        network.loseWriteConnection()
        self._watch_end()

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once the caller has read what was written."""
        super().loseConnection()
        if self._abortingCall is None and self._count_buffered_bytes():
            self._watch_end()

    def _watch_end(self) -> None:
        """Reset the connection if it does not end and nothing is read."""
        left_bytes = self._count_left_bytes()
        self._abortingCall = self.callLater(
            self.abortTimeout, lambda: self._abort_stalled(left_bytes)
        )

    def _abort_stalled(self, former_bytes: int) -> None:
        self._abortingCall = None
        if self._count_left_bytes() < former_bytes:
            self._watch_end()
        else:
            self.forceAbortClient()

    def _count_left_bytes(self) -> int:
        """Return the unsent bytes, 0 if this process holds none."""
        return self.count_unsent_bytes() if self._count_buffered_bytes() else 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on writing, and reading unless small chunks are to wait."""
        super().resumeProducing()
        if self._pace_timer is not None:
            self._get_network().pauseProducing()
        elif self.paused:
            self.paused = False
            self.dataReceived(b'')
        self.holdings.update(self)

    def _get_network(self) -> typing.Any:
        return self._networkProducer

    def write(self, data: bytes) -> None:
        """Write a part of a response."""
        super().write(data)
        self._written_bytes += len(data)
        self.holdings.update(self)

    def writeSequence(  # noqa: N802
        self, iovec: abc.Iterable[bytes]
    ) -> None:
        """Write parts of a response."""
        parts = list(iovec)
        super().writeSequence(parts)
        self._written_bytes += sum(map(len, parts))

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancel the timers and end the account; release unsent bytes.

        The transport is part of a reference cycle, and large blocks alone do
        not make the garbage collector run.
        """
        self._stop_timers()
        transport: typing.Any = self.transport
        if getattr(transport, 'dataBuffer', None) is not None:
            transport.dataBuffer = b''
            transport.offset = 0
            transport._tempDataBuffer = []
            transport._tempDataLen = 0
        super().connectionLost(reason)
        self.holdings.remove(self)
        self.on_closed(self)

    def count_unsent_bytes(self) -> int:
        """Return the bytes that the caller's side has not accepted yet."""
        transport: typing.Any = self.transport
        if transport is None or not transport.connected:
            return 0
        return sockets.count_unreceived_bytes(transport)

    def _count_buffered_bytes(self) -> int:
        """Return the bytes of responses in this process."""
        return sockets.count_buffered_bytes(self.transport)

    def count_held_bytes(self) -> int:
        """Return the bytes that the host holds for this connection."""
        held_bytes = (
            CONNECTION_BYTES
            + len(self._buffer)
            + sum(map(len, self._dataBuffer))
            + self._receivedHeaderSize * HEADER_FACTOR
            + self._count_buffered_bytes()
        )
        if self._handlingRequest:
            held_bytes += CALL_BYTES
        if self._has_unread_bytes():
            held_bytes += sockets.RECEIVE_BUFFER_BYTES
        if self._body_began_at is not None and self.requests:
            held_bytes += self.requests[-1].held_bytes
            if self.length is None:
                decoder: typing.Any = self._transferDecoder
                held_bytes += len(decoder._buffer)
                held_bytes += (
                    decoder._receivedTrailerHeadersSize * TRAILER_FACTOR
                )
        return held_bytes

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes of a request wait in the kernel's buffer."""
        return self.paused or (self._handlingRequest and any(self._dataBuffer))

    def count_moved_bytes(self) -> int:
        """Return the bytes received and sent since it was opened."""
        sent_bytes = self._written_bytes - self._count_buffered_bytes()
        return self._received_bytes + sent_bytes

    def describe_holding(
        self, now: float, held_bytes: int, rate: float
    ) -> caller_budgets.Holding:
        """Return what the connection holds and how it progresses."""
        return caller_budgets.Holding(
            key=self,
            stage=self._get_stage(),
            held_bytes=held_bytes,
            rate=rate,
            still_seconds=now - self._moved_at,
            age_seconds=now - self._opened_at,
            served=self._served,
        )

    def _get_stage(self) -> caller_budgets.Stage:
        stage = caller_budgets.Stage
        if self._is_turned_away and not self._is_sending_ended:
            return stage.IDLE
        if self._count_buffered_bytes():
            return stage.SENDING
        if self._handlingRequest:
            return stage.SERVING
        return stage.RECEIVING if self._is_receiving() else stage.IDLE

    def _is_receiving(self) -> bool:
        return self._body_began_at is not None or self._is_in_header()

    def is_body_slow(self, now: float) -> bool:
        """Return whether its body falls behind the least rate.

        Time in which the host did not read does not count.
        """
        if self._body_began_at is None or self._is_turned_away:
            return False
        return caller_budgets.is_too_slow(
            self.requests[-1].received_bytes,
            now - self._body_began_at - self._paced_seconds,
            GRACE_FACTOR * (self.timeOut or DEFAULT_IDLE_SECONDS),
            self.holdings.body_rate,
        )

    def turn_away(self) -> None:
        """Refuse a request that has not run and close the connection.

        A response that the caller does not read is broken off.
        """
        if self._is_turned_away and not self._is_sending_ended:
            return
        transport: typing.Any = self.transport
        stage = self._get_stage()
        if stage is caller_budgets.Stage.RECEIVING:
            self.refuse(BUSY_RESPONSE)
        elif stage is caller_budgets.Stage.IDLE:
            self._stop_parsing()
            transport.loseConnection()
        else:
            self._stop_parsing()
            transport.abortConnection()

    def refuse(self, response: bytes) -> None:
        """Refuse a request that has not fully arrived; close.

        A decoder may deliver more of its body afterwards.
        """
        if self._is_turned_away:
            return
        self._stop_parsing()
        transport: typing.Any = self.transport
        transport.write(response)
        super().timeoutConnection()

    def time_out_request(self) -> None:
        """Respond 408 and close the connection."""
        self.on_request_timeout()
        self.refuse(TIMEOUT_RESPONSE)

    def _stop_parsing(self) -> None:
        """Parse nothing more; release what has arrived of a request."""
        self._is_turned_away = True
        self._stop_timers()
        self.setTimeout(None)
        self._buffer = b''
        self._dataBuffer = []
        if self._body_began_at is not None and self.requests:
            self.requests[-1].discard_content()
        self._body_began_at = None

    def call_later(
        self, seconds: float, work: abc.Callable[[], None]
    ) -> object:
        """Call a function later, on the clock of the connection."""
        return self.callLater(seconds, work)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection, after a 408 for an incomplete request.

        A caller that still reads a response gets the rest of it.
        """
        if self._is_receiving() and not self._is_turned_away:
            self.time_out_request()
        else:
            self.loseConnection()

    def _is_in_header(self) -> bool:
        """Return whether only a part of a request's header has arrived.

        Not known while parsing waits for the caller to read responses.
        """
        if self._handlingRequest or not self.line_mode or self.paused:
            return False
        return bool(self.requests or self._buffer)

    def _stop_timers(self) -> None:
        self._stop_header_timer()
        if self._end_timer is not None:
            self._end_timer.cancel()
            self._end_timer = None
        if self._pace_timer is not None:
            self._pace_timer.cancel()
            self._pace_timer = None

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _time_out_header(self) -> None:
        self._header_timer = None
        self.time_out_request()


def _announces_close(request: typing.Any) -> bool:
    """Return whether a response says that its connection ends with it."""
    values = request.responseHeaders.getRawHeaders(b'connection', [])
    tokens = b','.join(values).lower().split(b',')
    return b'close' in [token.strip() for token in tokens]
