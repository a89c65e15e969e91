"""Send a call to targets until it is served or must not be retried."""

import asyncio

from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import events
from pistachioseam import filter_chains
from pistachioseam.forwarding import admission
from pistachioseam.forwarding import call_refusals
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import crashes
from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import engine_admission
from pistachioseam.forwarding import placement
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import selection
from pistachioseam.forwarding import software_versions
from pistachioseam.forwarding.steps import authenticate
from pistachioseam import interfaces
from pistachioseam import proofs
from pistachioseam import refusals

MAX_CONNECT_FAILURES = 4
"""Attempts that may fail to connect before the call is refused."""
MAX_REJECTIONS = 4
"""Attempts that targets may reject before the call is refused."""
MIN_RETRY_SECONDS_LEFT = 0.05
"""Minimum time left before the deadline for a retry."""
BUSY_BACKOFF_SECONDS = 0.25
"""Time for which other targets are preferred after one rejected a call."""
MAX_DOUBT_SECONDS = 1.5
"""Longest wait of a stream for the entries of targets that may have restarted:
they are read about once a second, and callers give up after two."""
DOUBT_CHECK_SECONDS = 0.1
"""Pause between two checks during that wait."""
FIRST_STEP_SECONDS = 0.008
"""Time of an engine's set-up and of the step that generates the first token,
as documented by the platform."""
MAX_LOGGED_CANDIDATES = 3
"""Best candidates whose costs and loads are logged with a decision."""

Kind = interfaces.FailureKind


@routers.register('forward')
async def forward_call(
    call: calls.Call, router: routers.CallRouter
) -> filter_chains.FilterResult:
    """Send the call unless it is in progress under its request id."""
    with router.in_progress.hold(call) as is_alone:
        if not is_alone:
            return result.Failure(call_refusals.refuse_in_progress())
        return await _forward_in_time(call, router)


async def _forward_in_time(
    call: calls.Call, router: routers.CallRouter
) -> filter_chains.FilterResult:
    """Send the call and deliver the response before its deadline."""
    assert call.service is not None
    router.budget.record_call(call.service.name, router.runtime.now())
    call.grant = router.quotas.create_grant(
        call.account, call.head.token_count, call.request_id
    )
    with delivery.Delivery(call, router) as delivery_:
        try:
            seconds = call.deadline - router.runtime.now()
            async with asyncio.timeout(seconds) as time_limit:
                delivery_.time_limit = time_limit
                return await _send_until_served(call, router, delivery_)
        except TimeoutError:
            if delivery_.deliver_late():
                call.is_served = True
                return filter_chains.CONTINUE
            record_deadline_exceeded(call, router)
            return result.Failure(call_refusals.refuse_deadline_exceeded(call))
        finally:
            call.grant.end(call.may_have_run)
            _release_admission(call, router)


def _release_admission(call: calls.Call, router: routers.CallRouter) -> None:
    """Give up the admission to an engine that the call is not sent to."""
    if call.admission_ticket is not None and router.coordinators is not None:
        router.coordinators.report_ended(call.admission_ticket)
    call.admission_ticket = None


async def _send_until_served(
    call: calls.Call,
    router: routers.CallRouter,
    delivery_: delivery.Delivery,
) -> filter_chains.FilterResult:
    assert call.grant is not None
    while True:
        over_quota = await call.grant.acquire()
        if over_quota is not None:
            return result.Failure(over_quota)
        chosen = await _wait_for_target(call, router)
        if not returns_pipeline.is_successful(chosen):
            return result.Failure(chosen.failure())
        if not call.may_send():
            # The grant expired during the wait. What may have changed while
            # the issuer is asked again is checked again too.
            _release_admission(call, router)
            continue
        choice = chosen.unwrap()
        failure = await _make_attempt(call, router, choice, delivery_)
        if failure is None:
            call.is_served = True
            return filter_chains.CONTINUE
        call.grant.is_used = call.may_have_run
        refusal = decide_retry(call, router, failure)
        if refusal is None:
            router.sink.emit(
                events.Event.REQUEST_RETRIED,
                request_id=call.request_id,
                target=choice.target.name,
                failure=failure.kind.value,
                detail=failure.detail,
            )
            continue
        if await delivery_.deliver_error_response():
            call.is_served = True
            return filter_chains.CONTINUE
        return result.Failure(refusal)


