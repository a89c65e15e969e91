"""Crowds at hosts that route by their own tables.

Each test guards against a host that holds without a bound what callers send,
what targets send and callers do not read, or what both do at the admin port.
"""

import attrs
import fixtures

from pistachioseam_standins import deployment
from tests import deployments
from tests.failures import crowds
from tests import support

MAX_BYTES = 128 * crowds.MEBIBYTE
"""Memory of the smallest machine."""
CALLERS = 40
MAX_BODY_BYTES = 4_000_000
"""Default limits of a body and of a response."""
LONG_BYTES = 3_900_000
STALL_SECONDS = 3.0
SLOW_BYTES_PER_SECOND = 1024
CHUNK_BYTES = 65_536
PIPELINED_REQUESTS = 5000


class TableHost(fixtures.Fixture):
    """Run one host and its targets while no other crowd runs."""

    def _setUp(self) -> None:  # noqa: N802
        self.useFixture(crowds.Alone())
        spec = deployment.Spec(entries=1, engines=1, services=1)
        self.local = self.useFixture(deployments.LocalDeployment(spec)).local
        self.host = self.local.entries[0]


def create_head(
    line: str, length: int | None = None, key: str = 'key'
) -> bytes:
    """Return the head of a request, with a length or with chunks."""
    framing = 'Transfer-Encoding: chunked'
    if length is not None:
        framing = f'Content-Length: {length}'
    return (
        f'{line} HTTP/1.1\r\nHost: host\r\n'
        f'Authorization: Bearer {deployments.API_KEY}\r\n'
        f'Idempotency-Key: {key}\r\n{framing}\r\n\r\n'
    ).encode()


def create_uploaders(missing_bytes: int = 0) -> list[crowds.Caller]:
    """Return callers that send one body each, some bytes short of its end."""
    body = bytes(MAX_BODY_BYTES - missing_bytes)
    return [
        crowds.Caller(
            create_head('POST /booking', MAX_BODY_BYTES, f'key-{number}')
            + body,
            SLOW_BYTES_PER_SECOND,
            is_persistent=not missing_bytes,
        )
        for number in range(CALLERS)
    ]


def check_crowd(
    case: support.Case,
    callers: list[crowds.Caller],
    stall_seconds: float = 0.0,
    is_admin: bool = False,
) -> None:
    """Check a host under a crowd, and one booking afterwards."""
    running = case.useFixture(TableHost())
    keys = iter(('ordinary-1', 'ordinary-2'))

    def send_ordinary() -> None:
        deployments.set_faults(running.local.services[0])
        response = deployments.book(running.host.address, next(keys))
        case.assertEqual(201, response.status, response.body)
        deployments.set_faults(
            running.local.services[0], stall_seconds=stall_seconds
        )

    host = running.host
    if is_admin:
        host = attrs.evolve(host, address=host.admin_address)
    crowds.check_usage(case, (host,), callers, MAX_BYTES, send_ordinary)


def test_whole_bodies_that_lack_a_byte(case: support.Case) -> None:
    """Bodies that stop a byte short are not held without a bound."""
    check_crowd(case, create_uploaders(missing_bytes=1))


def test_bodies_in_large_chunks(case: support.Case) -> None:
    """Bodies in chunks without an end are not held without a bound."""
    chunks = crowds.create_chunks(MAX_BODY_BYTES, CHUNK_BYTES)
    check_crowd(
        case,
        [crowds.Caller(create_head('POST /booking') + chunks)] * CALLERS,
    )


def test_whole_bodies_wait_for_a_slow_target(case: support.Case) -> None:
    """Bodies of calls that are served do not add up without a bound."""
    check_crowd(case, create_uploaders(), STALL_SECONDS)


def test_requests_with_unread_responses(case: support.Case) -> None:
    """Requests that are sent ahead of unread responses do not pile up."""
    content = create_head('GET /booking/long/20000', 0) * PIPELINED_REQUESTS
    check_crowd(case, [crowds.Caller(content)] * 4)


def test_responses_are_read_slowly(case: support.Case) -> None:
    """Long responses are not held without a bound."""
    content = create_head(f'GET /booking/long/{LONG_BYTES}', 0)
    check_crowd(
        case, [crowds.Caller(content, SLOW_BYTES_PER_SECOND)] * CALLERS
    )


def test_large_bodies_at_the_admin_port(case: support.Case) -> None:
    """Bodies at the admin port are not held without a bound."""
    content = create_head('POST /dump', 10 * MAX_BODY_BYTES)
    content += bytes(MAX_BODY_BYTES)
    check_crowd(case, [crowds.Caller(content)] * CALLERS, is_admin=True)


def test_unread_dumps_at_the_admin_port(case: support.Case) -> None:
    """Responses of the admin port that nobody reads do not pile up."""
    content = create_head('GET /dump', 0) * PIPELINED_REQUESTS
    check_crowd(case, [crowds.Caller(content)] * 4, is_admin=True)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
