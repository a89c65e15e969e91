"""Share of streams that survive the crash of one engine of four.

Run: `.venv/bin/python benchmarks/crashes.py`. Callers send streams through one
host without a pause; one engine is killed, and started again later.
"""

import collections
import json
import pathlib
import tempfile
import threading

import latency

from pistachioseam_standins import deployment

CALLERS = 40
CALLS = 50
TOKENS = 20
KILL_AFTER = 500
START_AFTER = 1200


class Run:
    """Counts of ended streams, shared by the callers."""

    def __init__(self, local: deployment.Deployment) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._local = local
        self._lock = threading.Lock()
        self._ended = 0

    def call(self, number: int) -> None:
        """Send all streams of one caller."""
        for index in range(CALLS):
            name = self._stream(f'caller {number} call {index}')
            with self._lock:
                self.counts[name] += 1
                self._ended += 1
                self._cause_faults()

    def _stream(self, text: str) -> str:
        content = {
            'model': deployment.MODEL,
            'stream': True,
            'max_tokens': TOKENS,
            'messages': [{'role': 'user', 'content': text}],
        }
        caller = latency.Caller(self._local.entries[0].address)
        status, body = caller.send(json.dumps(content).encode())
        if status != 200:
            return json.loads(body)['error']['code']
        return 'whole' if body.endswith(b'[DONE]\n\n') else 'cut'

    def _cause_faults(self) -> None:
        engine = self._local.engines[0]
        if self._ended == KILL_AFTER:
            self._local.kill(engine)
        elif self._ended == START_AFTER:
            self._local.start_engine(engine.name, engine.address)


def main() -> None:
    """Print how the streams ended."""
    shape = deployment.Spec(
        entries=1,
        engines=4,
        engine_options={'token_seconds': 0.01},
        entry_settings={'logs': {'level': 'WARNING'}},
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        deployment.Deployment(shape, pathlib.Path(folder)) as local,
    ):
        run = Run(local)
        callers = [
            threading.Thread(target=run.call, args=(number,))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        print(dict(run.counts))


if __name__ == '__main__':
    main()
