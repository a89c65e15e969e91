"""Limits on the time and memory of callers' requests."""

from collections import abc
import typing

import attrs
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure
from twisted.web import resource
from twisted.web import server

from pistachioseam import caller_budgets
from pistachioseam_entry import bounded_requests
from pistachioseam_entry import caller_holdings
from tests import support

HEADER_SECONDS = 3.0
IDLE_SECONDS = 15.0
MAX_BYTES = 4096
BODY_RATE = 100.0
BODY_HEAD = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
CHUNKED_HEAD = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
SMALL_CHUNK = b'7\r\nxxxxxxx\r\n'
LAST_CHUNK = b'0\r\n\r\n'


class FixedResponse(resource.Resource):
    """Resource that responds to any request at once."""

    isLeaf = True  # noqa: N815

    def render(self, request: typing.Any) -> bytes:
        """Return a short body."""
        return b'done'


class LateResponse(FixedResponse):
    """Resource that responds when the test says so; it has the bodies."""

    def __init__(self) -> None:
        super().__init__()
        self.bodies: list[bytes] = []
        self.pending: list[typing.Any] = []

    def render(self, request: typing.Any) -> typing.Any:
        """Keep the request."""
        self.bodies.append(request.take_content())
        self.pending.append(request)
        return server.NOT_DONE_YET


class Transport(testing.StringTransport):
    """Transport with the buffer of one that is connected by TCP."""

    dataBuffer = b''  # noqa: N815
    offset = 0
    _tempDataLen = 0  # noqa: N815
    is_write_ended = False

    def fileno(self) -> int:
        """Return a descriptor that is no socket and has no send queue."""
        return 0

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Record the end of what is sent."""
        self.is_write_ended = True


@attrs.define
class Connection:
    """Connection of a caller; `timeouts` has the times of 408 responses."""

    clock: task.Clock
    transport: Transport
    protocol: typing.Any
    timeouts: list[float]
    holdings: caller_holdings.CallerHoldings

    def send(self, data: bytes) -> None:
        """Deliver bytes from the caller."""
        self.protocol.dataReceived(data)

    def get_status(self) -> bytes:
        """Return the last response's status code, empty without a response."""
        return self.transport.value().rpartition(b'HTTP/1.1 ')[2][:3]


def listen(
    root: resource.Resource | None = None,
    budget: caller_budgets.Budget = caller_budgets.DEFAULT_BUDGET,
    max_bytes: int = MAX_BYTES,
) -> abc.Callable[[], Connection]:
    """Return what opens connections to a listener with timeouts."""
    clock = task.Clock()
    timeouts: list[float] = []

    class _Request(bounded_requests.BoundedRequest):
        max_body_bytes = max_bytes

    holdings = caller_holdings.CallerHoldings(budget, clock.seconds, BODY_RATE)
    site = bounded_requests.BoundedSite(
        root or FixedResponse(),
        holdings=holdings,
        timeout=IDLE_SECONDS,
        requestFactory=_Request,
        reactor=clock,
    )
    site.max_header_buffer_bytes = MAX_BYTES
    site.header_seconds = HEADER_SECONDS
    site.on_request_timeout = lambda: timeouts.append(clock.seconds())

    def open_connection() -> Connection:
        protocol: typing.Any = site.buildProtocol(None)
        transport = Transport()
        protocol.makeConnection(transport)
        return Connection(clock, transport, protocol, timeouts, holdings)

    return open_connection


def connect() -> Connection:
    """Return a new connection to a listener with timeouts."""
    return listen()()


def test_slow_header_is_answered_408(case: support.Case) -> None:
    """A slow header is ended by its own timeout, not by the idle timeout."""
    connection = connect()
    connection.send(b'GET / HTTP/1.1\r\n')
    for _ in range(5):
        connection.clock.advance(HEADER_SECONDS / 6)
        connection.send(b'X-Part: 1\r\n')
    case.assertEqual(b'', connection.get_status())
    connection.clock.advance(HEADER_SECONDS / 6)
    case.assertEqual(b'408', connection.get_status())
    case.assertTrue(connection.transport.disconnecting)
    case.assertEqual([HEADER_SECONDS], connection.timeouts)


