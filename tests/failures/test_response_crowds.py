"""Hosts stay within their memory while crowds read long responses slowly.

Each test guards against a host that holds without a bound what targets send
and callers do not read, or that refuses a long response to a single caller.
"""

import pathlib
import typing

import fixtures

from pistachioseam_standins import fleet
from tests.failures import crowds
from tests.failures import test_forwarding
from tests import support

MEMORY_MB = 96
"""Capacity of the machine, below that of any deployment."""
MAX_BYTES = MEMORY_MB * crowds.MEBIBYTE
MAX_BODY_BYTES = 4_194_304
ROUTE_TIMEOUT_MS = 30_000
CALLERS = 40
LONG_BYTES = 4_000_000
CHUNKED_BYTES = 900_000
SLOW_BYTES_PER_SECOND = 1024
SINGLE_PATHS = {
    '/safe/chunks-1500000': 1_500_000,
    '/safe/close-1500000': 1_500_000,
    '/safe/length-12000000': 12_000_000,
    '/once/length-12000000': 12_000_000,
}
"""Long responses and their sizes, by path."""


class SmallFleet(fleet.Fleet):
    """Fleet whose hosts run on small machines."""

    def create_settings(
        self, number: int, address: str, admin_address: str
    ) -> dict[str, typing.Any]:
        """Return the settings of one host, with the capacity set."""
        settings = super().create_settings(number, address, admin_address)
        return {**settings, 'capacity': {'memory_mb': MEMORY_MB}}

    def write_desired_state(self, **changes: typing.Any) -> None:
        """Write a desired state with the limits of these tests."""
        limits = {
            'headerBytes': 16_384,
            'maxBodyBytes': MAX_BODY_BYTES,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 15_000,
        }
        state = fleet.create_desired_state(self.desired_version)
        routes = [
            {**route, 'timeoutMs': ROUTE_TIMEOUT_MS}
            for route in state['routes']
        ]
        super().write_desired_state(limits=limits, routes=routes, **changes)


class SmallHost(fixtures.Fixture):
    """Run one host and its servers while no other crowd runs."""

    def _setUp(self) -> None:  # noqa: N802
        self.useFixture(crowds.Alone())
        running = SmallFleet(
            fleet.FleetSpec(hosts=1, engines=1, plain=1),
            pathlib.Path(self.useFixture(fixtures.TempDir()).path),
        )
        running.__enter__()
        self.addCleanup(running.__exit__)
        self.host = running.entries[0]


def create_readers(
    path: str, count: int = CALLERS, deadline_ms: int = crowds.DEADLINE_MS
) -> list[crowds.Caller]:
    """Return callers that read the response to one request slowly."""
    return [
        crowds.Caller(
            crowds.create_head(f'reader-{number}', 0, path, deadline_ms),
            SLOW_BYTES_PER_SECOND,
        )
        for number in range(count)
    ]


def create_uploaders(
    path: str, count: int = CALLERS, body_bytes: int = MAX_BODY_BYTES
) -> list[crowds.Caller]:
    """Return callers that send one whole body, by default a largest one."""
    body = bytes(body_bytes)
    return [
        crowds.Caller(
            crowds.create_head(f'uploader-{number}', len(body), path) + body,
            SLOW_BYTES_PER_SECOND,
            is_persistent=True,
        )
        for number in range(count)
    ]


def create_short_uploaders(count: int = CALLERS) -> list[crowds.Caller]:
    """Return callers whose body of the largest size lacks its last byte."""
    head = crowds.create_head('short-%d', MAX_BODY_BYTES)
    body = bytes(MAX_BODY_BYTES - 1)
    return [crowds.Caller(head % number + body) for number in range(count)]


def check_crowd(case: support.Case, callers: list[crowds.Caller]) -> None:
    """Check a host under a crowd, and one call afterwards."""
    host = case.useFixture(SmallHost()).host

    def send_ordinary() -> None:
        response = test_forwarding.send(host.address, '/safe/whole')
        case.assertEqual((200, b'content'), (response.status, response.body))

    crowds.check_usage(case, (host,), callers, MAX_BYTES, send_ordinary)


def test_responses_with_a_length_are_read_slowly(case: support.Case) -> None:
    """Responses whose length is known are not held without a bound."""
    check_crowd(case, create_readers(f'/safe/length-{LONG_BYTES}'))


def test_responses_in_chunks_are_read_slowly(case: support.Case) -> None:
    """Responses in chunks are not held without a bound."""
    check_crowd(case, create_readers(f'/safe/chunks-{CHUNKED_BYTES}'))


def test_responses_without_length_are_read_slowly(case: support.Case) -> None:
    """Responses that end with their connection are not held either."""
    check_crowd(case, create_readers(f'/safe/close-{CHUNKED_BYTES}'))


def test_error_responses_are_read_slowly(case: support.Case) -> None:
    """Responses of targets that failed are not held without a bound."""
    check_crowd(case, create_readers(f'/safe/fail-{LONG_BYTES}'))


def test_whole_bodies_wait_for_a_silent_target(case: support.Case) -> None:
    """Copies of whole bodies do not add up beyond the host's memory."""
    check_crowd(case, create_uploaders('/safe/silent', 6 * CALLERS))


def test_whole_bodies_and_slow_readers_together(case: support.Case) -> None:
    """Bodies and responses share the memory of a host."""
    callers = create_uploaders('/safe/silent', CALLERS)
    callers += create_readers(f'/safe/length-{LONG_BYTES}')
    check_crowd(case, callers)


def test_bodies_are_echoed_to_slow_readers(case: support.Case) -> None:
    """Callers that send a large body read an equally large response."""
    check_crowd(case, create_uploaders('/safe/whole', CALLERS))


def test_long_response_to_a_single_caller_is_served(
    case: support.Case,
) -> None:
    """A response of any size reaches a single caller whole."""
    host = case.useFixture(SmallHost()).host
    for path, size in SINGLE_PATHS.items():
        response = test_forwarding.send(host.address, path)
        case.assertEqual(200, response.status, path)
        case.assertTrue(response.body == bytes(size), path)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
