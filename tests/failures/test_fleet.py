"""A fleet of hosts stays consistent while hosts or the platform fail."""

import os
import signal
import time

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

HOST_COUNT = 9
MAX_PROPAGATION_SECONDS = 8.0
MAX_READY_SECONDS = 3.0
LEAVING_PROPAGATION_SECONDS = 3.0


def _start_deployment(
    case: support.Case, **options: int
) -> deployment.Deployment:
    spec = deployment.Spec(
        **{'entries': 3, **options},
        domains=('pohja-1', 'pohja-2', 'louna-1'),
    )
    return case.useFixture(deployments.LocalDeployment(spec)).local


def _get_configuration_number(entry: deployment.ServerProcess) -> int:
    number: int = deployments.dump(entry)['configuration']['number']
    return number


def _set_route_deadline(local: deployment.Deployment, seconds: float) -> None:
    row = {**local.create_routes()[0], 'deadline_seconds': seconds}
    write = {'table': 'routes', 'key': row['name'], 'value': row}
    body = {'conditions': [], 'writes': [write]}
    deployment.call('POST', local.platform.address, '/v1/transactions', body)


def _measure_wait(condition: object, message: str) -> float:
    started = time.monotonic()
    deployment.wait_until(condition, message)
    return time.monotonic() - started


def test_configuration_reaches_hosts_despite_failed_peers(
    case: support.Case,
) -> None:
    """An edit reaches live hosts in time while others are down or paused."""
    local = _start_deployment(case, entries=HOST_COUNT)
    local.kill(local.entries[0])
    paused_pid = local.entries[1].process.pid
    os.kill(paused_pid, signal.SIGSTOP)
    live_entries = local.entries[2:]
    previous_number = max(
        _get_configuration_number(entry) for entry in live_entries
    )
    _set_route_deadline(local, 30.0)
    seconds = _measure_wait(
        lambda: all(
            _get_configuration_number(entry) > previous_number
            for entry in live_entries
        ),
        'the edit is not in force',
    )
    case.assertLess(seconds, MAX_PROPAGATION_SECONDS)
    os.kill(paused_pid, signal.SIGCONT)
    deployment.wait_until(
        lambda: _get_configuration_number(local.entries[1]) > previous_number,
        'the resumed host has an old configuration',
    )


def test_herd_of_restarts_is_ready_in_time(case: support.Case) -> None:
    """All hosts killed and started at the same time are ready within 3 s."""
    local = _start_deployment(case, entries=HOST_COUNT)
    previous_number = max(
        _get_configuration_number(entry) for entry in local.entries
    )
    for entry in local.entries:
        local.kill(entry)
    started = time.monotonic()
    for number, entry in enumerate(list(local.entries)):
        local.entries[number] = local.start_entry(number, entry)
    for entry in local.entries:
        local.wait_ready(entry)
    case.assertLess(time.monotonic() - started, MAX_READY_SECONDS)
    case.assertTrue(
        all(
            _get_configuration_number(e) >= previous_number
            for e in local.entries
        )
    )


def test_host_restarts_without_the_platform(case: support.Case) -> None:
    """A host restarts during a platform outage.

    It gets its configuration from peers.
    """
    local = _start_deployment(case)
    _set_route_deadline(local, 30.0)
    deployment.wait_until(
        lambda: (
            min(_get_configuration_number(entry) for entry in local.entries)
            == 2
        ),
        'the edit is not in force',
    )
    deployments.set_faults(local.platform, mode='down')
    local.kill(local.entries[0])
    started = time.monotonic()
    local.entries[0] = local.start_entry(0, local.entries[0])
    local.wait_ready(local.entries[0])
    case.assertLess(time.monotonic() - started, MAX_READY_SECONDS)
    case.assertEqual(2, _get_configuration_number(local.entries[0]))
    response = deployments.stream(local.entries[0].address, 'hello', 3)
    expected = deployments.create_expected_tokens('hello', 3)
    case.assertEqual(expected, deployments.parse_tokens(response))


def test_crashing_request_sent_to_all_hosts_crashes_two_engines(
    case: support.Case,
) -> None:
    """Hosts share the quarantine of a request that crashes engines.

    An engine stand-in exits when a prompt contains `POISON`.
    """
    local = _start_deployment(case, engines=5)
    for number in range(9):
        entry = local.entries[number % len(local.entries)]
        last_response = deployments.stream(entry.address, 'POISON', 2)
    running_engines = [e for e in local.engines if e.process.poll() is None]
    case.assertEqual(3, len(running_engines))
    case.assertEqual('quarantined', last_response.get_error()['code'])


def test_leaving_target_gets_no_new_requests(case: support.Case) -> None:
    """A target that the platform lists as leaving gets no new requests."""
    local = _start_deployment(case)
    leaving = local.engines[0]
    host = {'name': 'x', 'address': leaving.address, 'is_leaving': True}
    deployment.call(
        'PUT', local.platform.address, '/v1/hosts', {'hosts': [host]}
    )
    time.sleep(LEAVING_PROPAGATION_SECONDS)
    state = deployment.call('GET', leaving.address, '/v1/state')
    execution_count = len(state['executions'])
    for number in range(12):
        entry = local.entries[number % len(local.entries)]
        deployments.stream(entry.address, f'prompt {number}', 1)
    state = deployment.call('GET', leaving.address, '/v1/state')
    case.assertEqual(execution_count, len(state['executions']))


def test_host_with_another_peer_secret_is_rejected(case: support.Case) -> None:
    """Messages of a host with another peer secret are rejected and counted."""
    local = _start_deployment(case)
    local.kill(local.entries[0])
    local.secret_file.write_text('another key')
    deployments.set_faults(local.platform, mode='down')
    restarted = local.start_entry(0, local.entries[0])
    deployment.wait_until(
        lambda: deployments.dump(local.entries[1])['peers'][
            'rejected_messages'
        ],
        'no message was rejected',
    )
    state = deployments.dump(restarted)
    case.assertEqual(0, state['configuration']['number'])
    case.assertEqual('starting', state['lifecycle'])
    response = deployments.stream(restarted.address, 'hello', 1)
    case.assertEqual('not_ready', response.get_error()['code'])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
