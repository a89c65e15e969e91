"""Requests are served end to end by separate processes."""

import json

import openai

from pistachioseam_standins import deployment
from pistachioseam_standins import engine
from tests import deployments
from tests import support

MESSAGES = [{'role': 'user', 'content': 'Is this blank too dry?'}]


def _create_client(address: str) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=f'http://{address}/v1',
        api_key=deployment.TEAM_KEYS['carvers'],
        max_retries=0,
    )


def test_openai_client_streams_and_completes(case: support.Case) -> None:
    """The `openai` client works unchanged, with and without streaming."""
    local = case.useFixture(deployments.LocalDeployment()).local
    client = _create_client(local.entries[0].address)
    chunks = client.chat.completions.create(
        model=deployment.MODEL, messages=MESSAGES, stream=True, max_tokens=5
    )
    streamed_tokens = [chunk.choices[0].delta.content for chunk in chunks]
    completion = client.chat.completions.create(
        model=deployment.MODEL, messages=MESSAGES, max_tokens=5
    )
    expected = [engine.create_token(_encode_messages(), n) for n in range(5)]
    case.assertEqual(expected, streamed_tokens)
    case.assertEqual(''.join(expected), completion.choices[0].message.content)
    models = [model.id for model in client.models.list()]
    case.assertEqual([deployment.MODEL], models)


def _encode_messages() -> str:
    return json.dumps(MESSAGES)


def test_booking_repeated_at_all_hosts_runs_once(case: support.Case) -> None:
    """A booking repeated at other hosts gets the recorded response."""
    local = case.useFixture(deployments.LocalDeployment()).local
    headers = {
        'authorization': f'Bearer {deployment.TEAM_KEYS["rentals"]}',
        'idempotency-key': 'k1',
    }
    responses = [
        deployment.call(
            'POST', entry.address, '/booking', {'beaters': 2}, headers
        )
        for entry in local.entries
    ]
    content = deployment.call('GET', local.services[0].address, '/executions')
    case.assertEqual(1, len(content['executions']))
    case.assertEqual([responses[0]] * len(local.entries), responses)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
