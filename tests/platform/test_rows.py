"""Answers of the store that cannot be read leave the outcome unknown."""

import json

from returns import pipeline

from pistachioseam_entry import reactors
from pistachioseam_platform import rows
from tests.entry import test_target_connections
from tests.entry import test_targets
from tests import support


def create_answer(status: bytes) -> bytes:
    """Return a whole answer of the store."""
    return test_targets.create_response(
        b'HTTP/1.1 ' + status + b' Any\r\n',
        json.dumps({'ver': 7, 'rows': []}).encode(),
    )


def test_write_with_an_invalid_status_has_an_unknown_outcome(
    case: support.Case,
) -> None:
    """Guards against a lease that counts as not written, and is."""

    async def work() -> None:
        reactor = reactors.get_reactor()
        former = reactor.installNameResolver(test_targets.AddressResolver())
        try:
            for status in (b'000', b'0200', b'20', b'999', b'200'):
                async with test_targets.run_server(
                    create_answer(status)
                ) as server:
                    client = rows.StoreClient(server.address)
                    written = await client.put_row('t', 'k', b'v', 0)
                    is_valid = status == b'200'
                    case.assertEqual(
                        is_valid, pipeline.is_successful(written), status
                    )
                    if not is_valid:
                        failure = written.failure()
                        case.assertTrue(failure.is_outcome_unknown, status)
                        case.assertFalse(failure.is_conflict, status)
        finally:
            reactor.installNameResolver(former)

    test_target_connections.run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
