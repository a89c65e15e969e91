"""Stand-in of the platform's metadata store, as its page describes it."""

import asyncio
import base64
import json
import time
import typing
import urllib.parse

import wire

PROTECTED_TABLES = ('op', 'servers')
ANSWER_SECONDS = 0.004
MAX_PAGE = 500

Key = tuple[str, str, str]


class Store:
    """Rows in memory, with the versions of all changes."""

    def __init__(self) -> None:
        self.listener = wire.Listener(self._serve)
        self._version = 1
        self._rows: dict[Key, tuple[int, bytes | None]] = {}
        self._changed = asyncio.Event()
        self._written_at: dict[str, float] = {}

    def get_write_time(self, table: str) -> float:
        """Return the monotonic time of the last write to a table."""
        return self._written_at.get(table, float('-inf'))

    def write(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator or a server does."""
        self.write_raw(table, key, json.dumps(content).encode())

    def write_raw(self, table: str, key: str, value: bytes | None) -> None:
        """Write the bytes of a row, or remove it."""
        self._version += 1
        self._put((table, '', key), value)

    def _put(self, key: Key, value: bytes | None) -> None:
        self._written_at[key[0]] = time.monotonic()
        self._rows[key] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(ANSWER_SECONDS)
        path, _, query = request.words[1].partition('?')
        args = dict(urllib.parse.parse_qsl(query))
        status, content = await self._answer(path, args, request.body)
        content['ver'] = self._version
        content['nowMs'] = time.monotonic_ns() // 1_000_000
        writer.write(wire.encode_json(status, content))
        return True

    async def _answer(
        self, path: str, args: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, typing.Any]]:
        if path == '/-/rows-tx':
            return self._commit(json.loads(body))
        if path == '/-/rows-get':
            return 200, self._list_rows(args)
        if path == '/-/rows-feed':
            return 200, await self._feed(args)
        return 404, {}

    def _commit(
        self, content: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        for row in (*content['puts'], *content['remove']):
            if row['table'] in PROTECTED_TABLES:
                return 403, {}
        for row in content['expected']:
            version, value = self._rows.get(_get_key(row), (0, None))
            if row['ver'] != (version if value is not None else 0):
                return 412, {'rows': []}
        self._version += 1
        for row in content['puts']:
            self._put(_get_key(row), base64.b64decode(row['value']))
        for row in content['remove']:
            self._put(_get_key(row), None)
        return 200, {}

    def _list_rows(self, args: dict[str, str]) -> dict[str, typing.Any]:
        found = sorted(
            key
            for key, (_, value) in self._rows.items()
            if key[0] == args['table']
            and key[1] == args.get('part', '')
            and key[2] >= args.get('from', '')
            and value is not None
        )
        limit = min(MAX_PAGE, int(args.get('limit', MAX_PAGE)))
        return {
            'rows': [self._encode(key) for key in found[:limit]],
            'hasMore': len(found) > limit,
        }

    async def _feed(self, args: dict[str, str]) -> dict[str, typing.Any]:
        until = time.monotonic() + int(args.get('waitMs', '0')) / 1000
        while True:
            changed = self._changed
            found = [
                key
                for key, (version, _) in self._rows.items()
                if key[0] == args['table'] and version > int(args['after'])
            ]
            found.sort(key=lambda key: self._rows[key][0])
            left = until - time.monotonic()
            if found or left <= 0:
                return {'rows': [self._encode(key) for key in found]}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _encode(self, key: Key) -> dict[str, typing.Any]:
        version, value = self._rows[key]
        row: dict[str, typing.Any] = {
            'table': key[0],
            'part': key[1],
            'key': key[2],
            'ver': version,
        }
        if value is None:
            row['tombstone'] = True
        else:
            row['value'] = base64.b64encode(value).decode()
        return row


def _get_key(row: dict[str, typing.Any]) -> Key:
    return row['table'], row.get('part', ''), row['key']
