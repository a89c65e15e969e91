"""Response to a caller over its HTTP connection."""

import asyncio
from collections import abc
import json
import math
import typing

from twisted.internet import interfaces as twisted_interfaces
from zope import interface

from pistachioseam import refusals

if typing.TYPE_CHECKING:
    from pistachioseam import exchanges

REQUEST_ID_HEADER = 'pistachioseam-request-id'
OUTCOME_HEADER = 'pistachioseam-outcome'
CONFIGURATION_HEADER = 'pistachioseam-configuration'
JSON_TYPE = 'application/json'


@interface.implementer(twisted_interfaces.IPushProducer)
class HttpReply:
    """Response that blocks writers while the connection's buffer is full."""

    def __init__(self, request: typing.Any) -> None:
        self._request = request
        self._is_begun = False
        self._is_writable = asyncio.Event()
        self._is_writable.set()

    def __enter__(self) -> typing.Self:
        """Register as the producer, to be paused under backpressure."""
        self._request.registerProducer(self, True)
        return self

    def __exit__(self, *_: object) -> None:
        """Unregister the producer if the connection is still open."""
        if not self._request.finished and self._request.channel is not None:
            self._request.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Block writers: the send buffer is full."""
        self._is_writable.clear()

    def resumeProducing(self) -> None:  # noqa: N802
        """Unblock writers: the send buffer has drained."""
        self._is_writable.set()

    def stopProducing(self) -> None:  # noqa: N802
        """Unblock writers: the connection is closed, writes have no effect."""
        self._is_writable.set()

    def is_begun(self) -> bool:
        """Return whether the status has been sent."""
        return self._is_begun

    async def begin(self, status: int, headers: abc.Mapping[str, str]) -> None:
        """Send status and headers."""
        self._is_begun = True
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.setHeader(name, value)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the send buffer is full."""
        await self._is_writable.wait()
        self._request.write(data)

    def write_late(self, data: bytes) -> None:
        """Send a part of the body without waiting."""
        self._request.write(data)

    async def end(self, exchange: 'exchanges.Exchange') -> None:
        """Send the response or refusal unless the filters have streamed it.

        A refusal of a stream that has begun is sent as its last event.
        """
        refusal = exchange.refusal
        if refusal is None and exchange.response is None:
            return
        if self._is_begun:
            assert refusal is not None
            await self.write(_encode_stream_error(exchange, refusal))
            return
        headers = create_headers(exchange)
        if refusal is not None:
            await self._send_refusal(exchange, refusal, headers)
            return
        assert exchange.response is not None
        headers['content-type'] = exchange.response.content_type
        headers['content-length'] = str(len(exchange.response.body))
        await self.begin(exchange.response.status, headers)
        await self.write(exchange.response.body)

    async def _send_refusal(
        self,
        exchange: 'exchanges.Exchange',
        refusal: refusals.Refusal,
        headers: dict[str, str],
    ) -> None:
        body = encode_refusal(exchange.request_id, refusal)
        headers['content-type'] = JSON_TYPE
        headers['content-length'] = str(len(body))
        if refusal.retry_after_seconds is not None:
            seconds = math.ceil(refusal.retry_after_seconds)
            headers['retry-after'] = str(seconds)
        await self.begin(refusal.status, headers)
        await self.write(body)


def create_headers(exchange: 'exchanges.Exchange') -> dict[str, str]:
    """Return the headers that every response carries."""
    return {
        REQUEST_ID_HEADER: exchange.request_id,
        OUTCOME_HEADER: exchange.get_outcome().value,
        CONFIGURATION_HEADER: str(exchange.configuration_number),
    }


def encode_refusal(request_id: str, refusal: refusals.Refusal) -> bytes:
    """Return the JSON error body of a refusal."""
    error = {
        'message': refusal.message,
        'type': refusal.reason.value,
        'code': refusal.reason.value,
        'outcome': refusal.outcome.value,
        'retry_after_seconds': refusal.retry_after_seconds,
        'request_id': request_id,
    }
    return json.dumps({'error': error}).encode()


def _encode_stream_error(
    exchange: 'exchanges.Exchange', refusal: refusals.Refusal
) -> bytes:
    body = encode_refusal(exchange.request_id, refusal)
    return b'event: error\ndata: %b\n\n' % body
