"""Refuse calls until this host has read what it needs from the store."""

from returns import result

from pistachioseam import filter_chains
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import router as routers
from pistachioseam import refusals

STALE_RETRY_AFTER_SECONDS = 0.3
"""Short, because another host is likely to have a recent desired state."""
STOPPING_RETRY_AFTER_SECONDS = 0.05
"""Shorter, because any other host can serve the call."""


@routers.register('inform')
async def require_desired_state(
    call: calls.Call, router: routers.CallRouter
) -> filter_chains.FilterResult:
    """Refuse calls until state, targets and crash records have been read."""
    state = router.desired.state
    if state is None or not router.catalog.has_synced():
        return result.Failure(
            refuse_stale(
                'this host has not read the desired state and targets yet'
            )
        )
    if not router.crash_records.has_synced():
        return result.Failure(
            refuse_stale('this host has not read what crashes targets yet')
        )
    call.desired_version = state.version
    return filter_chains.CONTINUE


def refuse_stale(message: str) -> refusals.Refusal:
    """Refuse a call because this host's desired state is missing or stale.

    Calls are also refused this way until the targets have been read.
    """
    return refusals.Refusal(
        503,
        refusals.Reason.NOT_READY,
        message,
        retry_after_seconds=STALE_RETRY_AFTER_SECONDS,
    )


def refuse_stopping() -> refusals.Refusal:
    """Refuse a call because this host is about to stop."""
    return refusals.Refusal(
        503,
        refusals.Reason.NOT_READY,
        'this host is about to stop',
        retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
    )
