"""Rows of the router's own tables are read as they were written."""

import asyncio
import json
import typing
from unittest import mock

import attrs
from returns import pipeline
from returns import result

from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import stream_origins
from pistachioseam_platform import rows
from pistachioseam_platform import store
from tests import support

CURSOR = store_versions.StoreVersion(0, 9)
FIRST = stream_origins.StreamOrigin('s', 'v1')
SECOND = stream_origins.StreamOrigin('s', 'v2')


ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'capacity': 6,
    'state': 'ready',
    'seq': 1,
    'born': 1_700_000_000_000,
}
HOST = {
    'name': 'a',
    'incarnation': 'a:1',
    'domain': 'z',
    'peer_address': '10.0.0.9:7340',
}


def list_unreadable(document: dict[str, typing.Any]) -> list[bytes]:
    """Return documents that differ from a sound one in one value."""
    template = json.dumps(dict.fromkeys(document, 0)).encode()
    values = (
        b'Infinity',
        b'-Infinity',
        b'NaN',
        b'1e999',
        b'1' * 5000,
        b'%d' % 2**64,
        b'[' * 20_000,
        b'{"a":' * 20_000,
        b'"\\ud800"',
        b'"\xff"',
        b'null',
        b'',
        b'[]',
    )
    unreadable = [b'', b'\xff\xfe', b'[]', b'null', b'7', template]
    for field in document:
        if field == 'seq':
            # The count of heartbeats is optional.
            continue
        rest = {name: document[name] for name in document if name != field}
        start = json.dumps(rest).encode()[:-1]
        unreadable.extend(
            b'%b, "%b": %b}' % (start, field.encode(), value)
            for value in values
        )
    return unreadable


