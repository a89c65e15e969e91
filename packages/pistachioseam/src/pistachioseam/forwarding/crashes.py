"""Detection of requests that crash the targets that run them.

A request may crash one target after another, because its caller retries it
through any host. A broken connection alone does not prove a crash; a target
that refuses new connections right afterwards does.
"""

from collections import abc

from pistachioseam import events
from pistachioseam.forwarding import call_refusals
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import crash_evidence
from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import router as routers
from pistachioseam import quarantine
from pistachioseam import refusals

CRASH_CHECK_DELAY_SECONDS = 0.05
"""Delay from a failure of kind `BROKEN` to the check for a crash; by then a
crashed target's port is closed."""


def digest_call(call: calls.Call) -> str:
    """Return the digest by which the quarantine identifies equal requests.

    It is kept, as a crash may be confirmed after the body has been released.
    """
    if not call.digest:
        call.digest = quarantine.digest_request(
            call.get_account_name(), call.uri.decode('latin-1'), '', call.body
        )
    return call.digest


def find_quarantined_part(call: calls.Call, router: routers.CallRouter) -> str:
    """Return the name of a quarantined part of a call, empty if none."""
    if call.prompt is None:
        return ''
    return router.crash_evidence.find_quarantined(
        call.prompt, router.runtime.now()
    )


async def check_quarantine(
    call: calls.Call, router: routers.CallRouter
) -> refusals.Refusal | None:
    """Return the refusal of a call that may crash targets, None if sound.

    Some time after the last crash a call may be sent as a trial.
    """
    if router.quarantine.is_quarantined(digest_call(call)):
        return call_refusals.refuse_quarantined(call)
    part = find_quarantined_part(call, router)
    if part:
        return call_refusals.refuse_quarantined_part(call, part)
    if call.trial is not None:
        return None
    subject = _find_blocked(call, router)
    if subject is None:
        return None
    if await router.crash_records.begin_trial(subject):
        call.trial = subject
        return None
    if subject.part:
        return call_refusals.refuse_quarantined_part(call, subject.part)
    return call_refusals.refuse_quarantined(call)


def _find_blocked(
    call: calls.Call, router: routers.CallRouter
) -> crash_records.Subject | None:
    """Return what was quarantined of a call and has not been cleared."""
    if router.quarantine.is_blocked(digest_call(call)):
        return crash_records.Subject(digest=call.digest)
    if call.prompt is None:
        return None
    part = router.crash_evidence.find_blocked(call.prompt)
    if not part:
        return None
    return crash_records.Subject(model=call.prompt.model, part=part)


def record_answer(call: calls.Call, router: routers.CallRouter) -> None:
    """Record that a call was answered whole."""
    if call.prompt is not None and call.status == 200:
        router.crash_evidence.record_survival(
            call.prompt, router.runtime.now()
        )
        router.crash_records.record_survival(_list_parts(call))


def record_survival(call: calls.Call, router: routers.CallRouter) -> None:
    """Record that a target has ended a call without a crash."""
    digest = digest_call(call)
    router.quarantine.record_completion(digest)
    survived = [crash_records.Subject(digest=digest)]
    if call.trial is not None:
        survived.append(call.trial)
    router.crash_records.record_survival(survived)


def _list_parts(call: calls.Call) -> abc.Iterator[crash_records.Subject]:
    assert call.prompt is not None
    for name in call.prompt.list_shared_names():
        yield crash_records.Subject(model=call.prompt.model, part=name)


async def confirm_crash(
    call: calls.Call, router: routers.CallRouter, attempt: calls.CallAttempt
) -> None:
    """Count a crash for a request if its target refuses connections now."""
    target = attempt.target
    broke_at = router.runtime.now()
    await router.runtime.sleep(CRASH_CHECK_DELAY_SECONDS)
    if not await router.connections.is_connection_refused(target.address):
        router.sink.emit(
            events.Event.CRASH_NOT_CONFIRMED,
            target=target.name,
            request_id=call.request_id,
        )
        return
    _emit_crash(call, router, attempt, broke_at)
    # The listeners of the quarantine send the evidence to the peers too.
    _record_evidence(call, router, attempt, broke_at)
    digest = digest_call(call)
    if router.quarantine.record_crash(digest, target.get_incarnation()):
        router.sink.emit(
            events.Event.REQUEST_FOUND_CRASHING,
            request_id=call.request_id,
            digest=digest,
        )
        router.crash_records.record(crash_records.Subject(digest=digest))


def _record_evidence(
    call: calls.Call,
    router: routers.CallRouter,
    attempt: calls.CallAttempt,
    broke_at: float,
) -> None:
    """Record a crash for the shared parts of a call.

    An answer that had gone on for long is no evidence.
    """
    if call.prompt is None:
        return
    first_event_at = attempt.first_event_at
    if (
        first_event_at is not None
        and broke_at - first_event_at >= crash_evidence.SURVIVAL_SECONDS
    ):
        return
    router.crash_evidence.record_crash(
        call.prompt, attempt.target.get_incarnation(), broke_at
    )
    part = find_quarantined_part(call, router)
    if part:
        router.crash_records.record(
            crash_records.Subject(model=call.prompt.model, part=part)
        )


def _emit_crash(
    call: calls.Call,
    router: routers.CallRouter,
    attempt: calls.CallAttempt,
    broke_at: float,
) -> None:
    """Log a crash with what tells its cause from the other calls.

    `answered` is the time in seconds from the first event of the answer to the
    crash, None if no event had arrived.
    """
    first_event_at = attempt.first_event_at
    router.sink.emit(
        events.Event.TARGET_CRASHED,
        target=attempt.target.name,
        request_id=call.request_id,
        account=call.get_account_name(),
        parts=list(call.prompt.list_shared_names()) if call.prompt else [],
        answered=None
        if first_event_at is None
        else round(broke_at - first_event_at, 3),
    )
