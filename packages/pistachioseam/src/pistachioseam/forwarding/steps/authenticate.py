"""Find the account of the caller's key."""

from returns import result

from pistachioseam import filter_chains
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding.steps import inform
from pistachioseam.forwarding.steps import match
from pistachioseam import refusals


@routers.register('authenticate')
async def authenticate_call(
    call: calls.Call, router: routers.CallRouter
) -> filter_chains.FilterResult:
    """Set the account; refuse unknown and possibly revoked keys.

    A key may have been revoked since the last read. Public routes and states
    without accounts need no key.
    """
    state = router.desired.state
    assert state is not None and call.route is not None
    if state.accounts is None or call.route.is_public:
        return filter_chains.CONTINUE
    account = state.find_account(call.head.key)
    if account is None:
        refusal = refusals.Refusal(
            401, refusals.Reason.UNKNOWN_CALLER, 'unknown key'
        )
        return result.Failure(match.refuse_unknown(router, refusal))
    call.account = account
    return check_key_freshness(call, router)


def check_key_freshness(
    call: calls.Call, router: routers.CallRouter
) -> filter_chains.FilterResult:
    """Refuse a key that may have been revoked since the last read."""
    if call.account is None:
        return filter_chains.CONTINUE
    now = router.read_boot_clock()
    if router.freshness.can_verify_keys(now):
        return filter_chains.CONTINUE
    age = router.freshness.get_age(now)
    return result.Failure(
        inform.refuse_stale(
            'the key may have been revoked: the desired state was last'
            f' confirmed {age:.1f} s ago'
        )
    )
