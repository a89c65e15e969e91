"""Callers that send all kinds of calls and note what they were told."""

from http import client
import random
import threading
import time
import uuid

import attrs

from pistachioseam_standins import fleet
from pistachioseam_standins import fleet_server
from tests import deployments

WORDS = {
    '/safe/': ('whole', 'fail', 'shed', 'cut'),
    '/once/': ('whole', 'whole', 'fail', 'shed', 'cut', 'foreign'),
    '/stream/': ('whole', 'whole', 'tear'),
    '/resumable/': ('whole', 'tear'),
}
PAUSE_SECONDS = 0.05
STREAM = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number)
    for number in range(1, fleet_server.EVENTS_PER_STREAM + 1)
)


@attrs.frozen(kw_only=True)
class Told:
    """What a caller was told of one call; `status` 0 means no answer."""

    request_id: str
    prefix: str
    word: str
    status: int
    body: bytes
    is_stamped: bool


class Caller:
    """One caller on a thread of its own."""

    def __init__(self, running: fleet.Fleet, seed: int) -> None:
        self.told: list[Told] = []
        self._fleet = running
        self._random = random.Random(seed)
        self._is_ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Caller':
        """Begin to call."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """End after the call in progress."""
        self._is_ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_ended.is_set():
            prefix = self._random.choice(tuple(WORDS))
            word = self._random.choice(WORDS[prefix])
            host = self._random.choice(self._fleet.entries)
            self.told.append(call(host.address, prefix, word))
            time.sleep(PAUSE_SECONDS)


def call(address: str, prefix: str, word: str) -> Told:
    """Send one call and return what was told."""
    request_id = uuid.uuid4().hex
    headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': 'Bearer key-1',
        'x-pistachioseam-request-id': request_id,
        'x-pistachioseam-deadline-ms': '3000',
    }
    status, body, is_stamped = 0, b'', False
    try:
        answer = deployments.send(
            address, 'POST', prefix + word, request_id.encode(), headers
        )
        status, body = answer.status, answer.body
        is_stamped = 'x-pistachioseam-server-stamp' in answer.headers
    except (OSError, client.HTTPException):
        # No answer promises nothing; the history still counts its runs.
        pass
    return Told(
        request_id=request_id,
        prefix=prefix,
        word=word,
        status=status,
        body=body,
        is_stamped=is_stamped,
    )
