"""Refusals of forwarded calls, which state whether the call may have run."""

from pistachioseam.forwarding import admission
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import selection
from pistachioseam import interfaces
from pistachioseam import refusals

RETRY_AFTER_SECONDS = 0.4
"""Retry-after of calls that no target accepted."""
QUARANTINE_RETRY_AFTER_SECONDS = 2.0
"""Retry-after of requests that crashed targets."""


def _refuse(
    call: calls.Call,
    reason: refusals.Reason,
    message: str,
    retry_after_seconds: float = RETRY_AFTER_SECONDS,
) -> refusals.Refusal:
    """Return 503 for a call that has not run, 502 for one that may have."""
    if call.may_have_run:
        return refusals.Refusal(502, reason, message, refusals.Outcome.UNKNOWN)
    return refusals.Refusal(
        503, reason, message, retry_after_seconds=retry_after_seconds
    )


def refuse_quarantined(call: calls.Call) -> refusals.Refusal:
    """Refuse a call whose request crashed the targets that ran it."""
    return _refuse(
        call,
        refusals.Reason.QUARANTINED,
        'this request crashed the targets that ran it',
        QUARANTINE_RETRY_AFTER_SECONDS,
    )


def refuse_quarantined_part(call: calls.Call, part: str) -> refusals.Refusal:
    """Refuse a call with a prompt part under which targets crashed."""
    return _refuse(
        call,
        refusals.Reason.QUARANTINED,
        f'targets crashed while they ran calls with the prompt part {part}',
        QUARANTINE_RETRY_AFTER_SECONDS,
    )


def refuse_unknown_stream() -> refusals.Refusal:
    """Refuse to resume a stream whose software version no host knows."""
    return refusals.Refusal(
        503,
        refusals.Reason.UNKNOWN_STREAM,
        'the software version that began the stream is not known',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_failed(
    call: calls.Call, failure: interfaces.CallFailure
) -> refusals.Refusal:
    """Refuse a call whose last attempt failed and that is not retried."""
    if call.may_have_run:
        return refusals.Refusal(
            502,
            refusals.Reason.TARGET_FAILED,
            f'the target failed: {failure.kind.value}, {failure.detail}',
            refusals.Outcome.UNKNOWN,
        )
    return refusals.Refusal(
        503,
        refusals.Reason.OVERLOADED,
        f'no target accepted the call: {failure.kind.value}, {failure.detail}',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_overloaded(
    choice: selection.Choice, decision: admission.Refuse
) -> refusals.Refusal:
    """Refuse a call whose first token would come too late at every target."""
    best = choice.candidates[0]
    return refusals.Refusal(
        503,
        refusals.Reason.OVERLOADED,
        f'the first token would take {best.first_byte_seconds:.2f} s'
        f' at {best.target}',
        retry_after_seconds=decision.retry_after_seconds,
    )


def refuse_without_target(
    call: calls.Call, pause_seconds: float | None, jitter: float
) -> refusals.Refusal:
    """Refuse a call whose service has no target that accepts calls.

    `pause_seconds` is the time until the first target that has asked for a
    pause, or has reached its limit, takes calls again. `jitter` in [0, 1) adds
    up to half of that, so that callers do not return all at once.
    """
    if pause_seconds is None:
        return _refuse(
            call, refusals.Reason.NO_TARGET, 'the service has no ready target'
        )
    return _refuse(
        call,
        refusals.Reason.OVERLOADED,
        f'all targets want no calls for {pause_seconds:.2f} s',
        pause_seconds * (1 + jitter / 2),
    )


def refuse_deadline_exceeded(call: calls.Call) -> refusals.Refusal:
    """Refuse a call whose deadline has passed."""
    if call.may_have_run:
        return refusals.Refusal(
            504,
            refusals.Reason.TARGET_FAILED,
            'the deadline passed',
            refusals.Outcome.UNKNOWN,
        )
    return refusals.Refusal(
        503,
        refusals.Reason.OVERLOADED,
        'the deadline passed before any target accepted the call',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_in_progress() -> refusals.Refusal:
    """Refuse a call that this host already works on under the same id."""
    return refusals.Refusal(
        502,
        refusals.Reason.IN_PROGRESS,
        'a call with this request id is in progress',
        refusals.Outcome.UNKNOWN,
    )


def restate_refusal(
    call: calls.Call, router: routers.CallRouter
) -> refusals.Refusal | None:
    """Return a call's refusal, without a promise about one in progress.

    A call may be refused before its route and account are known.
    """
    refusal = call.refusal
    if (
        refusal is None
        or refusal.status not in delivery.NOT_RUN_STATUSES
        or call.is_retryable()
    ):
        return refusal
    state = router.desired.state
    account = state.find_account(call.head.key) if state else None
    names = {'', account.name} if account else {''}
    if any(router.in_progress.is_held(n, call.request_id) for n in names):
        return refuse_in_progress()
    return refusal