def test_partial_request_line_starts_the_header_timer(
    case: support.Case,
) -> None:
    """Part of the request line already counts as a header."""
    connection = connect()
    connection.send(b'GE')
    connection.clock.advance(HEADER_SECONDS)
    case.assertEqual(b'408', connection.get_status())


def test_stalled_body_is_answered_408(case: support.Case) -> None:
    """Between body chunks the idle timeout applies, not that of headers."""
    connection = connect()
    connection.send(b'POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n')
    for _ in range(3):
        connection.clock.advance(HEADER_SECONDS)
        connection.send(b'x')
    case.assertEqual(b'', connection.get_status())
    connection.clock.advance(IDLE_SECONDS)
    case.assertEqual(b'408', connection.get_status())
    case.assertTrue(connection.transport.disconnecting)


def test_idle_connection_is_closed_without_a_response(
    case: support.Case,
) -> None:
    """Between requests the caller expects no response, so none is sent."""
    connection = connect()
    connection.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    case.assertEqual(b'200', connection.get_status())
    connection.clock.advance(HEADER_SECONDS)
    case.assertFalse(connection.transport.disconnecting)
    connection.clock.advance(IDLE_SECONDS)
    case.assertEqual(b'200', connection.get_status())
    case.assertTrue(connection.transport.disconnecting)
    case.assertEqual([], connection.timeouts)


def test_each_request_has_its_own_header_timer(case: support.Case) -> None:
    """The header timer starts anew for each request on a connection."""
    connection = connect()
    for _ in range(2):
        connection.send(b'GET / HTTP/1.1\r\n')
        connection.clock.advance(HEADER_SECONDS * 0.9)
        connection.send(b'Host: a\r\n\r\n')
        case.assertEqual(b'200', connection.get_status())
    connection.send(b'GET / HTTP/1.1\r\n')
    connection.clock.advance(HEADER_SECONDS)
    case.assertEqual(b'408', connection.get_status())


def test_requests_sent_ahead_pause_reading(case: support.Case) -> None:
    """Guards against requests that pile up behind one that is served."""
    root = LateResponse()
    connection = listen(root)()
    request = BODY_HEAD % 3 + b'abc'
    connection.send(request + request)
    case.assertEqual([b'abc'], root.bodies)
    case.assertEqual('paused', connection.transport.producerState)
    root.pending[0].finish()
    case.assertEqual([b'abc', b'abc'], root.bodies)
    case.assertEqual('producing', connection.transport.producerState)


def test_reading_goes_on_without_requests_sent_ahead(
    case: support.Case,
) -> None:
    """Otherwise a disconnect would not be noticed during a call."""
    connection = listen(LateResponse())()
    connection.send(BODY_HEAD % 3 + b'abc')
    case.assertEqual('producing', connection.transport.producerState)


def test_next_request_waits_until_responses_are_read(
    case: support.Case,
) -> None:
    """Guards against responses that pile up for a caller who does not read."""
    root = LateResponse()
    connection = listen(root)()
    connection.send(BODY_HEAD % 3 + b'abc')
    connection.send(BODY_HEAD % 3 + b'def')
    channel = connection.protocol._channel
    channel.pauseProducing()
    root.pending[0].finish()
    case.assertEqual([b'abc'], root.bodies)
    case.assertEqual('paused', connection.transport.producerState)
    connection.clock.advance(HEADER_SECONDS)
    case.assertEqual([], connection.timeouts)
    channel.resumeProducing()
    case.assertEqual([b'abc', b'def'], root.bodies)


def test_small_chunks_are_parsed_at_a_bounded_rate(case: support.Case) -> None:
    """Guards against a crowd of small chunks that fills the event loop."""
    root = LateResponse()
    connection = listen(root, max_bytes=65_536)()
    count = 5000
    connection.send(CHUNKED_HEAD + SMALL_CHUNK * count + LAST_CHUNK)
    channel = connection.protocol._channel
    first_bytes = channel.requests[-1].held_bytes
    case.assertGreater(count * 7, first_bytes)
    case.assertEqual('paused', connection.transport.producerState)
    rate = caller_budgets.CHUNKS_PER_SECOND
    step_seconds = 0.01
    for _ in range(int(count / rate / step_seconds) + 10):
        connection.clock.advance(step_seconds)
    case.assertEqual([b'x' * 7 * count], root.bodies)


