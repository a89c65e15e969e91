"""Stand-in of a server of the users' platform, plain or with a model.

It registers itself at the stand-in of the metadata store. The last segment
of a request's path selects its behaviour:
`shed`: status 503 without execution;
`copy`: the same; a second copy of the rejection follows late, when the next
request comes on the connection;
`torn`: the same, but the copy breaks off inside the id in its head;
`again`: as `copy` when the request comes for the first time, then a complete
response;
`pause`: the same with a `Retry-After` of PAUSE_SECONDS;
`leave`: a complete response; this and all later responses say that the server
leaves, though it stays registered as ready;
`limit`: a complete response; this and all later responses state a limit of
REQUESTS_PER_SECOND for all hosts;
`fail`: status 500 after execution;
`unproven`: status 503 after execution;
`cut`: the connection is aborted after execution, before the response;
`tear`: a stream is aborted in the middle of an event, unless it resumes
another one;
`gap`: an event in the middle of a stream is left out, unless it resumes
another one;
`drag`: the events of a stream come DRAG_SECONDS apart;
`slow`: the response begins after SLOW_SECONDS;
`silent`: the response begins after SILENT_SECONDS;
`foreign`: the response carries the id of another request;
`large`: a complete response of LARGE_BYTES;
`length-N`, `chunks-N` or `close-N`: a complete response of N bytes, with a
length, with chunks, or with neither, which ends with its connection;
`fail-N`: status 500 after execution, with a body of N bytes and their length;
`crash`: the process aborts after execution;
`whole` or any other: a complete response.

With `slots`, requests wait until they begin to run, for `run_seconds` each. A
request whose caller has left goes on for `linger_seconds`, but none goes on
after its deadline: one that still waits then has not run.
"""

import io
import json
import math
import os
import sys
import time
import typing
import weakref

import klein
from twisted.internet import reactor
from twisted.web import client
from twisted.web import http_headers

from pistachioseam_standins import run_queues
from pistachioseam_standins import serving

HEARTBEAT_SECONDS = 0.3
IDLE_SECONDS = 60
"""Time for which it says that it keeps idle connections; `server.Site` keeps
them so long."""
SLOW_SECONDS = 0.7
SILENT_SECONDS = 60.0
PAUSE_SECONDS = 1.5
REQUESTS_PER_SECOND = 2.0
EVENT_INTERVAL_SECONDS = 0.01
LARGE_BYTES = 8_000_000
PART_BYTES = 65_536
"""Part of a long response that is written at once."""
DRAG_SECONDS = 0.15
EVENTS_PER_STREAM = 8
FIRST_SOFTWARE = 'v1'
WEIGHTS_LOAD_SECONDS = 0.1
SWITCH_MODES = ('wait', 'truncate', 'continue')
"""What becomes of the runs when weights are loaded: they end first, are reset,
or go on."""
MS_PER_SECOND = 1000.0
RUN_LOG_PREFIX = 'ran '
"""Prefix of the log line of each execution, before the name of the sending
and the monotonic times, in seconds, at which the request arrived and began;
engines add the weights version before the times."""
REPEAT_LOG_PREFIX = 'repeated '
"""Prefix of the log line of each request that comes on a connection that has
carried its id before."""
WORK_LOG_PREFIX = 'worked '
"""Prefix of the log line of each run of an engine that has ended, before the
name of the sending, the engine, and the monotonic times of begin and end."""
REJECTION = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'X-Pistachioseam-Request-Id: %b\r\n'
    b'X-Pistachioseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
TORN_REJECTION = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'X-Pistachioseam-Not-Executed: 1\r\nX-Pistachioseam-Request-Id: %.4b'
)
LATE_COPIES = {'copy': REJECTION, 'torn': TORN_REJECTION}
"""Second copy of a rejection by the behaviour of which it is a part."""
REPEAT_HEADER = 'repeat'
"""Header by which callers number the repeats of a request under its id."""
FORBIDDEN_HEADERS = ('authorization', 'x-pistachioseam-hold', 'kv-from')
"""Headers that a router must remove; a request with one gets status 418."""

_REACTOR: typing.Any = reactor


