"""Channels to targets: opened when needed, kept, and dropped when doubtful.

Twisted's agent hides on which connection a request goes and whether it was
kept, on which it depends what may be sent again. So the channels stand here,
over twisted's HTTP/1.1 client protocol.
"""

import asyncio
import collections
from collections import abc
import re
import socket
import typing

from returns import pipeline
from returns import result
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure as failures
from twisted.web import _newclient
from twisted.web import http_headers

from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import ports
from pistachioseam import interfaces
from pistachioseam_entry import call_bodies
from pistachioseam_entry import reactors

CONNECT_SECONDS = 1.0
"""A target that does not take a channel within this is passed over."""
IDLE_SECONDS = 4.0
"""Idle time after which a channel of a target that states none is closed."""
IDLE_MARGIN_SECONDS = 1.0
"""Part of a stated idle time that is not used; it is in whole seconds."""
MOST_IDLE_SECONDS = 12.0
"""Longest idle time of a channel; it takes a place at its target."""
IDLE_PATTERN = re.compile(rb'timeout\s*=\s*(\d+)', re.IGNORECASE)
MAX_IDLE_CHANNELS = 16
"""Kept channels to one target; each takes one of its places."""
UNACKNOWLEDGED_MS = 2_500
"""Sent data that no one acknowledges for so long ends a channel."""
KEEPALIVE_SECONDS = 1
"""Silence after which, and pause at which, a channel is probed."""
KEEPALIVE_PROBES = 2
"""Unanswered probes that end a channel."""

Kind = interfaces.FailureKind


class Codec(typing.Protocol):
    """Format of calls and answers on the wire."""

    def encode_call(self, call: ports.OutgoingCall) -> ports.HeaderPairs:
        """Return all headers of a call."""

    def decode_answer(
        self, status: int, headers: ports.HeaderPairs
    ) -> ports.ResponseHead:
        """Return what the head of an answer says."""


