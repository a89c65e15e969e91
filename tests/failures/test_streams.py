"""Streams stay complete while connections, engines and callers fail."""

import json
import socket
import threading
import time

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

TOKEN_COUNT = 60
STREAM_COUNT = 36
CONCURRENT_STREAM_TOKEN_COUNT = 40
LONG_STREAM_TOKEN_COUNT = 10_000
RECEIVE_BUFFER_BYTES = 8192
READ_PAUSE_SECONDS = 2.0
PROMPT = 'Long guide on carving. ' * 50


def _start_deployment(
    case: support.Case, **engine_options: object
) -> deployment.Deployment:
    spec = deployment.Spec(entries=1, engine_options=dict(engine_options))
    return case.useFixture(deployments.LocalDeployment(spec)).local


def test_cut_connection_is_resumed(case: support.Case) -> None:
    """After a lost connection, a stream is resumed at the same engine."""
    local = _start_deployment(case)
    for engine in local.engines:
        deployments.set_faults(engine, cut_after_pieces=7)
    response = deployments.stream(
        local.entries[0].address, PROMPT, TOKEN_COUNT
    )
    expected = deployments.create_expected_tokens(PROMPT, TOKEN_COUNT)
    case.assertEqual(expected, deployments.parse_tokens(response))
    execution_ids = [
        request_id
        for engine in local.engines
        for request_id in _get_engine_state(engine)['executions']
    ]
    case.assertEqual(1, len(execution_ids))


def _get_engine_state(
    engine: deployment.ServerProcess,
) -> dict[str, list[str]]:
    state: dict[str, list[str]] = deployment.call(
        'GET', engine.address, '/v1/state'
    )
    return state


def test_stream_of_killed_engine_continues_elsewhere(
    case: support.Case,
) -> None:
    """A stream stays complete when its engine gets SIGKILL."""
    local = _start_deployment(case, token_seconds=0.02)
    responses: list[deployments.Response] = []
    reader = threading.Thread(
        target=lambda: responses.append(
            deployments.stream(local.entries[0].address, PROMPT, TOKEN_COUNT)
        )
    )
    reader.start()
    deployment.wait_until(
        lambda: any(_get_engine_state(e)['executions'] for e in local.engines),
        'no engine runs the prompt',
    )
    serving_engines = [
        e for e in local.engines if _get_engine_state(e)['executions']
    ]
    local.kill(serving_engines[0])
    reader.join()
    expected = deployments.create_expected_tokens(PROMPT, TOKEN_COUNT)
    case.assertEqual(expected, deployments.parse_tokens(responses[0]))


def test_engine_crash_loses_no_concurrent_stream(case: support.Case) -> None:
    """Every stream in flight at an engine crash completes elsewhere."""
    spec = deployment.Spec(
        entries=1, engines=3, engine_options={'token_seconds': 0.05}
    )
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    entry = local.entries[0]
    are_complete: list[bool] = []

    def stream(number: int) -> None:
        text = f'stream {number}'
        response = deployments.stream(
            entry.address, text, CONCURRENT_STREAM_TOKEN_COUNT
        )
        expected = deployments.create_expected_tokens(
            text, CONCURRENT_STREAM_TOKEN_COUNT
        )
        are_complete.append(deployments.parse_tokens(response) == expected)

    callers = [
        threading.Thread(target=stream, args=(number,))
        for number in range(STREAM_COUNT)
    ]
    for caller in callers:
        caller.start()
    deployment.wait_until(
        lambda: (
            sum(len(_get_engine_state(e)['executions']) for e in local.engines)
            == STREAM_COUNT
        ),
        'not all streams have started',
    )
    local.kill(local.engines[0])
    for caller in callers:
        caller.join()
    case.assertEqual([True] * STREAM_COUNT, are_complete)