def test_few_small_chunks_are_not_delayed(case: support.Case) -> None:
    """An ordinary body in small chunks is parsed at once."""
    root = LateResponse()
    connection = listen(root)()
    connection.send(CHUNKED_HEAD + SMALL_CHUNK * 200 + LAST_CHUNK)
    case.assertEqual([b'x' * 1400], root.bodies)


def test_body_below_the_least_rate_is_answered_408(case: support.Case) -> None:
    """Guards against bodies that keep just within the idle timeout."""
    connection = connect()
    connection.send(BODY_HEAD % MAX_BYTES)
    seconds = 0.0
    while not connection.get_status() and seconds < 100:
        connection.send(b'x')
        connection.clock.advance(1.0)
        seconds += 1.0
    case.assertEqual(b'408', connection.get_status())
    # The grace is 30 s; a byte a second falls behind at once.
    case.assertEqual(31.0, seconds)


def test_stalled_body_is_refused_when_the_budget_is_used(
    case: support.Case,
) -> None:
    """The stalled one gets 503, as it has not run; the others are served."""
    root = LateResponse()
    size = 4 * caller_budgets.MEBIBYTE
    budget = caller_budgets.Budget(bytes=2 * size, connections=10)
    open_connection = listen(root, budget, size)
    ordinary, stalled, quick = (open_connection() for _ in range(3))
    stalled.send(BODY_HEAD % size + bytes(size - 1))
    ordinary.send(BODY_HEAD % 3 + b'ab')
    stalled.clock.advance(3.0)
    quick.send(BODY_HEAD % size + bytes(size - 1))
    case.assertEqual(b'503', stalled.get_status())
    case.assertIn(b'Retry-After', stalled.transport.value())
    case.assertTrue(stalled.transport.disconnecting)
    ordinary.send(b'c')
    quick.send(b'x')
    case.assertEqual([3, size], [len(body) for body in root.bodies])
    case.assertEqual({'bytes': 1}, dict(quick.holdings.turned_away))
    stalled.send(b'x')
    case.assertEqual(2, len(root.bodies))


def test_idle_connection_is_closed_for_a_new_one(case: support.Case) -> None:
    """Guards against connections that keep ordinary callers out."""
    budget = caller_budgets.Budget(bytes=MAX_BYTES * 100, connections=2)
    open_connection = listen(budget=budget)
    idle = open_connection()
    other = open_connection()
    idle.clock.advance(2.0)
    other.send(BODY_HEAD % 9 + b'abc')
    last = open_connection()
    case.assertTrue(idle.transport.disconnecting)
    last.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    case.assertEqual(b'200', last.get_status())
    case.assertFalse(other.transport.disconnecting)


def test_endless_body_is_refused_and_not_held(case: support.Case) -> None:
    """Guards against an oversized body that never ends."""
    connection = connect()
    connection.send(CHUNKED_HEAD)
    chunk = b'%x\r\n%b\r\n' % (MAX_BYTES, bytes(MAX_BYTES))
    for _ in range(6):
        connection.send(chunk)
    case.assertEqual(b'413', connection.get_status())
    case.assertTrue(connection.transport.disconnecting)
    case.assertLess(connection.holdings.count_bytes(), 3 * MAX_BYTES)


def test_accounts_end_with_their_connections(case: support.Case) -> None:
    """Guards against a budget that fills up with closed connections."""
    connection = connect()
    connection.send(BODY_HEAD % 9 + b'abc')
    case.assertEqual(1, connection.holdings.count_connections())
    case.assertGreater(connection.holdings.count_bytes(), 0)
    connection.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    case.assertEqual(0, connection.holdings.count_connections())
    case.assertEqual(0, connection.holdings.count_bytes())


def test_forms_are_not_parsed(case: support.Case) -> None:
    """Their parts would take a multiple of the memory of a body."""
    root = LateResponse()
    connection = listen(root)()
    connection.send(
        b'POST / HTTP/1.1\r\nContent-Length: 4\r\n'
        b'Content-Type: application/x-www-form-urlencoded\r\n\r\na&a&'
    )
    case.assertEqual([b'a&a&'], root.bodies)
    case.assertEqual({}, root.pending[0].args)