class FleetServer:
    """Server that records which requests it executed."""

    app = klein.Klein()

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        store: str,
        model: str,
        software: str,
        *,
        queue: run_queues.RunQueue | None = None,
        run_seconds: float = 0.0,
        load_seconds: float = WEIGHTS_LOAD_SECONDS,
    ) -> None:
        self.name = name
        self.executed_request_ids: list[str] = []
        self.state = 'ready'
        self.weights_version = 1
        self.load_orders: list[dict[str, typing.Any]] = []
        self.is_loading = False
        self.accepts_orders = True
        self.queue = queue or run_queues.RunQueue()
        self.is_leaving = False
        self.is_limited = False
        self.received_at: list[float] = []
        self._service = service
        self._address = address
        self._store_address = store
        self._model = model
        self._software = software
        self._run_seconds = run_seconds
        self._load_seconds = load_seconds
        self._rejected_ids: set[str] = set()
        self._late_copies: weakref.WeakKeyDictionary[typing.Any, bytes] = (
            weakref.WeakKeyDictionary()
        )
        self._carried_ids: weakref.WeakKeyDictionary[typing.Any, set[str]] = (
            weakref.WeakKeyDictionary()
        )
        self._started_ms = time.time_ns() // 1_000_000
        self._agent = client.Agent(_REACTOR, connectTimeout=1.0)
        self._heartbeat_count = 0

    def register(self) -> None:
        """Write the server's row to the store, again at each heartbeat."""
        self._heartbeat_count += 1
        registration = {
            'service': self._service,
            'address': self._address,
            'zone': 'zone-1',
            'version': self._software,
            'capacity': 6,
            'state': self.state,
            'coldRemainingMs': 0,
            'models': self._list_models(),
            'seq': self._heartbeat_count,
            'born': self._started_ms,
        }
        row = {
            'table': 'servers',
            'key': self.name,
            'value': json.dumps(registration),
        }
        body = json.dumps({'rows': [row]}).encode()
        content: typing.Any = client.FileBodyProducer(io.BytesIO(body))
        deferred = self._agent.request(
            b'POST',
            f'http://{self._store_address}/standin/rows'.encode(),
            http_headers.Headers({b'Content-Type': [b'application/json']}),
            content,
        )
        # The next heartbeat repeats a failed write.
        deferred.addErrback(lambda _: None)
        serving.call_later(HEARTBEAT_SECONDS, self.register)

    def _list_models(self) -> list[dict[str, typing.Any]]:
        if not self._model:
            return []
        return [{'name': self._model, 'version': self.weights_version}]

    @app.route('/standin/state', methods=['GET', 'POST'])
    def handle_state(self, request: typing.Any) -> bytes:
        """Return executed requests, load orders and weights version.

        `received_at` holds the Unix times at which requests were received.

        A POST sets the `state` that the server registers, such as `draining`,
        or whether it `accepts_orders`; otherwise another one is in progress.
        """
        if request.method == b'POST':
            self.set_state(serving.read_json(request))
        return serving.encode_json(request, self.create_state())

    def set_state(self, content: dict[str, typing.Any]) -> None:
        """Set what the fields say, leave the others."""
        self.state = content.get('state', self.state)
        self.accepts_orders = content.get(
            'accepts_orders', self.accepts_orders
        )

    def create_state(self) -> dict[str, typing.Any]:
        """Return what the tests read of the server."""
        return {
            'runs': self.executed_request_ids,
            'orders': self.load_orders,
            'weights': self.weights_version,
            'received_at': self.received_at,
        }

    @app.route('/-/report')
    def report_state(self, request: typing.Any) -> bytes:
        """Return the engine's models and whether it is loading weights."""
        return serving.encode_json(request, self.create_report())

    def create_report(self) -> dict[str, typing.Any]:
        """Return the content of a report."""
        return {
            'stage': 'colocated',
            'models': self._list_models(),
            'busy': self.is_loading,
            'seq': len(self.load_orders),
            'queued': self.queue.count_waiting(),
            'running': self.queue.count_running(),
        }

    @app.route('/-/order', methods=['POST'])
    def accept_load_order(self, request: typing.Any) -> bytes:
        """Accept an order to load a weights version in the background.

        Status 200 means that the version is loaded already, 202 that it will
        be, 400 that the order is malformed, and 409 that another load is in
        progress or that `expected` is not the number of orders accepted so far
        (`seq` of `/-/report`).
        """
        status = self.take_order(serving.read_json(request))
        return serving.encode_json(request, {}, status)

    def take_order(self, order: dict[str, typing.Any]) -> int:
        """Take a load order, or not; return the status of the answer.

        Requests that have not begun are rejected until the load ends.
        """
        if (
            order.get('switchMode') not in SWITCH_MODES
            or not order.get('holder')
            or 'fencingToken' not in order
        ):
            return 400
        if order['version'] == self.weights_version:
            return 200
        if (
            self.is_loading
            or not self.accepts_orders
            or order['expected'] != len(self.load_orders)
        ):
            return 409
        self.load_orders.append(order)
        self.is_loading = True
        self.queue.reject_waiting()
        if order['switchMode'] == 'wait':
            self.queue.call_when_idle(lambda: self._start_load(order))
            return 202
        if order['switchMode'] == 'truncate':
            self.queue.stop_running()
        self._start_load(order)
        return 202

    def _start_load(self, order: dict[str, typing.Any]) -> None:
        serving.call_later(
            self._load_seconds, self._finish_load, order['version']
        )

    def _finish_load(self, version: int) -> None:
        self.weights_version = version
        self.is_loading = False

    @app.route('/', branch=True)
    async def run_request(self, request: typing.Any) -> bytes:
        """Execute a request, unless it is refused with status 421 or 503.

        421: it expects another instance or weights version. 503: its path
        ends in `shed`, weights are being loaded, or its time has passed while
        it waited.
        """
        self.received_at.append(time.time())
        request_id = request.getHeader('x-pistachioseam-request-id') or ''
        request.setHeader('x-pistachioseam-request-id', request_id)
        request.setHeader('keep-alive', f'timeout={IDLE_SECONDS}')
        self.record_arrival(request.channel, request_id)
        self._send_late_copy(request.channel)
        behaviour = request.path.decode().rpartition('/')[2]
        self.is_leaving = self.is_leaving or behaviour == 'leave'
        if self.is_leaving:
            request.setHeader('server-leaving', '1')
        self.is_limited = self.is_limited or behaviour == 'limit'
        if self.is_limited:
            request.setHeader('server-limit', str(REQUESTS_PER_SECOND))
        expected = request.getHeader('x-pistachioseam-expect-instance')
        if expected not in (None, self.name):
            request.setResponseCode(421)
            request.setHeader('x-pistachioseam-instance-id', self.name)
            return b''
        version = request.getHeader('x-pistachioseam-expect-version')
        if version not in (None, str(self.weights_version)):
            request.setResponseCode(421)
            return b''
        if behaviour == 'pause':
            request.setHeader('retry-after', str(PAUSE_SECONDS))
        if behaviour == 'again' and request_id not in self._rejected_ids:
            self._rejected_ids.add(request_id)
            behaviour = 'copy'
        if behaviour in LATE_COPIES:
            self._late_copies[request.channel] = (
                LATE_COPIES[behaviour] % request_id.encode()
            )
        if behaviour in ('copy', 'torn', 'shed', 'pause') or self.is_loading:
            return _reject(request)
        sending = name_sending(request_id, request.getHeader(REPEAT_HEADER))
        run = self.queue.add(
            self._run_seconds,
            read_seconds_left(
                request.getHeader('x-pistachioseam-deadline-ms')
            ),
            self.create_recorder(sending),
        )
        self.record_work(sending, run)
        request.notifyFinish().addErrback(lambda _: self.queue.leave(run))
        if not await run.begun:
            return _reject(request)
        return await self._execute(request, request_id, behaviour, run)

    def _send_late_copy(self, channel: typing.Any) -> None:
        """Send the second copy of a rejection on its connection."""
        copy = self._late_copies.pop(channel, None)
        if copy is not None:
            channel.transport.write(copy)

    async def _execute(
        self,
        request: typing.Any,
        request_id: str,
        behaviour: str,
        run: run_queues.Run,
    ) -> bytes:
        if behaviour == 'crash':
            os.abort()
        if behaviour == 'slow':
            await serving.sleep(SLOW_SECONDS)
        if behaviour == 'silent':
            await serving.sleep(SILENT_SECONDS)
        if behaviour == 'cut':
            request.transport.abortConnection()
            return b''
        response_id = 'another' if behaviour == 'foreign' else request_id
        request.setHeader('x-pistachioseam-request-id', response_id)
        request.setHeader('x-pistachioseam-server-stamp', self.name)
        leaked_headers = [
            name for name in FORBIDDEN_HEADERS if request.getHeader(name)
        ]
        if leaked_headers:
            request.setResponseCode(418)
        if behaviour == 'fail':
            request.setResponseCode(500)
        if behaviour == 'unproven':
            request.setResponseCode(503)
            return b''
        if self._model:
            await self._stream_events(request, behaviour, run)
            return b''
        if behaviour == 'large':
            behaviour = f'length-{LARGE_BYTES}'
        framing, _, size = behaviour.partition('-')
        if size.isdecimal():
            await _write_long(request, framing, int(size))
            return b''
        return request.content.read() or request.uri

    def record_arrival(self, connection: typing.Any, request_id: str) -> None:
        """Log a request whose id its connection has carried before."""
        carried = self._carried_ids.setdefault(connection, set())
        if request_id in carried:
            _log(REPEAT_LOG_PREFIX + request_id)
        if request_id:
            carried.add(request_id)

    def create_recorder(self, request_id: str) -> typing.Callable[[], None]:
        """Return what records the execution of a request that has arrived."""
        arrived_at = time.monotonic()
        return lambda: self.record_run(request_id, arrived_at)

    def record_run(self, request_id: str, arrived_at: float) -> None:
        """Record an execution that begins, in the log too."""
        self.executed_request_ids.append(request_id)
        line = RUN_LOG_PREFIX + request_id
        if self._model:
            line += f' {self.weights_version}'
        _log(f'{line} {arrived_at:.3f} {time.monotonic():.3f}')

    def record_work(self, request_id: str, run: run_queues.Run) -> None:
        """Log the run of an engine at its end."""
        begun_at: list[float] = []

        def note_begin(has_begun: bool) -> bool:
            begun_at.append(time.monotonic())
            return has_begun

        def log_end(is_whole: bool) -> bool:
            if self._model and run.has_begun:
                _log(
                    f'{WORK_LOG_PREFIX}{request_id} {self.name}'
                    f' {begun_at[0]:.3f} {time.monotonic():.3f}'
                )
            return is_whole

        run.begun.addCallback(note_begin)
        run.ended.addCallback(log_end)

    async def _stream_events(
        self, request: typing.Any, behaviour: str, run: run_queues.Run
    ) -> None:
        pause_seconds = (
            DRAG_SECONDS
            if behaviour == 'drag'
            else max(EVENT_INTERVAL_SECONDS, run.seconds / EVENTS_PER_STREAM)
        )
        request.setHeader('content-type', 'text/event-stream')
        last_number = int(request.getHeader('last-event-id') or 0)
        for number in range(last_number + 1, EVENTS_PER_STREAM + 1):
            event = create_event(number, self._software)
            is_middle = number == EVENTS_PER_STREAM // 2 and not last_number
            if behaviour == 'gap' and is_middle:
                continue
            if behaviour == 'tear' and is_middle:
                request.write(event[:5])
                await serving.sleep(EVENT_INTERVAL_SECONDS)
                request.transport.abortConnection()
                return
            request.write(event)
            await serving.sleep(pause_seconds)
            if run.is_stopped:
                request.transport.abortConnection()
                return


