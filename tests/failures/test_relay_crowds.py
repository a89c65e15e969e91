"""Crowds at a host whose calls go through another host.

Each test guards against memory of either host that grows without a bound, and
against slow callers that keep other callers' calls from being relayed.
"""

import pathlib

import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests.failures import crowds
from tests.failures import test_crowds
from tests.failures import test_forwarding
from tests.failures import test_response_crowds
from tests import partitions
from tests import support

CALLERS = test_response_crowds.CALLERS
LATE_DEADLINE_MS = 30_000
MESSAGE_BODY_BYTES = 800_000
"""Body that still fits into one message between hosts."""


class SmallPartitionedFleet(
    partitions.PartitionedFleet, test_response_crowds.SmallFleet
):
    """Fleet of small machines with a proxy between each host and servers."""


class RelayedHost(fixtures.Fixture):
    """Run a host without a path to the servers, and one that has one."""

    def _setUp(self) -> None:  # noqa: N802
        self.useFixture(crowds.Alone())
        running = SmallPartitionedFleet(
            fleet.FleetSpec(hosts=2, engines=1, plain=1),
            pathlib.Path(self.useFixture(fixtures.TempDir()).path),
        )
        running.__enter__()
        self.addCleanup(running.__exit__)
        self.hosts = tuple(running.entries)
        running.paths[0].set_mode('cut')
        deployment.wait_until(
            lambda: (
                test_forwarding.send(
                    self.hosts[0].address, '/safe/whole'
                ).status
                == 200
            ),
            'calls are not relayed',
        )


def check_crowd(
    case: support.Case,
    callers: list[crowds.Caller],
    hold_seconds: float = crowds.HOLD_SECONDS,
) -> None:
    """Check both hosts under a crowd at the one without a path."""
    hosts = case.useFixture(RelayedHost()).hosts

    def send_ordinary() -> None:
        for host in hosts:
            response = test_forwarding.send(host.address, '/safe/whole')
            case.assertEqual(
                (200, b'content'), (response.status, response.body), host.name
            )

    crowds.check_usage(
        case,
        hosts,
        callers,
        test_response_crowds.MAX_BYTES,
        send_ordinary,
        hold_seconds,
    )


def test_relayed_responses_are_read_slowly(case: support.Case) -> None:
    """Long relayed responses are held by neither host without a bound."""
    path = f'/safe/length-{test_response_crowds.LONG_BYTES}'
    check_crowd(case, test_response_crowds.create_readers(path, CALLERS))


def test_slow_readers_do_not_stop_other_relayed_calls(
    case: support.Case,
) -> None:
    """A call is served while unread responses wait on the same connection.

    The crowd's own calls have not reached their deadline yet.
    """
    path = f'/safe/length-{test_response_crowds.LONG_BYTES}'
    callers = test_response_crowds.create_readers(
        path, CALLERS, LATE_DEADLINE_MS
    )
    check_crowd(case, callers, hold_seconds=1.0)


def test_relayed_whole_bodies_wait_for_a_silent_target(
    case: support.Case,
) -> None:
    """Copies of relayed bodies do not add up beyond the hosts' memory."""
    check_crowd(
        case, test_response_crowds.create_uploaders('/safe/silent', CALLERS)
    )


def test_relayed_bodies_of_a_message_wait_for_a_silent_target(
    case: support.Case,
) -> None:
    """Bodies that fit into a message between hosts do not add up either."""
    callers = test_response_crowds.create_uploaders(
        '/safe/silent', 3 * CALLERS, MESSAGE_BODY_BYTES
    )
    check_crowd(case, callers)


def test_relayed_bodies_that_lack_a_byte(case: support.Case) -> None:
    """Bodies that stop a byte short are not held without a bound."""
    check_crowd(case, test_response_crowds.create_short_uploaders(CALLERS))


def test_relayed_requests_with_unread_responses(case: support.Case) -> None:
    """Requests that are sent ahead of unread responses do not pile up."""
    contents = test_crowds.create_pipelines()
    check_crowd(case, [crowds.Caller(content) for content in contents])


def test_long_relayed_response_to_a_single_caller_is_served(
    case: support.Case,
) -> None:
    """A relayed response of any size reaches a single caller whole."""
    host = case.useFixture(RelayedHost()).hosts[0]
    for path, size in test_response_crowds.SINGLE_PATHS.items():
        response = test_forwarding.send(host.address, path)
        case.assertEqual(200, response.status, path)
        case.assertTrue(response.body == bytes(size), path)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
