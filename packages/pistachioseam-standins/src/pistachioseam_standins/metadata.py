"""Stand-in of the users' metadata store: rows, transactions, feed, objects.

Operators and servers write rows without conditions by `POST /standin/rows`.
`POST /standin/faults` sets the fault `mode` of later calls by hosts:
`none`: calls succeed;
`busy`: calls are refused with status 503;
`silent`: calls get no response for SILENT_SECONDS, then an empty one;
`lose`: transactions are applied, but the connection is aborted before the
response;
`forget`: the history is compacted, so that a feed from an older version gets
status 410; the mode returns to `none`;
`copy`: a copy of the rows is saved; the mode returns to `none`;
`restore`: the rows of the last copy replace the current ones, versions are
given out again from there, and the era in all responses (`Store-Era`) rises by
one; the mode returns to `none`.
`POST /standin/views` sets by which other addresses the hosts that call the
store under the address `store` reach servers: `addresses` maps those that the
servers registered. So each host may have proxies of its own.
`POST /standin/holds` sets for how many `seconds` the answers to the hosts that
call the store under the address `store` are held: they say what was so before.
"""

import base64
from collections import abc
import functools
import json
import time
import typing

import attrs
import klein

from pistachioseam_standins import serving

SERVERS_TABLE = 'servers'
PROTECTED_TABLES = ('op', SERVERS_TABLE)
"""Tables that hosts must not write."""
SILENT_SECONDS = 60.0
FEED_POLL_SECONDS = 0.02
MAX_LISTED_OBJECTS = 1000


@attrs.frozen
class Change:
    """Change of a row, which is identified by table, part and key.

    A part is a part of the table. `version` is that of the store after the
    change; `value` is None if the row was deleted.
    """

    table: str
    part: str
    key: str
    version: int
    value: bytes | None


Handler = abc.Callable[..., abc.Coroutine[typing.Any, typing.Any, bytes]]


def hold_answers(handler: Handler) -> Handler:
    """Return a handler whose answers to some hosts come late."""

    @functools.wraps(handler)
    async def handle(
        store: 'MetadataStore', request: typing.Any, **arguments: str
    ) -> bytes:
        answer = await handler(store, request, **arguments)
        hold_seconds = store.holds.get(request.getHeader('host') or '', 0.0)
        if hold_seconds:
            await serving.sleep(hold_seconds)
        return answer

    return handle