class Client:
    """Client of a store that keeps the rows in memory."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], bytes] = {}

    async def put_row(
        self, table: str, key: str, value: bytes, expected: int | None
    ) -> result.Result[store_versions.StoreVersion, ports.StoreFailure]:
        """Write a row, whatever is expected."""
        self.rows[table, key] = value
        return result.Success(CURSOR)

    async def read_rows(self, table: str) -> rows.ReadResult:
        """Return the rows of a table, all with the same version."""
        found = tuple(
            rows.StoredRow(key, 7, value)
            for (name, key), value in self.rows.items()
            if name == table
        )
        return result.Success(rows.TableRead(found, CURSOR, True, 100.0))


def create_store(client: Client) -> store.PlatformStore:
    """Return a store that uses a client in memory."""
    return store.PlatformStore(typing.cast(rows.StoreClient, client))


def test_streams_of_all_hosts_are_read(case: support.Case) -> None:
    """A malformed row is named and hides no other."""
    client = Client()
    platform = create_store(client)
    keys = [0, 5, 2**64 - 1]
    asyncio.run(platform.write_streams('a', {FIRST: keys, SECOND: [3]}))
    asyncio.run(platform.write_streams('b', {FIRST: [8]}))
    for number, value in enumerate(
        (b'{}', b'[]', b'?', b'{"streams": [{"service": "s"}]}')
    ):
        client.rows[store.STREAMS_TABLE, f'odd-{number}'] = value
    read = asyncio.run(platform.read_streams()).unwrap()
    case.assertEqual({FIRST: [*keys, 8], SECOND: [3]}, dict(read.streams))
    case.assertEqual(4, len(read.findings))


def test_unusable_clocks_count_as_none(case: support.Case) -> None:
    """An odd clock of the store failed the read, or dated by nonsense."""
    for now_ms in (None, True, 1.5, '7', -1, 2**60, 10**400, [], {}):
        response = rows.StoreResponse({'ver': 7, 'nowMs': now_ms}, 0)
        case.assertIsNone(response.get_store_seconds(), repr(now_ms)[:20])
    case.assertIsNone(rows.StoreResponse({'ver': 7}, 0).get_store_seconds())
    for now_ms, seconds in ((0, 0.0), (1234, 1.234)):
        response = rows.StoreResponse({'ver': 7, 'nowMs': now_ms}, 0)
        case.assertEqual(seconds, response.get_store_seconds())


def test_software_versions_are_read(case: support.Case) -> None:
    """A malformed row lists no version and can be replaced."""
    client = Client()
    platform = create_store(client)
    row = ports.SoftwareRow('s', ('v1', 'v2'))
    asyncio.run(platform.write_software(row))
    client.rows[store.SOFTWARE_TABLE, 'odd'] = b'?'
    read = asyncio.run(platform.read_software()).unwrap()
    case.assertEqual(
        {
            's': ports.SoftwareRow('s', ('v1', 'v2'), 7),
            'odd': ports.SoftwareRow('odd', (), 7),
        },
        dict(read),
    )


def test_unreadable_entry_of_a_target_hides_no_other(
    case: support.Case,
) -> None:
    """Guards against RECOVER and DRAIN: no entry ends the read of all."""
    client = Client()
    platform = create_store(client)
    client.rows[store.SERVERS_TABLE, 'sound'] = json.dumps(ENTRY).encode()
    odd = list_unreadable(ENTRY)
    for number, value in enumerate(odd):
        client.rows[store.SERVERS_TABLE, f'odd-{number}'] = value
    read = asyncio.run(platform.read_targets(None)).unwrap()
    usable = [e.name for e in read.change.entries if e.target is not None]
    case.assertEqual(['sound'], usable)
    case.assertEqual(len(odd), len(read.findings))
    case.assertEqual(1 + len(odd), len(read.change.entries))


def test_unreadable_entry_of_a_host_hides_no_other(case: support.Case) -> None:
    """Guards against RECOVER; a later build may have added a field."""
    client = Client()
    platform = create_store(client)
    sound = {**HOST, 'added_later': 1}
    client.rows[store.HOSTS_TABLE, 'a'] = json.dumps(sound).encode()
    odd = list_unreadable(HOST)
    for number, value in enumerate(odd):
        client.rows[store.HOSTS_TABLE, f'odd-{number}'] = value
    read = asyncio.run(platform.list_hosts()).unwrap()
    case.assertEqual([ports.HostEntry(**HOST)], list(read.entries))
    case.assertEqual(len(odd), len(read.findings))


def test_unreadable_documents_of_operators_hide_no_other(
    case: support.Case,
) -> None:
    """Guards against RECOVER in the watch of the desired state."""
    client = Client()
    platform = create_store(client)
    weights = {'model': 'm', 'version': 3}
    client.rows[store.OPERATOR_TABLE, 'version/m'] = json.dumps(
        weights
    ).encode()
    client.rows[store.OPERATOR_TABLE, store.CONFIG_KEY] = b'[' * 20_000
    odd = list_unreadable(weights)
    for number, value in enumerate(odd):
        client.rows[store.OPERATOR_TABLE, f'version/{number}'] = value
    read = asyncio.run(platform.read_desired(None, 0.0)).unwrap()
    case.assertIsNone(read.state)
    case.assertEqual({'m': 3}, dict(read.weights))
    case.assertEqual(len(odd) + 1, len(read.findings))


def test_unreadable_rows_of_the_routers_own_tables_end_no_read(
    case: support.Case,
) -> None:
    """Guards against RECOVER in the lease, software and stream tables."""
    client = Client()
    platform = create_store(client)
    sources = {
        store.LEASES_TABLE: {'holder': 'a', 'era': 0},
        store.SOFTWARE_TABLE: {'versions': ['v1']},
        store.STREAMS_TABLE: {'streams': []},
    }
    for table, document in sources.items():
        for number, value in enumerate(list_unreadable(document)):
            client.rows[table, f'odd-{number}'] = value
            if table == store.LEASES_TABLE:
                read = platform.read_lease(f'odd-{number}')
                case.assertNotEqual('', asyncio.run(read).unwrap().holder)
    asyncio.run(platform.read_software()).unwrap()
    asyncio.run(platform.read_streams()).unwrap()


def test_unreadable_value_of_a_row_ends_no_read(case: support.Case) -> None:
    """Guards against RECOVER: a value that is not base64 is not a document."""
    content = {
        'ver': 3,
        'rows': [
            {'key': 'odd', 'ver': 1, 'value': 'abc'},
            {'key': 'sound', 'ver': 2, 'value': 'e30='},
        ],
    }

    async def call(*_: object, **__: object) -> rows.CallResult:
        return result.Success(rows.StoreResponse(content, 0))

    client = rows.StoreClient('127.0.0.1:1')
    with mock.patch.object(client, 'call', call):
        read = asyncio.run(client.read_rows('t')).unwrap()
        case.assertEqual([b'abc', b'{}'], [row.value for row in read.rows])
        content['rows'] = [7]
        failed = asyncio.run(client.read_rows('t'))
        case.assertFalse(pipeline.is_successful(failed))


def test_changes_between_two_pages_are_in_the_next_read(
    case: support.Case,
) -> None:
    """DRAIN: a row of the first page that was removed meanwhile was kept."""
    pages = [
        {'ver': 5, 'hasMore': True, 'rows': [{'key': 'a', 'ver': 1}]},
        {'ver': 7, 'hasMore': False, 'rows': [{'key': 'b', 'ver': 7}]},
    ]

    async def call(*_: object, **__: object) -> rows.CallResult:
        return result.Success(rows.StoreResponse(pages.pop(0), 0))

    client = rows.StoreClient('127.0.0.1:1')
    with mock.patch.object(client, 'call', call):
        read = asyncio.run(client.read_rows('t')).unwrap()
    case.assertEqual(['a', 'b'], [row.key for row in read.rows])
    case.assertEqual(store_versions.StoreVersion(0, 5), read.cursor)


def test_crash_records_are_kept_whole(case: support.Case) -> None:
    """What is read is what was written; malformed rows hide no other."""
    client = Client()
    platform = create_store(client)
    records = [
        crash_records.CrashRecord(
            subject=crash_records.Subject(digest='d'),
            crashes=3,
            trials=1,
            blocked_at=5.5,
            called_at=6.5,
            is_cleared=True,
        ),
        crash_records.CrashRecord(
            subject=crash_records.Subject(model='m', part='p'),
            crash_times={('engine', 7): 4.5},
        ),
    ]
    for record in records:
        asyncio.run(platform.write_crash_record(record)).unwrap()
    (document, *_) = map(json.loads, client.rows.values())
    odd = list_unreadable({'crash_times': document['crash_times']})
    for number, value in enumerate(odd):
        client.rows[store.CRASHES_TABLE, f'odd-{number}'] = value
    read = asyncio.run(platform.read_crash_records()).unwrap()
    found = [attrs.evolve(r, row_version=0) for r in read.records.values()]
    case.assertEqual(records, found)
    case.assertEqual(len(odd), len(read.findings))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