def name_sending(request_id: str, repeat: str | None) -> str:
    """Return a name that tells sendings of one request from each other."""
    return f'{request_id}/{repeat}' if repeat else request_id


def _log(line: str) -> None:
    """Write a line of the log; it is kept if the process crashes."""
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


async def _write_long(request: typing.Any, framing: str, size: int) -> None:
    """Write a body of some bytes as fast as the caller reads it."""
    if framing == 'fail':
        request.setResponseCode(500)
    if framing in ('length', 'fail'):
        request.setHeader('content-length', str(size))
    elif framing == 'close':
        # Without chunks the body ends with its connection.
        request.clientproto = b'HTTP/1.0'
        request.setHeader('connection', 'close')
        request.channel.persistent = False
    part = bytes(PART_BYTES)
    with serving.PacedWriter(request) as writer:
        for sent in range(0, size, PART_BYTES):
            await writer.write(part[: size - sent])
            if writer.is_stopped:
                break


def _reject(request: typing.Any) -> bytes:
    """Reject a request as not executed; return the empty body."""
    request.setResponseCode(503)
    request.setHeader('x-pistachioseam-not-executed', '1')
    return b''


def read_seconds_left(deadline_ms: str | None) -> float:
    """Return the time of a request in seconds, infinite without a header."""
    return float(deadline_ms) / MS_PER_SECOND if deadline_ms else math.inf


def create_event(number: int, software: str = FIRST_SOFTWARE) -> bytes:
    """Return an event; that of another software version names it."""
    note = '' if software == FIRST_SOFTWARE else f' of {software}'
    return f'id: {number}\ndata: piece {number}{note}\n\n'.encode()


def run(
    name: str,
    service: str,
    address: str,
    store: str,
    model: str = '',
    software: str = FIRST_SOFTWARE,
    slots: float = math.inf,
    run_seconds: float = 0.0,
    linger_seconds: float = 0.0,
    load_seconds: float = WEIGHTS_LOAD_SECONDS,
) -> None:
    """Serve on `IP:port` and register at the store's address."""
    queue = run_queues.RunQueue(slots, linger_seconds)
    server = FleetServer(
        *(name, service, address, store, model, software),
        queue=queue,
        run_seconds=run_seconds,
        load_seconds=load_seconds,
    )
    serving.call_later(0, server.register)
    serving.serve(server, address)


if __name__ == '__main__':
    serving.run_command(run)