async def _wait_for_target(
    call: calls.Call, router: routers.CallRouter
) -> result.Result[selection.Choice, refusals.Refusal]:
    """Return the best target, waiting for admission control and permits.

    Everything that may change during the wait is checked again each time.
    """
    max_doubt_at = router.runtime.now() + MAX_DOUBT_SECONDS
    max_listing_at = (
        router.runtime.now() + software_versions.STORE_WAIT_SECONDS
    )
    search = engine_admission.AdmissionSearch(call, router)
    while True:
        refusal = await crashes.check_quarantine(call, router)
        if refusal is not None:
            return result.Failure(refusal)
        key_check = authenticate.check_key_freshness(call, router)
        choice = placement.place_call(call, router)
        if (
            not returns_pipeline.is_successful(key_check)
            and not call.may_have_run
        ):
            return result.Failure(key_check.failure())
        if choice is None:
            is_doubtful = _reconnect_doubtful(call, router)
            if is_doubtful and router.runtime.now() < max_doubt_at:
                await router.runtime.sleep(DOUBT_CHECK_SECONDS)
                continue
            listing_seconds = max_listing_at - router.runtime.now()
            if listing_seconds > 0 and placement.awaits_listing(call, router):
                await router.software.wait_for_update(listing_seconds)
                continue
            pause = placement.get_pause_seconds(call, router)
            if pause is not None and _can_wait(call, router, pause):
                await router.runtime.sleep(pause)
                continue
            return result.Failure(
                call_refusals.refuse_without_target(
                    call, pause, router.random.random()
                )
            )
        decision = None
        is_asked = search.is_needed()
        if is_asked:
            decision = await search.decide(choice)
        if decision is None:
            decision = decide_admission(call, router, choice)
        if isinstance(decision, admission.Admit):
            if (
                not is_asked or _may_still_be_sent(call, router, choice.target)
            ) and await _acquire_permit(call, router, choice.target):
                return result.Success(choice)
            _release_admission(call, router)
            continue
        if isinstance(decision, admission.Refuse):
            _log_overload(call, router, choice, decision)
            return result.Failure(
                call_refusals.refuse_overloaded(choice, decision)
            )
        await router.runtime.sleep(decision.seconds)


def _reconnect_doubtful(call: calls.Call, router: routers.CallRouter) -> bool:
    """Connect to doubtful targets that may go on with the call's stream.

    Return whether there are any.
    """
    assert call.service is not None
    doubtful = [
        target
        for target in router.catalog.list_service(call.service.name)
        if placement.is_origin(call, target)
        and router.catalog.is_available(target)
        and router.is_doubtful(target)
    ]
    for target in doubtful:
        router.runtime.start(
            router.target_doubts.reconnect(target.address, router.connections)
        )
    return bool(doubtful)


async def _acquire_permit(
    call: calls.Call, router: routers.CallRouter, target: catalog.LiveTarget
) -> bool:
    """Return whether the call may be sent now; permits need limited targets.

    What may have changed while the issuer was asked is checked again.
    """
    incarnation = target.get_incarnation()
    limit = router.rate_limits.get_report(incarnation, router.runtime.now())
    if limit is None or limit.rate is None:
        return True
    if not await router.permits.acquire(limit):
        return False
    return _may_still_be_sent(call, router, target)


def _may_still_be_sent(
    call: calls.Call, router: routers.CallRouter, target: catalog.LiveTarget
) -> bool:
    """Return whether a call may be sent after other hosts were asked."""
    incarnation = target.get_incarnation()
    known = router.catalog.get(target.name)
    is_current = (
        known is not None
        and known.get_incarnation() == incarnation
        and router.catalog.is_available(known)
    )
    key_check = authenticate.check_key_freshness(call, router)
    return (
        is_current
        and router.notices.accepts_calls(target, router.runtime.now())
        and (returns_pipeline.is_successful(key_check) or call.may_have_run)
    )


