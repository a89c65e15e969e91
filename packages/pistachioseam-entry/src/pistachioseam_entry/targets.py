"""HTTP client of targets; implements `interfaces.TargetClient`."""

import asyncio
import typing

from returns import pipeline
from returns import result
import treq
from twisted.internet import error
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
        self._agent = client.Agent(
            reactors.get_reactor(),
            connectTimeout=options.connect_timeout_seconds,
            pool=response_parsers.StrictPool(
                reactors.get_reactor(), persistent=False
            ),
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
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await self._start_request(address, request)
        except Exception as exception:
            return result.Failure(_classify_error(exception))
        if not _is_model_request(request):
            return result.Success(response)
        failure = _classify_status(response.code)
        if failure is None:
            return result.Success(response)
        response.deliverBody(bodies.DiscardingReader())
        return result.Failure(failure)

    def _start_request(
        self, address: str, request: interfaces.TargetRequest
    ) -> asyncio.Future[typing.Any]:
        headers = {name: [value] for name, value in request.headers.items()}
        headers['request-id'] = [request.request_id]
        headers['fencing-number'] = [str(request.fencing_number)]
        sent = treq.request(
            request.method,
            f'http://{address}{request.path}',
            headers=headers,
            data=request.body or None,
            agent=self._agent,
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


def _classify_error(exception: Exception) -> interfaces.CallFailure:
    kind = interfaces.FailureKind.BROKEN
    if isinstance(exception, TimeoutError):
        kind = interfaces.FailureKind.TIMED_OUT
    elif isinstance(exception, error.ConnectError | error.TimeoutError):
        kind = interfaces.FailureKind.NOT_SENT
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
