"""Pool of HTTP/1.1 connections to targets.

Twisted's `Agent` does not show which connection carries a request and whether
that connection was reused. Whether a request may be retried depends on both,
so this pool is built directly on Twisted's HTTP/1.1 client protocol.
"""

import asyncio
import collections
from collections import abc
import re
import socket
import typing

import attrs
from returns import pipeline
from returns import result
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces as twisted_interfaces
from twisted.internet import protocol
from twisted.python import failure as failures
from twisted.web import _newclient
from twisted.web import http_headers
from zope import interface

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import response_bodies
from pistachioseam import interfaces
from pistachioseam import response_budgets
from pistachioseam_entry import call_bodies
from pistachioseam_entry import reactors
from pistachioseam_entry import response_parsers
from pistachioseam_entry import sockets

CONNECT_TIMEOUT_SECONDS = 1.0
"""A target that does not accept a connection within this time is skipped."""
DEFAULT_IDLE_SECONDS = 4.0
"""Maximum idle time of a connection if its target states no timeout."""
IDLE_MARGIN_SECONDS = 1.0
"""Subtracted from the `Keep-Alive` timeout that a target states, which is in
whole seconds, so that no request is sent while the target is closing the
connection."""
MAX_IDLE_SECONDS = 12.0
"""Maximum idle time of any connection, because each counts against the
connection limit of its target."""
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb'timeout\s*=\s*(\d+)', re.IGNORECASE)
MAX_IDLE_CONNECTIONS = 16
"""Idle connections kept to one target; each counts against its connection
limit."""
STATUS_LINE_PATTERN = re.compile(rb'HTTP/\d\.\d \d{3}')
"""Start of a response. Inside a head it shows that the response before it has
broken off there."""
MAX_REQUESTS = 256
"""Requests that a connection carries; it remembers the ids of all of them."""
MAX_HEAD_BYTES = 65_536
"""Longest head of a response, interim responses (1xx) included."""
USER_TIMEOUT_MS = 2_500
"""`TCP_USER_TIMEOUT`: the kernel closes a connection whose sent data, or
keepalive probes, have not been acknowledged for this long; the number of
probes has no effect then. A sound target may be silent for a second or so."""
KEEPALIVE_SECONDS = 1
"""Silence before the first TCP keepalive probe, and probe interval."""
UPLOAD_CHECK_SECONDS = 0.005
"""Interval at which the upload is checked once a target has ended its response
with the connection. A target that closes its socket before it has read the
upload sends a reset right behind the end of the response."""
RECEIPT_SECONDS = 0.3
"""Time after the disconnect of the caller in which the target's machine must
acknowledge some of the request, else the request is given up. It is longer
than the round trip to another region."""

Kind = interfaces.FailureKind


class Codec(typing.Protocol):
    """Wire format of calls to targets and of their responses."""

    def encode_call(self, call: ports.OutgoingCall) -> ports.HeaderPairs:
        """Return all headers of a call."""

    def decode_response(
        self, status: int, headers: ports.HeaderPairs
    ) -> ports.ResponseHead:
        """Return the decoded status and headers of a response."""