class MetadataStore:
    """Rows with the history of their changes, and objects, in memory."""

    app = klein.Klein()

    def __init__(self) -> None:
        self.version = 0
        self.mode = 'none'
        self.call_count = 0
        self._rows: dict[tuple[str, str, str], Change] = {}
        self._history: list[Change] = []
        self._objects: dict[str, bytes] = {}
        self._compacted_version = 0
        self._copied_version = 0
        self.era = 1
        self._copy: tuple[int, list[Change]] = (0, [])
        self._views: dict[str, dict[str, str]] = {}
        self.holds: dict[str, float] = {}

    @app.route('/standin/faults', methods=['POST'])
    def set_faults(self, request: typing.Any) -> bytes:
        """Set the fault mode, or compact the history."""
        self.mode = serving.read_json(request)['mode']
        action = self._actions.get(self.mode)
        if action is not None:
            action(self)
            self.mode = 'none'
        return serving.encode_json(request, {'mode': self.mode})

    def _compact(self) -> None:
        self._compacted_version = self.version

    def _save_copy(self) -> None:
        self._copy = (self.version, list(self._history))

    def _restore_copy(self) -> None:
        self.era += 1
        self.version, history = self._copy
        self._copied_version = self.version
        self._history = list(history)
        self._rows = {}
        for change in history:
            key = (change.table, change.part, change.key)
            if change.value is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = change

    _actions: typing.ClassVar[
        dict[str, typing.Callable[['MetadataStore'], None]]
    ] = {
        'forget': _compact,
        'copy': _save_copy,
        'restore': _restore_copy,
    }

    @app.route('/standin/views', methods=['POST'])
    def set_view(self, request: typing.Any) -> bytes:
        """Set the addresses at which some hosts reach servers."""
        view = serving.read_json(request)
        self._views[view['store']] = view['addresses']
        return serving.encode_json(request, {})

    @app.route('/standin/holds', methods=['POST'])
    def set_hold(self, request: typing.Any) -> bytes:
        """Set for how long the answers to some hosts are held."""
        hold = serving.read_json(request)
        self.holds[hold['store']] = hold['seconds']
        return serving.encode_json(request, {})

    @app.route('/standin/calls')
    def count_calls(self, request: typing.Any) -> bytes:
        """Return the number of calls by hosts, failed ones included."""
        return serving.encode_json(request, {'calls': self.call_count})

    @app.route('/standin/rows', methods=['POST'])
    def write_rows(self, request: typing.Any) -> bytes:
        """Write rows without conditions; a null value deletes the row.

        A server's entry changes only when more than its count of heartbeats
        does; the first write after the store was restored is a change.
        """
        self.version += 1
        for row in serving.read_json(request)['rows']:
            value = row['value']
            if value is None or not self._is_heartbeat(row):
                self._record_change(
                    row, None if value is None else value.encode()
                )
        return serving.encode_json(request, {'ver': self.version})

    def _is_heartbeat(self, row: typing.Any) -> bool:
        """Return whether an entry of a server differs in its `seq` only."""
        known = self._rows.get((row['table'], '', row['key']))
        if row['table'] != SERVERS_TABLE or known is None:
            return False
        if known.version <= self._copied_version or known.value is None:
            return False
        try:
            former, entry = json.loads(known.value), json.loads(row['value'])
            return bool({**former, 'seq': entry['seq']} == entry)
        except (LookupError, RecursionError, TypeError, ValueError):
            return False

    def _record_change(self, row: typing.Any, value: bytes | None) -> None:
        key = (row['table'], row.get('part', ''), row['key'])
        change = Change(*key, self.version, value)
        self._history.append(change)
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = change

    @app.route('/-/rows-tx', methods=['POST'])
    @hold_answers
    async def commit(self, request: typing.Any) -> bytes:
        """Apply all puts and removals if every expected version matches.

        Status 403 means a protected table, 412 that a version does not match.
        """
        if await self._inject_fault(request):
            return b''
        content = serving.read_json(request)
        changed_rows = (*content['puts'], *content['remove'])
        if any(row['table'] in PROTECTED_TABLES for row in changed_rows):
            return serving.encode_json(request, {}, 403)
        for row in content['expected']:
            if self._get_version(row) != row['ver']:
                return serving.encode_json(request, {'rows': []}, 412)
        self.version += 1
        for row in content['puts']:
            self._record_change(row, base64.b64decode(row['value']))
        for row in content['remove']:
            self._record_change(row, None)
        if self.mode == 'lose':
            request.transport.abortConnection()
            return b''
        return self._encode_rows(request, ())

    def _get_version(self, row: typing.Any) -> int:
        found = self._rows.get((row['table'], row['part'], row['key']))
        return found.version if found else 0

    @app.route('/-/rows-get')
    @hold_answers
    async def read_rows(self, request: typing.Any) -> bytes:
        """Return up to `limit` rows of a table's part, starting at a key."""
        if await self._inject_fault(request):
            return b''
        table, part = _get_arg(request, 'table'), _get_arg(request, 'part')
        start, limit = (
            _get_arg(request, 'from'),
            int(_get_arg(request, 'limit')),
        )
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if (row.table, row.part) == (table, part) and row.key >= start
            ),
            key=lambda row: row.key,
        )
        return self._encode_rows(request, rows[:limit], len(rows) > limit)

    @app.route('/-/rows-feed')
    @hold_answers
    async def watch_rows(self, request: typing.Any) -> bytes:
        """Return each change of a table after a version, in order.

        Long poll: waits up to `waitMs` for the first change.
        """
        if await self._inject_fault(request):
            return b''
        table, after = (
            _get_arg(request, 'table'),
            int(_get_arg(request, 'after')),
        )
        if after < self._compacted_version or after > self.version:
            return serving.encode_json(request, {}, 410)
        waited = 0.0
        while True:
            if after > self.version:
                return serving.encode_json(request, {}, 410)
            rows = [
                change
                for change in self._history
                if change.table == table and change.version > after
            ]
            if rows or waited >= int(_get_arg(request, 'waitMs')) / 1000:
                return self._encode_rows(request, rows)
            await serving.sleep(FEED_POLL_SECONDS)
            waited += FEED_POLL_SECONDS

    @app.route('/-/blob-put/<name>', methods=['PUT'])
    @hold_answers
    async def write_object(self, request: typing.Any, name: str) -> bytes:
        """Write an object; `If-None-Match: *` refuses to replace one."""
        if await self._inject_fault(request):
            return b''
        is_create_only = request.getHeader('if-none-match') == '*'
        if is_create_only and name in self._objects:
            return serving.encode_json(request, {}, 412)
        self._objects[name] = request.content.read()
        return serving.encode_json(request, {})

    @app.route('/-/blob-get/<name>')
    @hold_answers
    async def read_object(self, request: typing.Any, name: str) -> bytes:
        """Return the bytes of an object, or status 404."""
        if await self._inject_fault(request):
            return b''
        if name not in self._objects:
            return serving.encode_json(request, {}, 404)
        return self._objects[name]

    @app.route('/-/blob-drop/<name>', methods=['DELETE'])
    @hold_answers
    async def delete_object(self, request: typing.Any, name: str) -> bytes:
        """Delete an object; succeeds even if there is none."""
        if await self._inject_fault(request):
            return b''
        self._objects.pop(name, None)
        return serving.encode_json(request, {})

    @app.route('/-/blob-list')
    @hold_answers
    async def list_objects(self, request: typing.Any) -> bytes:
        """Return one page of names with the prefix, sorted after `after`."""
        if await self._inject_fault(request):
            return b''
        prefix, after = _get_arg(request, 'prefix'), _get_arg(request, 'after')
        names = sorted(
            name
            for name in self._objects
            if name.startswith(prefix) and name > after
        )
        content = {
            'names': names[:MAX_LISTED_OBJECTS],
            'hasMore': len(names) > MAX_LISTED_OBJECTS,
        }
        return serving.encode_json(request, content)

    async def _inject_fault(self, request: typing.Any) -> bool:
        """Count a call; return whether the fault mode has failed it."""
        self.call_count += 1
        request.setHeader('store-era', str(self.era))
        if self.mode == 'busy':
            request.setResponseCode(503)
            return True
        if self.mode == 'silent':
            await serving.sleep(SILENT_SECONDS)
            return True
        return False

    def _apply_view(self, request: typing.Any, row: Change) -> Change:
        """Return a server's row with the address that the caller gets."""
        view = self._views.get(request.getHeader('host') or '')
        if view is None or row.table != 'servers' or row.value is None:
            return row
        value = row.value
        # Replaced in the text, as other writers' entries may be unreadable.
        for address, seen_as in view.items():
            value = value.replace(
                f'"{address}"'.encode(), f'"{seen_as}"'.encode()
            )
        return attrs.evolve(row, value=value)

    def _encode_rows(
        self,
        request: typing.Any,
        rows: typing.Sequence[Change],
        has_more: bool = False,
    ) -> bytes:
        request.setHeader('store-era', str(self.era))
        content = {
            'ver': self.version,
            'nowMs': time.monotonic_ns() // 1_000_000,
            'hasMore': has_more,
            'rows': [
                _encode_row(self._apply_view(request, row)) for row in rows
            ],
        }
        return serving.encode_json(request, content)


def _get_arg(request: typing.Any, name: str) -> str:
    values = request.args.get(name.encode(), [b''])
    return str(values[0].decode())


def _encode_row(row: Change) -> dict[str, typing.Any]:
    encoded: dict[str, typing.Any] = {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'ver': row.version,
    }
    if row.value is None:
        encoded['tombstone'] = True
    else:
        encoded['value'] = base64.b64encode(row.value).decode()
    return encoded


def run(address: str) -> None:
    """Serve the store on `IP:port`."""
    serving.serve(MetadataStore(), address)


if __name__ == '__main__':
    serving.run_command(run)
