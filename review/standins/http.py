"""The little HTTP/1.1 that the stand-ins need: messages with a length."""

import asyncio
import dataclasses

REASONS = {200: 'OK', 412: 'Precondition Failed', 503: 'Service Unavailable'}


class ProtocolError(Exception):
    """The peer closed the connection inside a message, or sent no HTTP."""


@dataclasses.dataclass
class Message:
    """Start line, headers by lower-case name, and body."""

    start: str
    headers: dict[str, str]
    body: bytes = b''
    is_complete: bool = True


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a head, None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ProtocolError('closed inside a head') from error
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return a request with its body, None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        length = int(message.headers.get('content-length', '0'))
        message.body = await reader.readexactly(length)
    return message


async def read_response_body(
    reader: asyncio.StreamReader, message: Message
) -> None:
    """Read the body of a response; mark it if it is cut short."""
    try:
        if message.headers.get('transfer-encoding', '') == 'chunked':
            await _read_chunks(reader, message)
        elif 'content-length' in message.headers:
            length = int(message.headers['content-length'])
            message.body = await reader.readexactly(length)
        else:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.is_complete = False
    except OSError:
        message.is_complete = False


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line, 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        message.body += chunk


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return the bytes of a response with a length."""
    reason = REASONS.get(status, 'Status')
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body