@interface.implementer(twisted_interfaces.IHalfCloseableProtocol)
class Connection(_newclient.HTTP11ClientProtocol):
    """Connection to a target, for one request at a time.

    `on_idle` is called when the connection can take the next request,
    `on_received` when bytes have arrived, `on_lost` when it has been closed.
    `is_reset` is set if it was not closed cleanly, `is_broken` if the target
    closed it before the end of a response, or idle earlier than it had stated.
    `number` counts the connections of a pool. `drop_reason` tells why this
    host has closed it in the middle of a request, if there is a reason.
    """

    def __init__(
        self,
        address: str,
        on_idle: abc.Callable[['Connection'], None],
        on_lost: abc.Callable[['Connection'], None],
        on_received: abc.Callable[[], None],
        number: int = 0,
    ) -> None:
        super().__init__(on_idle)
        self.address = address
        self.number = number
        self.idle_since = 0.0
        self.max_idle_seconds = DEFAULT_IDLE_SECONDS
        self.is_reset = False
        self.is_broken = False
        self.drop_reason = ''
        self._is_dropped = False
        self._has_stated_idle_time = False
        self._head_bytes = 0
        self._request_count = 0
        self._extra_count = 0
        self._has_upload = False
        self._request_bytes = 0
        self._is_read_ended = False
        # Hashes of the requests' ids; a collision costs a new connection.
        self._carried_ids: set[int] = set()
        self._on_lost = on_lost
        self._on_received = on_received

    def connectionMade(self) -> None:  # noqa: N802
        """Bound the time until a dead connection is detected."""
        super().connectionMade()
        set_socket_options(self.transport)

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Notify the pool that this connection has been closed."""
        self.is_reset = reason.check(error.ConnectionDone) is None
        self.is_broken = not self._is_dropped and (
            self.is_reset or self._is_response_cut() or self._is_idle_cut()
        )
        super().connectionLost(reason)
        self._on_lost(self)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection that a target has closed.

        If that ends a response to an upload, it is closed only once the
        target has received all of the upload: until then the kernel reports
        the end of the response even after a reset.
        """
        if self._is_read_ended:
            return
        self._is_read_ended = True
        if self._has_upload and self._is_response_open():
            reactors.get_reactor().callLater(
                UPLOAD_CHECK_SECONDS, self._check_upload
            )
        else:
            self._end_connection(error.ConnectionDone())

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing; a connection is never shut down for writing alone."""

    def _check_upload(self) -> None:
        """Close the connection if the upload has been received, or failed."""
        transport: typing.Any = self.transport
        if not transport.connected:
            return
        handle = transport.getHandle()
        if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._end_connection(error.ConnectionLost())
        elif self._is_upload_received():
            self._end_connection(error.ConnectionDone())
        else:
            reactors.get_reactor().callLater(
                UPLOAD_CHECK_SECONDS, self._check_upload
            )

    def _is_upload_received(self) -> bool:
        """Return whether the target's kernel has acknowledged all data."""
        return not sockets.count_unreceived_bytes(self.transport)

    def _end_connection(self, reason: Exception) -> None:
        transport: typing.Any = self.transport
        transport.connectionLost(failures.Failure(reason))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes; close the connection if the head has no end.

        The parser limits the length of a line but not the number of lines.
        """
        self._on_received()
        super().dataReceived(data)
        if not self._is_reading_head():
            self._head_bytes = 0
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.drop()

    def _is_reading_head(self) -> bool:
        return self._parser is not None and self._parser.state in (
            _newclient.STATUS,
            _newclient.HEADER,
        )

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802
        """Stop reuse of a connection if bytes follow a complete response.

        Twisted drops such bytes and would parse what comes after them as the
        next response.
        """
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        if self._parser is not None:
            keep_alive = self._parser.connHeaders.getRawHeaders(
                b'keep-alive', []
            )
            self._has_stated_idle_time = (
                read_idle_seconds(keep_alive) is not None
            )
            self.max_idle_seconds = choose_idle_seconds(keep_alive)
        super()._finishResponse_WAITING(rest)

    def _giveUp(self, reason: failures.Failure) -> None:  # noqa: N802
        """Close the connection; until it is lost it takes no request."""
        self._is_dropped = True
        super()._giveUp(reason)

    def request_response(
        self,
        request: _newclient.Request,
        request_id: str,
        head_filter: response_parsers.HeadFilter,
    ) -> defer.Deferred[typing.Any]:
        """Send a request; return the first response that is accepted.

        One whose id the connection has carried before is not sent.
        """
        if not self.is_idle() or self.has_carried(request_id):
            return defer.fail(_newclient.RequestNotSent())
        self._request_count += 1
        self._carried_ids.add(hash(request_id))
        self._has_upload = bool(
            request.bodyProducer is not None and request.bodyProducer.length
        )
        pending = self.request(request)
        if self._parser is not None:
            parser = response_parsers.ResponseParser(
                request, self._finishResponse, head_filter
            )
            parser.take_over(self._parser, self._transportProxy)
            self._parser = parser
        # The transport writes in a later iteration of the loop.
        self._request_bytes = sockets.count_buffered_bytes(self.transport)
        return pending

    def give_up_unreceived(self, request: _newclient.Request) -> None:
        """Close the connection if the target receives none of a request soon.

        It would get the request once it responds again.
        """
        reactors.get_reactor().callLater(
            RECEIPT_SECONDS, self._drop_unreceived, request
        )

    def _drop_unreceived(self, request: _newclient.Request) -> None:
        transport: typing.Any = self.transport
        if self._currentRequest is not request or not transport.connected:
            return
        unreceived_bytes = sockets.count_unreceived_bytes(transport)
        if 0 < self._request_bytes <= unreceived_bytes:
            self.drop_reason = 'not received by the target'
            self.drop()

    def _is_response_cut(self) -> bool:
        """Return whether a response ends with the connection by mistake.

        One without length and chunks may end so.
        """
        if self.state not in ('TRANSMITTING', 'WAITING'):
            return False
        return not self._is_response_open()

    def _is_response_open(self) -> bool:
        """Return whether a response is read that ends with its connection."""
        if self._parser is None or self._parser.state != _newclient.BODY:
            return False
        headers = self._parser.connHeaders
        return not (
            headers.hasHeader(b'content-length')
            or headers.hasHeader(b'transfer-encoding')
        )

    def _is_idle_cut(self) -> bool:
        """Return whether the target closes it idle before the stated time.

        The kernel does so for a process that was killed.
        """
        if self.state != 'QUIESCENT' or not self._has_stated_idle_time:
            return False
        idle_seconds = reactors.get_reactor().seconds() - self.idle_since
        return idle_seconds < self.max_idle_seconds

    def record_extra_response(self) -> None:
        """Record a response that belongs to another request."""
        self._extra_count += 1

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id has been sent on it.

        A late copy of its response could not be told from that to the same
        request, sent again. An empty text is no id.
        """
        return bool(request_id) and hash(request_id) in self._carried_ids

    def get_use(self) -> ports.ConnectionUse:
        """Return what the connection has carried."""
        return ports.ConnectionUse(
            number=self.number,
            requests=self._request_count,
            extra_responses=self._extra_count,
        )

    def is_idle(self) -> bool:
        """Return whether a request may be sent."""
        return self.state == 'QUIESCENT' and not self._is_dropped

    def is_dropped(self) -> bool:
        """Return whether this host has closed it."""
        return self._is_dropped

    def is_used_up(self) -> bool:
        """Return whether it has carried as many requests as it may."""
        return self._request_count >= MAX_REQUESTS

    def drop_request(self, request: _newclient.Request) -> None:
        """Close the connection, unless it carries a later request."""
        if self._currentRequest in (None, request):
            self.drop()

    def drop(self) -> None:
        """Close the connection at once, without sending buffered data."""
        # The transport reports the loss only in a later iteration of the loop.
        self._is_dropped = True
        if self.transport is not None:
            self.transport.abortConnection()


