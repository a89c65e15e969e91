"""Streams stay whole while connections, engines and callers fail."""

import json
import socket
import threading
import time

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

TOKENS = 60
MANY_STREAMS = 36
MANY_STREAM_TOKENS = 40
MANY_TOKENS = 10_000
SMALL_BUFFER_BYTES = 8192
STALL_SECONDS = 2.0
TEXT = 'Long guide on carving. ' * 50


def _start(case: support.Case, **options: object) -> deployment.Deployment:
    shape = deployment.Spec(entries=1, engine_options=dict(options))
    return case.useFixture(deployments.LocalDeployment(shape)).local


def test_cut_connection_is_resumed(case: support.Case) -> None:
    """A stream cut at its engine goes on at the same incarnation."""
    local = _start(case)
    for engine in local.engines:
        deployments.set_faults(engine, cut_after_pieces=7)
    answer = deployments.stream(local.entries[0].address, TEXT, TOKENS)
    expected = deployments.expect_tokens(TEXT, TOKENS)
    case.assertEqual(expected, deployments.read_tokens(answer))
    ran = [
        request
        for engine in local.engines
        for request in _get_state(engine)['executions']
    ]
    case.assertEqual(1, len(ran))


def _get_state(engine: deployment.ServerProcess) -> dict[str, list[str]]:
    state: dict[str, list[str]] = deployment.call(
        'GET', engine.address, '/v1/state'
    )
    return state


def test_killed_engine_is_continued_elsewhere(case: support.Case) -> None:
    """SIGKILL of an engine mid-stream leaves the stream whole."""
    local = _start(case, token_seconds=0.02)
    answers: list[deployments.Answer] = []
    reader = threading.Thread(
        target=lambda: answers.append(
            deployments.stream(local.entries[0].address, TEXT, TOKENS)
        )
    )
    reader.start()
    deployment.wait_until(
        lambda: any(_get_state(e)['executions'] for e in local.engines),
        'no engine runs the prompt',
    )
    busy = [e for e in local.engines if _get_state(e)['executions']]
    local.kill(busy[0])
    reader.join()
    expected = deployments.expect_tokens(TEXT, TOKENS)
    case.assertEqual(expected, deployments.read_tokens(answers[0]))


def test_crash_loses_no_stream_of_many(case: support.Case) -> None:
    """Every stream in flight at a crash ends whole elsewhere."""
    shape = deployment.Spec(
        entries=1, engines=3, engine_options={'token_seconds': 0.05}
    )
    local = case.useFixture(deployments.LocalDeployment(shape)).local
    entry = local.entries[0]
    ended: list[bool] = []

    def stream(number: int) -> None:
        text = f'stream {number}'
        answer = deployments.stream(entry.address, text, MANY_STREAM_TOKENS)
        expected = deployments.expect_tokens(text, MANY_STREAM_TOKENS)
        ended.append(deployments.read_tokens(answer) == expected)

    callers = [
        threading.Thread(target=stream, args=(number,))
        for number in range(MANY_STREAMS)
    ]
    for caller in callers:
        caller.start()
    deployment.wait_until(
        lambda: (
            sum(len(_get_state(e)['executions']) for e in local.engines)
            == MANY_STREAMS
        ),
        'not all streams run',
    )
    local.kill(local.engines[0])
    for caller in callers:
        caller.join()
    case.assertEqual([True] * MANY_STREAMS, ended)


def test_stream_that_cannot_go_on_ends_with_an_error(
    case: support.Case,
) -> None:
    """With no engine left the stream ends with an explicit error event."""
    local = _start(case, token_seconds=0.02)
    address = local.entries[0].address
    answers: list[deployments.Answer] = []
    reader = threading.Thread(
        target=lambda: answers.append(
            deployments.stream(address, TEXT, TOKENS)
        )
    )
    reader.start()
    deployment.wait_until(
        lambda: any(_get_state(e)['executions'] for e in local.engines),
        'no engine runs the prompt',
    )
    for engine in local.engines:
        local.kill(engine)
    reader.join()
    tokens = deployments.read_tokens(answers[0])
    expected = deployments.expect_tokens(TEXT, TOKENS)
    case.assertEqual(expected[: len(tokens) - 1], tokens[:-1])
    case.assertIn(tokens[-1], ('no_target', 'target_failed'))


def test_vanished_caller_cancels_the_generation(case: support.Case) -> None:
    """A caller's disconnect reaches the engine and leaves no state."""
    local = _start(case, token_seconds=0.05)
    entry = local.entries[0]
    host, _, port = entry.address.rpartition(':')
    body = deployments.encode_prompt(TEXT, TOKENS)
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {deployments.KEY}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(head.encode() + body)
        connection.recv(1)
    deployment.wait_until(
        lambda: any(_get_state(e)['cancelled'] for e in local.engines),
        'the engine was not told',
    )
    deployment.wait_until(
        lambda: deployments.dump(entry)['active_requests'] == 0,
        'the request is still active',
    )
    metrics = deployment.call('GET', entry.admin_address, '/metrics')
    case.assertIn('reason="caller_left"', metrics)
    case.assertNotIn('outcome="done"', metrics)


def test_slow_caller_gets_its_whole_stream(case: support.Case) -> None:
    """A caller that stops reading is waited for, within bounded buffers."""
    local = _start(case, token_seconds=0.0001)
    entry = local.entries[0]
    host, _, port = entry.address.rpartition(':')
    body = deployments.encode_prompt(TEXT, MANY_TOKENS)
    head = (
        'POST /v1/chat/completions HTTP/1.0\r\nhost: x\r\n'
        f'authorization: Bearer {deployments.KEY}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    with socket.socket() as connection:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        connection.connect((host, int(port)))
        connection.sendall(head.encode() + body)
        deployment.wait_until(
            lambda: any(_get_state(e)['executions'] for e in local.engines),
            'no engine runs the prompt',
        )
        time.sleep(STALL_SECONDS)
        received = b''.join(iter(lambda: connection.recv(65536), b''))
    answer = deployments.Answer(200, {}, received.partition(b'\r\n\r\n')[2])
    expected = deployments.expect_tokens(TEXT, MANY_TOKENS)
    case.assertEqual(expected, deployments.read_tokens(answer))


def test_poison_request_takes_down_at_most_two_engines(
    case: support.Case,
) -> None:
    """A request that crashes its engines is quarantined."""
    shape = deployment.Spec(entries=1, engines=4)
    local = case.useFixture(deployments.LocalDeployment(shape)).local
    address = local.entries[0].address
    answers = [deployments.stream(address, 'POISON', 2) for _ in range(6)]
    alive = [e for e in local.engines if e.process.poll() is None]
    case.assertEqual(2, len(alive))
    case.assertEqual('quarantined', answers[-1].get_error()['code'])
    case.assertEqual('not-run', answers[-1].get_outcome())
    innocent = deployments.stream(address, TEXT, 2)
    expected = deployments.expect_tokens(TEXT, 2)
    case.assertEqual(expected, deployments.read_tokens(innocent))
    case.assertTrue(json.dumps(deployments.dump(local.entries[0])))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
