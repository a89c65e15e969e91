"""Objects of the metadata stand-in: conditional writes and pages of names."""

import json
import time
import typing

from treq import testing

from pistachioseam_standins import metadata
from tests import support


class StoreClient:
    """HTTP client of a stand-in in this process, without sockets."""

    def __init__(self) -> None:
        self._client = testing.StubTreq(
            metadata.MetadataStore().app.resource()
        )

    def is_answered_at_once(self, host: str) -> bool:
        """Return whether a read by the store's address is answered."""
        responses: list[typing.Any] = []
        deferred = self._client.request(
            'GET', f'http://{host}/-/blob-list?prefix='
        )
        deferred.addCallback(responses.append)
        self._client.flush()
        return bool(responses)

    def call(
        self, method: str, path: str, **options: typing.Any
    ) -> tuple[int, bytes]:
        """Send a request; return status and body of the response."""
        responses: list[typing.Any] = []
        deferred = self._client.request(
            method, f'http://store.example{path}', **options
        )
        deferred.addCallback(responses.append)
        self._client.flush()
        bodies: list[bytes] = []
        self._client.content(responses[0]).addCallback(bodies.append)
        self._client.flush()
        return responses[0].code, b''.join(bodies)


def test_objects_are_written_and_deleted(case: support.Case) -> None:
    """A write with `If-None-Match: *` is refused if the object exists.

    Other writes replace it.
    """
    store = StoreClient()
    create_only = {'headers': {'If-None-Match': '*'}}
    case.assertEqual(
        200, store.call('PUT', '/-/blob-put/a', data=b'1', **create_only)[0]
    )
    case.assertEqual(
        412, store.call('PUT', '/-/blob-put/a', data=b'2', **create_only)[0]
    )
    case.assertEqual((200, b'1'), store.call('GET', '/-/blob-get/a'))
    case.assertEqual(200, store.call('PUT', '/-/blob-put/a', data=b'3')[0])
    case.assertEqual((200, b'3'), store.call('GET', '/-/blob-get/a'))
    case.assertEqual(200, store.call('DELETE', '/-/blob-drop/a')[0])
    case.assertEqual(404, store.call('GET', '/-/blob-get/a')[0])


def test_objects_are_listed_in_pages(case: support.Case) -> None:
    """The last name of a page, sent as `after`, gives the next page."""
    store = StoreClient()
    count = metadata.MAX_LISTED_OBJECTS + 1
    for number in range(count):
        store.call('PUT', f'/-/blob-put/x{number:05}', data=b'')
    store.call('PUT', '/-/blob-put/y', data=b'')
    _, body = store.call('GET', '/-/blob-list?prefix=x')
    first_page = json.loads(body)
    case.assertTrue(first_page['hasMore'])
    after = first_page['names'][-1]
    _, body = store.call('GET', f'/-/blob-list?prefix=x&after={after}')
    case.assertEqual(
        {'names': [f'x{count - 1:05}'], 'hasMore': False}, json.loads(body)
    )


def test_clock_is_steady(case: support.Case) -> None:
    """Hosts could not tell the time of a response by a clock that stood."""
    store = StoreClient()
    params = {'table': 'op', 'part': '', 'limit': '1'}
    times = []
    for _ in range(2):
        before_ms = time.monotonic_ns() // 1_000_000
        body = store.call('GET', '/-/rows-get', params=params)[1]
        times.append(json.loads(body)['nowMs'])
        case.assertLessEqual(before_ms, times[-1])
        case.assertLessEqual(times[-1], time.monotonic_ns() // 1_000_000)
    case.assertEqual(sorted(times), times)


def test_answers_to_some_hosts_are_held(case: support.Case) -> None:
    """The others get theirs at once; so do all once it is over."""
    store = StoreClient()
    for seconds, is_answered in ((metadata.SILENT_SECONDS, False), (0, True)):
        hold = {'store': 'held.example', 'seconds': seconds}
        store.call('POST', '/standin/holds', json=hold)
        case.assertEqual(
            is_answered, store.is_answered_at_once('held.example')
        )
        case.assertTrue(store.is_answered_at_once('other.example'))


def test_feed_returns_each_change_but_heartbeats(case: support.Case) -> None:
    """Entries that lapse and return, and heartbeats between, as in use."""
    store = StoreClient()
    entry = {'seq': 1, 'state': 'ready'}
    for content in (
        entry,
        {**entry, 'seq': 2},
        None,
        {**entry, 'seq': 3},
        {**entry, 'seq': 4},
        {'seq': 5, 'state': 'draining'},
    ):
        value = None if content is None else json.dumps(content)
        row = {'table': 'servers', 'key': 'a', 'value': value}
        store.call('POST', '/standin/rows', json={'rows': [row]})
    params = {'table': 'servers', 'after': '0', 'waitMs': '0'}
    found = json.loads(store.call('GET', '/-/rows-feed', params=params)[1])
    case.assertEqual([1, 3, 4, 6], [row['ver'] for row in found['rows']])
    tombstones = [row.get('tombstone', False) for row in found['rows']]
    case.assertEqual([False, True, False, False], tombstones)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
