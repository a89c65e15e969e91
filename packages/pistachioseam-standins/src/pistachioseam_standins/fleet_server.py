"""Stand-in of a server of the users' platform, plain or with a model.

It registers itself at the store stand-in. The last word of a request's path
says how it behaves: `whole`, `fail`, `shed`, `cut`, `tear`, `silent`,
`foreign` (an answer to another request) or `crash`.
"""

import io
import json
import os
import time
import typing

import klein
from twisted.internet import reactor
from twisted.web import client
from twisted.web import http_headers

from pistachioseam_standins import serving

HEARTBEAT_SECONDS = 0.3
SILENT_SECONDS = 60.0
EVENT_SECONDS = 0.01
EVENTS = 8
LOAD_SECONDS = 0.1
RUN_MARK = 'ran '
FORBIDDEN = ('authorization', 'x-pistachioseam-hold', 'kv-from')

_REACTOR: typing.Any = reactor


class FleetServer:
    """One server; keeps what it ran, for tests to ask."""

    app = klein.Klein()

    def __init__(
        self, name: str, service: str, address: str, store: str, model: str
    ) -> None:
        self.name = name
        self.runs: list[str] = []
        self.state = 'ready'
        self.weights = 1
        self.orders: list[dict[str, typing.Any]] = []
        self.is_busy = False
        self._service = service
        self._address = address
        self._store = store
        self._model = model
        self._born = time.time_ns() // 1_000_000
        self._agent = client.Agent(_REACTOR, connectTimeout=1.0)
        self._beats = 0

    def register(self) -> None:
        """Write the entry, and again at each heartbeat."""
        self._beats += 1
        entry = {
            'service': self._service,
            'address': self._address,
            'zone': 'zone-1',
            'version': 'v1',
            'capacity': 6,
            'state': self.state,
            'coldRemainingMs': 0,
            'models': self._list_models(),
            'seq': self._beats,
            'born': self._born,
        }
        row = {
            'table': 'servers',
            'key': self.name,
            'value': json.dumps(entry),
        }
        body = json.dumps({'rows': [row]}).encode()
        content: typing.Any = client.FileBodyProducer(io.BytesIO(body))
        sent = self._agent.request(
            b'POST',
            f'http://{self._store}/standin/rows'.encode(),
            http_headers.Headers({b'Content-Type': [b'application/json']}),
            content,
        )
        sent.addErrback(lambda _: None)
        serving.call_later(HEARTBEAT_SECONDS, self.register)

    def _list_models(self) -> list[dict[str, typing.Any]]:
        if not self._model:
            return []
        return [{'name': self._model, 'version': self.weights}]

    @app.route('/standin/state', methods=['GET', 'POST'])
    def describe(self, request: typing.Any) -> bytes:
        """Return what happened; a POST changes the state."""
        if request.method == b'POST':
            self.state = serving.read_json(request)['state']
        content = {
            'runs': self.runs,
            'orders': self.orders,
            'weights': self.weights,
        }
        return serving.encode_json(request, content)

    @app.route('/-/report')
    def report(self, request: typing.Any) -> bytes:
        """Return the state of the engine."""
        content = {
            'stage': 'colocated',
            'models': self._list_models(),
            'busy': self.is_busy,
            'seq': len(self.orders),
        }
        return serving.encode_json(request, content)

    @app.route('/-/order', methods=['POST'])
    def order(self, request: typing.Any) -> bytes:
        """Load other weights after a while."""
        order = serving.read_json(request)
        if order['version'] == self.weights:
            return serving.encode_json(request, {}, 200)
        if self.is_busy or order['expected'] != len(self.orders):
            return serving.encode_json(request, {}, 409)
        self.orders.append(order)
        self.is_busy = True
        serving.call_later(LOAD_SECONDS, self._finish_load, order['version'])
        return serving.encode_json(request, {}, 202)

    def _finish_load(self, version: int) -> None:
        self.weights = version
        self.is_busy = False

    @app.route('/', branch=True)
    async def run_request(self, request: typing.Any) -> bytes:
        """Run a request as its path says."""
        expected = request.getHeader('x-pistachioseam-expect-instance')
        if expected not in (None, self.name):
            request.setResponseCode(421)
            request.setHeader('x-pistachioseam-instance-id', self.name)
            return b''
        version = request.getHeader('x-pistachioseam-expect-version')
        if version not in (None, str(self.weights)):
            request.setResponseCode(421)
            return b''
        word = request.path.decode().rpartition('/')[2]
        if word == 'shed' or self.is_busy:
            request.setResponseCode(503)
            request.setHeader('x-pistachioseam-not-executed', '1')
            return b''
        return await self._run(request, word)

    async def _run(self, request: typing.Any, word: str) -> bytes:
        request_id = request.getHeader('x-pistachioseam-request-id') or ''
        self.runs.append(request_id)
        # A crash must not lose what has run.
        print(f'{RUN_MARK}{request_id}', flush=True)
        if word == 'crash':
            os.abort()
        if word == 'silent':
            await serving.sleep(SILENT_SECONDS)
        if word == 'cut':
            request.transport.abortConnection()
            return b''
        shown = 'another' if word == 'foreign' else request_id
        request.setHeader('x-pistachioseam-request-id', shown)
        request.setHeader('x-pistachioseam-server-stamp', self.name)
        leaked = [name for name in FORBIDDEN if request.getHeader(name)]
        if leaked:
            request.setResponseCode(418)
        if word == 'fail':
            request.setResponseCode(500)
        if self._model:
            await self._stream(request, word)
            return b''
        return request.content.read() or request.uri

    async def _stream(self, request: typing.Any, word: str) -> None:
        request.setHeader('content-type', 'text/event-stream')
        last = int(request.getHeader('last-event-id') or 0)
        for number in range(last + 1, EVENTS + 1):
            event = b'id: %d\ndata: piece %d\n\n' % (number, number)
            if word == 'tear' and number == EVENTS // 2 and not last:
                request.write(event[:5])
                await serving.sleep(EVENT_SECONDS)
                request.transport.abortConnection()
                return
            request.write(event)
            await serving.sleep(EVENT_SECONDS)


def run(
    name: str, service: str, address: str, store: str, model: str = ''
) -> None:
    """Serve on `IP-number:port`, registered at the store's address."""
    server = FleetServer(name, service, address, store, model)
    serving.call_later(0, server.register)
    serving.serve(server, address)


if __name__ == '__main__':
    serving.run_command(run)
