"""Delivery of targets' responses to the caller, complete and in order."""

import asyncio
import math
import typing

import attrs
from returns import pipeline as returns_pipeline

from pistachioseam import events
from pistachioseam.forwarding import begin_limits
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import coordinator_clients
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import event_streams
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import response_bodies
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import stream_origins
from pistachioseam import interfaces
from pistachioseam import proofs
from pistachioseam import response_budgets

NON_RETRYABLE_MAX_IDLE_SECONDS = 2.0
"""Maximum idle time of a connection on which a call that may run only once is
sent. The target may have closed an older one without notice, and the outcome
of the call would then be unknown."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell callers that a call has not run and will not run."""
PROOF_SECONDS = 0.4
"""Time in which the response of an engine that has stopped a call at its time
limit arrives."""
EARLY_STOP_SECONDS = 0.05
"""Time before its time limit at which an engine may already stop a call: the
limit is rounded down to ms, and the clocks of engine and host differ."""
CLOCK_RESOLUTION_SECONDS = 0.001
"""Difference of two times that counts as none."""
TIMED_OUT_STATUS = 504
"""Status of a call that its target stopped at the time limit it was given."""
MAX_STALL_SECONDS = 2.0
"""Time in which a part of a body must be read from its target, or accepted by
the caller's side, once the deadline has passed."""
MAX_PRIORITY = 9
"""Largest value, the least urgent, that engines accept."""

Kind = interfaces.FailureKind


@attrs.define
class HeldBody:
    """Body of a response of a target, or its first parts."""

    head: ports.ResponseHead
    parts: response_budgets.HeldParts
    is_complete: bool = False


