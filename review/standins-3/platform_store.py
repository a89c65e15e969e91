"""Stand-in of the users' metadata store, as their page describes it.

Each host calls the store at an address of its own, so that the store can turn
some of them away. The feed returns all changes of rows in order. An entry of a
server changes only when more than its `seq` does.
"""

import asyncio
import base64
import json
import time
import urllib.parse

import wire

FEED_CHECK_SECONDS = 0.01


class Store:
    """Rows with the history of their changes, in memory.

    `refused` holds the listeners (numbers) to which the store answers 503.
    """

    def __init__(self):
        self.version = 0
        self.refused = set()
        self.addresses = []
        self._rows = {}
        self._history = []
        self._listeners = []

    async def listen(self, ip):
        """Listen on a free port; return the address."""
        number = len(self.addresses)
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(number, reader, writer), ip, 0
        )
        self._listeners.append(server)
        address = f'{ip}:{server.sockets[0].getsockname()[1]}'
        self.addresses.append(address)
        return address

    def close(self):
        """Stop listening."""
        for server in self._listeners:
            server.close()

    def refuse_all(self):
        """Answer all calls with 503: nothing was done."""
        self.refused = set(range(len(self.addresses)))

    def accept_all(self):
        """Answer all calls again."""
        self.refused = set()

    def put(self, table, key, content):
        """Write a row as the operator or a server does."""
        self._change(table, '', key, json.dumps(content).encode())

    def remove(self, table, key):
        """Drop a row."""
        if (table, '', key) in self._rows:
            self._change(table, '', key, None)

    def _change(self, table, part, key, value):
        self.version += 1
        self._history.append((self.version, table, part, key, value))
        if value is None:
            self._rows.pop((table, part, key), None)
        else:
            self._rows[table, part, key] = (self.version, value)

    async def _serve(self, number, reader, writer):
        try:
            while head := await wire.read_head(reader):
                body, _ = await wire.read_body(reader, head)
                writer.write(await self._answer(number, head, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, number, head, body):
        if number in self.refused:
            return wire.encode_json(503, {})
        method, target, _ = head.line.split(' ')
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == '/-/rows-get':
            return self._encode(self._list_rows(query))
        if url.path == '/-/rows-feed':
            return await self._feed(number, query)
        if (method, url.path) == ('POST', '/-/rows-tx'):
            return self._commit(json.loads(body))
        return wire.encode_json(404, {})

    def _list_rows(self, query):
        where = (query['table'], query.get('part', ''))
        return [
            (version, *key, value)
            for key, (version, value) in sorted(self._rows.items())
            if key[:2] == where
        ]

    async def _feed(self, number, query):
        after = int(query['after'])
        until = time.monotonic() + int(query.get('waitMs') or 0) / 1000
        while True:
            changes = [
                change
                for change in self._history
                if change[0] > after and change[1] == query['table']
            ]
            if changes or time.monotonic() >= until:
                return self._encode(changes)
            await asyncio.sleep(FEED_CHECK_SECONDS)
            if number in self.refused:
                return wire.encode_json(503, {})

    def _commit(self, content):
        for row in content['expected']:
            key = (row['table'], row['part'], row['key'])
            if self._rows.get(key, (0, b''))[0] != row['ver']:
                return self._encode([], 412)
        for row in content['puts']:
            value = base64.b64decode(row['value'])
            self._change(row['table'], row['part'], row['key'], value)
        for row in content['remove']:
            self._change(row['table'], row['part'], row['key'], None)
        return self._encode([])

    def _encode(self, changes, status=200):
        rows = []
        for version, table, part, key, value in changes:
            row = {'table': table, 'part': part, 'key': key, 'ver': version}
            if value is None:
                row['tombstone'] = True
            else:
                row['value'] = base64.b64encode(value).decode()
            rows.append(row)
        return wire.encode_json(
            status,
            {
                'ver': self.version,
                'nowMs': int(time.monotonic() * 1000),
                'hasMore': False,
                'rows': rows,
            },
        )
