"""Stand-in of a server that answers in all ways the protocol allows.

It registers itself like `fleet_server`. Its answers are drawn by a seeded
generator (`adversary`), beside rejections for want of room.
"""

import collections
import json
import math
import random
import typing

import attrs
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import http

from pistachioseam_standins import adversary
from pistachioseam_standins import fleet_server
from pistachioseam_standins import run_queues
from pistachioseam_standins import serving

CAPACITY = 3
"""Requests that run at a time."""
QUEUE_LENGTH = 2
"""Requests that wait for one of them to end; further ones are rejected."""
EXTRA_BYTES = b'HTTP/1.1 bytes that are no answer\r\n\r\n'
HEAD_END = b'\r\n\r\n'

_REACTOR: typing.Any = reactor


class AdversarialServer(fleet_server.FleetServer):
    """Server whose answers, as bytes, are drawn from `faults`."""

    def __init__(
        self,
        *arguments: str,
        seed: int = 0,
        connections: int = adversary.MAX_CONNECTIONS,
        waiting: int = QUEUE_LENGTH,
        faults: adversary.Faults,
        queue: run_queues.RunQueue | None = None,
        run_seconds: float = 0.0,
        load_seconds: float = fleet_server.WEIGHTS_LOAD_SECONDS,
    ) -> None:
        super().__init__(
            *arguments,
            queue=queue or run_queues.RunQueue(CAPACITY, math.inf),
            run_seconds=run_seconds,
            load_seconds=load_seconds,
        )
        self.max_connections = connections
        self.connections = 0
        self._generator = random.Random(f'{seed}-{self.name}')
        self._faults = faults
        self._max_waiting = waiting

    def draw_answer(self) -> adversary.Answer:
        """Return the answer to a caller; all are rejected during a load."""
        is_full = (
            self.is_loading or self.queue.count_waiting() >= self._max_waiting
        )
        return adversary.draw_answer(self._generator, self._faults, is_full)

    def draw_mismatch(self) -> adversary.Answer:
        """Return the answer to a caller who expects another server."""
        return adversary.draw_mismatch(self._generator, self._faults)

    def start_run(
        self, request: 'Request', answer: adversary.Answer
    ) -> run_queues.Run:
        """Return the run of a request, which may have to wait for room."""
        sending = fleet_server.name_sending(
            request.get_id(), request.headers.get(fleet_server.REPEAT_HEADER)
        )
        run = self.queue.add(
            answer.run_seconds + self._run_seconds,
            fleet_server.read_seconds_left(
                request.headers.get('x-pistachioseam-deadline-ms')
            ),
            self.create_recorder(sending),
        )
        self.record_work(sending, run)
        return run

    def create_body(self, request: 'Request') -> bytes:
        """Return the body of a whole answer: all events, or the request's."""
        if not self._model:
            return request.body
        last = int(request.headers.get('last-event-id', '0') or 0)
        return b''.join(
            fleet_server.create_event(number, self._software)
            for number in range(last + 1, fleet_server.EVENTS_PER_STREAM + 1)
        )

    def answer_control(self, request: 'Request') -> tuple[int, object]:
        """Return status and content of the answer to a control call."""
        path = request.path.partition('?')[0]
        if path == '/-/report':
            return 200, self.create_report()
        if path == '/-/order':
            return self.take_order(json.loads(request.body or b'{}')), {}
        if path == '/standin/state':
            self.set_state(json.loads(request.body or b'{}'))
            return 200, self.create_state()
        return 404, {}

    def find_mismatch(self, request: 'Request') -> bool:
        """Return whether a request expects another instance or weights."""
        instance = request.headers.get('x-pistachioseam-expect-instance')
        version = request.headers.get('x-pistachioseam-expect-version')
        return instance not in (None, self.name) or version not in (
            None,
            str(self.weights_version),
        )


class Request:
    """Request that has been read whole."""

    def __init__(self, head: bytes) -> None:
        lines = head.decode('latin-1').split('\r\n')
        self.method, self.path, _ = lines[0].split(' ', 2)
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines[1:])
        }
        self.body = b''

    def get_id(self) -> str:
        """Return the id of the caller's request, empty for control calls."""
        return self.headers.get('x-pistachioseam-request-id', '')


