"""Detection of requests that crash the targets that run them.

A request may crash one target after another, because its caller retries it
through any host. A broken connection alone does not prove a crash; a target
that refuses new connections right afterwards does.
"""

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import router as routers
from pistachioseam import quarantine

CRASH_CHECK_DELAY_SECONDS = 0.05
"""Delay from a failure of kind `BROKEN` to the check for a crash; by then a
crashed target's port is closed."""


def digest_call(call: calls.Call) -> str:
    """Return the digest by which the quarantine identifies equal requests."""
    return quarantine.digest_request(
        call.get_account_name(), call.uri.decode('latin-1'), '', call.body
    )


async def confirm_crash(
    call: calls.Call, router: routers.CallRouter, target: catalog.LiveTarget
) -> None:
    """Count a crash for a request if its target refuses connections now."""
    await router.runtime.sleep(CRASH_CHECK_DELAY_SECONDS)
    if not await router.connections.is_connection_refused(target.address):
        return
    router.quarantine.record_crash(digest_call(call))