class Delivery:
    """Response to one call, from one target or from several in succession.

    If a resumable event stream breaks at one target, it is resumed at the
    next. On exit what it holds of a response is released. `time_limit` is that
    of the call.
    """

    def __init__(self, call: calls.Call, router: routers.CallRouter) -> None:
        self._call = call
        self._router = router
        self._body: HeldBody | None = None
        self._error_body: HeldBody | None = None
        self._is_writing_whole = False
        self.time_limit: asyncio.Timeout | None = None
        self._event_sequence = event_streams.EventSequence(
            event_streams.parse_id(call.head.after_event)
        )
        self._target_work: loads.InFlightWork | None = None
        self._source_work: loads.InFlightWork | None = None
        self._ticket: coordinator_clients.Ticket | None = None
        self._has_reported_begin = False
        self._plan: plans.RunPlan | None = None
        self._begin_limit = begin_limits.BeginLimit(lambda: float('inf'))
        self._run_ends_at = float('inf')
        self._is_sent = False

    def __enter__(self) -> typing.Self:
        """Return the delivery."""
        return self

    def __exit__(self, *_: object) -> None:
        """Release what is held of responses."""
        for body in (self._body, self._error_body):
            if body is not None:
                body.parts.clear()

    async def forward_to(
        self, target: catalog.LiveTarget
    ) -> interfaces.CallFailure | None:
        """Send the call to a target and deliver its response.

        Return the failure, or None once the caller has the whole response.
        """
        self._target_work = self._start_work(target)
        self._ticket = self._call.admission_ticket
        self._has_reported_begin = False
        self._call.admission_ticket = None
        self._is_sent = False
        may_have_run_before = self._call.may_have_run
        self._run_ends_at = (
            self._router.runtime.now() + self._get_run_seconds()
        )
        self._begin_limit = begin_limits.BeginLimit(self._get_begin_seconds)
        try:
            async with self._begin_limit:
                failure = await self._send_and_receive(target)
        except TimeoutError:
            if not self._begin_limit.is_exceeded():
                raise
            failure = interfaces.CallFailure(
                Kind.OUTDATED if self._is_sent else Kind.NOT_SENT,
                'not begun while its weights were in use',
            )
        finally:
            self._finish_work()
        if failure is None or proofs.may_have_run(failure.kind):
            self._call.may_have_run = True
        else:
            self._call.may_have_run = may_have_run_before
        return failure

    def _begin_sending(self) -> bool:
        """Return whether the call may be sent now; from then on it may run."""
        if self._call.caller.has_left or not self._call.may_send():
            return False
        self._is_sent = True
        self._call.may_have_run = True
        if self._call.attempts:
            self._call.attempts[-1].is_sent = True
        return True

    def plan(self, target: catalog.LiveTarget) -> str:
        """Plan a model call at a target; return the plan's text for the log.

        The text is empty for calls without a prompt.
        """
        if self._call.prompt is None:
            return ''
        self._plan = plans.plan_run(self._call, self._router, target)
        return self._plan.describe()

    def _get_begin_seconds(self) -> float:
        """Return the time within which the attempt must begin to run.

        Infinite for calls without a prompt. If the engine stops the call in
        time by itself, its proof that the call has not run is waited for.
        """
        if self._plan is None or self._call.prompt is None:
            return float('inf')
        lag_seconds = self.get_weights_lag()
        now = self._router.runtime.now()
        stops_at = min(self._run_ends_at, self._call.deadline)
        run_seconds = self._router.max_run_lag_seconds - lag_seconds
        if stops_at - now <= run_seconds + CLOCK_RESOLUTION_SECONDS:
            return stops_at + PROOF_SECONDS - now
        return self._router.max_begin_lag_seconds - lag_seconds

    def get_weights_lag(self) -> float:
        """Return for how many seconds the plan's weights are outdated.

        0 for the newest version, and for calls without a prompt.
        """
        if self._plan is None or self._call.prompt is None:
            return 0.0
        return self._router.desired.get_lag_seconds(
            self._call.prompt.model,
            self._plan.version,
            self._router.read_boot_clock(),
        )

    def _get_run_seconds(self) -> float:
        """Return the time limit of a run on outdated weights.

        Infinite for calls on the newest weights, and where the caller's own
        deadline is earlier.
        """
        lag_seconds = self.get_weights_lag()
        seconds = self._router.max_run_lag_seconds - lag_seconds
        deadline_seconds = self._call.deadline - self._router.runtime.now()
        if not lag_seconds or seconds >= deadline_seconds:
            return float('inf')
        return seconds

    def _finish_work(self) -> None:
        for work in (self._target_work, self._source_work):
            if work is not None:
                self._router.loads.finish(work)
        self._target_work = self._source_work = None
        if self._ticket is not None and self._router.coordinators is not None:
            self._router.coordinators.report_ended(self._ticket)
        self._ticket = None

    def _start_work(self, target: catalog.LiveTarget) -> loads.InFlightWork:
        prompt = self._call.prompt
        now = self._router.runtime.now()
        plan = self._plan
        if prompt is None or plan is None:
            return self._router.loads.start_call(target.name, 0, 0, now=now)
        if self._call.attempts:
            self._call.attempts[-1].tokens_by_source = plan.count_tokens()
        plans.record_sent_call(self._router, target, plan)
        transfer_ms = int(plan.source.seconds * plans.MS_PER_SECOND)
        if plan.source.name:
            self._source_work = self._router.loads.start_transfer(
                plan.source.name, transfer_ms
            )
        prefill_tokens = plan.own_tokens + plan.recomputed_tokens
        return self._router.loads.start_call(
            target.name,
            prefill_tokens + plan.source.tokens + prompt.output_tokens,
            prefill_tokens,
            transfer_ms,
            self._call.is_urgent(),
            now,
        )

    async def _send_and_receive(
        self, target: catalog.LiveTarget
    ) -> interfaces.CallFailure | None:
        outgoing = create_outgoing(
            self._call, self._router, target, self._event_sequence.last_id
        )
        if self._plan is not None:
            outgoing = add_plan(outgoing, self._call, self._plan)
        run_seconds = self._run_ends_at - self._router.runtime.now()
        outgoing = attrs.evolve(
            outgoing,
            run_seconds_left=run_seconds,
            begin_sending=self._begin_sending,
            caller=self._call.caller,
        )
        sent = await self._router.connections.send(target.address, outgoing)
        if not returns_pipeline.is_successful(sent):
            self._record_connection(sent.failure().connection)
            return self._explain_failure(sent.failure())
        response = sent.unwrap()
        self._record_connection(response.connection)
        try:
            failure = await self._process_response(target, response)
        finally:
            response.abort()
        return self._explain_failure(failure)

    def _record_connection(self, connection: str) -> None:
        if self._call.attempts:
            self._call.attempts[-1].connection = connection

    def _explain_failure(
        self, failure: interfaces.CallFailure | None
    ) -> interfaces.CallFailure | None:
        """Return the failure of an attempt by its cause.

        A response that breaks once the time limit for outdated weights has
        passed was stopped for it; the engine is sound.
        """
        if (
            failure is not None
            and failure.kind is Kind.BROKEN
            and self._is_run_ended()
        ):
            return _stop_outdated()
        return failure

    def _has_run_limit(self) -> bool:
        """Return whether the attempt has a limit for outdated weights."""
        return not math.isinf(self._run_ends_at)

    def _is_run_ended(self) -> bool:
        """Return whether the time limit for outdated weights has passed."""
        return self._router.runtime.now() >= self._run_ends_at

    def _is_stopped(self, response: ports.OpenResponse) -> bool:
        """Return whether the end of a body may be that of its time limit.

        Only a body that ends with its connection may have been stopped.
        Relaying hosts of former builds tell that only of declared lengths.
        """
        is_end_marked = (
            response.is_end_marked or response.declared_bytes is not None
        )
        stops_at = self._run_ends_at - EARLY_STOP_SECONDS
        return not is_end_marked and self._router.runtime.now() >= stops_at

    async def _process_response(
        self, target: catalog.LiveTarget, response: ports.OpenResponse
    ) -> interfaces.CallFailure | None:
        """Deliver a response.

        Return the failure if it was not delivered in full, otherwise None.
        """
        head = response.head
        self._log_doubts(head)
        if is_own_head(self._call, head):
            self._record_weights_version(target, head)
        failure = check_head(self._call, head)
        if failure is not None:
            if failure.kind is Kind.BROKEN:
                # The response that the call waits for may still come.
                response.drop()
            return failure
        assert self._call.route is not None
        is_stream = self._call.route.semantics.is_stream()
        if is_stream and head.status == 200:
            return await self._deliver_events(response)
        self._begin_limit.end()
        return await self._deliver_body(response)

    async def _deliver_body(
        self, response: ports.OpenResponse
    ) -> interfaces.CallFailure | None:
        """Deliver a body once it is complete, or in parts if it is large.

        Until its first part is sent, another target may be tried.
        """
        head = response.head
        parts = response_budgets.HeldParts(self._router.response_budget)
        body = self._body = HeldBody(head, parts)
        held = await response_bodies.hold_body(response, parts)
        if not returns_pipeline.is_successful(held):
            return held.failure()
        body.is_complete = held.unwrap()
        failure = self._check_body(body, response)
        if failure is not None:
            if body is not self._error_body:
                parts.clear()
            return failure
        if body.is_complete:
            await self._write_body(body)
            return None
        return await self._pass_on(body, response)

    def _check_body(
        self, body: HeldBody, response: ports.OpenResponse
    ) -> interfaces.CallFailure | None:
        """Return the failure if a body must not be delivered now.

        A complete 5xx response is kept, in case no other attempt succeeds.
        """
        status = body.head.status
        if body.is_complete and self._is_stopped(response):
            return _stop_outdated()
        if status == TIMED_OUT_STATUS and self._has_run_limit():
            return _stop_outdated()
        if (
            status >= 500
            and self._call.is_retryable()
            and (body.is_complete or self._has_further_attempts())
        ):
            if body.is_complete:
                self._keep_error(body)
            return interfaces.CallFailure(Kind.FAILED, f'status {status}')
        if self._call.reply.is_begun():
            return interfaces.CallFailure(
                Kind.BROKEN,
                f'status {status} instead of the rest of the stream',
            )
        return None

    def _keep_error(self, body: HeldBody) -> None:
        if self._error_body is not None:
            self._error_body.parts.clear()
        self._error_body = body

    def _has_further_attempts(self) -> bool:
        assert self._call.route is not None
        return len(self._call.attempts) < self._call.route.max_targets

    async def _pass_on(
        self, body: HeldBody, response: ports.OpenResponse
    ) -> interfaces.CallFailure | None:
        """Deliver a body in parts, as fast as the caller reads.

        A body that breaks is truncated for the caller too.
        """
        self._call.has_partial_body = True
        await self._begin_body(body.head, response.declared_bytes)
        if response.declared_bytes is not None and self.time_limit is not None:
            self.time_limit.reschedule(None)
        while True:
            for part in body.parts:
                async with asyncio.timeout(self._get_part_seconds()):
                    await self._call.reply.write(part)
            async with asyncio.timeout(self._get_part_seconds()):
                read = await response.read()
            if not returns_pipeline.is_successful(read):
                return read.failure()
            if not read.unwrap():
                break
            body.parts.add(read.unwrap())
        return _stop_outdated() if self._is_stopped(response) else None

    def _get_part_seconds(self) -> float:
        """Return the time limit of one part of a body.

        A body of known length goes on after the deadline while it advances.
        """
        seconds_left = self._call.deadline - self._router.runtime.now()
        return max(seconds_left, MAX_STALL_SECONDS)

    def _log_doubts(self, head: ports.ResponseHead) -> None:
        """Log a response that does not prove what its status says."""
        doubts = []
        if head.is_ambiguous:
            doubts.append('head of two responses')
        if promises_without_proof(head):
            doubts.append('no proof that the call has not run')
        if doubts:
            self._router.sink.emit(
                events.Event.RESPONSE_DOUBTFUL,
                request_id=self._call.request_id,
                status=head.status,
                response_id=head.request_id,
                stamp=head.stamp,
                doubts=doubts,
            )

    def _record_weights_version(
        self, target: catalog.LiveTarget, head: ports.ResponseHead
    ) -> None:
        prompt = self._call.prompt
        if prompt is None:
            return
        if head.weights_version is not None:
            self._router.weights.record(
                target, prompt.model, head.weights_version
            )
        elif head.status == 421 and head.other_incarnation in (
            '',
            target.name,
        ):
            # The expected incarnation rejected the weights version that was
            # sent. It may run the newest one, or one in between.
            newest_version = self._router.desired.get_newest_version(
                prompt.model
            )
            self._router.weights.assume(target, prompt.model, newest_version)

    async def _begin_body(
        self, head: ports.ResponseHead, length: int | None
    ) -> None:
        self._call.status = head.status
        self._record_first_byte()
        headers = head.headers
        if length is not None:
            headers = (*headers, (b'Content-Length', b'%d' % length))
        await self._call.reply.begin(head.status, headers)

    async def _write_body(self, body: HeldBody) -> None:
        """Deliver a complete response; its target is done with the call."""
        self._is_writing_whole = True
        await self._begin_body(body.head, body.parts.held_bytes)
        self._finish_work()
        for part in body.parts:
            await self._call.reply.write(part)

    async def deliver_error_response(self) -> bool:
        """Deliver the last 5xx response; return whether it was delivered.

        Nothing is sent when the caller has already received a status.
        """
        if self._error_body is None or self._call.reply.is_begun():
            return False
        self._body = self._error_body
        await self._write_body(self._error_body)
        return True

    def deliver_late(self) -> bool:
        """Send the rest of a complete response once the deadline has passed.

        Return whether its delivery had begun.
        """
        if self._body is None or not self._is_writing_whole:
            return False
        for part in self._body.parts:
            self._call.reply.write_late(part)
        return True

    def _record_first_byte(self) -> None:
        if self._call.first_byte_at is None:
            self._call.first_byte_at = self._router.runtime.now()
        if self._target_work is not None:
            self._router.loads.finish_prefill(self._target_work)
        self._report_begun()
        if self._plan is not None and self._call.attempts:
            attempt = self._call.attempts[-1]
            now = self._router.runtime.now()
            self._router.slowdown_tracker.record(
                attempt.target.name,
                attempt.expected_seconds,
                now - attempt.started_at,
                now,
            )
            self._report_outdated_begin(attempt)
        if self._source_work is not None:
            self._router.loads.finish(self._source_work)
            self._source_work = None

    def _report_begun(self) -> None:
        """Tell the engine's coordinator once that the call has begun."""
        if (
            self._ticket is not None
            and not self._has_reported_begin
            and self._router.coordinators is not None
        ):
            self._has_reported_begin = True
            self._router.coordinators.report_begun(self._ticket)

    def _report_outdated_begin(self, attempt: calls.CallAttempt) -> None:
        """Log a call that began after its weights were too old to send it."""
        assert self._plan is not None
        now = self._router.runtime.now()
        lag_seconds = self.get_weights_lag()
        if lag_seconds <= self._router.max_weights_lag_seconds:
            return
        self._router.sink.emit(
            events.Event.CALL_BEGAN_OUTDATED,
            request_id=self._call.request_id,
            target=attempt.target.name,
            version=self._plan.version,
            lag=round(lag_seconds, 3),
            waited=round(now - attempt.started_at, 3),
        )

    async def _deliver_events(
        self, response: ports.OpenResponse
    ) -> interfaces.CallFailure | None:
        """Deliver complete events as they arrive, to the end of the body."""
        splitter = event_streams.EventSplitter()
        while True:
            read = await response.read()
            if not returns_pipeline.is_successful(read):
                return read.failure()
            data = read.unwrap()
            if not data:
                break
            for event in splitter.feed(data):
                self._begin_limit.end()
                action = self._event_sequence.check_next(event)
                if action is event_streams.EventAction.GAP:
                    return _give_up('events are missing from the stream')
                if action is event_streams.EventAction.DELIVER:
                    await self._write_event(response.head, event)
            if splitter.is_too_large():
                return _give_up('an event of the stream is too large')
        if not splitter.is_between_events():
            return interfaces.CallFailure(
                Kind.BROKEN, 'the stream ended inside an event'
            )
        if self._is_stopped(response):
            return _stop_outdated()
        await self._begin_reply(response.head)
        return None

    async def _write_event(
        self, head: ports.ResponseHead, event: event_streams.StreamEvent
    ) -> None:
        attempts = self._call.attempts
        if attempts and attempts[-1].first_event_at is None:
            attempts[-1].first_event_at = self._router.runtime.now()
            self._record_origin(attempts[-1].target)
        await self._begin_reply(head)
        await self._call.reply.write(event.data)

    def _record_origin(self, target: catalog.LiveTarget) -> None:
        """Record what writes a stream that the caller may resume."""
        call = self._call
        assert call.route is not None
        if call.route.semantics is not desired.CallSemantics.RESUMABLE:
            return
        call.origin = stream_origins.StreamOrigin(
            target.service, target.software_version
        )
        self._router.stream_origins.record(
            call.get_stream_key(), call.origin, self._router.runtime.now()
        )

    async def _begin_reply(self, head: ports.ResponseHead) -> None:
        if self._call.reply.is_begun():
            return
        self._call.status = head.status
        self._record_first_byte()
        await self._call.reply.begin(head.status, head.headers)


