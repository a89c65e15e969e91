"""Answers to forwarded calls over their callers' connections."""

from pistachioseam.forwarding import ports
from pistachioseam import refusals
from pistachioseam_entry import reply

MIN_RETRY_AFTER_SECONDS = 0.05
"""A shorter pause would bring callers back in the same instant."""


class ForwardedReply(reply.HttpReply):
    """Reply that passes on a target's headers unchanged."""

    _aborted = False

    async def begin(  # type: ignore[override]
        self, status: int, headers: ports.HeaderPairs
    ) -> None:
        """Send status and headers."""
        self._is_begun = True
        self._request.setResponseCode(status)
        own = self._request.responseHeaders
        own.removeHeader('server')
        for name, value in headers:
            own.addRawHeader(name, value)

    def abort(self) -> None:
        """Break off an answer so that it does not look complete."""
        if self._aborted or self._request.channel is None:
            return
        self._aborted = True
        channel = self._request.channel
        if self._request.clientproto == b'HTTP/1.1':
            # The missing end of the body tells; what is written arrives.
            channel.loseConnection()
        else:
            channel.forceAbortClient()

    def is_aborted(self) -> bool:
        """Tell whether the answer was broken off."""
        return self._aborted

    async def refuse(self, request_id: str, refusal: refusals.Refusal) -> None:
        """Send a refusal, or break off what has been begun."""
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
