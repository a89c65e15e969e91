"""Requests and connections of callers, with limits on size and duration."""

from collections import abc
import io
import typing

from twisted.web import http
from twisted.web import server

from pistachioseam import caller_budgets
from pistachioseam_entry import caller_channels
from pistachioseam_entry import caller_holdings

HEADER_BUFFER_FACTOR = 4
"""Twisted buffers headers up to this multiple of their limit, so that requests
above the limit get status 431. Beyond the multiple it closes the
connection."""
BODY_COPIES = 2
"""Copies of a body that is served: its own and that of the transport."""
SMALL_BODY_BYTES = 65_536
"""Limit on the bodies of operators and probes."""
SMALL_HEADER_BYTES = 16_384
SMALL_IDLE_SECONDS = 15.0


class BoundedRequest(server.Request):
    """Request that discards body data beyond `max_body_bytes`.

    `is_too_large` is set if the announced or received length exceeds it. The
    body is held in memory: temporary files count as memory too, and each takes
    a descriptor. `held_bytes` is its size.
    """

    max_body_bytes = 0
    is_too_large = False
    received_bytes = 0
    held_bytes = 0
    _small_chunks = 0
    _taken_chunks = caller_budgets.FREE_SMALL_CHUNKS

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Check the announced length; an oversized body is not buffered."""
        if length is not None and length > self.max_body_bytes:
            self.is_too_large = True
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a chunk unless the body is too large."""
        self.received_bytes += len(data)
        if len(data) < caller_budgets.SMALL_CHUNK_BYTES:
            self._small_chunks += 1
        if self.received_bytes > self.max_body_bytes:
            self.is_too_large = True
        if not self.is_too_large:
            self._get_content().write(data)
            self.held_bytes += len(data)
            return
        if self.held_bytes:
            self.discard_content()
        most_bytes = caller_channels.MAX_DISCARDED_BODIES * self.max_body_bytes
        if self.received_bytes > most_bytes:
            channel: typing.Any = self.channel
            channel.refuse(caller_channels.TOO_LARGE_RESPONSE)

    def discard_content(self) -> None:
        """Release the body."""
        self.content = io.BytesIO()
        self.held_bytes = 0

    def take_content(self) -> bytes:
        """Return the body, which is no longer held here."""
        content = self._get_content().getvalue()
        self.discard_content()
        return content

    def _get_content(self) -> io.BytesIO:
        assert isinstance(self.content, io.BytesIO)
        return self.content

    def take_small_chunks(self) -> int:
        """Return the small chunks since the last call, without free ones."""
        count = max(0, self._small_chunks - self._taken_chunks)
        self._taken_chunks += count
        return count


class SmallRequest(BoundedRequest):
    """Request of an operator or a probe, which has no large body."""

    max_body_bytes = SMALL_BODY_BYTES


class BoundedSite(server.Site):
    """Site whose connections limit the size and duration of requests.

    `max_header_buffer_bytes` bounds the headers that Twisted buffers.
    `header_seconds` bounds the time in which a header must arrive;
    `on_request_timeout` is called when a request does not arrive in time.
    `channels` holds the open connections. `holdings` are the accounts of what
    they hold, shared by all sites of a host. Forms are not parsed: their parts
    would take a multiple of the memory of a body.
    """

    max_header_buffer_bytes = 0
    header_seconds = 0.0
    on_request_timeout: abc.Callable[[], None] = staticmethod(lambda: None)

    def __init__(
        self,
        *arguments: typing.Any,
        holdings: caller_holdings.CallerHoldings | None = None,
        **options: typing.Any,
    ) -> None:
        super().__init__(*arguments, parsePOSTFormSubmission=False, **options)
        self.holdings = holdings or caller_holdings.CallerHoldings()
        self.channels: set[caller_channels.CallerChannel] = set()

    def protocol(self) -> typing.Any:
        """Return the protocol of a connection that limits slow requests."""
        return http._GenericHTTPChannelProtocol(
            caller_channels.CallerChannel(self.holdings)
        )

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Return the protocol of a new connection, with the limits set."""
        protocol: typing.Any = super().buildProtocol(addr)
        channel = protocol._channel
        channel.totalHeadersSize = self.max_header_buffer_bytes
        channel.MAX_LENGTH = self.max_header_buffer_bytes
        channel.header_seconds = self.header_seconds
        channel.on_request_timeout = self.on_request_timeout
        channel.on_closed = self.channels.discard
        self.channels.add(channel)
        return protocol

    def count_unsent_bytes(self) -> int:
        """Return the bytes of responses that callers have not accepted yet."""
        return sum(channel.count_unsent_bytes() for channel in self.channels)


def create_small_site(
    root: typing.Any, holdings: caller_holdings.CallerHoldings
) -> BoundedSite:
    """Return a site for operators or probes, under the same accounts."""
    site = BoundedSite(
        root,
        holdings=holdings,
        timeout=SMALL_IDLE_SECONDS,
        requestFactory=SmallRequest,
    )
    site.max_header_buffer_bytes = HEADER_BUFFER_FACTOR * SMALL_HEADER_BYTES
    site.header_seconds = SMALL_IDLE_SECONDS
    site.displayTracebacks = False
    return site


def measure_headers(request: typing.Any) -> int:
    """Return the size of a request's headers in bytes."""
    return sum(
        len(name) + sum(len(value) for value in values)
        for name, values in request.requestHeaders.getAllRawHeaders()
    )


def weigh_request(request: typing.Any, body: bytes) -> int:
    """Return the memory of a request with a body while it is served."""
    header_bytes = measure_headers(request)
    return (
        BODY_COPIES * len(body) + caller_channels.HEADER_FACTOR * header_bytes
    )