def _stop_outdated() -> interfaces.CallFailure:
    """Return the failure of a call that its target stopped at the limit."""
    return interfaces.CallFailure(
        Kind.OUTDATED, 'stopped at the time limit of its weights'
    )


def _give_up(detail: str) -> interfaces.CallFailure:
    """Return the failure of a call whose target may still work on it."""
    return interfaces.CallFailure(Kind.BROKEN, detail, is_given_up=True)


def promises_without_proof(head: ports.ResponseHead) -> bool:
    """Return whether a status promises what its target has not proved."""
    return head.status in NOT_RUN_STATUSES and not head.is_not_run


def is_own_head(call: calls.Call, head: ports.ResponseHead) -> bool:
    """Return whether all of a head belongs to the response to a call."""
    return head.request_id == call.request_id and not head.is_ambiguous


def check_head(
    call: calls.Call, head: ports.ResponseHead
) -> interfaces.CallFailure | None:
    """Return the failure if a response must be discarded, otherwise None.

    Whose response it is is checked first: a late copy of another response, a
    rejection too, says nothing about this call.
    """
    if head.is_ambiguous:
        return _give_up('head of two responses')
    if head.request_id != call.request_id:
        return _give_up('response with another request id')
    if head.status == 421:
        return interfaces.CallFailure(
            Kind.WRONG_TARGET,
            'status 421 from '
            f'{head.other_incarnation or "a target with other weights"}',
        )
    if head.is_not_run:
        return interfaces.CallFailure(Kind.BUSY, f'status {head.status}')
    if promises_without_proof(head) and not call.is_retryable():
        return interfaces.CallFailure(
            Kind.UNPROVEN, f'status {head.status} without proof'
        )
    if not head.stamp and head.status < 400:
        return _give_up('response without a server stamp')
    if head.is_encoded:
        return _give_up('response with a content encoding')
    return None


