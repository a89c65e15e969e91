"""Send a call to targets until it is served or sending again is unsafe."""

import asyncio

from returns import pipeline as railway
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import admission
from pistachioseam.forwarding import call_refusals
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import crashes
from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import placement
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import selection
from pistachioseam.forwarding.steps import authenticate
from pistachioseam import interfaces
from pistachioseam import pipeline
from pistachioseam import refusals

MAX_UNSENT = 4
"""Targets that may fail to take the channel before the call is refused."""
MAX_REFUSED = 4
"""Targets that may refuse a call before its caller is told to come back."""
MIN_SECONDS_LEFT = 0.05
"""Less time than this is not worth another send."""
BUSY_SECONDS = 0.25
"""Time for which a target that refused a call is passed over."""
LOGGED_CANDIDATES = 3
"""Candidates whose costs are logged with a decision."""

Kind = interfaces.FailureKind
UNSENT = (Kind.NOT_SENT, Kind.BUSY, Kind.WRONG_TARGET)
"""Failures after which the call has certainly not run."""


@routers.register('forward')
async def forward_call(
    call: calls.Call, router: routers.CallRouter
) -> pipeline.FilterResult:
    """Serve the call within its deadline."""
    assert call.service is not None
    router.budget.note_call(call.service.name, router.runtime.now())
    answer = delivery.Delivery(call, router)
    try:
        async with asyncio.timeout(call.deadline - router.runtime.now()):
            return await _send_until_served(call, router, answer)
    except TimeoutError:
        note_unanswered(call, router)
        return result.Failure(call_refusals.refuse_late(call))


async def _send_until_served(
    call: calls.Call,
    router: routers.CallRouter,
    answer: delivery.Delivery,
) -> pipeline.FilterResult:
    while True:
        chosen = await _choose_target(call, router)
        if not railway.is_successful(chosen):
            return result.Failure(chosen.failure())
        choice = chosen.unwrap()
        failure = await _attempt(call, router, choice, answer)
        if failure is None:
            call.is_served = True
            return pipeline.CONTINUE
        refusal = judge_failure(call, router, failure)
        if refusal is None:
            router.sink.emit(
                events.Event.REQUEST_RETRIED,
                request_id=call.request_id,
                target=choice.target.name,
                failure=failure.kind.value,
                detail=failure.detail,
            )
            continue
        if await answer.deliver_failed():
            call.is_served = True
            return pipeline.CONTINUE
        return result.Failure(refusal)


async def _choose_target(
    call: calls.Call, router: routers.CallRouter
) -> result.Result[selection.Choice, refusals.Refusal]:
    """Return a target that has room, waiting for room if that is short."""
    while True:
        fit = authenticate.check_key(call, router)
        if router.quarantine.is_quarantined(crashes.digest_call(call)):
            return result.Failure(call_refusals.refuse_quarantined(call))
        choice = placement.place_call(call, router)
        if not railway.is_successful(fit) and not call.may_have_run:
            return result.Failure(fit.failure())
        if choice is None:
            return result.Failure(call_refusals.refuse_without_target(call))
        verdict = judge_admission(call, router, choice)
        if isinstance(verdict, admission.Admit):
            return result.Success(choice)
        if isinstance(verdict, admission.Refuse):
            _log_turned_away(call, router, choice, verdict)
            return result.Failure(
                call_refusals.refuse_overloaded(choice, verdict)
            )
        await router.runtime.sleep(verdict.seconds)


def _log_turned_away(
    call: calls.Call,
    router: routers.CallRouter,
    choice: selection.Choice,
    verdict: admission.Refuse,
) -> None:
    router.sink.emit(
        events.Event.CALL_TURNED_AWAY,
        request_id=call.request_id,
        costs=_describe_costs(choice),
        loads=_describe_loads(router, choice),
        retry_after=round(verdict.retry_after_seconds, 2),
    )


def judge_admission(
    call: calls.Call, router: routers.CallRouter, choice: selection.Choice
) -> admission.Verdict:
    """Judge whether a model call is worth sending now.

    Calls that may have run, and those to plain services, always are.
    """
    assert call.route is not None
    if call.prompt is None or call.may_have_run:
        return admission.Admit()
    return admission.judge(
        choice.expected,
        router.runtime.now() - call.received_at,
        call.route.objective_seconds,
        router.random.random(),
    )