def test_stream_without_engines_ends_with_an_error(
    case: support.Case,
) -> None:
    """A stream ends with an error event when no engine is left."""
    local = _start_deployment(case, token_seconds=0.02)
    address = local.entries[0].address
    responses: list[deployments.Response] = []
    reader = threading.Thread(
        target=lambda: responses.append(
            deployments.stream(address, PROMPT, TOKEN_COUNT)
        )
    )
    reader.start()
    deployment.wait_until(
        lambda: any(_get_engine_state(e)['executions'] for e in local.engines),
        'no engine runs the prompt',
    )
    for engine in local.engines:
        local.kill(engine)
    reader.join()
    tokens = deployments.parse_tokens(responses[0])
    expected = deployments.create_expected_tokens(PROMPT, TOKEN_COUNT)
    case.assertEqual(expected[: len(tokens) - 1], tokens[:-1])
    case.assertIn(tokens[-1], ('no_target', 'target_failed'))


def test_caller_disconnect_cancels_the_generation(case: support.Case) -> None:
    """A caller's disconnect cancels its generation and leaves no state."""
    local = _start_deployment(case, token_seconds=0.05)
    entry = local.entries[0]
    host, _, port = entry.address.rpartition(':')
    body = deployments.encode_chat_request(PROMPT, TOKEN_COUNT)
    request_head = (
        'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {deployments.API_KEY}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(request_head.encode() + body)
        connection.recv(1)
    deployment.wait_until(
        lambda: any(_get_engine_state(e)['cancelled'] for e in local.engines),
        'the engine did not cancel the generation',
    )
    deployment.wait_until(
        lambda: deployments.dump(entry)['active_requests'] == 0,
        'the request is still active',
    )
    metrics = deployment.call('GET', entry.admin_address, '/metrics')
    case.assertIn('reason="caller_left"', metrics)
    case.assertNotIn('outcome="done"', metrics)


def test_caller_that_pauses_reading_gets_its_whole_stream(
    case: support.Case,
) -> None:
    """A stream is complete although its caller pauses reading."""
    local = _start_deployment(case, token_seconds=0.0001)
    entry = local.entries[0]
    host, _, port = entry.address.rpartition(':')
    body = deployments.encode_chat_request(PROMPT, LONG_STREAM_TOKEN_COUNT)
    request_head = (
        'POST /v1/chat/completions HTTP/1.0\r\nhost: x\r\n'
        f'authorization: Bearer {deployments.API_KEY}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    with socket.socket() as connection:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.connect((host, int(port)))
        connection.sendall(request_head.encode() + body)
        deployment.wait_until(
            lambda: any(
                _get_engine_state(e)['executions'] for e in local.engines
            ),
            'no engine runs the prompt',
        )
        time.sleep(READ_PAUSE_SECONDS)
        received = b''.join(iter(lambda: connection.recv(65536), b''))
    response = deployments.Response(
        200, {}, received.partition(b'\r\n\r\n')[2]
    )
    expected = deployments.create_expected_tokens(
        PROMPT, LONG_STREAM_TOKEN_COUNT
    )
    case.assertEqual(expected, deployments.parse_tokens(response))


def test_crashing_request_crashes_at_most_two_engines(
    case: support.Case,
) -> None:
    """A request that crashes engines is quarantined; others are served.

    An engine stand-in exits when a prompt contains `POISON`.
    """
    spec = deployment.Spec(entries=1, engines=4)
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    address = local.entries[0].address
    responses = [deployments.stream(address, 'POISON', 2) for _ in range(6)]
    running_engines = [e for e in local.engines if e.process.poll() is None]
    case.assertEqual(2, len(running_engines))
    case.assertEqual('quarantined', responses[-1].get_error()['code'])
    case.assertEqual('not-run', responses[-1].get_outcome())
    unrelated = deployments.stream(address, PROMPT, 2)
    expected = deployments.create_expected_tokens(PROMPT, 2)
    case.assertEqual(expected, deployments.parse_tokens(unrelated))
    # `/dump` can still be read after the quarantine.
    case.assertTrue(json.dumps(deployments.dump(local.entries[0])))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