def _can_wait(
    call: calls.Call, router: routers.CallRouter, seconds: float
) -> bool:
    """Return whether a call may be held for so long without a target."""
    assert call.route is not None
    waited_seconds = router.runtime.now() - call.received_at
    limit_seconds = call.route.objective_seconds * admission.MAX_HOLD_FRACTION
    return waited_seconds + seconds <= limit_seconds


def _log_overload(
    call: calls.Call,
    router: routers.CallRouter,
    choice: selection.Choice,
    decision: admission.Refuse,
) -> None:
    router.sink.emit(
        events.Event.CALL_REFUSED_OVERLOADED,
        request_id=call.request_id,
        costs=_describe_costs(choice),
        loads=_describe_loads(router, choice),
        retry_after=round(decision.retry_after_seconds, 2),
    )


def decide_admission(
    call: calls.Call, router: routers.CallRouter, choice: selection.Choice
) -> admission.Decision:
    """Decide whether to send, hold or refuse a model call.

    Calls that may have run and calls without a prompt are always sent.
    """
    assert call.route is not None
    if call.prompt is None or call.may_have_run:
        return admission.Admit()
    return admission.decide(
        choice.first_byte_seconds,
        router.runtime.now() - call.received_at,
        call.route.objective_seconds,
        router.random.random(),
        choice.max_first_byte_seconds,
    )


async def _make_attempt(
    call: calls.Call,
    router: routers.CallRouter,
    choice: selection.Choice,
    delivery_: delivery.Delivery,
) -> interfaces.CallFailure | None:
    target = choice.target
    now = router.runtime.now()
    ticket = call.admission_ticket
    attempt = calls.CallAttempt(
        target=target,
        started_at=now,
        expected_seconds=choice.first_byte_seconds
        if ticket is None
        else ticket.expected_seconds
        + 2 * router.topology.get_latency(target.domain)
        + FIRST_STEP_SECONDS,
    )
    call.attempts.append(attempt)
    router.sink.emit(
        events.Event.CALL_PLACED,
        request_id=call.request_id,
        target=target.name,
        expected=round(attempt.expected_seconds, 3),
        coordinator=ticket.coordinator.name if ticket else '',
        priority=call.get_priority(),
        costs=_describe_costs(choice),
        plan=delivery_.plan(target),
        weights_lag=round(delivery_.get_weights_lag(), 3),
        software=target.software_version,
        resumes=call.head.resumed_request_id,
        after_event=call.head.after_event,
        configuration=call.desired_version,
        age=round(router.freshness.get_age(router.read_boot_clock()), 3),
        targets_age=round(
            router.targets_freshness.get_age(router.read_boot_clock()), 3
        ),
    )
    router.health.record_sent(target.name)
    router.brittleness.record_sent(target, now)
    failure = await delivery_.forward_to(target)
    attempt.is_ended = True
    attempt.failure = failure.kind.value if failure else ''
    attempt.is_given_up = failure is not None and failure.is_given_up
    record_attempt_result(call, router, attempt, failure)
    return failure


def _describe_costs(choice: selection.Choice) -> list[str]:
    """Return the cost terms of the best candidates, in seconds.

    Each text is `target=expected+lateness+recompute+other`.
    """
    return [
        f'{c.target}={c.first_byte_seconds:.3f}+{c.lateness_cost:.3f}'
        f'+{c.recompute_cost:.3f}+{c.other_cost:.3f}'
        for c in choice.candidates[:MAX_LOGGED_CANDIDATES]
    ]


def _describe_loads(
    router: routers.CallRouter, choice: selection.Choice
) -> list[str]:
    """Return the loads of the best candidates.

    Each text is `target=runs/tokens in memory/tokens to prefill`.
    """
    now = router.runtime.now()
    described = []
    for candidate in choice.candidates[:MAX_LOGGED_CANDIDATES]:
        load = router.loads.get(candidate.target, now)
        described.append(
            f'{candidate.target}={load.runs}/{load.tokens}'
            f'/{load.prefill_tokens}'
        )
    return described


