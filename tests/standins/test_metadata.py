"""The store's stand-in keeps objects as the users' page says."""

import json
import typing

from treq import testing

from pistachioseam_standins import metadata
from tests import support


class Store:
    """Stand-in that is called in memory."""

    def __init__(self) -> None:
        self._client = testing.StubTreq(metadata.Metadata().app.resource())

    def call(
        self, method: str, path: str, **options: typing.Any
    ) -> tuple[int, bytes]:
        """Return status and body of an answer."""
        answers: list[typing.Any] = []
        sent = self._client.request(
            method, f'http://store.example/-/{path}', **options
        )
        sent.addCallback(answers.append)
        self._client.flush()
        bodies: list[bytes] = []
        self._client.content(answers[0]).addCallback(bodies.append)
        self._client.flush()
        return answers[0].code, b''.join(bodies)


def test_objects_are_kept_and_dropped(case: support.Case) -> None:
    """A conditional write never replaces an object."""
    store = Store()
    new_only = {'headers': {'If-None-Match': '*'}}
    case.assertEqual(
        200, store.call('PUT', 'blob-put/a', data=b'1', **new_only)[0]
    )
    case.assertEqual(
        412, store.call('PUT', 'blob-put/a', data=b'2', **new_only)[0]
    )
    case.assertEqual((200, b'1'), store.call('GET', 'blob-get/a'))
    case.assertEqual(200, store.call('PUT', 'blob-put/a', data=b'3')[0])
    case.assertEqual((200, b'3'), store.call('GET', 'blob-get/a'))
    case.assertEqual(200, store.call('DELETE', 'blob-drop/a')[0])
    case.assertEqual(404, store.call('GET', 'blob-get/a')[0])


def test_objects_are_listed_in_pages(case: support.Case) -> None:
    """The last name of a page continues the list."""
    store = Store()
    count = metadata.LISTED_OBJECTS + 1
    for number in range(count):
        store.call('PUT', f'blob-put/x{number:05}', data=b'')
    store.call('PUT', 'blob-put/y', data=b'')
    _, body = store.call('GET', 'blob-list?prefix=x')
    first = json.loads(body)
    case.assertTrue(first['hasMore'])
    after = first['names'][-1]
    _, body = store.call('GET', f'blob-list?prefix=x&after={after}')
    case.assertEqual(
        {'names': [f'x{count - 1:05}'], 'hasMore': False}, json.loads(body)
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
