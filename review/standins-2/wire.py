"""HTTP/1.1 over asyncio streams, for the stand-ins of this review."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import typing

MAX_LINE_BYTES = 1 << 16


@dataclasses.dataclass
class Message:
    """Request or response; `words` are the parts of its first line."""

    words: list[str]
    headers: list[tuple[str, str]]
    body: bytes = b''

    def get(self, name: str) -> str:
        """Return the value of a header, empty if there is none."""
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return ''

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.words[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return the first line and the headers."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = []
    for line in lines:
        name, _, value = line.partition(':')
        headers.append((name, value.strip()))
    return Message(first.split(' ', 2), headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the body; raise IncompleteReadError if it is truncated."""
    if head.get('transfer-encoding').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'0', 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(head.get('content-length') or 0))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return a whole message."""
    head = await read_head(reader)
    head.body = await read_body(reader, head)
    return head


def encode_request(
    method: str,
    path: str,
    headers: abc.Sequence[tuple[str, str]],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method not in ('GET', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def encode_response(
    status: int,
    headers: abc.Sequence[tuple[str, str]] = (),
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} x']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def encode_json(status: int, content: object) -> bytes:
    """Return the bytes of a response with a JSON body."""
    return encode_response(
        status,
        [('Content-Type', 'application/json')],
        json.dumps(content).encode(),
    )


Serve: typing.TypeAlias = abc.Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter],
    abc.Awaitable[bool],
]
"""Serves one request; returns whether the connection is kept."""


class Listener:
    """Listening socket on a free loopback port, or on a given one."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def open(self, port: int = 0) -> str:
        """Listen; return `IP:port`."""
        self._server = await asyncio.start_server(
            self._handle, '127.0.0.1', port, limit=MAX_LINE_BYTES
        )
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{bound}'
        return self.address

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and close all connections, as a crash does."""
        self.stop_accepting()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._serve(
                await read_message(reader), reader, writer
            ):
                await writer.drain()
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


async def call(address: str, request: bytes, seconds: float) -> Message:
    """Send a request on a new connection; return the whole response."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.transport.abort()