def create_outgoing(
    call: calls.Call,
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    last_event_id: int | None,
) -> ports.OutgoingCall:
    """Return the call as it is sent to a target.

    `last_event_id` is the id of the last event that the caller has received,
    None if it has received none through this host.
    """
    return ports.OutgoingCall(
        request_id=call.request_id,
        method=call.method,
        uri=call.uri,
        headers=call.head.headers,
        body=call.body,
        seconds_left=call.deadline - router.runtime.now(),
        incarnation=target.name,
        account=call.get_account_name(),
        max_idle_seconds=float('inf')
        if call.is_retryable()
        else NON_RETRYABLE_MAX_IDLE_SECONDS,
        needs_new_connection=_was_tried(call, target.address),
        is_retryable=call.is_retryable(),
        after_event=call.head.after_event
        if last_event_id is None
        else (str(last_event_id)),
    )


def _was_tried(call: calls.Call, address: str) -> bool:
    """Return whether an attempt at an address has failed.

    A late copy of its response would bear the id of the next attempt. This
    host's connections carry an id once; relaying hosts of earlier builds need
    to be told.
    """
    return any(
        attempt.failure and attempt.target.address == address
        for attempt in call.attempts
    )


def add_plan(
    outgoing: ports.OutgoingCall, call: calls.Call, plan: plans.RunPlan
) -> ports.OutgoingCall:
    """Add what an engine needs to run a plan.

    This is the cache salt, the weights version, the priority and the addresses
    for KV cache transfers.
    """
    return attrs.evolve(
        outgoing,
        cache_salt=plan.salt,
        weights_version=plan.version or None,
        priority=min(MAX_PRIORITY, max(0, call.get_priority())),
        fetch_from=plan.fetch_from,
        save_to=plan.save_to,
    )


def emit_call_end(
    call: calls.Call, router: routers.CallRouter, has_caller_disconnected: bool
) -> None:
    """Log the outcome of a call with its attempts and times in seconds."""
    refusal = call.refusal
    event = events.Event.REQUEST_ENDED
    if has_caller_disconnected:
        event = events.Event.CALLER_LEFT
    elif refusal is not None and call.status:
        event = events.Event.STREAM_FAILED
    elif refusal is not None:
        event = events.Event.REQUEST_REFUSED
    now = router.runtime.now()
    first_byte_at = call.first_byte_at
    router.sink.emit(
        event,
        request_id=call.request_id,
        route=call.route.name if call.route else '',
        account=call.get_account_name(),
        status=refusal.status if refusal else call.status,
        reason=refusal.reason.value if refusal else '',
        detail=refusal.message if refusal else '',
        attempts=call.describe_attempts(),
        connections=[attempt.connection for attempt in call.attempts],
        first_byte=None
        if first_byte_at is None
        else round(first_byte_at - call.received_at, 3),
        seconds=round(now - call.received_at, 3),
    )
