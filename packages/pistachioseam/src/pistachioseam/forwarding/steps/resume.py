"""Find the software version at which a resumed stream must go on."""

from returns import result

from pistachioseam import events
from pistachioseam import filter_chains
from pistachioseam.forwarding import call_refusals
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import stream_origins

PEER_WAIT_SECONDS = 0.3
"""Time in which the peers' word of a stream arrives that began just before its
host was lost."""
CHECK_INTERVAL_SECONDS = 0.03


@routers.register('resume')
async def find_stream_origin(
    call: calls.Call, router: routers.CallRouter
) -> filter_chains.FilterResult:
    """Set the origin of a resumed stream; refuse the call if it is unknown.

    Events of another version would not fit those that the caller has.
    """
    assert call.route is not None
    if (
        call.route.semantics is not desired.CallSemantics.RESUMABLE
        or not call.head.after_event
    ):
        return filter_chains.CONTINUE
    origin = await _wait_for_origin(call, router)
    state = router.desired.state
    services = {service.name for service in call.route.services}
    if state is None or origin is None or origin.service not in services:
        router.sink.emit(
            events.Event.STREAM_ORIGIN_UNKNOWN,
            request_id=call.request_id,
            resumes=call.head.resumed_request_id,
            service=origin.service if origin else '',
        )
        return result.Failure(call_refusals.refuse_unknown_stream())
    call.service = state.find_service(origin.service)
    call.origin = origin
    return filter_chains.CONTINUE


async def _wait_for_origin(
    call: calls.Call, router: routers.CallRouter
) -> stream_origins.StreamOrigin | None:
    """Return the origin of a resumed stream, None if no host has told it."""
    key = call.get_stream_key()
    origin = router.stream_origins.find(key, router.runtime.now())
    if origin is None:
        origin = await _find_only_origin(call, router)
    last_check_at = min(
        router.runtime.now() + PEER_WAIT_SECONDS, call.deadline
    )
    while origin is None and router.runtime.now() < last_check_at:
        await router.runtime.sleep(CHECK_INTERVAL_SECONDS)
        origin = router.stream_origins.find(key, router.runtime.now())
    return origin


async def _find_only_origin(
    call: calls.Call, router: routers.CallRouter
) -> stream_origins.StreamOrigin | None:
    """Return the origin of all streams of a route with one version."""
    assert call.route is not None
    if len(call.route.services) != 1:
        return None
    service = call.route.services[0].name
    version = await router.software.find_only_version(service)
    if version is None:
        return None
    return stream_origins.StreamOrigin(service, version)
