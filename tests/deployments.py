"""Fixtures of running processes."""

import contextlib
from http import client
import json
import pathlib
import typing

import attrs
import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import engine

TIMEOUT = 30.0
LOST = (OSError, client.HTTPException)
KEY = deployment.TEAM_KEYS['carvers']


class LocalDeployment(fixtures.Fixture):
    """Stand-ins and entry processes on loopback."""

    def __init__(self, shape: deployment.Spec | None = None) -> None:
        super().__init__()
        self._shape = shape or deployment.Spec()

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        local = deployment.Deployment(self._shape, folder)
        self.local = local.__enter__()
        self.addCleanup(local.__exit__)


@attrs.frozen
class Answer:
    """Whole answer of a router; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def get_outcome(self) -> str:
        """Return what the router says of the call."""
        return self.headers['pistachioseam-outcome']

    def get_error(self) -> dict[str, typing.Any]:
        """Return the typed error."""
        error: dict[str, typing.Any] = json.loads(self.body)['error']
        return error


def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request as the team of the carvers."""
    host, _, port = address.rpartition(':')
    connection = client.HTTPConnection(host, int(port), timeout=TIMEOUT)
    given = {'authorization': f'Bearer {KEY}', **(headers or {})}
    with contextlib.closing(connection):
        connection.request(method, path, body, given)
        response = connection.getresponse()
        content = response.read()
    named = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, named, content)


def book(address: str, key: str, body: str = '{}') -> Answer:
    """Send a booking under an idempotency key."""
    headers = {'idempotency-key': key, 'content-type': 'application/json'}
    return send(address, 'POST', '/booking', body.encode(), headers)


def encode_prompt(text: str, tokens: int) -> bytes:
    """Return the body of a streamed prompt."""
    content = {
        'model': deployment.MODEL,
        'stream': True,
        'max_tokens': tokens,
        'messages': create_messages(text),
    }
    return json.dumps(content).encode()


def create_messages(text: str) -> list[dict[str, str]]:
    """Return the messages of a prompt."""
    return [{'role': 'user', 'content': text}]


def stream(address: str, text: str, tokens: int) -> Answer:
    """Send a streamed prompt and read it to its end."""
    body = encode_prompt(text, tokens)
    return send(address, 'POST', '/v1/chat/completions', body)


def read_tokens(answer: Answer) -> list[str]:
    """Return the tokens of a stream; the last is its end mark."""
    tokens = []
    for event in answer.body.decode().strip().split('\n\n'):
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


def expect_tokens(text: str, tokens: int) -> list[str]:
    """Return the tokens that a whole stream has, with its end mark."""
    prompt = json.dumps(create_messages(text))
    whole = [engine.create_token(prompt, n) for n in range(tokens)]
    return [*whole, '[DONE]']


def list_executions(local: deployment.Deployment) -> list[dict[str, str]]:
    """Return what the booking service ran."""
    address = local.services[0].address
    content = deployment.call('GET', address, '/executions')
    executions: list[dict[str, str]] = content['executions']
    return executions


def set_faults(member: deployment.ServerProcess, **faults: object) -> None:
    """Set the faults of a stand-in."""
    path = '/faults' if 'mode' not in faults else '/v1/faults'
    deployment.call('POST', member.address, path, faults)


def dump(entry: deployment.ServerProcess) -> typing.Any:
    """Return the state of an entry process."""
    return deployment.call('GET', entry.admin_address, '/dump')


def encode_booking(content: dict[str, typing.Any]) -> bytes:
    """Return a booking's answer as the service encodes it."""
    return json.dumps(content).encode()
