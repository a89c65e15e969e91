"""A planned stop interrupts no request."""

import threading

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

CALLER_COUNT = 6
PROMPT = 'Rolling restart. '
TOKEN_COUNT = 20
TOKEN_INTERVAL_SECONDS = 0.1


def _is_ready(entry: deployment.ServerProcess) -> bool:
    try:
        deployment.call('GET', entry.admin_address, '/readyz')
    except OSError:
        return False
    return True


def test_rolling_restart_loses_no_request(case: support.Case) -> None:
    """All hosts are restarted one by one under load without a failure.

    Each caller repeats rounds of a booking and a stream.
    """
    local = case.useFixture(deployments.LocalDeployment()).local
    failures: list[str] = []
    round_counts = [0] * CALLER_COUNT
    should_stop = threading.Event()

    def run_caller(number: int) -> None:
        while not should_stop.is_set():
            ready_entries = [e for e in local.entries if _is_ready(e)]
            entry = ready_entries[
                (number + round_counts[number]) % len(ready_entries)
            ]
            key = f'{number}-{round_counts[number]}'
            try:
                booked = deployments.book(entry.address, key)
                streamed = deployments.stream(
                    entry.address, PROMPT, TOKEN_COUNT
                )
            except OSError as error:
                failures.append(repr(error))
                continue
            round_counts[number] += 1
            expected = deployments.create_expected_tokens(PROMPT, TOKEN_COUNT)
            if booked.status != 201:
                failures.append(booked.body.decode())
            if deployments.parse_tokens(streamed) != expected:
                failures.append(streamed.body.decode())

    callers = [
        threading.Thread(target=run_caller, args=(number,))
        for number in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    for number, entry in enumerate(list(local.entries)):
        case.assertEqual(0, local.stop(entry))
        local.entries[number] = local.start_entry(number, entry)
        local.wait_ready(local.entries[number])
    should_stop.set()
    for caller in callers:
        caller.join()
    case.assertEqual([], failures)
    case.assertGreater(min(round_counts), 0)
    executions = deployments.list_executions(local)
    case.assertEqual(sum(round_counts), len(executions))


def test_stop_waits_for_long_requests(case: support.Case) -> None:
    """A stream and a booking longer than the shutdown notice complete."""
    spec = deployment.Spec(
        entries=1, engine_options={'token_seconds': TOKEN_INTERVAL_SECONDS}
    )
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    entry = local.entries[0]
    deployments.set_faults(local.services[0], stall_seconds=2.0)
    streamed: list[deployments.Response] = []
    booked: list[deployments.Response] = []
    callers = [
        threading.Thread(
            target=lambda: streamed.append(
                deployments.stream(entry.address, PROMPT, TOKEN_COUNT)
            )
        ),
        threading.Thread(
            target=lambda: booked.append(deployments.book(entry.address, 'k'))
        ),
    ]
    for caller in callers:
        caller.start()
    deployment.wait_until(
        lambda: deployments.dump(entry)['active_requests'] == 2,
        'the requests are not active',
    )
    case.assertEqual(0, local.stop(entry))
    for caller in callers:
        caller.join()
    expected = deployments.create_expected_tokens(PROMPT, TOKEN_COUNT)
    case.assertEqual(expected, deployments.parse_tokens(streamed[0]))
    case.assertEqual(201, booked[0].status)
    log = (local.folder / 'entry-1.log').read_text()
    # Event 104: graceful shutdown ended.
    case.assertIn('"event": 104', log)
    case.assertNotIn('Unhandled', log)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
