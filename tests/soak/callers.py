"""Callers that send calls of all kinds and record the results."""

from http import client
import random
import threading
import time
import uuid

import attrs

from pistachioseam_standins import fleet
from pistachioseam_standins import fleet_server
from tests import deployments

BEHAVIOURS = {
    '/safe/': ('whole', 'fail', 'shed', 'cut'),
    '/once/': ('whole', 'whole', 'fail', 'shed', 'cut', 'foreign'),
    '/stream/': ('whole', 'whole', 'tear'),
    '/resumable/': ('whole', 'tear'),
}
"""Behaviours of the server stand-in by route; repeated ones are likelier."""
CALL_INTERVAL_SECONDS = 0.05
WHOLE_STREAM = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number)
    for number in range(1, fleet_server.EVENTS_PER_STREAM + 1)
)


@attrs.frozen(kw_only=True)
class CallResult:
    """Result of one call; `status` 0 means no response.

    `is_stamped` is true for the response of a server, false for one that the
    host created.
    """

    request_id: str
    prefix: str
    behaviour: str
    status: int
    body: bytes
    is_stamped: bool


class Caller:
    """Caller that sends random calls one after another on its own thread."""

    def __init__(self, running: fleet.Fleet, seed: int) -> None:
        self.results: list[CallResult] = []
        self._fleet = running
        self._random = random.Random(seed)
        self._should_stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> 'Caller':
        """Start the thread."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Wait for the call in progress and end the thread."""
        self._should_stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._should_stop.is_set():
            prefix = self._random.choice(tuple(BEHAVIOURS))
            behaviour = self._random.choice(BEHAVIOURS[prefix])
            host = self._random.choice(self._fleet.entries)
            self.results.append(call(host.address, prefix, behaviour))
            time.sleep(CALL_INTERVAL_SECONDS)


def call(address: str, prefix: str, behaviour: str) -> CallResult:
    """Send one call and return its result."""
    request_id = uuid.uuid4().hex
    headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': 'Bearer key-1',
        'x-pistachioseam-request-id': request_id,
        'x-pistachioseam-deadline-ms': '3000',
    }
    status, body, is_stamped = 0, b'', False
    try:
        response = deployments.send(
            address, 'POST', prefix + behaviour, request_id.encode(), headers
        )
        status, body = response.status, response.body
        is_stamped = 'x-pistachioseam-server-stamp' in response.headers
    except (OSError, client.HTTPException):
        # A call without a response may have run; its runs are still checked.
        pass
    return CallResult(
        request_id=request_id,
        prefix=prefix,
        behaviour=behaviour,
        status=status,
        body=body,
        is_stamped=is_stamped,
    )
