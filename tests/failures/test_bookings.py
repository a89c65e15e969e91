"""Bookings run at most once while services, hosts and the platform fail.

A booking is a call that is not idempotent.
"""

import os
import signal
import threading

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

STALL_SECONDS = 2.0


def _start_deployment(case: support.Case) -> deployment.Deployment:
    return case.useFixture(deployments.LocalDeployment()).local


def test_lost_response_is_unknown_and_never_repeated(
    case: support.Case,
) -> None:
    """A booking whose response was cut off is `unknown` at all hosts."""
    local = _start_deployment(case)
    deployments.set_faults(local.services[0], cut_answers=1)
    responses = [deployments.book(e.address, 'k') for e in local.entries]
    outcomes = [response.get_outcome() for response in responses]
    case.assertEqual(['unknown'] * 3, outcomes)
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_lost_responses_do_not_quarantine_equal_bookings(
    case: support.Case,
) -> None:
    """Bookings with equal bodies but different keys are not quarantined.

    Guards against taking their lost responses for repeated crashes of one
    request.
    """
    local = _start_deployment(case)
    address = local.entries[0].address
    deployments.set_faults(local.services[0], cut_answers=3)

    def is_booked() -> bool:
        key = f'k{len(deployments.list_executions(local))}'
        return deployments.book(address, key).status == 201

    deployment.wait_until(is_booked, 'bookings are still refused')
    case.assertEqual(4, len(deployments.list_executions(local)))


def test_reused_key_with_another_body_is_refused(case: support.Case) -> None:
    """A used idempotency key with another body is refused as not run."""
    local = _start_deployment(case)
    deployments.book(local.entries[0].address, 'k', '{"a": 1}')
    second = deployments.book(local.entries[1].address, 'k', '{"a": 2}')
    case.assertEqual(422, second.status)
    case.assertEqual('not-run', second.get_outcome())
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_booking_without_a_key_is_refused(case: support.Case) -> None:
    """A non-idempotent call without an idempotency key is not run."""
    local = _start_deployment(case)
    response = deployments.send(local.entries[0].address, 'POST', '/booking')
    case.assertEqual(400, response.status)
    error = response.get_error()
    case.assertEqual('idempotency_key_required', error['code'])
    case.assertEqual([], deployments.list_executions(local))


def test_concurrent_bookings_share_one_response(case: support.Case) -> None:
    """Equal bookings in flight at the same time at one host run once."""
    local = _start_deployment(case)
    deployments.set_faults(local.services[0], stall_seconds=0.5)
    responses: list[deployments.Response] = []

    def book() -> None:
        responses.append(deployments.book(local.entries[0].address, 'k'))

    callers = [threading.Thread(target=book) for _ in range(5)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    case.assertEqual(1, len({response.body for response in responses}))
    case.assertEqual({201}, {response.status for response in responses})
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_killed_host_leaves_an_unknown_outcome(case: support.Case) -> None:
    """SIGKILL of a host during a booking never leads to a second run."""
    local = _start_deployment(case)
    deployments.set_faults(local.services[0], stall_seconds=STALL_SECONDS)
    errors: list[BaseException] = []

    def book() -> None:
        try:
            deployments.book(local.entries[0].address, 'k')
        except OSError as error:
            errors.append(error)

    caller = threading.Thread(target=book)
    caller.start()
    deployment.wait_until(
        lambda: deployments.list_executions(local), 'the booking is not sent'
    )
    local.kill(local.entries[0])
    caller.join()
    case.assertEqual(1, len(errors))
    repeated = deployments.book(local.entries[1].address, 'k')
    case.assertEqual('unknown', repeated.get_outcome())
    local.start_entry(0, local.entries[0])
    local.wait_ready(local.entries[0])
    repeated_at_restarted = deployments.book(local.entries[0].address, 'k')
    case.assertEqual('unknown', repeated_at_restarted.get_outcome())
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_booking_of_paused_host_runs_once(case: support.Case) -> None:
    """A booking runs once though its host is paused and a caller retries.

    The host that holds the claim gets SIGSTOP, the booking is repeated at
    another host, then the first host gets SIGCONT.
    """
    local = _start_deployment(case)
    deployments.set_faults(local.services[0], stall_seconds=STALL_SECONDS)
    responses: list[deployments.Response] = []
    caller = threading.Thread(
        target=lambda: responses.append(
            deployments.book(local.entries[0].address, 'k')
        )
    )
    caller.start()
    deployment.wait_until(
        lambda: deployments.list_executions(local), 'the booking is not sent'
    )
    pid = local.entries[0].process.pid
    os.kill(pid, signal.SIGSTOP)
    repeated = deployments.book(local.entries[1].address, 'k')
    os.kill(pid, signal.SIGCONT)
    caller.join()
    case.assertEqual('unknown', repeated.get_outcome())
    case.assertEqual('done', responses[0].get_outcome())
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_platform_outage_refuses_bookings_as_not_run(
    case: support.Case,
) -> None:
    """During a platform outage no booking runs; refusals have Retry-After.

    Streams, which need no claim, are served as before.
    """
    local = _start_deployment(case)
    address = local.entries[0].address
    deployments.set_faults(local.platform, mode='down')
    refused = deployments.book(address, 'k')
    case.assertEqual(503, refused.status)
    case.assertEqual('not-run', refused.get_outcome())
    case.assertIn('retry-after', refused.headers)
    case.assertEqual([], deployments.list_executions(local))
    streamed = deployments.stream(address, 'hello', 3)
    expected = deployments.create_expected_tokens('hello', 3)
    case.assertEqual(expected, deployments.parse_tokens(streamed))
    deployments.set_faults(local.platform, mode='none')
    case.assertEqual(201, deployments.book(address, 'k').status)


def test_lost_platform_responses_never_repeat_a_booking(
    case: support.Case,
) -> None:
    """A booking runs once when the platform drops responses to its writes."""
    local = _start_deployment(case)
    deployments.set_faults(local.platform, mode='lose_answers')
    refused = deployments.book(local.entries[0].address, 'k')
    execution_count = len(deployments.list_executions(local))
    case.assertEqual(refused.get_outcome() == 'not-run', execution_count == 0)
    deployments.set_faults(local.platform, mode='none')
    entry = local.entries[0]

    def is_booked() -> bool:
        return deployments.book(entry.address, 'k').status == 201

    deployment.wait_until(is_booked, 'the booking is still refused')
    case.assertEqual(1, len(deployments.list_executions(local)))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
