"""HTTP listener for the callers whose calls are forwarded.

It is a plain leaf resource, not a klein application: klein's routing decodes
paths and may redirect them, but paths must reach the targets unchanged.
"""

import asyncio
import functools
import typing

from twisted.web import resource
from twisted.web import server

from pistachioseam import events
from pistachioseam.forwarding import call_refusals
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import steps  # noqa: F401 - registers filters
from pistachioseam.forwarding.steps import inform
from pistachioseam import refusals
from pistachioseam_entry import bounded_requests
from pistachioseam_entry import call_replies
from pistachioseam_entry import caller_holdings
from pistachioseam_entry import caller_reports
from pistachioseam_entry import metrics


class CallDecoder(typing.Protocol):
    """Wire format of callers' requests."""

    def decode_call(self, headers: ports.HeaderPairs) -> ports.CallHead:
        """Return the decoded headers of a request."""


class CallRequest(bounded_requests.BoundedRequest):
    """Request of a caller; its response gets no default `Content-Type`."""

    defaultContentType = None  # noqa: N815


class CallListener(resource.Resource):
    """HTTP resource for callers.

    `active_requests` counts the calls in progress, each until the end of its
    response has been written. While `is_draining`, responses close their
    connections; while `is_refusing_calls`, new calls are refused.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        router: routers.CallRouter,
        decoder: CallDecoder,
        process_metrics: metrics.Metrics,
        holdings: caller_holdings.CallerHoldings | None = None,
    ) -> None:
        super().__init__()
        self.active_requests = 0
        self.is_draining = False
        self.is_refusing_calls = False
        self._router = router
        self._decoder = decoder
        self._metrics = process_metrics
        self.holdings = holdings or caller_holdings.CallerHoldings()
        self.holdings.on_turned_away = functools.partial(
            caller_reports.report_turned_away,
            self.holdings,
            process_metrics,
            router.sink,
        )
        self._site: bounded_requests.BoundedSite | None = None
        router.desired.add_listener(self._apply_limits)

    def create_site(self) -> server.Site:
        """Return the protocol factory of the callers' port."""
        site = bounded_requests.BoundedSite(
            self, holdings=self.holdings, requestFactory=CallRequest
        )
        site.displayTracebacks = False
        site.on_request_timeout = self._record_timeout
        self._site = site
        self._apply_limits()
        return site

    def count_unsent_bytes(self) -> int:
        """Return the bytes of responses that callers have not accepted yet."""
        return self._site.count_unsent_bytes() if self._site else 0

    def _get_limits(self) -> desired.RequestLimits:
        state = self._router.desired.state
        return state.limits if state else desired.RequestLimits()

    def _apply_limits(self) -> None:
        """Apply the limits of the desired state.

        The limit of a body applies to new requests, the others to new
        connections.
        """
        if self._site is None:
            return
        limits = self._get_limits()
        self._site.timeOut = limits.idle_seconds
        self._site.header_seconds = limits.header_seconds
        self._site.max_header_buffer_bytes = (
            bounded_requests.HEADER_BUFFER_FACTOR * limits.header_bytes
        )
        CallRequest.max_body_bytes = limits.body_bytes

    def _record_timeout(self) -> None:
        """Log and count a request that got a 408 response."""
        self._router.sink.emit(events.Event.CALLER_SLOW)

    def render(self, request: typing.Any) -> int:
        """Start to serve a request; the response is sent asynchronously."""
        self.active_requests += 1
        task = asyncio.ensure_future(self._handle(request))
        _TASKS.add(task)
        task.add_done_callback(self._forget_task)
        return server.NOT_DONE_YET

    def _forget_task(self, task: asyncio.Future[None]) -> None:
        self.active_requests -= 1
        _TASKS.discard(task)

    async def _handle(self, request: typing.Any) -> None:
        if request._disconnected:
            # The caller left before this task began.
            self._router.sink.emit(events.Event.CALLER_LEFT)
            return
        with call_replies.ForwardedReply(request) as reply:
            call = self._create_call(request, reply)
            weight = bounded_requests.weigh_request(request, call.body)
            is_held = self.holdings.serve(weight)
            task = asyncio.ensure_future(
                self._serve(request, call, reply, is_held)
            )
            finished = request.notifyFinish()
            finished.addBoth(lambda _: self._handle_disconnect(call, task))
            await asyncio.wait((task,))
            call.discard_body()
            if is_held:
                self.holdings.release(weight)
        if request._disconnected or reply.is_aborted():
            return
        is_complete = call.is_served or call.refusal is not None
        if reply.is_begun() and is_complete:
            request.finish()
        else:
            # Finishing it would make a complete response of what is there.
            reply.abort()

    def _handle_disconnect(
        self, call: calls.Call, task: asyncio.Future[None]
    ) -> None:
        """Cancel the call of a disconnected caller unless it must complete."""
        if task.done():
            return
        if call.is_cancelled_on_disconnect():
            task.cancel()
            return
        call.caller.leave()
        self._router.sink.emit(
            events.Event.CALL_GOES_ON,
            request_id=call.request_id,
            attempts=call.describe_attempts(),
        )

    def _create_call(
        self, request: typing.Any, reply: call_replies.ForwardedReply
    ) -> calls.Call:
        headers = tuple(
            (name, value)
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        )
        return calls.Call(
            head=self._decoder.decode_call(headers),
            method=request.method,
            uri=request.uri,
            body=request.take_content(),
            received_at=self._router.runtime.now(),
            reply=reply,
        )

    async def _serve(
        self,
        request: typing.Any,
        call: calls.Call,
        reply: call_replies.ForwardedReply,
        is_held: bool,
    ) -> None:
        has_disconnected = False
        if self.is_draining:
            request.setHeader('connection', 'close')
        try:
            await self._run_filters(request, call, is_held)
            call.refusal = call_refusals.restate_refusal(call, self._router)
            if call.refusal is not None:
                await reply.refuse(call.request_id, call.refusal)
        except asyncio.CancelledError:
            has_disconnected = True
        except Exception as error:
            self._record_internal_error(call, error)
        finally:
            self._record_end(call, has_disconnected)

    async def _run_filters(
        self, request: typing.Any, call: calls.Call, is_held: bool
    ) -> None:
        call.refusal = self._check_request(request, call)
        if call.refusal is None and not is_held:
            call.refusal = caller_reports.refuse_full()
        if call.refusal is not None:
            return
        try:
            await routers.run_filters(call, self._router)
        except asyncio.CancelledError as error:
            if request._disconnected:
                raise
            self._refuse_after_error(call, error)
        except Exception as error:
            self._refuse_after_error(call, error)

    def _refuse_after_error(
        self, call: calls.Call, error: BaseException
    ) -> None:
        self._record_internal_error(call, error)
        outcome = refusals.Outcome.NOT_RUN
        if call.may_have_run:
            outcome = refusals.Outcome.UNKNOWN
        call.refusal = refusals.Refusal(
            500, refusals.Reason.INTERNAL_ERROR, 'internal error', outcome
        )

    def _record_internal_error(
        self, call: calls.Call, error: BaseException
    ) -> None:
        self._router.sink.emit(
            events.Event.INTERNAL_ERROR,
            request_id=call.request_id,
            error=repr(error),
        )

    def _check_request(
        self, request: typing.Any, call: calls.Call
    ) -> refusals.Refusal | None:
        limits = self._get_limits()
        if request.is_too_large:
            request.setHeader('connection', 'close')
            return refusals.Refusal(
                413, refusals.Reason.BODY_TOO_LARGE, 'the body is too large'
            )
        if bounded_requests.measure_headers(request) > limits.header_bytes:
            return refusals.Refusal(
                431,
                refusals.Reason.HEADERS_TOO_LARGE,
                'the headers are too large',
            )
        if self.is_refusing_calls:
            return inform.refuse_stopping()
        if not call.request_id:
            return refusals.Refusal(
                400, refusals.Reason.BAD_REQUEST, 'the request has no id'
            )
        return None

    def _record_end(self, call: calls.Call, has_disconnected: bool) -> None:
        delivery.emit_call_end(call, self._router, has_disconnected)
        now = self._router.runtime.now()
        first_byte_at = call.first_byte_at
        outcome = 'left' if has_disconnected else 'done'
        reason = ''
        if call.refusal is not None:
            outcome = call.refusal.outcome.value
            reason = call.refusal.reason.value
        self._metrics.record_request(
            call.route.semantics.value if call.route else 'unknown',
            outcome,
            reason,
            now - call.received_at,
            None
            if first_byte_at is None
            else first_byte_at - call.received_at,
            0,
        )
        self._record_attempts(call)

    def _record_attempts(self, call: calls.Call) -> None:
        for index, attempt in enumerate(call.attempts):
            self._metrics.record_attempt(
                attempt.describe_end(), index > 0, attempt.expected_seconds
            )
            self._metrics.count_prompt_tokens(attempt.tokens_by_source)
        if call.attempts:
            self._metrics.record_send_delay(
                call.attempts[0].started_at - call.received_at
            )


_TASKS: set[asyncio.Future[None]] = set()
"""Keeps running tasks referenced; asyncio holds only weak references."""