def test_refused_body_gets_one_response(case: support.Case) -> None:
    """Guards against a 413 for each chunk behind the one that is refused."""
    connection = connect()
    chunk = b'%x\r\n%b\r\n' % (MAX_BYTES, bytes(MAX_BYTES))
    connection.send(CHUNKED_HEAD + chunk * 4)
    connection.send(SMALL_CHUNK * 20)
    case.assertEqual(1, connection.transport.value().count(b'HTTP/1.1 413'))
    connection.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    aborts = [
        call
        for call in connection.clock.getDelayedCalls()
        if 'forceAbortClient' in repr(call)
    ]
    case.assertEqual([], aborts)


class ClosingResponse(LateResponse):
    """Resource whose responses announce the end of their connection."""

    def render(self, request: typing.Any) -> typing.Any:
        """Keep the request."""
        request.setHeader('connection', 'close')
        return super().render(request)


def test_request_behind_an_announced_close_is_not_served(
    case: support.Case,
) -> None:
    """Its caller takes it for not run, and sends it again elsewhere."""
    root = ClosingResponse()
    connection = listen(root)()
    connection.send(BODY_HEAD % 3 + b'abc' + BODY_HEAD % 3 + b'def')
    root.pending[0].finish()
    connection.send(BODY_HEAD % 3 + b'ghi')
    case.assertEqual([b'abc'], root.bodies)
    # Closing the socket with unread bytes would reset it, and the response
    # might be lost.
    case.assertTrue(connection.transport.is_write_ended)
    case.assertFalse(connection.transport.disconnecting)
    case.assertEqual('producing', connection.transport.producerState)
    connection.clock.advance(IDLE_SECONDS)
    case.assertTrue(connection.transport.disconnecting)


def test_unread_response_does_not_keep_a_closing_connection(
    case: support.Case,
) -> None:
    """Guards against connections that stay open for ever after their end."""
    root = LateResponse()
    connection = listen(root)()
    connection.send(
        b'POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
    )
    transport = connection.transport
    transport.dataBuffer = bytes(1000)
    root.pending[0].finish()
    case.assertTrue(transport.disconnecting)
    for left_bytes in (900, 800):
        transport.dataBuffer = bytes(left_bytes)
        connection.clock.advance(IDLE_SECONDS)
    case.assertFalse(transport.disconnected)
    connection.clock.advance(IDLE_SECONDS)
    case.assertTrue(transport.disconnected)


def test_one_large_body_at_a_time_is_served_beside_small_ones(
    case: support.Case,
) -> None:
    """Guards against a count of large bodies that does not return to 0."""
    size = 8 * caller_budgets.MEBIBYTE
    budget = caller_budgets.Budget(bytes=size, connections=10)
    holdings = caller_holdings.CallerHoldings(budget)
    case.assertTrue(holdings.serve(1000))
    for _ in range(2):
        case.assertTrue(holdings.serve(size + 400))
        case.assertFalse(holdings.serve(size + 400))
        holdings.release(size + 400)
    case.assertEqual(1000, holdings.served_bytes)


def test_response_that_is_read_slowly_is_delivered(
    case: support.Case,
) -> None:
    """The idle timeout reset a caller that was still reading."""
    root = LateResponse()
    connection = listen(root)()
    connection.send(BODY_HEAD % 3 + b'abc')
    transport = connection.transport
    transport.dataBuffer = bytes(1000)
    root.pending[0].finish()
    for left_bytes in (900, 800, 700, 600):
        transport.dataBuffer = bytes(left_bytes)
        connection.clock.advance(IDLE_SECONDS)
    case.assertFalse(transport.disconnected)
    for _ in range(2):
        connection.clock.advance(IDLE_SECONDS)
    case.assertTrue(transport.disconnected)


def test_lost_connection_holds_no_unsent_bytes(case: support.Case) -> None:
    """Guards against responses that live until the garbage collector runs."""
    connection = connect()
    transport: typing.Any = connection.transport
    transport.dataBuffer = bytes(100)
    transport.offset = 10
    transport._tempDataBuffer = [bytes(100)]
    transport._tempDataLen = 100
    connection.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    case.assertEqual(
        (b'', 0, [], 0),
        (
            transport.dataBuffer,
            transport.offset,
            transport._tempDataBuffer,
            transport._tempDataLen,
        ),
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
