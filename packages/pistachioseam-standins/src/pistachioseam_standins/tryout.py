"""Demonstration on a local deployment: a streamed prompt and a booking."""

import json
import pathlib
import tempfile
import urllib.request

from pistachioseam_standins import deployment

PROMPT = 'Judge the grain and the knife angle of this spoon. '
PROMPT_REPEATS = 400


def stream_prompt(address: str) -> None:
    """Send a streamed prompt and print each piece as it arrives."""
    body = {
        'model': deployment.MODEL,
        'stream': True,
        'max_tokens': 8,
        'messages': [{'role': 'user', 'content': PROMPT * PROMPT_REPEATS}],
    }
    request = urllib.request.Request(
        f'http://{address}/v1/chat/completions',
        data=json.dumps(body).encode(),
        headers={
            'authorization': f'Bearer {deployment.TEAM_KEYS["carvers"]}',
            'content-type': 'application/json',
        },
    )
    with urllib.request.urlopen(request) as response:
        print(f'stream {response.headers["pistachioseam-request-id"]}')
        for line in response:
            text = line.decode().strip()
            if text.startswith('data: {'):
                chunk = json.loads(text.removeprefix('data: '))
                print('  piece', chunk['choices'][0]['delta']['content'])
            elif text.startswith('data: '):
                print('  end  ', text.removeprefix('data: '))


def book(address: str) -> None:
    """Send a booking twice under one idempotency key; print both responses."""
    headers = {
        'authorization': f'Bearer {deployment.TEAM_KEYS["rentals"]}',
        'idempotency-key': 'beaters-for-dashain',
    }
    for _ in range(2):
        content = deployment.call(
            'POST', address, '/booking', {'beaters': 3}, headers
        )
        print('booking', content)


def main() -> None:
    """Run the demonstration; its files go to a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        spec = deployment.Spec()
        with deployment.Deployment(spec, pathlib.Path(folder)) as local:
            for entry in local.entries:
                print(f'{entry.name} ready on {entry.address}')
            stream_prompt(local.entries[0].address)
            book(local.entries[1].address)
            executions = deployment.call(
                'GET', local.services[0].address, '/executions'
            )
            print('executed', len(executions['executions']), 'booking')


if __name__ == '__main__':
    main()
