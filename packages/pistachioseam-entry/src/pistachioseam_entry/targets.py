"""HTTP client of targets; implements `interfaces.TargetClient`."""

import asyncio
from collections import abc
import typing

from returns import pipeline
from returns import result
import treq
from twisted.internet import defer
from twisted.web import client
from twisted.web import http

from pistachioseam import interfaces
from pistachioseam import response_budgets
from pistachioseam_entry import bodies
from pistachioseam_entry import reactors
from pistachioseam_entry import response_parsers
from pistachioseam_entry import settings
from pistachioseam_entry import whole_bodies

CANCEL_TIMEOUT_SECONDS = 2.0

CallResult: typing.TypeAlias = result.Result[
    interfaces.TargetResponse, interfaces.CallFailure
]
StreamResult: typing.TypeAlias = result.Result[
    interfaces.TargetStream, interfaces.CallFailure
]


class SendingPool(response_parsers.StrictPool):
    """Pool for the only connection of one request.

    `on_sending` is called, and `is_used` set, once the connection is open and
    right before the request is sent on it.
    """

    def __init__(self, on_sending: abc.Callable[[], None]) -> None:
        super().__init__(reactors.get_reactor(), persistent=False)
        self.is_used = False
        self._on_sending = on_sending

    def getConnection(  # noqa: N802
        self, key: typing.Any, endpoint: typing.Any
    ) -> defer.Deferred[typing.Any]:
        """Return a new connection."""
        connecting = super().getConnection(key, endpoint)
        return connecting.addCallback(self._record_sending)

    def _record_sending(self, connection: typing.Any) -> typing.Any:
        self.is_used = True
        self._on_sending()
        return connection


