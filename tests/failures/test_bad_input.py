"""Invalid requests are refused with the right status and leave no state."""

import json
import socket

from pistachioseam_standins import deployment
from tests import deployments
from tests import support

CHAT_PATH = '/v1/chat/completions'
CHAT_BODY = deployments.encode_chat_request('hello', 1)


def _assert_refused(
    case: support.Case,
    response: deployments.Response,
    status: int,
    code: str,
) -> None:
    case.assertEqual(
        (status, code), (response.status, response.get_error()['code'])
    )
    case.assertEqual('not-run', response.get_outcome())
    case.assertIn('pistachioseam-request-id', response.headers)


def test_bad_requests_are_refused_with_a_reason(case: support.Case) -> None:
    """Each invalid request is refused with its status and error code."""
    spec = deployment.Spec(
        entries=1, entry_settings={'requests': {'max_body_bytes': 10_000}}
    )
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    entry = local.entries[0]

    def send(method: str, path: str, body: bytes, **headers: str) -> object:
        return deployments.send(entry.address, method, path, body, headers)

    unknown_model = json.dumps({'model': 'x', 'messages': [{'role': 'user'}]})
    cases = (
        (send('POST', CHAT_PATH, b'{"model"'), 400, 'bad_json'),
        (send('POST', CHAT_PATH, b'[' * 9000), 400, 'bad_json'),
        (send('POST', CHAT_PATH, b'{"model": 3}'), 400, 'bad_request'),
        (send('POST', CHAT_PATH, b'x' * 20_000), 413, 'body_too_large'),
        (
            send(
                'POST',
                CHAT_PATH,
                CHAT_BODY,
                **{'x-large': 'x' * 15_000 + 'y' * 5000},
            ),
            431,
            'headers_too_large',
        ),
        (send('GET', CHAT_PATH, b''), 405, 'wrong_method'),
        (
            send('POST', CHAT_PATH, unknown_model.encode()),
            404,
            'unknown_route',
        ),
        (send('POST', '/nowhere', b''), 404, 'unknown_route'),
        (
            send('POST', CHAT_PATH, CHAT_BODY, authorization='Bearer no'),
            401,
            'unknown_caller',
        ),
        (
            send('POST', CHAT_PATH, CHAT_BODY, authorization='x'),
            401,
            'unknown_caller',
        ),
    )
    for response, status, code in cases:
        assert isinstance(response, deployments.Response)
        _assert_refused(case, response, status, code)
    state = deployments.dump(entry)
    case.assertEqual(0, state['active_requests'])
    case.assertEqual({'held': 0, 'unsettled': 0}, state['claims'])
    log = (local.folder / 'entry-1.log').read_text()
    case.assertNotIn(deployments.API_KEY, log + json.dumps(state))


def test_truncated_body_leaves_no_state(case: support.Case) -> None:
    """A caller that disconnects while sending its body leaves no state."""
    spec = deployment.Spec(entries=1)
    local = case.useFixture(deployments.LocalDeployment(spec)).local
    entry = local.entries[0]
    host, _, port = entry.address.rpartition(':')
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(
            b'POST /booking HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\nx'
        )
    response = deployments.stream(entry.address, 'hello', 1)
    case.assertEqual(200, response.status)
    case.assertEqual(0, deployments.dump(entry)['active_requests'])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
