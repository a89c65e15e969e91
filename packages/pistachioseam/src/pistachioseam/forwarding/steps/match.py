"""Find the route and the service of a call."""

from returns import result

from pistachioseam import filter_chains
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding.steps import inform
from pistachioseam import refusals

MAX_AGE_FOR_FINAL_REFUSAL_SECONDS = 2.0
"""Maximum age of the desired state at which an unknown route or key gets 404
or 401. Above it the refusal is temporary, because the route or key may be
newer than the state."""


@routers.register('match')
async def match_route(
    call: calls.Call, router: routers.CallRouter
) -> filter_chains.FilterResult:
    """Set route, service and deadline; refuse calls that match no route."""
    state = router.desired.state
    assert state is not None
    route = state.find_route(call.head.host, call.get_path())
    if route is None:
        return result.Failure(
            refuse_unknown(
                router,
                refusals.Refusal(
                    404, refusals.Reason.UNKNOWN_ROUTE, 'no route matches'
                ),
            )
        )
    call.route = route
    service_name = route.select_service(call.request_id)
    call.service = state.find_service(service_name)
    seconds = route.timeout_seconds
    if call.head.timeout_seconds is not None:
        seconds = min(seconds, call.head.timeout_seconds)
    call.deadline = call.received_at + seconds
    call.add_note('match', f'route {route.name}, service {service_name}')
    return filter_chains.CONTINUE


def refuse_unknown(
    router: routers.CallRouter, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Return the refusal, or a temporary one if the desired state is stale."""
    age = router.freshness.get_age(router.read_boot_clock())
    if age > MAX_AGE_FOR_FINAL_REFUSAL_SECONDS:
        return inform.refuse_stale(
            f'{refusal.message}; the desired state was last'
            f' confirmed {age:.1f} s ago'
        )
    return refusal