class HttpTargetClient:
    """HTTP client of targets; each request has a connection of its own.

    Responses bear no request id. On a kept connection a late copy of an
    earlier response would be taken for the answer, and a target could close
    it while a request is being sent, so that it would be unknown whether the
    call has run.
    """

    def __init__(
        self,
        options: settings.Requests,
        budget: response_budgets.ResponseBudget | None = None,
    ) -> None:
        self._options = options
        self._order = response_budgets.ReadingOrder(
            budget or response_budgets.ResponseBudget()
        )

    async def call(
        self, address: str, request: interfaces.TargetRequest
    ) -> CallResult:
        """Send once and return the complete response."""
        sent = await self._send(address, request, request.timeout_seconds)
        if not pipeline.is_successful(sent):
            return result.Failure(sent.failure())
        return await self._read_response(sent.unwrap())

    async def open_stream(
        self, address: str, request: interfaces.TargetRequest
    ) -> StreamResult:
        """Send once and return the stream of the response."""
        sent = await self._send(address, request, request.timeout_seconds)
        return sent.map(
            lambda response: self._create_stream(address, response, request)
        )

    async def resume_stream(
        self, address: str, incarnation: str, request_id: str, after: int
    ) -> StreamResult:
        """Reopen a stream of the same incarnation after `after` pieces."""
        request = interfaces.TargetRequest(
            request_id=request_id,
            method='GET',
            path=f'/v1/streams/{request_id}?after={after}',
            headers={'expected-incarnation': incarnation},
            body=b'',
            timeout_seconds=self._options.connect_timeout_seconds,
        )
        sent = await self._send(address, request, request.timeout_seconds)
        return sent.map(
            lambda response: self._create_stream(address, response, request)
        )

    def _create_stream(
        self,
        address: str,
        response: typing.Any,
        request: interfaces.TargetRequest,
    ) -> interfaces.TargetStream:
        return HttpTargetStream(
            self, address, response, request.request_id, self._options
        )

    async def _send(
        self,
        address: str,
        request: interfaces.TargetRequest,
        timeout_seconds: float,
    ) -> result.Result[typing.Any, interfaces.CallFailure]:
        pool = SendingPool(request.on_sending)
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await self._start_request(address, request, pool)
        except Exception as exception:
            return result.Failure(_classify_error(exception, pool.is_used))
        if not _is_model_request(request):
            return result.Success(response)
        failure = _classify_status(response.code)
        if failure is None:
            return result.Success(response)
        response.deliverBody(bodies.DiscardingReader())
        return result.Failure(failure)

    def _start_request(
        self,
        address: str,
        request: interfaces.TargetRequest,
        pool: SendingPool,
    ) -> asyncio.Future[typing.Any]:
        agent = client.Agent(
            reactors.get_reactor(),
            connectTimeout=self._options.connect_timeout_seconds,
            pool=pool,
        )
        headers = {name: [value] for name, value in request.headers.items()}
        headers['request-id'] = [request.request_id]
        headers['fencing-number'] = [str(request.fencing_number)]
        sent = treq.request(
            request.method,
            f'http://{address}{request.path}',
            headers=headers,
            data=request.body or None,
            agent=agent,
            allow_redirects=False,
            unbuffered=True,
        )
        return sent.asFuture(asyncio.get_running_loop())

    async def _read_response(self, response: typing.Any) -> CallResult:
        max_bytes = self._options.max_answer_bytes
        with whole_bodies.WholeBodyReader(max_bytes, self._order) as body:
            response.deliverBody(body)
            read = await body.read_all(self._options.piece_timeout_seconds)
        return read.map(lambda content: _create_response(response, content))

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop a generation; errors are ignored."""
        request = interfaces.TargetRequest(
            request_id=request_id,
            method='DELETE',
            path=f'/v1/streams/{request_id}',
            headers={},
            body=b'',
            timeout_seconds=CANCEL_TIMEOUT_SECONDS,
        )
        sent = await self._send(address, request, CANCEL_TIMEOUT_SECONDS)
        sent.map(
            lambda response: response.deliverBody(bodies.DiscardingReader())
        )


class HttpTargetStream:
    """Server-sent events of an engine as numbered pieces."""

    def __init__(
        self,
        target_client: HttpTargetClient,
        address: str,
        response: typing.Any,
        request_id: str,
        options: settings.Requests,
    ) -> None:
        self.incarnation = _get_header(response, 'incarnation')
        self.cached_pieces = int(_get_header(response, 'cached-pieces') or 0)
        self._target_client = target_client
        self._address = address
        self._request_id = request_id
        self._timeout_seconds = options.piece_timeout_seconds
        self._is_ended = False
        self._body = bodies.BodyReader(options.max_answer_bytes)
        response.deliverBody(self._body)

    async def receive(
        self,
    ) -> result.Result[interfaces.Piece, interfaces.CallFailure]:
        """Return the next piece in order of arrival."""
        received = await self._body.read_event(self._timeout_seconds)
        parsed = received.bind(bodies.parse_piece)
        if isinstance(parsed, result.Success) and parsed.unwrap().is_end:
            self._is_ended = True
        return parsed

    def cancel(self) -> None:
        """Stop the generation at the engine; no effect after the end mark."""
        if self._is_ended:
            return
        self._is_ended = True
        self.disconnect()
        cancelling = self._target_client.cancel(
            self._address, self._request_id
        )
        task = asyncio.ensure_future(cancelling)
        _cancel_tasks.add(task)
        task.add_done_callback(_cancel_tasks.discard)

    def disconnect(self) -> None:
        """Close the connection; the engine keeps the stream for a resume."""
        self._body.abort()


_cancel_tasks: set[asyncio.Task[None]] = set()


def _is_model_request(request: interfaces.TargetRequest) -> bool:
    return 'cache-salt' in request.headers or (
        'expected-incarnation' in request.headers
    )


def _classify_status(status: int) -> interfaces.CallFailure | None:
    kind = interfaces.FailureKind
    if status in (http.SERVICE_UNAVAILABLE, http.CONFLICT):
        return interfaces.CallFailure(kind.BUSY, f'status {status}')
    if status == http.GONE:
        return interfaces.CallFailure(kind.GONE, f'status {status}')
    if status >= http.INTERNAL_SERVER_ERROR:
        return interfaces.CallFailure(kind.BROKEN, f'status {status}')
    return None


def _classify_error(
    exception: Exception, is_sent: bool
) -> interfaces.CallFailure:
    kind = interfaces.FailureKind.BROKEN
    if not is_sent:
        kind = interfaces.FailureKind.NOT_SENT
    elif isinstance(exception, TimeoutError):
        kind = interfaces.FailureKind.TIMED_OUT
    return interfaces.CallFailure(kind, type(exception).__name__)


def _get_header(response: typing.Any, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return str(values[0]) if values else ''


def _create_response(
    response: typing.Any, body: bytes
) -> interfaces.TargetResponse:
    cached = _get_header(response, 'cached-pieces')
    return interfaces.TargetResponse(
        status=response.code,
        content_type=_get_header(response, 'content-type'),
        body=body,
        incarnation=_get_header(response, 'incarnation'),
        cached_pieces=int(cached) if cached else None,
    )
