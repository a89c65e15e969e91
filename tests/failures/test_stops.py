"""A planned stop cuts off no request."""

import threading

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

CALLERS = 6
TEXT = 'Rolling restart. '
TOKENS = 20


def _is_ready(entry: deployment.Member) -> bool:
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


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
