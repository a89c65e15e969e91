"""Responses to the callers of forwarded calls."""

from pistachioseam.forwarding import ports
from pistachioseam import refusals
from pistachioseam_entry import reply

MIN_RETRY_AFTER_SECONDS = 0.05
"""Shortest delay sent in `Retry-After`, so that callers do not retry at once.
"""


class ForwardedReply(reply.HttpReply):
    """Response to a caller that carries the target's headers unchanged."""

    _is_aborted = False

    async def begin(  # type: ignore[override]
        self, status: int, headers: ports.HeaderPairs
    ) -> None:
        """Send status and headers, without a `Server` header of this host."""
        self._is_begun = True
        self._request.setResponseCode(status)
        response_headers = self._request.responseHeaders
        response_headers.removeHeader('server')
        for name, value in headers:
            response_headers.addRawHeader(name, value)

    def abort(self) -> None:
        """Close the connection so that the caller detects a truncation."""
        if self._is_aborted or self._request.channel is None:
            return
        self._is_aborted = True
        channel = self._request.channel
        if self._request.clientproto == b'HTTP/1.1':
            # The caller sees that the end of the body is missing. Data that
            # has been written is still delivered.
            channel.loseConnection()
        else:
            # In HTTP/1.0 a body may end with its connection. Only a reset
            # shows that it is incomplete.
            channel.forceAbortClient()

    def is_aborted(self) -> bool:
        """Return whether the connection was closed by `abort`."""
        return self._is_aborted

    async def refuse(self, request_id: str, refusal: refusals.Refusal) -> None:
        """Send a refusal, or abort a response that has already begun."""
        if self._is_begun:
            self.abort()
            return
        body = reply.encode_refusal(request_id, refusal)
        headers = [
            (b'Content-Type', reply.JSON_TYPE.encode()),
            (b'Content-Length', b'%d' % len(body)),
        ]
        seconds = refusal.retry_after_seconds
        if seconds is not None:
            seconds = max(MIN_RETRY_AFTER_SECONDS, seconds)
            headers.append((b'Retry-After', b'%.2f' % seconds))
        await self.begin(refusal.status, tuple(headers))
        await self.write(body)
