"""Stand-in of the platform's metadata store, as the users' pages say."""

import asyncio
import base64
import json
import time
import typing
import urllib.parse

from review.standins import http

WRITE_PROTECTED = ('op', 'servers')
FEED_POLL_SECONDS = 0.01

RowKey = tuple[str, str, str]


class Store:
    """Rows in memory, with the history of their changes.

    `views` maps a port on which the store listens to the addresses by which
    the caller of that port reaches the servers.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era: int | None = None
        self.views: dict[int, dict[str, str]] = {}
        self.fault: typing.Callable[[int, http.Message], str] | None = None
        self._rows: dict[RowKey, tuple[int, bytes]] = {}
        self._history: list[tuple[int, RowKey, bytes | None]] = []
        self._copy: typing.Any = None

    def write(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator and the servers do."""
        value = content
        if not isinstance(content, bytes):
            value = json.dumps(content).encode()
        self.version += 1
        self._apply((table, '', key), typing.cast(bytes, value))

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does when a server has left."""
        self.version += 1
        self._apply((table, '', key), None)

    def get(self, table: str, key: str) -> typing.Any:
        """Return the decoded content of a row, None if there is none."""
        found = self._rows.get((table, '', key))
        return None if found is None else json.loads(found[1])

    def save_copy(self) -> None:
        """Save a copy of all rows."""
        self._copy = (self.version, dict(self._rows), list(self._history))

    def restore_copy(self) -> None:
        """Come back from the copy, in the next era."""
        self.version, rows, history = self._copy
        self._rows, self._history = dict(rows), list(history)
        self.era = (self.era or 0) + 1

    def _apply(self, key: RowKey, value: bytes | None) -> None:
        self._history.append((self.version, key, value))
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = (self.version, value)

    async def listen(self, port: int = 0) -> str:
        """Listen on a loopback port; return the address."""
        server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**22
        )
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info('sockname')[1]
        try:
            while (request := await http.read_request(reader)) is not None:
                mode = self.fault(port, request) if self.fault else ''
                if mode == 'reset':
                    writer.transport.abort()
                    return
                if mode == 'silent':
                    await asyncio.sleep(3600)
                status, content = 503, {}
                if mode != 'busy':
                    status, content = await self._handle(port, request)
                if mode == 'lose':
                    writer.transport.abort()
                    return
                headers = {'Content-Type': 'application/json'}
                if self.era is not None:
                    headers['Store-Era'] = str(self.era)
                body = json.dumps(content).encode()
                writer.write(http.encode_response(status, headers, body))
                await writer.drain()
        except (OSError, http.ProtocolError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(
        self, port: int, request: http.Message
    ) -> tuple[int, typing.Any]:
        _, uri, _ = request.start.split(' ')
        url = urllib.parse.urlsplit(uri)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.002)
        if url.path == '/-/rows-tx':
            return self._commit(json.loads(request.body))
        if url.path == '/-/rows-get':
            return self._read(port, query)
        if url.path == '/-/rows-feed':
            return await self._watch(port, query)
        return 404, {}

    def _commit(self, content: typing.Any) -> tuple[int, typing.Any]:
        changed = [*content['puts'], *content['remove']]
        if any(row['table'] in WRITE_PROTECTED for row in changed):
            return 403, {}
        for row in content['expected']:
            if self._get_version(row) != row['ver']:
                return 412, self._answer(0, [])
        self.version += 1
        for row in content['puts']:
            self._apply(_get_key(row), base64.b64decode(row['value']))
        for row in content['remove']:
            self._apply(_get_key(row), None)
        return 200, self._answer(0, [])

    def _get_version(self, row: typing.Any) -> int:
        return self._rows.get(_get_key(row), (0, b''))[0]

    def _read(
        self, port: int, query: dict[str, str]
    ) -> tuple[int, typing.Any]:
        table, part = query['table'], query.get('part', '')
        start, limit = query.get('from', ''), int(query.get('limit', '500'))
        found = sorted(
            (key, version, value)
            for key, (version, value) in self._rows.items()
            if key[:2] == (table, part) and key[2] >= start
        )
        answer = self._answer(port, found[:limit])
        answer['hasMore'] = len(found) > limit
        return 200, answer

    async def _watch(
        self, port: int, query: dict[str, str]
    ) -> tuple[int, typing.Any]:
        after, wait = int(query['after']), int(query.get('waitMs', '0'))
        end = time.monotonic() + wait / 1000
        while True:
            if after > self.version:
                return 410, {}
            latest = {
                key: (key, version, value)
                for version, key, value in self._history
                if version > after and key[0] == query['table']
            }
            if latest or time.monotonic() >= end:
                rows = sorted(latest.values(), key=lambda row: row[1])
                return 200, self._answer(port, rows)
            await asyncio.sleep(FEED_POLL_SECONDS)

    def _answer(
        self, port: int, rows: list[tuple[RowKey, int, bytes | None]]
    ) -> dict[str, typing.Any]:
        return {
            'ver': self.version,
            'nowMs': time.monotonic_ns() // 1_000_000,
            'rows': [self._encode(port, *row) for row in rows],
        }

    def _encode(
        self, port: int, key: RowKey, version: int, value: bytes | None
    ) -> dict[str, typing.Any]:
        table, part, name = key
        row = {'table': table, 'part': part, 'key': name, 'ver': version}
        if value is None:
            return {**row, 'tombstone': True}
        view = self.views.get(port)
        if view and table == 'servers':
            value = _translate(value, view)
        return {**row, 'value': base64.b64encode(value).decode()}


def _get_key(row: typing.Any) -> RowKey:
    return row['table'], row['part'], row['key']


def _translate(value: bytes, view: dict[str, str]) -> bytes:
    """Return a server's entry with the address that the caller reaches."""
    entry = json.loads(value)
    entry['address'] = view.get(entry['address'], entry['address'])
    return json.dumps(entry).encode()
