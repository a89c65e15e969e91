"""HTTP/1.1 on asyncio streams, for the stand-ins and their clients."""

import asyncio
import json


class Head:
    """First line and headers of a message; names are in lower case."""

    def __init__(self, line, headers):
        self.line = line
        self.headers = headers

    def get(self, name, default=''):
        """Return a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the head of the next message, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            headers[name.lower()] = value.strip()
    return Head(first, headers)


async def read_body(reader, head, may_end_with_connection=False):
    """Return the body and whether it is complete."""
    if 'chunked' in head.get('transfer-encoding'):
        return await _read_chunks(reader)
    if head.get('content-length'):
        try:
            return await reader.readexactly(int(head.get('content-length'))), (
                True
            )
        except asyncio.IncompleteReadError as error:
            return error.partial, False
    if may_end_with_connection:
        try:
            return await reader.read(), True
        except ConnectionError:
            return b'', False
    return b'', True


async def _read_chunks(reader):
    body = b''
    try:
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'x', 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


def encode(status, headers, body):
    """Return a whole response of known length."""
    lines = [f'HTTP/1.1 {status} x']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def encode_json(status, content):
    """Return a JSON response."""
    body = json.dumps(content).encode()
    return encode(status, {'Content-Type': 'application/json'}, body)


class Answer:
    """Response as a client saw it; status 0 if there was none."""

    def __init__(self, status=0, headers=None, body=b'', is_whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole


async def fetch(address, method, path, headers, body=b'', seconds=10.0):
    """Send a request on a new connection; return the answer."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f'{method} {path} HTTP/1.1']
                lines += [f'{name}: {value}' for name, value in headers]
                if body or method != 'GET':
                    lines.append(f'Content-Length: {len(body)}')
                raw = '\r\n'.join([*lines, '', '']).encode('latin-1') + body
                writer.write(raw)
                head = await read_head(reader)
                if head is None:
                    return Answer()
                content, is_whole = await read_body(reader, head, True)
                return Answer(
                    int(head.line.split(' ')[1]),
                    head.headers,
                    content,
                    is_whole,
                )
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer()
