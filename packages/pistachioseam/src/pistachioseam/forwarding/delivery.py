"""Delivery of targets' answers to the caller, whole and in order."""

import attrs
from returns import pipeline as railway
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import event_streams
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces

MAX_ANSWER_BYTES = 8_388_608
"""Whole answers are held in memory until they are complete."""
ONCE_IDLE_SECONDS = 2.0
"""Idle time of a channel for calls that may run once only. A target may have
dropped it silently, and such a call is lost then."""
MAX_URGENCY = 9
"""Least urgent class that engines know."""

Kind = interfaces.FailureKind


@attrs.frozen
class WholeAnswer:
    """Answer of a target that has been read to its end."""

    head: ports.AnswerHead
    body: bytes = attrs.field(repr=False)


class Delivery:
    """Answer to one call, possibly joined from several targets."""

    def __init__(self, call: calls.Call, router: routers.CallRouter) -> None:
        self._call = call
        self._router = router
        self._failed: WholeAnswer | None = None
        last = call.head.after_event
        self._order = event_streams.EventOrder(
            int(last) if last.isdigit() else None
        )
        self._ticket: loads.InFlightWork | None = None
        self._source_ticket: loads.InFlightWork | None = None
        self._plan: plans.RunPlan | None = None

    async def receive_from(
        self, target: catalog.LiveTarget
    ) -> interfaces.CallFailure | None:
        """Send to the target of the plan and deliver what it answers."""
        self._ticket = self._begin_load(target)
        ran_before = self._call.may_have_run
        self._call.may_have_run = True
        try:
            failure = await self._exchange(target)
        finally:
            self._end_loads()
        if failure is not None and failure.kind in (
            Kind.NOT_SENT,
            Kind.BUSY,
            Kind.WRONG_TARGET,
        ):
            self._call.may_have_run = ran_before
        return failure

    def plan(self, target: catalog.LiveTarget) -> str:
        """Plan a run at a target; return what it would read and fetch."""
        if self._call.prompt is None:
            return ''
        self._plan = plans.plan_run(self._call, self._router, target)
        return self._plan.describe()

    def _end_loads(self) -> None:
        for ticket in (self._ticket, self._source_ticket):
            if ticket is not None:
                self._router.loads.finish(ticket)
        self._ticket = self._source_ticket = None

    def _begin_load(self, target: catalog.LiveTarget) -> loads.InFlightWork:
        prompt = self._call.prompt
        now = self._router.runtime.now()
        plan = self._plan
        if prompt is None or plan is None:
            return self._router.loads.start_call(target.name, 0, 0, now=now)
        if self._call.attempts:
            self._call.attempts[-1].prompt_tokens = plan.count_tokens()
        plans.record_sent_call(self._router, target, plan)
        transfer_ms = int(plan.source.seconds * plans.MS_PER_SECOND)
        if plan.source.name:
            self._source_ticket = self._router.loads.start_transfer(
                plan.source.name, transfer_ms
            )
        read = plan.own_tokens + plan.uncached_tokens
        return self._router.loads.start_call(
            target.name,
            read + plan.source.tokens + prompt.output_tokens,
            read,
            transfer_ms,
            self._call.is_urgent(),
            now,
        )

    async def _exchange(
        self, target: catalog.LiveTarget
    ) -> interfaces.CallFailure | None:
        outgoing = create_outgoing(
            self._call, self._router, target, self._order.last_id
        )
        if self._plan is not None:
            outgoing = add_plan(outgoing, self._call, self._plan)
        sent = await self._router.link.send(target.address, outgoing)
        if not railway.is_successful(sent):
            return sent.failure()
        answer = sent.unwrap()
        try:
            return await self._take(target, answer)
        finally:
            answer.abort()

    async def _take(
        self, target: catalog.LiveTarget, answer: ports.OpenAnswer
    ) -> interfaces.CallFailure | None:
        """Deliver an answer if it is the target's own and final."""
        head = answer.head
        self._learn_weights(target, head)
        failure = check_head(self._call, head)
        if failure is not None:
            return failure
        assert self._call.route is not None
        is_stream = self._call.route.semantics.is_stream()
        if is_stream and head.status == 200:
            return await self._relay(answer)
        read = await read_whole(answer)
        if not railway.is_successful(read):
            return read.failure()
        whole = WholeAnswer(head, read.unwrap())
        if head.status >= 500 and self._call.is_repeatable():
            self._failed = whole
            return interfaces.CallFailure(Kind.FAILED, f'status {head.status}')
        if self._call.reply.is_begun():
            return interfaces.CallFailure(Kind.BROKEN, f'status {head.status}')
        await self._deliver(whole)
        return None

    def _learn_weights(
        self, target: catalog.LiveTarget, head: ports.AnswerHead
    ) -> None:
        prompt = self._call.prompt
        if prompt is None:
            return
        if head.weights_version is not None:
            self._router.weights.note(
                target, prompt.model, head.weights_version
            )
        elif head.status == 421 and not head.other_incarnation:
            named = self._router.desired.get_named(prompt.model)
            self._router.weights.note(target, prompt.model, named)

    async def _deliver(self, whole: WholeAnswer) -> None:
        self._call.status = whole.head.status
        self._note_first_byte()
        length = (b'Content-Length', b'%d' % len(whole.body))
        headers = (*whole.head.headers, length)
        await self._call.reply.begin(whole.head.status, headers)
        await self._call.reply.write(whole.body)

    async def deliver_failed(self) -> bool:
        """Deliver a target's own failure if nothing better came."""
        if self._failed is None or self._call.reply.is_begun():
            return False
        await self._deliver(self._failed)
        return True

    def _note_first_byte(self) -> None:
        if self._call.first_byte_at is None:
            self._call.first_byte_at = self._router.runtime.now()
        if self._ticket is not None:
            self._router.loads.finish_prefill(self._ticket)
        if self._plan is not None and self._call.attempts:
            attempt = self._call.attempts[-1]
            now = self._router.runtime.now()
            self._router.pace_board.record(
                attempt.target.name,
                attempt.expected,
                now - attempt.started_at,
                now,
            )
        if self._source_ticket is not None:
            self._router.loads.finish(self._source_ticket)
            self._source_ticket = None

    async def _relay(
        self, answer: ports.OpenAnswer
    ) -> interfaces.CallFailure | None:
        """Deliver whole events as they come, until the proven end."""
        splitter = event_streams.EventSplitter()
        while True:
            read = await answer.read()
            if not railway.is_successful(read):
                return read.failure()
            data = read.unwrap()
            if not data:
                break
            for event in splitter.feed(data):
                verdict = self._order.judge(event)
                if verdict is event_streams.Verdict.GAP:
                    return interfaces.CallFailure(Kind.BROKEN, 'events lost')
                if verdict is event_streams.Verdict.DELIVER:
                    await self._deliver_event(answer.head, event)
        if not splitter.is_between_events():
            return interfaces.CallFailure(Kind.BROKEN, 'event cut off')
        await self._begin_stream(answer.head)
        return None

    async def _deliver_event(
        self, head: ports.AnswerHead, event: event_streams.StreamEvent
    ) -> None:
        await self._begin_stream(head)
        await self._call.reply.write(event.data)

    async def _begin_stream(self, head: ports.AnswerHead) -> None:
        if self._call.reply.is_begun():
            return
        self._call.status = head.status
        self._note_first_byte()
        await self._call.reply.begin(head.status, head.headers)


