"""Requests and connections of callers, with limits on size and duration."""

from collections import abc
import typing

from twisted.web import http
from twisted.web import server

from pistachioseam_entry import caller_channels

HEADER_BUFFER_FACTOR = 4
"""Twisted buffers headers up to this multiple of their limit, so that requests
above the limit get status 431. Beyond the multiple it closes the
connection."""


class BoundedRequest(server.Request):
    """Request that discards body data beyond `max_body_bytes`.

    `is_too_large` is set if the announced or received length exceeds it.
    """

    max_body_bytes = 0
    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Check the announced length; an oversized body is not buffered."""
        if length is not None and length > self.max_body_bytes:
            self.is_too_large = True
            length = 0
        self.received_bytes = 0
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a chunk unless the body is too large."""
        self.received_bytes += len(data)
        if self.received_bytes > self.max_body_bytes:
            self.is_too_large = True
        if not self.is_too_large:
            super().handleContentChunk(data)


class BoundedSite(server.Site):
    """Site whose connections limit the size and duration of requests.

    `max_header_buffer_bytes` bounds the headers that Twisted buffers.
    `header_seconds` bounds the time in which a header must arrive;
    `on_request_timeout` is called when a request does not arrive in time.
    `channels` holds the open connections.
    """

    max_header_buffer_bytes = 0
    header_seconds = 0.0
    on_request_timeout: abc.Callable[[], None] = staticmethod(lambda: None)

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        super().__init__(*arguments, **options)
        self.channels: set[caller_channels.CallerChannel] = set()

    def protocol(self) -> typing.Any:
        """Return the protocol of a connection that limits slow requests."""
        return http._GenericHTTPChannelProtocol(
            caller_channels.CallerChannel()
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


def measure_headers(request: typing.Any) -> int:
    """Return the size of a request's headers in bytes."""
    return sum(
        len(name) + sum(len(value) for value in values)
        for name, values in request.requestHeaders.getAllRawHeaders()
    )
