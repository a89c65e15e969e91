"""Refuse calls while this host knows too little to judge them."""

from returns import result

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import router as routers
from pistachioseam import pipeline
from pistachioseam import refusals

RETRY_AFTER_SECONDS = 0.3
"""Another host is likely to know; come back almost at once."""
OTHER_HOST_SECONDS = 0.05
"""Any other host serves the call; come back at once."""


@routers.register('inform')
async def require_knowledge(
    call: calls.Call, router: routers.CallRouter
) -> pipeline.FilterResult:
    """Pass once a desired state and the targets' entries are known."""
    state = router.desired.state
    if state is None or not router.catalog.has_synced():
        return result.Failure(refuse_uninformed('nothing is known yet'))
    call.desired_version = state.version
    return pipeline.CONTINUE


def refuse_uninformed(message: str) -> refusals.Refusal:
    """Return the refusal of a host that is out of touch with the store."""
    return refusals.Refusal(
        503,
        refusals.Reason.NOT_READY,
        message,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def refuse_stopping() -> refusals.Refusal:
    """Return the refusal of a host that is about to stop."""
    return refusals.Refusal(
        503,
        refusals.Reason.NOT_READY,
        'this host is about to stop',
        retry_after_seconds=OTHER_HOST_SECONDS,
    )
