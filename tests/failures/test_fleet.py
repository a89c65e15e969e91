"""Hosts act together while hosts, the platform and operators fail."""

import os
import signal
import time

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

HOSTS = 9
CONFIGURATION_SECONDS = 8.0
READY_SECONDS = 3.0
LEAVING_SECONDS = 3.0


def _start(case: support.Case, **options: int) -> deployment.Deployment:
    shape = deployment.Spec(
        **{'entries': 3, **options},
        domains=('pohja-1', 'pohja-2', 'louna-1'),
    )
    return case.useFixture(deployments.LocalDeployment(shape)).local


def _get_number(entry: deployment.ServerProcess) -> int:
    number: int = deployments.dump(entry)['configuration']['number']
    return number


def _edit_route(local: deployment.Deployment, seconds: float) -> None:
    row = {**local.create_routes()[0], 'deadline_seconds': seconds}
    write = {'table': 'routes', 'key': row['name'], 'value': row}
    body = {'conditions': [], 'writes': [write]}
    deployment.call('POST', local.platform.address, '/v1/transactions', body)


def _measure(check: object, what: str) -> float:
    started = time.monotonic()
    deployment.wait_until(check, what)
    return time.monotonic() - started


def test_configuration_spreads_past_failed_hosts(case: support.Case) -> None:
    """With one host killed and one frozen, all others follow in time."""
    local = _start(case, entries=HOSTS)
    local.kill(local.entries[0])
    frozen = local.entries[1].process.pid
    os.kill(frozen, signal.SIGSTOP)
    live = local.entries[2:]
    before = max(_get_number(entry) for entry in live)
    _edit_route(local, 30.0)
    seconds = _measure(
        lambda: all(_get_number(entry) > before for entry in live),
        'the edit is not in force',
    )
    case.assertLess(seconds, CONFIGURATION_SECONDS)
    os.kill(frozen, signal.SIGCONT)
    deployment.wait_until(
        lambda: _get_number(local.entries[1]) > before,
        'the thawed host lags behind',
    )


def test_herd_of_restarts_is_ready_in_time(case: support.Case) -> None:
    """All hosts killed and started together are ready within 3 s."""
    local = _start(case, entries=HOSTS)
    before = max(_get_number(entry) for entry in local.entries)
    for entry in local.entries:
        local.kill(entry)
    started = time.monotonic()
    for number, entry in enumerate(list(local.entries)):
        local.entries[number] = local.start_entry(number, entry)
    for entry in local.entries:
        local.wait_ready(entry)
    case.assertLess(time.monotonic() - started, READY_SECONDS)
    case.assertTrue(all(_get_number(e) >= before for e in local.entries))


def test_host_restarts_without_the_platform(case: support.Case) -> None:
    """A host that restarts during an outage takes over from its peers."""
    local = _start(case)
    _edit_route(local, 30.0)
    deployment.wait_until(
        lambda: min(_get_number(entry) for entry in local.entries) == 2,
        'the edit is not in force',
    )
    deployments.set_faults(local.platform, mode='down')
    local.kill(local.entries[0])
    started = time.monotonic()
    local.entries[0] = local.start_entry(0, local.entries[0])
    local.wait_ready(local.entries[0])
    case.assertLess(time.monotonic() - started, READY_SECONDS)
    case.assertEqual(2, _get_number(local.entries[0]))
    answer = deployments.stream(local.entries[0].address, 'hello', 3)
    expected = deployments.expect_tokens('hello', 3)
    case.assertEqual(expected, deployments.read_tokens(answer))


def test_poison_sent_to_all_hosts_takes_two_engines(
    case: support.Case,
) -> None:
    """Hosts tell each other of a request that crashes engines."""
    local = _start(case, engines=5)
    for number in range(9):
        entry = local.entries[number % len(local.entries)]
        last = deployments.stream(entry.address, 'POISON', 2)
    alive = [e for e in local.engines if e.process.poll() is None]
    case.assertEqual(3, len(alive))
    case.assertEqual('quarantined', last.get_error()['code'])


def test_leaving_target_gets_no_new_work(case: support.Case) -> None:
    """A target that the platform lists as leaving is left alone."""
    local = _start(case)
    leaving = local.engines[0]
    host = {'name': 'x', 'address': leaving.address, 'is_leaving': True}
    deployment.call(
        'PUT', local.platform.address, '/v1/hosts', {'hosts': [host]}
    )
    time.sleep(LEAVING_SECONDS)
    state = deployment.call('GET', leaving.address, '/v1/state')
    before = len(state['executions'])
    for number in range(12):
        entry = local.entries[number % len(local.entries)]
        deployments.stream(entry.address, f'prompt {number}', 1)
    state = deployment.call('GET', leaving.address, '/v1/state')
    case.assertEqual(before, len(state['executions']))


def test_host_with_another_key_is_rejected(case: support.Case) -> None:
    """Messages with a wrong tag are refused and counted."""
    local = _start(case)
    local.kill(local.entries[0])
    local.secret_file.write_text('another key')
    deployments.set_faults(local.platform, mode='down')
    started = local.start_entry(0, local.entries[0])
    deployment.wait_until(
        lambda: deployments.dump(local.entries[1])['peers'][
            'rejected_messages'
        ],
        'no message was rejected',
    )
    state = deployments.dump(started)
    case.assertEqual(0, state['configuration']['number'])
    case.assertEqual('starting', state['lifecycle'])
    answer = deployments.stream(started.address, 'hello', 1)
    case.assertEqual('not_ready', answer.get_error()['code'])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
