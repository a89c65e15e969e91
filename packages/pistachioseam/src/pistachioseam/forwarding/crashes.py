"""Requests that crash the targets that run them.

Load pattern: one request ends each target that begins to run it, and its
caller sends it again, by any host. A broken channel alone proves no crash; a
target that refuses new channels right afterwards does.
"""

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import router as routers
from pistachioseam import quarantine
from pistachioseam import refusals

CONFIRM_SECONDS = 0.05
"""Time for the port of a crashed target to close."""
RETRY_SECONDS = 2.0
"""Return of callers whose request is quarantined."""


def digest_call(call: calls.Call) -> str:
    """Return the identity under which a call is suspected."""
    return quarantine.digest_request(
        call.get_account_name(), call.uri.decode('latin-1'), '', call.body
    )


async def confirm_crash(
    call: calls.Call, router: routers.CallRouter, target: catalog.LiveTarget
) -> None:
    """Suspect a call if the target on which it broke is gone."""
    await router.runtime.sleep(CONFIRM_SECONDS)
    if not await router.link.is_refused(target.address):
        return
    router.quarantine.note_crash(digest_call(call))


def refuse_quarantined(call: calls.Call) -> refusals.Refusal:
    """Return the refusal of a call that crashed the targets that ran it."""
    outcome = refusals.Outcome.NOT_RUN
    if call.may_have_run:
        outcome = refusals.Outcome.UNKNOWN
    return refusals.Refusal(
        502 if call.may_have_run else 503,
        refusals.Reason.QUARANTINED,
        'this request crashed the targets that ran it',
        outcome,
        None if call.may_have_run else RETRY_SECONDS,
    )
