"""Parsers of responses: strict ones, and one for targets.

The one for targets passes over responses to other requests.
"""

from collections import abc
import re
import typing

from twisted.internet import defer
from twisted.python import failure as failures
from twisted.web import _newclient
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers

from pistachioseam import statuses
from pistachioseam_entry import sockets

VERSION_PATTERN = re.compile(rb'HTTP/1\.[0-9]')
"""Twisted takes any text before the version for the name of the protocol, so
the rest of an earlier response too."""


class EndlessResponseError(Exception):
    """A response to another request ends only with its connection."""


class HeadFilter(typing.Protocol):
    """Decision on each response that arrives while a request waits."""

    def accept_head(
        self,
        status: int,
        phrase: bytes,
        headers: abc.Iterable[http_headers.Headers],
    ) -> bool:
        """Return False for a response to pass over."""


class StrictParser(_newclient.HTTPClientParser):
    """Parser that fails on a malformed status or an unclear end of the body.

    Twisted takes any integer for a status, and of a length and chunks it
    ignores the length.
    """

    def take_over(
        self, parser: _newclient.HTTPClientParser, transport: typing.Any
    ) -> None:
        """Replace a parser that has received nothing."""
        self._responseDeferred: defer.Deferred[typing.Any] = (
            parser._responseDeferred
        )
        self.makeConnection(transport)

    def statusReceived(self, status: bytes) -> None:  # noqa: N802
        """Fail unless the line has a valid version and status."""
        version, _, rest = status.partition(b' ')
        code = rest.partition(b' ')[0]
        if (
            not VERSION_PATTERN.fullmatch(version)
            or statuses.parse_status(code) is None
        ):
            raise _newclient.ParseError('malformed status line', status)
        super().statusReceived(status)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Check how the body ends, and begin to read it.

        No request follows on the connection of a response without a body
        whose head declares one: the body may come nevertheless.
        """
        codings = self.connHeaders.getRawHeaders(b'transfer-encoding', [])
        has_length = self.connHeaders.hasHeader(b'content-length')
        if len(codings) + has_length > 1:
            raise _newclient.ParseError(
                'more than one end of the body', b', '.join(codings)
            )
        if self.response.code in self.NO_BODY_CODES and (
            codings or _newclient._contentLength(self.connHeaders)
        ):
            self.request.persistent = False
        super().allHeadersReceived()


class StrictProtocol(_newclient.HTTP11ClientProtocol):
    """Connection of an `Agent` that parses responses strictly."""

    def connectionMade(self) -> None:  # noqa: N802
        """Bound what the kernel holds of a response."""
        super().connectionMade()
        transport: typing.Any = self.transport
        sockets.limit_receive_buffer(transport.getHandle())

    def request(
        self, request: _newclient.Request
    ) -> defer.Deferred[typing.Any]:
        """Send a request; return the response once its head has arrived."""
        pending = super().request(request)
        if self._parser is not None:
            parser = StrictParser(request, self._finishResponse)
            parser.take_over(self._parser, self._transportProxy)
            self._parser = parser
        return pending


class StrictFactory(client._HTTP11ClientFactory):
    """Factory of the connections of a `StrictPool`."""

    def buildProtocol(self, _: object) -> StrictProtocol:  # noqa: N802
        """Return a new connection."""
        return StrictProtocol(self._quiescentCallback)


class StrictPool(client.HTTPConnectionPool):
    """Connections of an `Agent`; no request is sent a second time."""

    _factory = StrictFactory
    retryAutomatically = False  # noqa: N815


class ResponseParser(StrictParser):
    """Parser that waits for the first response which `head_filter` accepts.

    The bodies of others are dropped, and their connection is not used again.
    """

    def __init__(
        self,
        request: _newclient.Request,
        finisher: abc.Callable[[bytes], None],
        head_filter: HeadFilter,
    ) -> None:
        super().__init__(request, finisher)
        self._head_filter = head_filter
        self._is_passing_over = False

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Decide on a response; interim ones (1xx) are ignored."""
        code = self.response.code
        if statuses.is_interim(code) or self._head_filter.accept_head(
            code, self.response.phrase, (self.headers, self.connHeaders)
        ):
            super().allHeadersReceived()
        else:
            self._pass_over()

    def _pass_over(self) -> None:
        self.request.persistent = False
        self._is_passing_over = True
        codings = self.connHeaders.getRawHeaders(b'transfer-encoding')
        length = _newclient._contentLength(self.connHeaders)
        if self.response.code in self.NO_BODY_CODES or (
            self.request.method == b'HEAD'
        ):
            length = 0
        elif codings:
            decoder = self._transferDecoders[codings[0].lower()]
            self.switchToBodyMode(decoder(_discard, self._await_response))
            return
        if length is None:
            raise EndlessResponseError
        if length == 0:
            self._await_response(b'')
            return
        self.switchToBodyMode(
            http._IdentityTransferDecoder(
                length, _discard, self._await_response
            )
        )

    def _await_response(self, rest: bytes) -> None:
        """Parse the next response, which begins with `rest`."""
        self._is_passing_over = False
        self.bodyDecoder = None
        self.connectionMade()
        self.setLineMode(rest)

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure | None = None
    ) -> None:
        """Fail the request, also in the body of a response passed over."""
        if self._is_passing_over:
            self.bodyDecoder = None
        super().connectionLost(reason)


def _discard(_: bytes) -> None:
    """Drop a part of the body of a response that is passed over."""
