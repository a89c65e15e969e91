"""HTTP listener for callers; runs each request through the filter chain."""

import asyncio
import functools
import json
import typing

import klein
from twisted.internet import defer

from pistachioseam import chats
from pistachioseam import events
from pistachioseam import exchanges
from pistachioseam import filters  # noqa: F401 - registers filters
from pistachioseam import identity
from pistachioseam import interfaces
from pistachioseam import pipeline
from pistachioseam import refusals
from pistachioseam import router as routers
from pistachioseam_entry import bounded_requests
from pistachioseam_entry import caller_holdings
from pistachioseam_entry import caller_reports
from pistachioseam_entry import metrics
from pistachioseam_entry import reply as replies
from pistachioseam_entry import settings

STATUS_CALLER_DISCONNECTED = 499
"""Status that nginx uses for a client that closed its connection."""


class Listener:
    """HTTP application for callers.

    `active_requests` counts requests in progress, each until the end of its
    response has been written. While `is_draining` is set, responses ask
    callers to close their connections.
    """

    app = klein.Klein()

    def __init__(
        self,
        router: routers.Router,
        process_metrics: metrics.Metrics,
        options: settings.Requests,
        holdings: caller_holdings.CallerHoldings | None = None,
    ) -> None:
        self.active_requests = 0
        self.holdings = holdings or caller_holdings.CallerHoldings()
        self.holdings.on_turned_away = functools.partial(
            caller_reports.report_turned_away,
            self.holdings,
            process_metrics,
            router.sink,
        )
        self.is_draining = False
        self._router = router
        self._metrics = process_metrics
        self._options = options

    def create_site(self) -> bounded_requests.BoundedSite:
        """Return the protocol factory of the listening port."""

        class _Request(bounded_requests.BoundedRequest):
            max_body_bytes = self._options.max_body_bytes

        site = bounded_requests.BoundedSite(
            self.app.resource(),
            holdings=self.holdings,
            timeout=self._options.idle_timeout_seconds,
            requestFactory=_Request,
        )
        site.max_header_buffer_bytes = (
            bounded_requests.HEADER_BUFFER_FACTOR
            * self._options.max_header_bytes
        )
        site.header_seconds = self._options.idle_timeout_seconds
        site.displayTracebacks = False
        return site

    @app.route('/', branch=True)
    def handle(self, request: typing.Any) -> defer.Deferred[None]:
        """Serve a request of a caller."""
        finished = request.notifyFinish()
        # It also fires when the caller leaves.
        finished.addErrback(lambda _: None)
        task = asyncio.ensure_future(self._handle(request, finished))
        return defer.Deferred.fromFuture(task)

    async def _handle(
        self, request: typing.Any, finished: defer.Deferred[None]
    ) -> None:
        with replies.HttpReply(request) as reply:
            exchange = self._create_exchange(request, reply)
            if self.is_draining:
                request.setHeader('connection', 'close')
            weight = bounded_requests.weigh_request(request, exchange.body)
            if not self.holdings.serve(weight):
                exchange.refusal = caller_reports.refuse_full()
                weight = 0
            task = asyncio.ensure_future(
                self._serve(request, exchange, finished)
            )
            task.add_done_callback(lambda _: self.holdings.release(weight))
            try:
                await asyncio.shield(task)
            except asyncio.CancelledError:
                self._handle_disconnect(exchange, task)
                raise

    def _handle_disconnect(
        self, exchange: exchanges.Exchange, task: asyncio.Future[None]
    ) -> None:
        """Cancel the call of a disconnected caller unless it must complete."""
        self._router.sink.emit(
            events.Event.CALLER_LEFT, request_id=exchange.request_id
        )
        if exchange.is_cancelled_on_disconnect():
            task.cancel()

    def _create_exchange(
        self, request: typing.Any, reply: replies.HttpReply
    ) -> exchanges.Exchange:
        headers = {
            name.decode('latin-1').lower(): values[-1].decode('latin-1')
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        return exchanges.Exchange(
            request_id=self._router.random.token(),
            method=request.method.decode('latin-1'),
            path=request.uri.decode('latin-1'),
            headers=headers,
            body=request.take_content(),
            received_at=self._router.runtime.now(),
            reply=reply,
        )

    async def _serve(
        self,
        request: typing.Any,
        exchange: exchanges.Exchange,
        finished: defer.Deferred[None],
    ) -> None:
        self.active_requests += 1
        reply = typing.cast(replies.HttpReply, exchange.reply)
        request.setHeader(replies.REQUEST_ID_HEADER, exchange.request_id)
        try:
            await self._process_request(request, exchange)
            await reply.end(exchange)
        except asyncio.CancelledError:
            exchange.refusal = _create_disconnect_refusal(exchange)
            raise
        finally:
            finished.addCallback(self._forget_request)
            self._record_end(exchange)
            exchange.discard_bodies()

    def _forget_request(self, _: None) -> None:
        self.active_requests -= 1

    async def _process_request(
        self, request: typing.Any, exchange: exchanges.Exchange
    ) -> None:
        exchange.refusal = self._check_limits(request) or exchange.refusal
        if exchange.refusal is not None:
            return
        if exchange.path == chats.MODELS_PATH:
            self._list_models(exchange)
            return
        try:
            await pipeline.run_filters(exchange, self._router)
        except Exception as error:
            self._router.sink.emit(
                events.Event.INTERNAL_ERROR,
                request_id=exchange.request_id,
                error=repr(error),
            )
            exchange.refusal = _create_internal_refusal(exchange)

    def _check_limits(self, request: typing.Any) -> refusals.Refusal | None:
        if request.is_too_large:
            request.setHeader('connection', 'close')
            return refusals.Refusal(
                413,
                refusals.Reason.BODY_TOO_LARGE,
                'the body is too large',
            )
        if (
            bounded_requests.measure_headers(request)
            > self._options.max_header_bytes
        ):
            return refusals.Refusal(
                431,
                refusals.Reason.HEADERS_TOO_LARGE,
                'the headers are too large',
            )
        return None

    def _list_models(self, exchange: exchanges.Exchange) -> None:
        authorization = exchange.headers.get('authorization', '')
        caller = identity.find_caller(self._router.callers, authorization)
        if caller is None:
            exchange.refusal = refusals.Refusal(
                401, refusals.Reason.UNKNOWN_CALLER, 'unknown credentials'
            )
            return
        snapshot = self._router.acceptor.snapshot
        exchange.caller = caller
        exchange.configuration_number = snapshot.number
        models = {
            pool.model
            for route in snapshot.routes
            if route.team == caller.team
            for pool in snapshot.pools
            if pool.name == route.pool and pool.model
        }
        listed = [
            {'id': model, 'object': 'model', 'owned_by': 'pistachioseam'}
            for model in sorted(models)
        ]
        exchange.response = _create_json_response(
            {'object': 'list', 'data': listed}
        )

    def _record_end(self, exchange: exchanges.Exchange) -> None:
        now = self._router.runtime.now()
        self._router.journal.add(exchange, now)
        outcome = exchange.get_outcome().value
        reason = exchange.refusal.reason.value if exchange.refusal else ''
        first_token_at = exchange.first_token_at
        seconds = now - exchange.received_at
        self._metrics.record_request(
            'chat' if exchange.chat else 'call',
            outcome,
            reason,
            seconds,
            None
            if first_token_at is None
            else first_token_at - exchange.received_at,
            len(exchange.delivered),
        )
        event = events.Event.REQUEST_ENDED
        if exchange.refusal is not None:
            event = events.Event.REQUEST_REFUSED
        if exchange.refusal is not None and exchange.reply.is_begun():
            is_stream = exchange.chat is not None and exchange.chat.is_stream
            if is_stream and exchange.delivered:
                event = events.Event.STREAM_FAILED
        self._router.sink.emit(
            event,
            request_id=exchange.request_id,
            account=exchange.get_account(),
            outcome=outcome,
            reason=reason,
            attempts=len(exchange.attempts),
            seconds=round(seconds, 4),
        )


def _create_disconnect_refusal(
    exchange: exchanges.Exchange,
) -> refusals.Refusal:
    """Return the refusal to record once the caller has disconnected."""
    return refusals.Refusal(
        STATUS_CALLER_DISCONNECTED,
        refusals.Reason.CALLER_LEFT,
        'the caller disconnected',
        _get_aborted_outcome(exchange),
    )


def _get_aborted_outcome(exchange: exchanges.Exchange) -> refusals.Outcome:
    if exchange.may_have_run or (
        exchange.attempts and exchange.is_retryable()
    ):
        return refusals.Outcome.UNKNOWN
    return refusals.Outcome.NOT_RUN


def _create_internal_refusal(exchange: exchanges.Exchange) -> refusals.Refusal:
    return refusals.Refusal(
        500,
        refusals.Reason.INTERNAL_ERROR,
        'internal error',
        _get_aborted_outcome(exchange),
    )


def _create_json_response(content: object) -> interfaces.TargetResponse:
    body = json.dumps(content).encode()
    return interfaces.TargetResponse(200, replies.JSON_TYPE, body)