def record_attempt_result(
    call: calls.Call,
    router: routers.CallRouter,
    attempt: calls.CallAttempt,
    failure: interfaces.CallFailure | None,
) -> None:
    """Update target health and quarantine by the result of an attempt.

    A call that was not sent as its caller has left says nothing of its target.
    """
    name = attempt.target.name
    now = router.runtime.now()
    is_withdrawn = (
        failure is not None
        and failure.kind is Kind.NOT_SENT
        and call.caller.has_left
    )
    is_failed = (
        failure is not None
        and not is_withdrawn
        and failure.kind
        not in (Kind.WRONG_TARGET, Kind.OUTDATED, Kind.PATH_LOST)
    )
    router.failure_tracker.record(name, is_failed, now)
    if failure is None or failure.kind in (Kind.FAILED, Kind.UNPROVEN):
        router.health.record_success(name)
        crashes.record_survival(call, router)
        if failure is None:
            crashes.record_answer(call, router)
        return
    router.sink.emit(
        events.Event.ATTEMPT_FAILED,
        request_id=call.request_id,
        target=name,
        failure=failure.kind.value,
        detail=failure.detail,
        connection=attempt.connection,
        seconds=round(router.runtime.now() - attempt.started_at, 3),
    )
    if failure.kind is Kind.BUSY:
        router.busy_until[name] = router.runtime.now() + BUSY_BACKOFF_SECONDS
    elif failure.kind is Kind.OUTDATED:
        if attempt.first_event_at is None:
            router.slowdown_tracker.record(
                name, attempt.expected_seconds, now - attempt.started_at, now
            )
    elif not is_withdrawn and failure.kind not in (
        Kind.WRONG_TARGET,
        Kind.PATH_LOST,
    ):
        router.health.record_failure(name)
    if failure.kind is Kind.BROKEN:
        router.runtime.start(crashes.confirm_crash(call, router, attempt))


def record_deadline_exceeded(
    call: calls.Call, router: routers.CallRouter
) -> None:
    """Record the last attempt as timed out if it delivered no byte."""
    if not call.attempts or call.first_byte_at is not None:
        return
    attempt = call.attempts[-1]
    if attempt.failure:
        return
    kind = Kind.TIMED_OUT if attempt.is_sent else Kind.NOT_SENT
    attempt.failure = kind.value
    now = router.runtime.now()
    router.failure_tracker.record(attempt.target.name, True, now)
    router.sink.emit(
        events.Event.ATTEMPT_FAILED,
        request_id=call.request_id,
        target=attempt.target.name,
        failure=attempt.failure,
        detail='the deadline passed',
        seconds=round(now - attempt.started_at, 3),
    )


def decide_retry(
    call: calls.Call,
    router: routers.CallRouter,
    failure: interfaces.CallFailure,
) -> refusals.Refusal | None:
    """Return None if the call may be retried, otherwise its refusal.

    Failures to connect do not spend the retry budget.
    """
    assert call.route is not None and call.service is not None
    now = router.runtime.now()
    if call.has_partial_body or call.caller.has_left:
        return call_refusals.refuse_failed(call, failure)
    if call.may_have_run and call.trial is not None:
        return call_refusals.refuse_failed(call, failure)
    if call.may_have_run and not call.is_retryable():
        return call_refusals.refuse_failed(call, failure)
    if call.deadline - now < MIN_RETRY_SECONDS_LEFT:
        return call_refusals.refuse_failed(call, failure)
    failures = [attempt.failure for attempt in call.attempts]
    if failures.count(Kind.NOT_SENT.value) >= MAX_CONNECT_FAILURES:
        return call_refusals.refuse_failed(call, failure)
    if failure.kind is Kind.NOT_SENT:
        return None
    rejections = failures.count(Kind.BUSY.value)
    if rejections + failures.count(Kind.WRONG_TARGET.value) >= MAX_REJECTIONS:
        return call_refusals.refuse_failed(call, failure)
    tried = {
        attempt.target.name
        for attempt in call.attempts
        if proofs.may_have_run(Kind(attempt.failure))
    }
    if len(tried) >= call.route.max_targets:
        return call_refusals.refuse_failed(call, failure)
    if not router.budget.try_spend(call.service.name, now):
        return call_refusals.refuse_failed(call, failure)
    return None
