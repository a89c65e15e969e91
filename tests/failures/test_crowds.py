"""Hosts stay within their memory and descriptors under crowds of callers.

Each test guards against a host that holds without a bound what callers have
sent or do not read. The bounds do not depend on the machine's speed: there is
no bound on a time, nor on how many requests of the crowd are served.
"""

import pathlib
import typing

import fixtures

from pistachioseam_standins import fleet
from tests.failures import crowds
from tests.failures import test_forwarding
from tests import support

MEMORY_MB = 64.0
"""The capacity setting, far below that of any deployment."""
MAX_DESCRIPTORS = 256
BODY_BYTES = 1_048_576
BODY_CONNECTIONS = 40
SMALL_CHUNKS_BODY_BYTES = 524_288
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNK_BYTES = 7
PIPELINED_BODY_BYTES = 20_000
PIPELINED_REQUESTS = 500
PIPELINED_CONNECTIONS = 4
MAX_GROWTH_BYTES = 20 * crowds.MEBIBYTE
"""Bound on the growth of memory. The host's budget is 8 MB at these
settings."""


class ModestFleet(fleet.Fleet):
    """Fleet whose hosts have little memory and few descriptors."""

    def create_settings(
        self, number: int, address: str, admin_address: str
    ) -> dict[str, typing.Any]:
        """Return the settings of one host, with a low capacity."""
        capacity = {
            'memory_mb': MEMORY_MB,
            'max_descriptors': MAX_DESCRIPTORS,
        }
        settings = super().create_settings(number, address, admin_address)
        return {**settings, 'capacity': capacity}

    def write_desired_state(self, **changes: typing.Any) -> None:
        """Write a desired state with the limits of these tests."""
        limits = {
            'headerBytes': 16_384,
            'maxBodyBytes': BODY_BYTES,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 15_000,
        }
        super().write_desired_state(limits=limits, **changes)


class CrowdedHost(fixtures.Fixture):
    """Run one host and its servers while no other such test runs."""

    def _setUp(self) -> None:  # noqa: N802
        self.useFixture(crowds.Alone())
        running = ModestFleet(
            fleet.FleetSpec(hosts=1, engines=1, plain=1),
            pathlib.Path(self.useFixture(fixtures.TempDir()).path),
        )
        running.__enter__()
        self.addCleanup(running.__exit__)
        self.host = running.entries[0]


def create_pipelines() -> list[bytes]:
    """Return many requests with bodies for each of a few connections."""
    return [
        b''.join(
            crowds.create_head(f'ahead-{number}-{index}', PIPELINED_BODY_BYTES)
            + bytes(PIPELINED_BODY_BYTES)
            for index in range(PIPELINED_REQUESTS)
        )
        for number in range(PIPELINED_CONNECTIONS)
    ]


def check_crowd(case: support.Case, contents: list[bytes]) -> None:
    """Check a host's bounds during a crowd and one request afterwards."""
    host = case.useFixture(CrowdedHost()).host
    warm_up = test_forwarding.send(host.address, '/safe/whole')
    case.assertEqual(200, warm_up.status)
    rest = crowds.measure(host.process.pid)
    callers = [crowds.Caller(content) for content in contents]
    with crowds.Crowd(host, callers) as crowd:
        crowd.hold()
        # It stands for an ordinary caller, who keeps to all limits.
        response = test_forwarding.send(host.address, '/safe/whole')
        case.assertIsNone(host.process.poll())
    peak = crowd.peaks[host.name]
    growth_bytes = peak.peak_memory_bytes - rest.memory_bytes
    extra = peak.descriptors - rest.descriptors - len(contents)
    figures = (
        f'growth {growth_bytes} bytes from {rest.memory_bytes}, '
        f'{peak.unread_bytes} unread, '
        f'{extra} more descriptors than connections, '
        f'status {response.status}'
    )
    print(figures, flush=True)
    case.assertLess(growth_bytes, MAX_GROWTH_BYTES, figures)
    case.assertLess(extra, crowds.MAX_EXTRA_DESCRIPTORS, figures)
    case.assertEqual((200, b'content'), (response.status, response.body))


def test_whole_bodies_that_lack_a_byte(case: support.Case) -> None:
    """Bodies that stop a byte short are not held without a bound."""
    contents = [
        crowds.create_head(f'whole-{number}', BODY_BYTES)
        + bytes(BODY_BYTES - 1)
        for number in range(BODY_CONNECTIONS)
    ]
    check_crowd(case, contents)


def test_bodies_in_large_chunks(case: support.Case) -> None:
    """Bodies in large chunks are not held without a bound."""
    chunks = crowds.create_chunks(BODY_BYTES, LARGE_CHUNK_BYTES)
    contents = [
        crowds.create_head(f'large-{number}', None) + chunks
        for number in range(BODY_CONNECTIONS)
    ]
    check_crowd(case, contents)


def test_bodies_in_small_chunks(case: support.Case) -> None:
    """Bodies in small chunks do not keep a host from serving others.

    Nor do they take a descriptor each for a temporary file.
    """
    chunks = crowds.create_chunks(SMALL_CHUNKS_BODY_BYTES, SMALL_CHUNK_BYTES)
    contents = [
        crowds.create_head(f'small-{number}', None) + chunks
        for number in range(BODY_CONNECTIONS)
    ]
    check_crowd(case, contents)


def test_pipelined_requests_with_unread_responses(case: support.Case) -> None:
    """Requests that are sent ahead of unread responses do not pile up."""
    check_crowd(case, create_pipelines())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
