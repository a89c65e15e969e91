"""Requests that arrive too slowly are answered 408; idle callers are not."""

import typing

import attrs
from twisted.internet import task
from twisted.internet import testing
from twisted.web import resource

from pistachioseam_entry import listener
from tests import support

HEADER_SECONDS = 3.0
IDLE_SECONDS = 15.0
HEADER_ROOM = 4096


class Answer(resource.Resource):
    """Answers any request at once."""

    isLeaf = True  # noqa: N815

    def render(self, request: typing.Any) -> bytes:
        """Return a body."""
        return b'done'


@attrs.define
class Connection:
    """One connection of a caller, with a clock of its own."""

    clock: task.Clock
    transport: testing.StringTransport
    protocol: typing.Any
    slow: list[float]

    def send(self, data: bytes) -> None:
        """Deliver bytes of the caller."""
        self.protocol.dataReceived(data)

    def get_status(self) -> bytes:
        """Return the last answer's status line, empty without an answer."""
        return self.transport.value().rpartition(b'HTTP/1.1 ')[2][:3]


def connect() -> Connection:
    """Return a new connection to a listener with bounds."""
    clock = task.Clock()
    slow: list[float] = []
    site = listener.BoundedSite(
        Answer(),
        timeout=IDLE_SECONDS,
        requestFactory=listener.BoundedRequest,
        reactor=clock,
    )
    site.max_header_buffer_bytes = HEADER_ROOM
    site.header_seconds = HEADER_SECONDS
    site.note_slow = lambda: slow.append(clock.seconds())
    listener.BoundedRequest.max_body_bytes = HEADER_ROOM
    protocol: typing.Any = site.buildProtocol(None)
    transport = testing.StringTransport()
    protocol.makeConnection(transport)
    return Connection(clock, transport, protocol, slow)


def test_slow_header_is_answered_408(case: support.Case) -> None:
    """A header that drips in is cut at its bound, not at the idle bound."""
    connection = connect()
    connection.send(b'GET / HTTP/1.1\r\n')
    for _ in range(5):
        connection.clock.advance(HEADER_SECONDS / 6)
        connection.send(b'X-Part: 1\r\n')
    case.assertEqual(b'', connection.get_status())
    connection.clock.advance(HEADER_SECONDS / 6)
    case.assertEqual(b'408', connection.get_status())
    case.assertTrue(connection.transport.disconnecting)
    case.assertEqual([HEADER_SECONDS], connection.slow)


def test_first_bytes_of_a_request_line_count(case: support.Case) -> None:
    """A part of the first line already begins a header."""
    connection = connect()
    connection.send(b'GE')
    connection.clock.advance(HEADER_SECONDS)
    case.assertEqual(b'408', connection.get_status())


def test_body_that_stops_is_answered_408(case: support.Case) -> None:
    """A body may take longer than a header while it goes on arriving."""
    connection = connect()
    connection.send(b'POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n')
    for _ in range(3):
        connection.clock.advance(HEADER_SECONDS)
        connection.send(b'x')
    case.assertEqual(b'', connection.get_status())
    connection.clock.advance(IDLE_SECONDS)
    case.assertEqual(b'408', connection.get_status())
    case.assertTrue(connection.transport.disconnecting)


def test_idle_connection_is_closed_without_a_word(case: support.Case) -> None:
    """Between requests nothing waits for an answer."""
    connection = connect()
    connection.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    case.assertEqual(b'200', connection.get_status())
    connection.clock.advance(HEADER_SECONDS)
    case.assertFalse(connection.transport.disconnecting)
    connection.clock.advance(IDLE_SECONDS)
    case.assertEqual(b'200', connection.get_status())
    case.assertTrue(connection.transport.disconnecting)
    case.assertEqual([], connection.slow)


def test_second_request_has_its_own_time(case: support.Case) -> None:
    """The header of each request on a connection is timed by itself."""
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