def check_head(
    call: calls.Call, head: ports.AnswerHead
) -> interfaces.CallFailure | None:
    """Return why an answer cannot be the target's answer to this call."""
    if head.status == 421:
        return interfaces.CallFailure(
            Kind.WRONG_TARGET,
            f'answered by {head.other_incarnation or "other weights"}',
        )
    if head.is_not_run:
        return interfaces.CallFailure(Kind.BUSY, f'status {head.status}')
    if head.request_id != call.request_id:
        return interfaces.CallFailure(Kind.BROKEN, 'answer to another call')
    if not head.stamp and head.status < 400:
        return interfaces.CallFailure(Kind.BROKEN, 'answer without stamp')
    if head.is_encoded:
        return interfaces.CallFailure(Kind.BROKEN, 'encoded answer')
    return None


async def read_whole(
    answer: ports.OpenAnswer,
) -> result.Result[bytes, interfaces.CallFailure]:
    """Return the whole body of an answer, within a bound."""
    parts: list[bytes] = []
    size = 0
    while True:
        read = await answer.read()
        if not railway.is_successful(read):
            return read
        data = read.unwrap()
        if not data:
            return result.Success(b''.join(parts))
        parts.append(data)
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            failure = interfaces.CallFailure(Kind.BROKEN, 'answer too large')
            return result.Failure(failure)


def create_outgoing(
    call: calls.Call,
    router: routers.CallRouter,
    target: catalog.LiveTarget,
    last_event: int | None,
) -> ports.OutgoingCall:
    """Return the call as it is sent to a target."""
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
        if call.is_repeatable()
        else ONCE_IDLE_SECONDS,
        after_event=call.head.after_event
        if last_event is None
        else (str(last_event)),
    )


def add_plan(
    outgoing: ports.OutgoingCall, call: calls.Call, plan: plans.RunPlan
) -> ports.OutgoingCall:
    """Add what a planned run says to its engine."""
    return attrs.evolve(
        outgoing,
        cache_salt=plan.salt,
        weights_version=plan.version or None,
        urgency=min(MAX_URGENCY, max(0, call.get_rank())),
        fetch_from=plan.fetch_from,
        save_to=plan.save_to,
    )


def emit_end(
    call: calls.Call, router: routers.CallRouter, caller_left: bool
) -> None:
    """Log the end of a call with what decided it."""
    refusal = call.refusal
    event = events.Event.REQUEST_ENDED
    if caller_left:
        event = events.Event.CALLER_LEFT
    elif refusal is not None and call.status:
        event = events.Event.STREAM_FAILED
    elif refusal is not None:
        event = events.Event.REQUEST_REFUSED
    now = router.runtime.now()
    first = call.first_byte_at
    router.sink.emit(
        event,
        request_id=call.request_id,
        route=call.route.name if call.route else '',
        account=call.get_account_name(),
        status=refusal.status if refusal else call.status,
        reason=refusal.reason.value if refusal else '',
        detail=refusal.message if refusal else '',
        attempts=[
            f'{attempt.target.name}:{attempt.failure or "ok"}'
            for attempt in call.attempts
        ],
        first_byte=None
        if first is None
        else round(first - call.received_at, 3),
        seconds=round(now - call.received_at, 3),
    )
