"""Find the route of a call and the service that serves it."""

from returns import result

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding.steps import inform
from pistachioseam import pipeline
from pistachioseam import refusals

DENIAL_AGE_SECONDS = 2.0
"""Older knowledge may lack a new route or key, so it denies nothing."""


@routers.register('match')
async def match_route(
    call: calls.Call, router: routers.CallRouter
) -> pipeline.FilterResult:
    """Set route, service and deadline."""
    state = router.desired.state
    assert state is not None
    route = state.find_route(call.head.host, call.get_path())
    if route is None:
        return result.Failure(
            deny(
                router,
                refusals.Refusal(
                    404, refusals.Reason.UNKNOWN_ROUTE, 'no route matches'
                ),
            )
        )
    call.route = route
    name = route.select_service(call.request_id)
    call.service = state.find_service(name)
    seconds = route.timeout_seconds
    if call.head.seconds_allowed is not None:
        seconds = min(seconds, call.head.seconds_allowed)
    call.deadline = call.received_at + seconds
    call.add_note('match', f'route {route.name}, service {name}')
    return pipeline.CONTINUE


def deny(
    router: routers.CallRouter, refusal: refusals.Refusal
) -> refusals.Refusal:
    """Return the denial, or a refusal for now if it rests on old knowledge."""
    age = router.freshness.get_age(router.read_boot_clock())
    if age > DENIAL_AGE_SECONDS:
        return inform.refuse_uninformed(
            f'{refusal.message}, as known {age:.1f} s ago'
        )
    return refusal