class Connection(protocol.Protocol):
    """Connection on which requests are answered one after another."""

    def __init__(self, server: AdversarialServer) -> None:
        self._server = server
        self._buffer = b''
        self._is_busy = False
        self._is_closed = False
        self._request_count = 0
        self._copies: collections.defaultdict[
            str, list[tuple[adversary.Answer, bytes]]
        ] = collections.defaultdict(list)
        self._run: run_queues.Run | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Reset the connection if there are too many."""
        self._server.connections += 1
        if self._server.connections > self._server.max_connections:
            self._abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests; the next one waits for the answer to the last."""
        self._buffer += data
        self._serve_next()

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Send nothing more."""
        self._is_closed = True
        self._server.connections -= 1
        if self._run is not None:
            self._server.queue.leave(self._run)

    def _serve_next(self) -> None:
        if self._is_busy or HEAD_END not in self._buffer:
            return
        head, _, rest = self._buffer.partition(HEAD_END)
        request = Request(head)
        length = int(request.headers.get('content-length', '0'))
        if len(rest) < length:
            return
        request.body, self._buffer = rest[:length], rest[length:]
        self._is_busy = True
        self._request_count += 1
        self._server.record_arrival(self, request.get_id())
        self._send_copies('next')
        self._serve(request)

    def _serve(self, request: Request) -> None:
        if request.path.startswith(('/-/', '/standin/')):
            status, content = self._server.answer_control(request)
            body = json.dumps(content).encode()
            fields = {'Content-Type': 'application/json'}
            self._write(encode_answer(status, fields, body, 'length'))
            self._finish()
        elif self._server.find_mismatch(request):
            self._send(request, self._server.draw_mismatch())
        else:
            answer = self._server.draw_answer()
            if not answer.is_executed:
                self._send(request, answer)
                return
            run = self._run = self._server.start_run(request, answer)
            run.ended.addCallback(
                lambda _: self._send(request, _limit_answer(answer, run))
            )

    def _send(self, request: Request, answer: adversary.Answer) -> None:
        data = self._encode(request, answer)
        if answer.ending == 'mute':
            return
        if answer.ending == 'reset':
            self._abort()
            return
        if answer.ending == 'torn':
            self._write(data[: len(data) - 3])
            self._abort()
            return
        self._write(data)
        if answer.framing == 'close':
            # All bytes up to the end of the connection are the body.
            self._close()
            return
        self._send_copies('after')
        if answer.ending == 'extra':
            self._write(EXTRA_BYTES)
        self._plan_copy(answer, data)
        if answer.is_dropped:
            serving.call_later(
                answer.copy_seconds, self._drop_idle, self._request_count
            )
        self._finish()

    def _drop_idle(self, request_count: int) -> None:
        """Reset the connection unless further requests have come."""
        if request_count == self._request_count and not self._is_closed:
            self._abort()

    def _plan_copy(self, answer: adversary.Answer, data: bytes) -> None:
        """Send a second copy later."""
        if answer.copy == 'idle':
            serving.call_later(
                answer.copy_seconds, self._send_copy, answer, data
            )
        elif answer.copy:
            self._copies[answer.copy].append((answer, data))

    def _send_copies(self, place: str) -> None:
        """Send the copies that come before or after the present answer."""
        for answer, data in self._copies.pop(place, ()):
            self._send_copy(answer, data)

    def _send_copy(self, answer: adversary.Answer, data: bytes) -> None:
        """Send the first piece of a copy, and the second one later."""
        first = data[: int(len(data) * answer.split)]
        self._write(first)
        if rest := data[len(first) :]:
            serving.call_later(answer.copy_seconds, self._write, rest)

    def _encode(self, request: Request, answer: adversary.Answer) -> bytes:
        fields = {}
        if answer.has_id:
            fields['X-Pistachioseam-Request-Id'] = request.get_id()
        if answer.has_stamp:
            fields['X-Pistachioseam-Server-Stamp'] = self._server.name
        if answer.status == 421:
            fields['X-Pistachioseam-Instance-Id'] = self._server.name
        elif not answer.is_executed:
            fields['X-Pistachioseam-Not-Executed'] = '1'
        body = b''
        if answer.status == 200:
            body = self._server.create_body(request)
        names = sorted(fields)
        random.Random(answer.order).shuffle(names)
        fields = {name: fields[name] for name in names}
        return encode_answer(answer.status, fields, body, answer.framing)

    def _finish(self) -> None:
        self._is_busy = False
        self._serve_next()

    def _write(self, data: bytes) -> None:
        if data and not self._is_closed:
            self._get_transport().write(data)

    def _close(self) -> None:
        """End the connection and with it the last answer on it."""
        self._is_closed = True
        self._get_transport().loseConnection()

    def _abort(self) -> None:
        self._get_transport().abortConnection()

    def _get_transport(self) -> typing.Any:
        return self.transport


def _limit_answer(
    answer: adversary.Answer, run: run_queues.Run
) -> adversary.Answer:
    """Return the answer to a request whose run may have been stopped."""
    if not run.is_stopped:
        return answer
    if run.has_begun:
        return attrs.evolve(answer, ending='reset')
    return attrs.evolve(
        answer, status=503, is_executed=False, has_stamp=False, ending='whole'
    )


def encode_answer(
    status: int, fields: dict[str, str], body: bytes, framing: str
) -> bytes:
    """Return the bytes of an answer; `framing` is that of `Answer`."""
    reason = http.RESPONSES.get(status, b'').decode()
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    if framing == 'length':
        lines.append(f'Content-Length: {len(body)}')
    elif framing == 'chunks':
        lines.append('Transfer-Encoding: chunked')
        body = (b'%x\r\n%b\r\n' % (len(body), body) if body else b'') + (
            b'0\r\n\r\n'
        )
    else:
        lines.append('Connection: close')
    return '\r\n'.join(lines).encode() + HEAD_END + body


def run(
    name: str,
    service: str,
    address: str,
    store: str,
    model: str = '',
    software: str = fleet_server.FIRST_SOFTWARE,
    seed: int = 0,
    connections: int = adversary.MAX_CONNECTIONS,
    slots: int = CAPACITY,
    waiting: int = QUEUE_LENGTH,
    run_seconds: float = 0.0,
    linger_seconds: float = math.inf,
    load_seconds: float = fleet_server.WEIGHTS_LOAD_SECONDS,
    **faults: float,
) -> None:
    """Serve on `IP:port`; `faults` are the fields of `adversary.Faults`.

    Connections beyond `connections` are reset, requests that would have to
    wait with more than `waiting` others are rejected.
    """
    server = AdversarialServer(
        *(name, service, address, store, model, software),
        seed=seed,
        connections=connections,
        waiting=waiting,
        faults=adversary.Faults(**faults),
        queue=run_queues.RunQueue(slots, linger_seconds),
        run_seconds=run_seconds,
        load_seconds=load_seconds,
    )
    serving.call_later(0, server.register)
    factory: typing.Any = protocol.Factory.forProtocol(
        lambda: Connection(server)
    )
    host, _, port = address.rpartition(':')
    _REACTOR.listenTCP(int(port), factory, interface=host)
    _REACTOR.run()


if __name__ == '__main__':
    serving.run_command(run)
