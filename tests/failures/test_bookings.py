"""Bookings run at most once while services, hosts and the store fail."""

import os
import signal
import threading

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

STALL_SECONDS = 2.0


def _start(case: support.Case) -> deployment.Deployment:
    return case.useFixture(deployments.LocalDeployment()).local


def test_lost_answer_is_unknown_and_never_repeated(case: support.Case) -> None:
    """A booking whose answer was cut off is unknown everywhere."""
    local = _start(case)
    deployments.set_faults(local.services[0], cut_answers=1)
    answers = [deployments.book(e.address, 'k') for e in local.entries]
    outcomes = [answer.get_outcome() for answer in answers]
    case.assertEqual(['unknown'] * 3, outcomes)
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_lost_answers_do_not_quarantine_equal_bookings(
    case: support.Case,
) -> None:
    """Bookings with equal bodies are different requests."""
    local = _start(case)
    address = local.entries[0].address
    deployments.set_faults(local.services[0], cut_answers=3)

    def is_booked() -> bool:
        key = f'k{len(deployments.list_executions(local))}'
        return deployments.book(address, key).status == 201

    deployment.wait_until(is_booked, 'bookings stay refused')
    case.assertEqual(4, len(deployments.list_executions(local)))


def test_key_of_another_request_is_refused(case: support.Case) -> None:
    """The same key with another body is not run."""
    local = _start(case)
    deployments.book(local.entries[0].address, 'k', '{"a": 1}')
    other = deployments.book(local.entries[1].address, 'k', '{"a": 2}')
    case.assertEqual(422, other.status)
    case.assertEqual('not-run', other.get_outcome())
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_booking_without_a_key_is_refused(case: support.Case) -> None:
    """A non-idempotent call without a key is not run."""
    local = _start(case)
    answer = deployments.send(local.entries[0].address, 'POST', '/booking')
    case.assertEqual(400, answer.status)
    error = answer.get_error()
    case.assertEqual('idempotency_key_required', error['code'])
    case.assertEqual([], deployments.list_executions(local))


def test_joined_bookings_share_one_answer(case: support.Case) -> None:
    """Equal bookings in flight at one host run once."""
    local = _start(case)
    deployments.set_faults(local.services[0], stall_seconds=0.5)
    answers: list[deployments.Answer] = []

    def book() -> None:
        answers.append(deployments.book(local.entries[0].address, 'k'))

    callers = [threading.Thread(target=book) for _ in range(5)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    case.assertEqual(1, len({answer.body for answer in answers}))
    case.assertEqual({201}, {answer.status for answer in answers})
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_killed_host_leaves_an_unknown_outcome(case: support.Case) -> None:
    """SIGKILL of a host mid-booking never leads to a second run."""
    local = _start(case)
    deployments.set_faults(local.services[0], stall_seconds=STALL_SECONDS)
    lost: list[BaseException] = []

    def book() -> None:
        try:
            deployments.book(local.entries[0].address, 'k')
        except OSError as error:
            lost.append(error)

    caller = threading.Thread(target=book)
    caller.start()
    deployment.wait_until(
        lambda: deployments.list_executions(local), 'the booking is not sent'
    )
    local.kill(local.entries[0])
    caller.join()
    case.assertEqual(1, len(lost))
    again = deployments.book(local.entries[1].address, 'k')
    case.assertEqual('unknown', again.get_outcome())
    local.start_entry(0, local.entries[0])
    local.wait_ready(local.entries[0])
    third = deployments.book(local.entries[0].address, 'k')
    case.assertEqual('unknown', third.get_outcome())
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_paused_host_sends_its_booking_once(case: support.Case) -> None:
    """SIGSTOP of a holder, a repeat elsewhere, then SIGCONT: one run."""
    local = _start(case)
    deployments.set_faults(local.services[0], stall_seconds=STALL_SECONDS)
    answers: list[deployments.Answer] = []
    caller = threading.Thread(
        target=lambda: answers.append(
            deployments.book(local.entries[0].address, 'k')
        )
    )
    caller.start()
    deployment.wait_until(
        lambda: deployments.list_executions(local), 'the booking is not sent'
    )
    pid = local.entries[0].process.pid
    os.kill(pid, signal.SIGSTOP)
    again = deployments.book(local.entries[1].address, 'k')
    os.kill(pid, signal.SIGCONT)
    caller.join()
    case.assertEqual('unknown', again.get_outcome())
    case.assertEqual('done', answers[0].get_outcome())
    case.assertEqual(1, len(deployments.list_executions(local)))


def test_store_outage_refuses_as_not_run(case: support.Case) -> None:
    """While the store refuses, nothing runs and callers hear when to retry."""
    local = _start(case)
    address = local.entries[0].address
    deployments.set_faults(local.platform, mode='down')
    refused = deployments.book(address, 'k')
    case.assertEqual(503, refused.status)
    case.assertEqual('not-run', refused.get_outcome())
    case.assertIn('retry-after', refused.headers)
    case.assertEqual([], deployments.list_executions(local))
    streamed = deployments.stream(address, 'hello', 3)
    expected = deployments.expect_tokens('hello', 3)
    case.assertEqual(expected, deployments.read_tokens(streamed))
    deployments.set_faults(local.platform, mode='none')
    case.assertEqual(201, deployments.book(address, 'k').status)


def test_lost_store_answers_never_double_a_booking(case: support.Case) -> None:
    """Writes that take effect without an answer run nothing twice."""
    local = _start(case)
    deployments.set_faults(local.platform, mode='lose_answers')
    refused = deployments.book(local.entries[0].address, 'k')
    ran = len(deployments.list_executions(local))
    case.assertEqual(refused.get_outcome() == 'not-run', ran == 0)
    deployments.set_faults(local.platform, mode='none')
    entry = local.entries[0]

    def is_settled() -> bool:
        return deployments.book(entry.address, 'k').status == 201

    deployment.wait_until(is_settled, 'the dropped claim is not released')
    case.assertEqual(1, len(deployments.list_executions(local)))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
