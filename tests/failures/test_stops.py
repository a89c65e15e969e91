"""A planned stop cuts off no request."""

import threading

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

CALLERS = 6
TEXT = 'Rolling restart. '
TOKENS = 20
SLOW_TOKEN_SECONDS = 0.1


def _is_ready(entry: deployment.ServerProcess) -> bool:
    try:
        deployment.call('GET', entry.admin_address, '/readyz')
    except OSError:
        return False
    return True


def test_rolling_restart_loses_no_request(case: support.Case) -> None:
    """All hosts are replaced one by one under load, without a failure."""
    local = case.useFixture(deployments.LocalDeployment()).local
    failures: list[str] = []
    counts = [0] * CALLERS
    ended = threading.Event()

    def call(number: int) -> None:
        while not ended.is_set():
            ready = [e for e in local.entries if _is_ready(e)]
            entry = ready[(number + counts[number]) % len(ready)]
            key = f'{number}-{counts[number]}'
            try:
                booked = deployments.book(entry.address, key)
                streamed = deployments.stream(entry.address, TEXT, TOKENS)
            except OSError as error:
                failures.append(repr(error))
                continue
            counts[number] += 1
            expected = deployments.expect_tokens(TEXT, TOKENS)
            if booked.status != 201:
                failures.append(booked.body.decode())
            if deployments.read_tokens(streamed) != expected:
                failures.append(streamed.body.decode())

    callers = [
        threading.Thread(target=call, args=(number,))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for number, entry in enumerate(list(local.entries)):
        case.assertEqual(0, local.stop(entry))
        local.entries[number] = local.start_entry(number, entry)
        local.wait_ready(local.entries[number])
    ended.set()
    for caller in callers:
        caller.join()
    case.assertEqual([], failures)
    case.assertGreater(min(counts), 0)
    ran = deployments.list_executions(local)
    case.assertEqual(sum(counts), len(ran))


def test_stop_lets_long_requests_end(case: support.Case) -> None:
    """A stream and a booking longer than the notice end whole."""
    shape = deployment.Spec(
        entries=1, engine_options={'token_seconds': SLOW_TOKEN_SECONDS}
    )
    local = case.useFixture(deployments.LocalDeployment(shape)).local
    entry = local.entries[0]
    deployments.set_faults(local.services[0], stall_seconds=2.0)
    streamed: list[deployments.Answer] = []
    booked: list[deployments.Answer] = []
    callers = [
        threading.Thread(
            target=lambda: streamed.append(
                deployments.stream(entry.address, TEXT, TOKENS)
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
    expected = deployments.expect_tokens(TEXT, TOKENS)
    case.assertEqual(expected, deployments.read_tokens(streamed[0]))
    case.assertEqual(201, booked[0].status)
    log = (local.folder / 'entry-1.log').read_text()
    case.assertIn('"event": 104', log)
    case.assertNotIn('Unhandled', log)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
