"""Stand-in of the users' metadata store: rows, transactions, feed, objects.

Operators and servers write by `POST /standin/rows`, which knows no
conditions. `POST /standin/faults` sets `mode`, one of `none`, `busy` (refuse
with 503), `silent` (never answer), `lose` (apply, then drop the channel) and
`forget` (drop the history).
"""

import base64
import typing

import attrs
import klein

from pistachioseam_standins import serving

PROTECTED_TABLES = ('op', 'servers')
SILENT_SECONDS = 60.0
FEED_STEP_SECONDS = 0.02
LISTED_OBJECTS = 1000


@attrs.frozen
class Change:
    """One change of a row; `value` is None where it was dropped."""

    table: str
    part: str
    key: str
    version: int
    value: bytes | None


class Metadata:
    """Rows in memory with their whole history."""

    app = klein.Klein()

    def __init__(self) -> None:
        self.version = 0
        self.mode = 'none'
        self.calls = 0
        self._rows: dict[tuple[str, str, str], Change] = {}
        self._history: list[Change] = []
        self._objects: dict[str, bytes] = {}
        self._oldest = 0

    @app.route('/standin/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the fault mode."""
        self.mode = serving.read_json(request)['mode']
        if self.mode == 'forget':
            self._oldest = self.version
            self.mode = 'none'
        return serving.encode_json(request, {'mode': self.mode})

    @app.route('/standin/calls')
    def count_calls(self, request: typing.Any) -> bytes:
        """Return the number of calls of the system."""
        return serving.encode_json(request, {'calls': self.calls})

    @app.route('/standin/rows', methods=['POST'])
    def write_rows(self, request: typing.Any) -> bytes:
        """Write rows as an operator or server does; null drops a row."""
        self.version += 1
        for row in serving.read_json(request)['rows']:
            value = row['value']
            self._put(row, None if value is None else value.encode())
        return serving.encode_json(request, {'ver': self.version})

    def _put(self, row: typing.Any, value: bytes | None) -> None:
        key = (row['table'], row.get('part', ''), row['key'])
        change = Change(*key, self.version, value)
        self._history.append(change)
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = change

    @app.route('/-/rows-tx', methods=['POST'])
    async def commit(self, request: typing.Any) -> bytes:
        """Apply all entries if every condition holds."""
        if await self._fails(request):
            return b''
        content = serving.read_json(request)
        changed = (*content['puts'], *content['remove'])
        if any(row['table'] in PROTECTED_TABLES for row in changed):
            return serving.encode_json(request, {}, 403)
        for row in content['expected']:
            if self._get_version(row) != row['ver']:
                return serving.encode_json(request, {'rows': []}, 412)
        self.version += 1
        for row in content['puts']:
            self._put(row, base64.b64decode(row['value']))
        for row in content['remove']:
            self._put(row, None)
        if self.mode == 'lose':
            request.transport.abortConnection()
            return b''
        return self._encode(request, ())

    def _get_version(self, row: typing.Any) -> int:
        found = self._rows.get((row['table'], row['part'], row['key']))
        return found.version if found else 0

    @app.route('/-/rows-get')
    async def read_rows(self, request: typing.Any) -> bytes:
        """Return the rows of one part of a table."""
        if await self._fails(request):
            return b''
        table, part = _get(request, 'table'), _get(request, 'part')
        start, limit = _get(request, 'from'), int(_get(request, 'limit'))
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if (row.table, row.part) == (table, part) and row.key >= start
            ),
            key=lambda row: row.key,
        )
        return self._encode(request, rows[:limit], len(rows) > limit)

    @app.route('/-/rows-feed')
    async def watch_rows(self, request: typing.Any) -> bytes:
        """Return what has changed in a table, waiting for a change."""
        if await self._fails(request):
            return b''
        table, after = _get(request, 'table'), int(_get(request, 'after'))
        if after < self._oldest:
            return serving.encode_json(request, {}, 410)
        waited = 0.0
        while True:
            rows = self._list_changed(table, after)
            if rows or waited >= int(_get(request, 'waitMs')) / 1000:
                return self._encode(request, rows)
            await serving.sleep(FEED_STEP_SECONDS)
            waited += FEED_STEP_SECONDS

    def _list_changed(self, table: str, after: int) -> list[Change]:
        newest = {
            (change.part, change.key): change
            for change in self._history
            if change.table == table and change.version > after
        }
        return list(newest.values())

    @app.route('/-/blob-put/<name>', methods=['PUT'])
    async def write_object(self, request: typing.Any, name: str) -> bytes:
        """Write an object, or a new one only if that is asked for."""
        if await self._fails(request):
            return b''
        is_new_only = request.getHeader('if-none-match') == '*'
        if is_new_only and name in self._objects:
            return serving.encode_json(request, {}, 412)
        self._objects[name] = request.content.read()
        return serving.encode_json(request, {})

    @app.route('/-/blob-get/<name>')
    async def read_object(self, request: typing.Any, name: str) -> bytes:
        """Return an object's bytes."""
        if await self._fails(request):
            return b''
        if name not in self._objects:
            return serving.encode_json(request, {}, 404)
        return self._objects[name]

    @app.route('/-/blob-drop/<name>', methods=['DELETE'])
    async def drop_object(self, request: typing.Any, name: str) -> bytes:
        """Drop an object, whether it is there or not."""
        if await self._fails(request):
            return b''
        self._objects.pop(name, None)
        return serving.encode_json(request, {})

    @app.route('/-/blob-list')
    async def list_objects(self, request: typing.Any) -> bytes:
        """Return the names behind `after` that begin with a prefix."""
        if await self._fails(request):
            return b''
        prefix, after = _get(request, 'prefix'), _get(request, 'after')
        names = sorted(
            name
            for name in self._objects
            if name.startswith(prefix) and name > after
        )
        content = {
            'names': names[:LISTED_OBJECTS],
            'hasMore': len(names) > LISTED_OBJECTS,
        }
        return serving.encode_json(request, content)

    async def _fails(self, request: typing.Any) -> bool:
        self.calls += 1
        if self.mode == 'busy':
            request.setResponseCode(503)
            return True
        if self.mode == 'silent':
            await serving.sleep(SILENT_SECONDS)
            return True
        return False

    def _encode(
        self,
        request: typing.Any,
        rows: typing.Sequence[Change],
        has_more: bool = False,
    ) -> bytes:
        content = {
            'ver': self.version,
            'nowMs': 0,
            'hasMore': has_more,
            'rows': [_describe(row) for row in rows],
        }
        return serving.encode_json(request, content)


def _get(request: typing.Any, name: str) -> str:
    values = request.args.get(name.encode(), [b''])
    return str(values[0].decode())


def _describe(row: Change) -> dict[str, typing.Any]:
    described: dict[str, typing.Any] = {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'ver': row.version,
    }
    if row.value is None:
        described['tombstone'] = True
    else:
        described['value'] = base64.b64encode(row.value).decode()
    return described


def run(address: str) -> None:
    """Serve the store on `IP-number:port`."""
    serving.serve(Metadata(), address)


if __name__ == '__main__':
    serving.run_command(run)
