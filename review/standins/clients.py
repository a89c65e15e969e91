"""Stand-in of a client: requests over connections that it keeps."""

import asyncio
import dataclasses
import time
import uuid

from review.standins import http
from review.standins import servers

ROUTE_HOST = 'host.example'
KEYS = {'account-1': 'key-1', 'account-2': 'key-2'}


@dataclasses.dataclass
class Answer:
    """What a client has got; status 0 if the connection ended before."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    sent_at: float
    ended_at: float

    @property
    def stamp(self) -> str:
        """Return the server's stamp, empty if there is none."""
        name = (servers.PREFIX + 'Server-Stamp').lower()
        return self.headers.get(name, '')

    @property
    def answered_id(self) -> str:
        """Return the request id that the answer names."""
        name = (servers.PREFIX + 'Request-Id').lower()
        return self.headers.get(name, '')

    def describe(self) -> str:
        """Return a line for the record."""
        seconds = self.ended_at - self.sent_at
        return (
            f'{self.request_id} status {self.status}'
            f' stamp {self.stamp or "none"} complete {self.is_complete}'
            f' after {seconds:.3f} s, {len(self.body)} B {self.body[:80]!r}'
        )


def encode_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    key: str = KEYS['account-1'],
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request."""
    fields = {
        'Host': ROUTE_HOST,
        servers.PREFIX + 'Request-Id': request_id,
        servers.PREFIX + 'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {key}',
        **(headers or {}),
    }
    if method != 'GET' or body:
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Connection:
    """Kept connection of a client to a host."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def open(self) -> None:
        """Connect."""
        host, _, port = self._address.rpartition(':')
        self._streams = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=2**22), 1.0
        )

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def send(
        self,
        method: str,
        path: str,
        deadline_ms: int = 3000,
        request_id: str = '',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        key: str = KEYS['account-1'],
        timeout_seconds: float | None = None,
    ) -> Answer:
        """Send one request and return its answer."""
        request_id = request_id or uuid.uuid4().hex[:16]
        sent_at = time.monotonic()
        message = None
        try:
            if self._streams is None:
                await self.open()
            reader, writer = self._streams
            writer.write(
                encode_request(
                    method,
                    path,
                    request_id,
                    deadline_ms,
                    key,
                    headers,
                    body,
                )
            )
            seconds = timeout_seconds or deadline_ms / 1000 + 1.0
            async with asyncio.timeout(seconds):
                message = await http.read_head(reader)
                if message is not None:
                    await http.read_response_body(reader, message)
        except (OSError, TimeoutError, http.ProtocolError):
            if message is not None:
                message.is_complete = False
        ended_at = time.monotonic()
        if message is None:
            self.close()
            return Answer(request_id, 0, {}, b'', False, sent_at, ended_at)
        if (
            not message.is_complete
            or message.headers.get('connection', '').lower() == 'close'
        ):
            self.close()
        return Answer(
            request_id,
            int(message.start.split(' ')[1]),
            message.headers,
            message.body,
            message.is_complete,
            sent_at,
            ended_at,
        )


async def send_once(address: str, *args, **kwargs) -> Answer:
    """Send one request on a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.send(*args, **kwargs)
    finally:
        connection.close()
