"""Fixtures and HTTP helpers for tests against running processes."""

import contextlib
from http import client
import json
import pathlib
import typing

import attrs
import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import engine

TIMEOUT_SECONDS = 30.0
CONNECTION_ERRORS = (OSError, client.HTTPException)
API_KEY = deployment.TEAM_KEYS['carvers']


class LocalDeployment(fixtures.Fixture):
    """Run stand-ins and entry processes on loopback while a test runs."""

    def __init__(self, spec: deployment.Spec | None = None) -> None:
        super().__init__()
        self._spec = spec or deployment.Spec()

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        local = deployment.Deployment(self._spec, folder)
        self.local = local.__enter__()
        self.addCleanup(local.__exit__)


@attrs.frozen
class Response:
    """Complete HTTP response; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def get_outcome(self) -> str:
        """Return the outcome header: `done`, `not-run` or `unknown`."""
        return self.headers['pistachioseam-outcome']

    def get_error(self) -> dict[str, typing.Any]:
        """Return the error object of the JSON body."""
        error: dict[str, typing.Any] = json.loads(self.body)['error']
        return error


def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> Response:
    """Send a request, by default with the API key of the carvers team."""
    host, _, port = address.rpartition(':')
    connection = client.HTTPConnection(
        host, int(port), timeout=TIMEOUT_SECONDS
    )
    request_headers = {'authorization': f'Bearer {API_KEY}', **(headers or {})}
    with contextlib.closing(connection):
        connection.request(method, path, body, request_headers)
        response = connection.getresponse()
        content = response.read()
    response_headers = {
        name.lower(): value for name, value in response.getheaders()
    }
    return Response(response.status, response_headers, content)


def book(address: str, key: str, body: str = '{}') -> Response:
    """Send a booking with an idempotency key."""
    headers = {'idempotency-key': key, 'content-type': 'application/json'}
    return send(address, 'POST', '/booking', body.encode(), headers)


def encode_chat_request(text: str, token_count: int) -> bytes:
    """Return the body of a streamed chat completion request."""
    content = {
        'model': deployment.MODEL,
        'stream': True,
        'max_tokens': token_count,
        'messages': create_messages(text),
    }
    return json.dumps(content).encode()


def create_messages(text: str) -> list[dict[str, str]]:
    """Return the chat messages of a prompt: one message of the user."""
    return [{'role': 'user', 'content': text}]


def stream(address: str, text: str, token_count: int) -> Response:
    """Send a streamed chat completion request and read the whole stream."""
    body = encode_chat_request(text, token_count)
    return send(address, 'POST', '/v1/chat/completions', body)


def parse_tokens(response: Response) -> list[str]:
    """Return the tokens of a stream, then `[DONE]` or an error code."""
    tokens = []
    for event in response.body.decode().strip().split('\n\n'):
        data = event.partition('data: ')[2]
        if data == '[DONE]':
            tokens.append(data)
            continue
        content = json.loads(data)
        if 'error' in content:
            tokens.append(content['error']['code'])
            continue
        tokens.append(content['choices'][0]['delta']['content'])
    return tokens


def create_expected_tokens(text: str, token_count: int) -> list[str]:
    """Return the tokens of an uninterrupted stream, then `[DONE]`."""
    prompt = json.dumps(create_messages(text))
    tokens = [engine.create_token(prompt, n) for n in range(token_count)]
    return [*tokens, '[DONE]']


def list_executions(local: deployment.Deployment) -> list[dict[str, str]]:
    """Return the executions of the first booking service."""
    address = local.services[0].address
    content = deployment.call('GET', address, '/executions')
    executions: list[dict[str, str]] = content['executions']
    return executions


def set_faults(standin: deployment.ServerProcess, **faults: object) -> None:
    """Set the faults of a stand-in; the platform's stand-in takes `mode`."""
    path = '/faults' if 'mode' not in faults else '/v1/faults'
    deployment.call('POST', standin.address, path, faults)


def dump(entry: deployment.ServerProcess) -> typing.Any:
    """Return the `/dump` of an entry process."""
    return deployment.call('GET', entry.admin_address, '/dump')


def encode_booking_response(content: dict[str, typing.Any]) -> bytes:
    """Return a response body as the booking service encodes it."""
    return json.dumps(content).encode()
