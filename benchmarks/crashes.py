"""Outcomes of streams while one engine of four crashes and restarts.

Run: `.venv/bin/python -m benchmarks.crashes`. Concurrent callers send streams
through one host without a pause; one engine is killed and later restarted.
"""

import collections
import json
import pathlib
import tempfile
import threading

from benchmarks import latency
from pistachioseam_standins import deployment

CALLERS = 40
STREAMS_PER_CALLER = 50
TOKENS_PER_STREAM = 20
KILL_AFTER_STREAMS = 500
RESTART_AFTER_STREAMS = 1200


class Run:
    """Counts of ended streams by outcome, shared by the callers' threads."""

    def __init__(self, local: deployment.Deployment) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._local = local
        self._lock = threading.Lock()
        self._ended_streams = 0

    def send_streams(self, number: int) -> None:
        """Send all streams of one caller, one after another."""
        for index in range(STREAMS_PER_CALLER):
            outcome = self._send_stream(f'caller {number} stream {index}')
            with self._lock:
                self.counts[outcome] += 1
                self._ended_streams += 1
                self._cause_faults()

    def _send_stream(self, text: str) -> str:
        """Send one prompt; return `whole`, `cut` or the error's code."""
        content = {
            'model': deployment.MODEL,
            'stream': True,
            'max_tokens': TOKENS_PER_STREAM,
            'messages': [{'role': 'user', 'content': text}],
        }
        client = latency.ChatClient(self._local.entries[0].address)
        status, body = client.send(json.dumps(content).encode())
        if status != 200:
            return json.loads(body)['error']['code']
        return 'whole' if body.endswith(b'[DONE]\n\n') else 'cut'

    def _cause_faults(self) -> None:
        """Kill or restart an engine after a fixed number of ended streams."""
        engine = self._local.engines[0]
        if self._ended_streams == KILL_AFTER_STREAMS:
            self._local.kill(engine)
        elif self._ended_streams == RESTART_AFTER_STREAMS:
            self._local.start_engine(engine.name, engine.address)


def main() -> None:
    """Print the number of streams by outcome."""
    spec = deployment.Spec(
        entries=1,
        engines=4,
        engine_options={'token_seconds': 0.01},
        entry_settings={'logs': {'level': 'WARNING'}},
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(spec, pathlib.Path(folder)) as local,
    ):
        run = Run(local)
        callers = [
            threading.Thread(target=run.send_streams, args=(number,))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        print(dict(run.counts))


if __name__ == '__main__':
    main()