async def _attempt(
    call: calls.Call,
    router: routers.CallRouter,
    choice: selection.Choice,
    answer: delivery.Delivery,
) -> interfaces.CallFailure | None:
    target = choice.target
    now = router.runtime.now()
    attempt = calls.CallAttempt(
        target=target, started_at=now, expected=choice.expected
    )
    call.attempts.append(attempt)
    router.sink.emit(
        events.Event.CALL_PLACED,
        request_id=call.request_id,
        target=target.name,
        costs=_describe_costs(choice),
        plan=answer.plan(target),
        configuration=call.desired_version,
        age=round(router.freshness.get_age(router.read_boot_clock()), 3),
    )
    router.health.record_sent(target.name)
    failure = await answer.receive_from(target)
    attempt.failure = failure.kind.value if failure else ''
    note_result(call, router, attempt, failure)
    return failure


def _describe_costs(choice: selection.Choice) -> list[str]:
    """Return the terms of the best candidates' costs, in seconds."""
    return [
        f'{c.target}={c.expected:.3f}+{c.lateness:.3f}+{c.waste:.3f}'
        f'+{c.other:.3f}'
        for c in choice.candidates[:LOGGED_CANDIDATES]
    ]


def _describe_loads(
    router: routers.CallRouter, choice: selection.Choice
) -> list[str]:
    """Return runs, tokens in memory and tokens to read of candidates."""
    now = router.runtime.now()
    described = []
    for candidate in choice.candidates[:LOGGED_CANDIDATES]:
        load = router.loads.get(candidate.target, now)
        described.append(
            f'{candidate.target}={load.runs}/{load.tokens}'
            f'/{load.prefill_tokens}'
        )
    return described


def note_result(
    call: calls.Call,
    router: routers.CallRouter,
    attempt: calls.CallAttempt,
    failure: interfaces.CallFailure | None,
) -> None:
    """Learn from the end of an attempt."""
    name = attempt.target.name
    now = router.runtime.now()
    is_failed = failure is not None and failure.kind is not Kind.WRONG_TARGET
    router.fault_board.note(name, is_failed, now)
    if failure is None or failure.kind is Kind.FAILED:
        router.health.record_success(name)
        router.quarantine.record_completion(crashes.digest_call(call))
        return
    router.sink.emit(
        events.Event.ATTEMPT_FAILED,
        request_id=call.request_id,
        target=name,
        failure=failure.kind.value,
        detail=failure.detail,
        seconds=round(router.runtime.now() - attempt.started_at, 3),
    )
    if failure.kind is Kind.BUSY:
        router.busy_until[name] = router.runtime.now() + BUSY_SECONDS
    elif failure.kind is not Kind.WRONG_TARGET:
        router.health.record_failure(name)
    if failure.kind is Kind.BROKEN:
        router.runtime.start(
            crashes.confirm_crash(call, router, attempt.target)
        )


def note_unanswered(call: calls.Call, router: routers.CallRouter) -> None:
    """Learn that a target has let the deadline of a call pass."""
    if not call.attempts or call.first_byte_at is not None:
        return
    attempt = call.attempts[-1]
    if attempt.failure:
        return
    attempt.failure = Kind.TIMED_OUT.value
    now = router.runtime.now()
    router.fault_board.note(attempt.target.name, True, now)
    router.sink.emit(
        events.Event.ATTEMPT_FAILED,
        request_id=call.request_id,
        target=attempt.target.name,
        failure=attempt.failure,
        detail='the deadline passed',
        seconds=round(now - attempt.started_at, 3),
    )


def judge_failure(
    call: calls.Call,
    router: routers.CallRouter,
    failure: interfaces.CallFailure,
) -> refusals.Refusal | None:
    """Return the refusal, or None when another send is safe."""
    assert call.route is not None and call.service is not None
    now = router.runtime.now()
    if call.may_have_run and not call.is_repeatable():
        return call_refusals.refuse_failed(call, failure)
    if call.deadline - now < MIN_SECONDS_LEFT:
        return call_refusals.refuse_failed(call, failure)
    failures = [attempt.failure for attempt in call.attempts]
    if failures.count(Kind.NOT_SENT.value) >= MAX_UNSENT:
        return call_refusals.refuse_failed(call, failure)
    if failure.kind is Kind.NOT_SENT:
        return None
    refused = failures.count(Kind.BUSY.value)
    if refused + failures.count(Kind.WRONG_TARGET.value) >= MAX_REFUSED:
        return call_refusals.refuse_failed(call, failure)
    unsent = {kind.value for kind in UNSENT}
    ran = {a.target.name for a in call.attempts if a.failure not in unsent}
    if len(ran) >= call.route.max_targets:
        return call_refusals.refuse_failed(call, failure)
    if not router.budget.take(call.service.name, now):
        return call_refusals.refuse_failed(call, failure)
    return None
