"""Requests that crash the targets that run them.

Load pattern: one request ends each target that begins to run it, and its
caller sends it again, by any host. A broken channel alone proves no crash; a
target that refuses new channels right afterwards does.
"""

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import router as routers
from pistachioseam import quarantine

CONFIRM_SECONDS = 0.05
"""Time for the port of a crashed target to close."""


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
    router.quarantine.record_crash(digest_call(call))