OpenResult: typing.TypeAlias = result.Result[
    Connection, interfaces.CallFailure
]


def read_idle_seconds(keep_alive: abc.Sequence[bytes]) -> float | None:
    """Return the idle timeout that a target states, None if it states none.

    `keep_alive` holds the values of the target's `Keep-Alive` headers.
    """
    for value in keep_alive:
        found = KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
        if found:
            return float(found[1])
    return None


def choose_idle_seconds(keep_alive: abc.Sequence[bytes]) -> float:
    """Return the maximum idle time of a connection, in seconds.

    `keep_alive` is that of `read_idle_seconds`.
    """
    stated_seconds = read_idle_seconds(keep_alive)
    if stated_seconds is None:
        return DEFAULT_IDLE_SECONDS
    return min(
        MAX_IDLE_SECONDS, max(0.0, stated_seconds - IDLE_MARGIN_SECONDS)
    )


def set_socket_options(transport: typing.Any) -> None:
    """Send without delay; let the kernel detect an unreachable target."""
    transport.setTcpNoDelay(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sockets.limit_receive_buffer(handle)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def ignore_received() -> None:
    """Do nothing with the fact that bytes have arrived."""


def ignore_address(address: str) -> None:
    """Do nothing with the fact that a connection has opened or broken."""


def allow_sending() -> bool:
    """Return that a call may be sent at any time."""
    return True


class ConnectionPool:
    """Connections to targets by address; closes them all on exit.

    `on_received` is called when any target has sent bytes, `on_opened` with
    the address of each new connection, `on_broken` with that of each one that
    the target has broken, or not accepted.
    """

    def __init__(self, codec: Codec) -> None:
        self.on_received: abc.Callable[[], None] = ignore_received
        self.on_opened: abc.Callable[[str], None] = ignore_address
        self.on_broken: abc.Callable[[str], None] = ignore_address
        self._codec = codec
        self._idle: dict[str, collections.deque[Connection]] = {}
        self._open: set[Connection] = set()
        self._listeners: list[ports.ResponseListener] = []
        self.opened_count = 0
        self.response_budget = response_budgets.ResponseBudget()

    def __enter__(self) -> 'ConnectionPool':
        """Return the pool; connections are opened on demand."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all connections, busy ones included."""
        for connection in list(self._open):
            connection.drop()

    def add_listener(self, listener: ports.ResponseListener) -> None:
        """Call `listener` with the head of each response."""
        self._listeners.append(listener)

    def count_open(self) -> int:
        """Return the number of open connections, idle and busy."""
        return len(self._open)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.drop()

    def close_all_idle(self) -> None:
        """Close the idle connections to all addresses."""
        for address in list(self._idle):
            self.close_idle(address)

    async def send(
        self,
        address: str,
        call: ports.OutgoingCall,
        may_send: abc.Callable[[], bool] = allow_sending,
    ) -> ports.SendResult:
        """Send once, without a retry; return when the head has arrived.

        `may_send` is called on an open connection, right before the call is
        written.
        """
        connection = self.take_idle(address, call)
        if connection is None:
            started_at = reactors.get_reactor().seconds()
            connected = await self.connect(address)
            if not pipeline.is_successful(connected):
                return result.Failure(connected.failure())
            connection = connected.unwrap()
            call = call.spend(reactors.get_reactor().seconds() - started_at)
        if not may_send() or not call.begin_sending():
            self._add_idle(connection)
            return _fail(Kind.NOT_SENT, 'it may no longer be sent')
        return await self.send_on(connection, call)

    async def is_reachable(self, address: str, seconds: float) -> bool:
        """Return whether an address accepts a connection in some seconds.

        A connection that opens is added to the pool.
        """
        connected = await self.connect(address, seconds)
        if not pipeline.is_successful(connected):
            return False
        self._add_idle(connected.unwrap())
        return True

    async def is_connection_refused(self, address: str) -> bool:
        """Return whether an address refuses connections.

        A connection that opens is added to the pool.
        """
        connected = await self.connect(address)
        if pipeline.is_successful(connected):
            self._add_idle(connected.unwrap())
            return False
        return connected.failure().is_refused

    async def fetch(
        self,
        address: str,
        call: ports.OutgoingCall,
        may_send: abc.Callable[[], bool] = allow_sending,
    ) -> result.Result[tuple[int, bytes], interfaces.CallFailure]:
        """Send once; return status and body within `call.seconds_left`.

        `may_send` is called right before the call is written.
        """
        try:
            async with asyncio.timeout(call.seconds_left):
                return await self._fetch(address, call, may_send)
        except TimeoutError:
            failure = interfaces.CallFailure(
                Kind.TIMED_OUT, 'no complete response in time'
            )
            return result.Failure(failure)

    async def _fetch(
        self,
        address: str,
        call: ports.OutgoingCall,
        may_send: abc.Callable[[], bool],
    ) -> result.Result[tuple[int, bytes], interfaces.CallFailure]:
        sent = await self.send(address, call, may_send)
        if not pipeline.is_successful(sent):
            return result.Failure(sent.failure())
        response = sent.unwrap()
        try:
            body = await response_bodies.read_body(response)
        finally:
            response.abort()
        return body.map(lambda content: (response.head.status, content))

    def take_idle(
        self, address: str, call: ports.OutgoingCall
    ) -> Connection | None:
        """Return the last used idle connection that may carry a call, or None.

        Connections idle beyond their own `max_idle_seconds` are closed. So is
        the oldest that is kept from the call by its id: a new one replaces it.
        """
        idle = self._idle.get(address, ())
        now = reactors.get_reactor().seconds()
        replaced: Connection | None = None
        for connection in reversed(tuple(idle)):
            idle_seconds = now - connection.idle_since
            if (
                not connection.is_idle()
                or idle_seconds >= connection.max_idle_seconds
            ):
                self._close_idle_one(connection)
            elif connection.has_carried(call.request_id):
                replaced = connection
            elif (
                not call.needs_new_connection
                and idle_seconds < call.max_idle_seconds
            ):
                self._idle[address].remove(connection)
                return connection
        if replaced is not None:
            self._close_idle_one(replaced)
        return None

    def _close_idle_one(self, connection: Connection) -> None:
        self._idle[connection.address].remove(connection)
        connection.drop()

    async def connect(
        self, address: str, seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> OpenResult:
        """Open a connection within some seconds."""
        host, _, port = address.rpartition(':')
        endpoint = endpoints.TCP4ClientEndpoint(
            reactors.get_reactor(),
            host,
            int(port),
            timeout=seconds,
        )
        self.opened_count += 1
        connection = Connection(
            address,
            self._add_idle,
            self._remove,
            lambda: self.on_received(),
            self.opened_count,
        )
        try:
            connecting = endpoints.connectProtocol(endpoint, connection)
            await connecting.asFuture(asyncio.get_running_loop())
        except asyncio.CancelledError:
            # The connection may have opened just before.
            connection.drop()
            raise
        except (error.ConnectError, error.ConnectingCancelledError) as raised:
            if isinstance(raised, error.ConnectError):
                self.on_broken(address)
            return result.Failure(
                interfaces.CallFailure(
                    Kind.NOT_SENT,
                    type(raised).__name__,
                    is_refused=isinstance(
                        raised, error.ConnectionRefusedError
                    ),
                )
            )
        self._open.add(connection)
        self.on_opened(address)
        return result.Success(connection)

    def _add_idle(self, connection: Connection) -> None:
        """Add a connection to the idle ones; close the oldest if too many.

        One that is used up is closed.
        """
        if connection.is_used_up():
            connection.drop()
            return
        connection.idle_since = reactors.get_reactor().seconds()
        idle = self._idle.setdefault(connection.address, collections.deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.popleft().drop()

    def _remove(self, connection: Connection) -> None:
        self._open.discard(connection)
        if connection.is_broken:
            self.on_broken(connection.address)
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                del self._idle[connection.address]

    async def send_on(
        self, connection: Connection, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Send on an open connection; return when the head has arrived.

        Responses to other requests are passed over, as the one to this call
        may follow. If the caller leaves, the call goes on once the target has
        received some of it.
        """
        headers = http_headers.Headers()
        for name, value in self._codec.encode_call(call):
            headers.addRawHeader(name, value)
        body = call_bodies.BytesBody(call.body) if call.body else None
        if body is None and call.method not in (b'GET', b'HEAD'):
            body = call_bodies.BytesBody(b'')
        request = _newclient.Request(
            call.method, call.uri, headers, body, persistent=True
        )
        sent_at = asyncio.get_running_loop().time()
        heads = ReceivedHeads(
            self._codec,
            call.request_id,
            lambda head: self._report_on(connection, call, sent_at, head),
        )
        pending = connection.request_response(request, call.request_id, heads)
        try:
            with call.caller.watch(
                lambda: connection.give_up_unreceived(request)
            ):
                response = await pending.asFuture(asyncio.get_running_loop())
        except asyncio.CancelledError:
            connection.drop_request(request)
            raise
        except _newclient.RequestNotSent:
            return _fail(
                Kind.NOT_SENT, 'the connection could not take the request'
            )
        except Exception as raised:
            is_given_up = connection.is_dropped()
            connection.drop()
            reason = failures.Failure(raised)
            detail = connection.drop_reason
            detail = detail or call_bodies.describe_failure(reason)
            return _break(connection, detail, is_given_up)
        head = heads.last
        assert head is not None
        if head.is_ambiguous:
            connection.drop()
            return _break(
                connection,
                f'head of two responses, status {head.status},'
                f' request id {head.request_id}',
            )
        if head.request_id != call.request_id:
            connection.drop()
            return _break(connection, 'response without a request id')
        return result.Success(
            TargetResponse(connection, response, head, self.response_budget)
        )

    def _report_on(
        self,
        connection: Connection,
        call: ports.OutgoingCall,
        sent_at: float,
        head: ports.ResponseHead,
    ) -> None:
        """Report a head that has arrived on a connection of this pool."""
        described = ''
        if head.request_id not in ('', call.request_id):
            connection.record_extra_response()
            described = connection.get_use().describe()
        self.report_response(
            connection.address, call, sent_at, head, described
        )

    def report_response(
        self,
        address: str,
        call: ports.OutgoingCall,
        sent_at: float,
        head: ports.ResponseHead,
        connection: str = '',
    ) -> None:
        """Call the listeners with the head of a response."""
        received = ports.ReceivedHead.create(
            address, call, sent_at, head, connection
        )
        for listener in self._listeners:
            listener(received)


class ReceivedHeads:
    """Heads of the responses that arrive while a call waits.

    `last` is the newest one, None before the first; `report` is called with
    each that belongs to one response.
    """

    def __init__(
        self,
        codec: Codec,
        request_id: str,
        report: abc.Callable[[ports.ResponseHead], None],
    ) -> None:
        self.last: ports.ResponseHead | None = None
        self._codec = codec
        self._request_id = request_id
        self._report = report

    def accept_head(
        self,
        status: int,
        phrase: bytes,
        headers: abc.Iterable[http_headers.Headers],
    ) -> bool:
        """Return False for a response to another request.

        An ambiguous head is accepted, as no response is found behind it, and
        so is one without an id: most likely it is that of the call, damaged.
        """
        pairs = tuple(pair for part in headers for pair in _list_headers(part))
        head = self._codec.decode_response(status, pairs)
        texts = (phrase, *(value for _, value in pairs))
        if any(STATUS_LINE_PATTERN.search(text) for text in texts):
            head = attrs.evolve(head, is_ambiguous=True)
        self.last = head
        if head.is_ambiguous:
            return True
        self._report(head)
        return head.request_id in ('', self._request_id)


def _fail(kind: interfaces.FailureKind, detail: str) -> ports.SendResult:
    return result.Failure(interfaces.CallFailure(kind, detail))


def _break(
    connection: Connection, detail: str, is_given_up: bool = True
) -> ports.SendResult:
    """Return the failure of a call whose response on a connection broke."""
    failure = interfaces.CallFailure(
        Kind.BROKEN,
        detail,
        connection=connection.get_use().describe(),
        is_given_up=is_given_up,
    )
    return result.Failure(failure)


def _list_headers(
    headers: typing.Any,
) -> abc.Iterator[tuple[bytes, bytes]]:
    for name, values in headers.getAllRawHeaders():
        for value in values:
            yield name, value


class TargetResponse:
    """Response of a target whose head has arrived."""

    def __init__(
        self,
        connection: Connection,
        response: typing.Any,
        head: ports.ResponseHead,
        budget: response_budgets.ResponseBudget | None = None,
    ) -> None:
        self.head = head
        self.connection = connection.get_use().describe()
        self._connection = connection
        has_length = isinstance(response.length, int)
        self.declared_bytes = response.length if has_length else None
        self._reader = call_bodies.BodyReader(
            lambda: connection.is_reset, budget
        )
        response.deliverBody(self._reader)

    @property
    def is_end_marked(self) -> bool:
        """Return whether the target has marked the end of the body."""
        return self._reader.is_end_marked

    async def read(self) -> call_bodies.ReadResult:
        """Return the next bytes, empty at the end of a complete body."""
        read = await self._reader.read()
        if pipeline.is_successful(read) or not self._connection.is_dropped():
            return read
        return result.Failure(attrs.evolve(read.failure(), is_given_up=True))

    def drop(self) -> None:
        """Close the connection, so that no other request meets its bytes."""
        self._connection.drop()

    def abort(self) -> None:
        """Close the connection unless the body has ended.

        What has not been read is discarded.
        """
        if not self._reader.is_ended():
            self._connection.drop()
        self._reader.abandon()
