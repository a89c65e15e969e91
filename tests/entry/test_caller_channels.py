"""Requests that arrive too slowly get status 408, idle connections do not."""

import typing

import attrs
from twisted.internet import task
from twisted.internet import testing
from twisted.web import resource

from pistachioseam_entry import bounded_requests
from tests import support

HEADER_SECONDS = 3.0
IDLE_SECONDS = 15.0
MAX_BYTES = 4096


class FixedResponse(resource.Resource):
    """Resource that responds to any request at once."""

    isLeaf = True  # noqa: N815

    def render(self, request: typing.Any) -> bytes:
        """Return a short body."""
        return b'done'


@attrs.define
class Connection:
    """Connection of a caller; `timeouts` has the times of 408 responses."""

    clock: task.Clock
    transport: testing.StringTransport
    protocol: typing.Any
    timeouts: list[float]

    def send(self, data: bytes) -> None:
        """Deliver bytes from the caller."""
        self.protocol.dataReceived(data)

    def get_status(self) -> bytes:
        """Return the last response's status code, empty without a response."""
        return self.transport.value().rpartition(b'HTTP/1.1 ')[2][:3]


def connect() -> Connection:
    """Return a new connection to a listener with timeouts."""
    clock = task.Clock()
    timeouts: list[float] = []
    site = bounded_requests.BoundedSite(
        FixedResponse(),
        timeout=IDLE_SECONDS,
        requestFactory=bounded_requests.BoundedRequest,
        reactor=clock,
    )
    site.max_header_buffer_bytes = MAX_BYTES
    site.header_seconds = HEADER_SECONDS
    site.on_request_timeout = lambda: timeouts.append(clock.seconds())
    bounded_requests.BoundedRequest.max_body_bytes = MAX_BYTES
    protocol: typing.Any = site.buildProtocol(None)
    transport = testing.StringTransport()
    protocol.makeConnection(transport)
    return Connection(clock, transport, protocol, timeouts)


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


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
