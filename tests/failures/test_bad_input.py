"""Bad input gets the right status and leaves no state behind."""

import json
import socket

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

CHAT = '/v1/chat/completions'
BODY = deployments.encode_prompt('hello', 1)


def _check(
    case: support.Case,
    answer: deployments.Answer,
    status: int,
    code: str,
) -> None:
    case.assertEqual(
        (status, code), (answer.status, answer.get_error()['code'])
    )
    case.assertEqual('not-run', answer.get_outcome())
    case.assertIn('pistachioseam-request-id', answer.headers)


def test_bad_requests_are_refused_with_a_reason(case: support.Case) -> None:
    """Each kind of bad input has its own status and code."""
    shape = deployment.Spec(
        entries=1, entry_settings={'requests': {'max_body_bytes': 10_000}}
    )
    local = case.useFixture(deployments.LocalDeployment(shape)).local
    entry = local.entries[0]

    def send(method: str, path: str, body: bytes, **headers: str) -> object:
        return deployments.send(entry.address, method, path, body, headers)

    unknown = json.dumps({'model': 'x', 'messages': [{'role': 'user'}]})
    cases = (
        (send('POST', CHAT, b'{"model"'), 400, 'bad_json'),
        (send('POST', CHAT, b'[' * 9000), 400, 'bad_json'),
        (send('POST', CHAT, b'{"model": 3}'), 400, 'bad_request'),
        (send('POST', CHAT, b'x' * 20_000), 413, 'body_too_large'),
        (
            send('POST', CHAT, BODY, **{'x-large': 'x' * 15_000 + 'y' * 5000}),
            431,
            'headers_too_large',
        ),
        (send('GET', CHAT, b''), 405, 'wrong_method'),
        (send('POST', CHAT, unknown.encode()), 404, 'unknown_route'),
        (send('POST', '/nowhere', b''), 404, 'unknown_route'),
        (
            send('POST', CHAT, BODY, authorization='Bearer no'),
            401,
            'unknown_caller',
        ),
        (send('POST', CHAT, BODY, authorization='x'), 401, 'unknown_caller'),
    )
    for answer, status, code in cases:
        assert isinstance(answer, deployments.Answer)
        _check(case, answer, status, code)
    state = deployments.dump(entry)
    case.assertEqual(0, state['active_requests'])
    case.assertEqual({'held': 0, 'unsettled': 0}, state['claims'])
    log = (local.folder / 'entry-1.log').read_text()
    case.assertNotIn(deployments.KEY, log + json.dumps(state))


def test_truncated_body_leaves_no_state(case: support.Case) -> None:
    """A caller that vanishes while sending leaves nothing."""
    shape = deployment.Spec(entries=1)
    local = case.useFixture(deployments.LocalDeployment(shape)).local
    entry = local.entries[0]
    host, _, port = entry.address.rpartition(':')
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            b'POST /booking HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\nx'
        )
    answer = deployments.stream(entry.address, 'hello', 1)
    case.assertEqual(200, answer.status)
    case.assertEqual(0, deployments.dump(entry)['active_requests'])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