class Channel(_newclient.HTTP11ClientProtocol):
    """One connection to a target."""

    def __init__(
        self,
        address: str,
        on_quiet: abc.Callable[['Channel'], None],
        on_lost: abc.Callable[['Channel'], None],
    ) -> None:
        super().__init__(on_quiet)
        self.address = address
        self.quiet_since = 0.0
        self.max_idle_seconds = IDLE_SECONDS
        self.is_reset = False
        self._on_lost = on_lost

    def connectionMade(self) -> None:  # noqa: N802
        """Bound the time in which a dead connection goes unnoticed."""
        super().connectionMade()
        set_socket_limits(self.transport)

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Tell the pool that this channel is no longer there."""
        self.is_reset = reason.check(error.ConnectionDone) is None
        super().connectionLost(reason)
        self._on_lost(self)

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802
        """End a channel on which bytes follow a whole answer.

        Twisted drops such bytes and would go on with what comes after them.
        """
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        if self._parser is not None:
            stated = self._parser.connHeaders.getRawHeaders(b'keep-alive', [])
            self.max_idle_seconds = choose_idle_seconds(stated)
        super()._finishResponse_WAITING(rest)

    def is_quiet(self) -> bool:
        """Tell whether a request may be sent."""
        return self.state == 'QUIESCENT'

    def drop(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abortConnection()


def choose_idle_seconds(stated: abc.Sequence[bytes]) -> float:
    """Return how long a channel may be idle by what its target states."""
    for value in stated:
        found = IDLE_PATTERN.search(value)
        if found:
            seconds = float(found[1]) - IDLE_MARGIN_SECONDS
            return min(MOST_IDLE_SECONDS, max(0.0, seconds))
    return IDLE_SECONDS


def set_socket_limits(transport: typing.Any) -> None:
    """Make the system end a connection whose other side has vanished."""
    transport.setTcpNoDelay(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


class ChannelPool:
    """Channels to targets by address; a context manager that owns them."""

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        self._idle: dict[str, collections.deque[Channel]] = {}
        self._open: set[Channel] = set()
        self.opened = 0

    def __enter__(self) -> 'ChannelPool':
        """Return the pool."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close all channels."""
        for channel in list(self._open):
            channel.drop()

    def count_open(self) -> int:
        """Return the number of channels."""
        return len(self._open)

    def close_idle(self, address: str) -> None:
        """Drop the idle channels to an address."""
        for channel in self._idle.pop(address, ()):
            channel.drop()

    async def send(
        self, address: str, call: ports.OutgoingCall
    ) -> ports.SendResult:
        """Send once and return the answer when its head is there."""
        channel = self._take_idle(address, call.max_idle_seconds)
        if channel is None:
            connected = await self._connect(address)
            if not pipeline.is_successful(connected):
                return result.Failure(connected.failure())
            channel = connected.unwrap()
        return await self._request(channel, call)

    async def is_connection_refused(self, address: str) -> bool:
        """Tell whether an address refuses a new channel; keep it if not."""
        connected = await self._connect(address)
        if pipeline.is_successful(connected):
            self._keep(connected.unwrap())
            return False
        return (
            connected.failure().detail == error.ConnectionRefusedError.__name__
        )

    async def call_whole(
        self, address: str, call: ports.OutgoingCall
    ) -> result.Result[tuple[int, bytes], interfaces.CallFailure]:
        """Send once and return status and body, within the call's time."""
        try:
            async with asyncio.timeout(call.seconds_left):
                return await self._call_whole(address, call)
        except TimeoutError:
            failure = interfaces.CallFailure(Kind.TIMED_OUT, 'no answer')
            return result.Failure(failure)

    async def _call_whole(
        self, address: str, call: ports.OutgoingCall
    ) -> result.Result[tuple[int, bytes], interfaces.CallFailure]:
        sent = await self.send(address, call)
        if not pipeline.is_successful(sent):
            return result.Failure(sent.failure())
        answer = sent.unwrap()
        try:
            body = await delivery.read_body(answer)
        finally:
            answer.abort()
        return body.map(lambda content: (answer.head.status, content))

    def _take_idle(self, address: str, max_idle: float) -> Channel | None:
        """Return the channel that was used last, if that is recent enough."""
        idle = self._idle.get(address)
        now = reactors.get_reactor().seconds()
        while idle:
            channel = idle.pop()
            age = now - channel.quiet_since
            longest = channel.max_idle_seconds
            if channel.is_quiet() and age < min(max_idle, longest):
                return channel
            if not channel.is_quiet() or age >= longest:
                channel.drop()
                continue
            idle.append(channel)
            return None
        return None

    async def _connect(
        self, address: str
    ) -> result.Result[Channel, interfaces.CallFailure]:
        host, _, port = address.rpartition(':')
        endpoint = endpoints.TCP4ClientEndpoint(
            reactors.get_reactor(), host, int(port), timeout=CONNECT_SECONDS
        )
        channel = Channel(address, self._keep, self._discard)
        self.opened += 1
        try:
            connecting = endpoints.connectProtocol(endpoint, channel)
            await connecting.asFuture(asyncio.get_running_loop())
        except (error.ConnectError, error.ConnectingCancelledError) as raised:
            return result.Failure(
                interfaces.CallFailure(Kind.NOT_SENT, type(raised).__name__)
            )
        self._open.add(channel)
        return result.Success(channel)

    def _keep(self, channel: Channel) -> None:
        """Keep a channel whose answer has been read to its end."""
        channel.quiet_since = reactors.get_reactor().seconds()
        idle = self._idle.setdefault(channel.address, collections.deque())
        idle.append(channel)
        if len(idle) > MAX_IDLE_CHANNELS:
            idle.popleft().drop()

    def _discard(self, channel: Channel) -> None:
        self._open.discard(channel)
        idle = self._idle.get(channel.address)
        if idle is not None and channel in idle:
            idle.remove(channel)
            if not idle:
                del self._idle[channel.address]

    async def _request(
        self, channel: Channel, call: ports.OutgoingCall
    ) -> ports.SendResult:
        headers = http_headers.Headers()
        for name, value in self._codec.encode_call(call):
            headers.addRawHeader(name, value)
        body = call_bodies.BytesBody(call.body) if call.body else None
        if body is None and call.method not in (b'GET', b'HEAD'):
            body = call_bodies.BytesBody(b'')
        request = _newclient.Request(
            call.method, call.uri, headers, body, persistent=True
        )
        answering = channel.request(request)
        try:
            response = await answering.asFuture(asyncio.get_running_loop())
        except asyncio.CancelledError:
            channel.drop()
            raise
        except _newclient.RequestNotSent:
            return _fail(Kind.NOT_SENT, 'the channel was closed')
        except Exception as raised:
            channel.drop()
            reason = failures.Failure(raised)
            return _fail(Kind.BROKEN, call_bodies.describe_failure(reason))
        head = self._codec.decode_answer(
            response.code, tuple(_list_headers(response.headers))
        )
        return result.Success(ChannelAnswer(channel, response, head))


def _fail(kind: interfaces.FailureKind, detail: str) -> ports.SendResult:
    return result.Failure(interfaces.CallFailure(kind, detail))


def _list_headers(
    headers: typing.Any,
) -> abc.Iterator[tuple[bytes, bytes]]:
    for name, values in headers.getAllRawHeaders():
        for value in values:
            yield name, value


class ChannelAnswer:
    """Answer of a target on its channel."""

    def __init__(
        self, channel: Channel, response: typing.Any, head: ports.ResponseHead
    ) -> None:
        self.head = head
        self._channel = channel
        self._reader = call_bodies.BytesReader(lambda: channel.is_reset)
        response.deliverBody(self._reader)

    async def read(self) -> call_bodies.ReadResult:
        """Return the next bytes of the body; empty at its proven end."""
        return await self._reader.read()

    def abort(self) -> None:
        """Drop the channel unless the body has been read to its end."""
        if not self._reader.is_ended():
            self._channel.drop()
