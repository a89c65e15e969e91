"""Responses to callers are complete, or do not look so."""

import asyncio
from collections import abc
import typing
from unittest import mock

import attrs
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from pistachioseam import events
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import router as routers
from pistachioseam_entry import call_listener
from pistachioseam_entry import call_replies
from pistachioseam_entry import metrics
from pistachioseam_entry import reactors
from pistachioseam_platform import headers
from tests import call_fakes
from tests import support

REQUEST = (
    b'GET /safe/1 HTTP/1.1\r\nHost: h\r\nX-Pistachioseam-Request-Id: 1\r\n\r\n'
)
LAST_CHUNK = b'0\r\n\r\n'
Filters: typing.TypeAlias = abc.Callable[
    [calls.Call, routers.CallRouter],
    abc.Coroutine[typing.Any, typing.Any, None],
]


@attrs.frozen
class Served:
    """Response of which `ended` was sent when its call was over."""

    content: bytes
    ended: bytes
    has_closed: bool
    logged: list[events.Event]


def respond(filters: Filters) -> Served:
    """Return the response to a request."""

    async def work() -> Served:
        fixture = call_fakes.RouterFixture([call_fakes.create_target(1)])
        listener = call_listener.CallListener(
            fixture.router, headers.HeaderCodec(), metrics.Metrics()
        )
        protocol: typing.Any = listener.create_site().buildProtocol(None)
        transport = testing.StringTransport()
        protocol.makeConnection(transport)
        with mock.patch.object(routers, 'run_filters', filters):
            protocol.dataReceived(REQUEST)
            while listener.active_requests or not transport.value():
                if transport.disconnecting:
                    break
                await asyncio.sleep(0)
        ended = transport.value()
        await asyncio.sleep(0.01)
        return Served(
            content=transport.value(),
            ended=ended,
            has_closed=transport.disconnecting,
            logged=fixture.sink.list_kinds(),
        )

    loop = reactors.get_reactor()._asyncioEventloop
    return loop.run_until_complete(asyncio.wait_for(work(), 10.0))


def test_cancelled_call_of_a_present_caller_is_no_success(
    case: support.Case,
) -> None:
    """Guards against MIXED: an empty 200 for a call that nobody answered."""

    async def cancel(call: calls.Call, _: routers.CallRouter) -> None:
        raise asyncio.CancelledError

    served = respond(cancel)
    case.assertTrue(
        served.content.startswith(b'HTTP/1.1 500 '), served.content
    )
    case.assertIn(events.Event.INTERNAL_ERROR, served.logged)
    case.assertNotIn(events.Event.CALLER_LEFT, served.logged)


def test_cancelled_stream_of_a_present_caller_does_not_look_complete(
    case: support.Case,
) -> None:
    """Guards against MIXED: the last chunk after half of the events."""

    async def cancel(call: calls.Call, _: routers.CallRouter) -> None:
        await call.reply.begin(200, ())
        await call.reply.write(b'id: 1\ndata: x\n\n')
        raise asyncio.CancelledError

    served = respond(cancel)
    case.assertIn(b'id: 1', served.content)
    case.assertFalse(served.content.endswith(LAST_CHUNK))
    case.assertTrue(served.has_closed)


def test_call_without_any_response_closes_its_connection(
    case: support.Case,
) -> None:
    """Guards against MIXED: an error while the response is written."""

    async def fail(call: calls.Call, _: routers.CallRouter) -> None:
        raise ValueError

    with mock.patch.object(
        call_replies.ForwardedReply, 'refuse', side_effect=ValueError
    ):
        served = respond(fail)
    case.assertEqual(b'', served.content)
    case.assertTrue(served.has_closed)


def test_call_is_active_until_the_end_of_its_response(
    case: support.Case,
) -> None:
    """Guards against LOST: a host that stops before it has sent the end."""

    async def stream(call: calls.Call, _: routers.CallRouter) -> None:
        await call.reply.begin(200, ())
        await call.reply.write(b'id: 1\ndata: x\n\n')
        call.is_served = True

    served = respond(stream)
    case.assertTrue(served.content.endswith(LAST_CHUNK))
    case.assertEqual(served.content, served.ended)


def leave(
    filters: Filters,
    is_early: bool = False,
    process_metrics: metrics.Metrics | None = None,
) -> list[events.Event]:
    """Return the events of a request whose caller leaves after a while.

    If `is_early`, the caller leaves before the request's task has begun.
    """
    process_metrics = process_metrics or metrics.Metrics()

    async def work() -> list[events.Event]:
        fixture = call_fakes.RouterFixture([call_fakes.create_target(1)])
        listener = call_listener.CallListener(
            fixture.router, headers.HeaderCodec(), process_metrics
        )
        protocol: typing.Any = listener.create_site().buildProtocol(None)
        protocol.makeConnection(testing.StringTransport())
        fixture.sink.events.clear()
        with mock.patch.object(routers, 'run_filters', filters):
            protocol.dataReceived(REQUEST)
            if not is_early:
                await asyncio.sleep(0.01)
            protocol.connectionLost(failure.Failure(error.ConnectionDone()))
            while listener.active_requests:
                await asyncio.sleep(0)
        return fixture.sink.list_kinds()

    loop = reactors.get_reactor()._asyncioEventloop
    return loop.run_until_complete(asyncio.wait_for(work(), 10.0))


def test_unsent_call_is_cancelled_as_its_caller_leaves(
    case: support.Case,
) -> None:
    """Guards against GONE: a call that may run only once, not yet sent."""

    async def connect(call: calls.Call, _: routers.CallRouter) -> None:
        call.route = call_fakes.create_state().routes[1]
        attempt = calls.CallAttempt(
            target=call_fakes.create_target(1), started_at=0.0
        )
        call.attempts.append(attempt)
        await asyncio.Event().wait()

    measured = metrics.Metrics()
    logged = leave(connect, process_metrics=measured)
    case.assertEqual([events.Event.CALLER_LEFT], logged)
    case.assertIn(b'outcome="connecting"', measured.render())


def test_sent_call_is_told_that_its_caller_has_left(
    case: support.Case,
) -> None:
    """It goes on, is not sent again, and its outcome is logged."""
    departed = []

    async def send(call: calls.Call, _: routers.CallRouter) -> None:
        call.route = call_fakes.create_state().routes[1]
        call.may_have_run = True
        while not call.caller.has_left:
            await asyncio.sleep(0)
        departed.append(call)

    logged = leave(send)
    case.assertEqual(
        [events.Event.CALL_GOES_ON, events.Event.REQUEST_ENDED], logged
    )
    case.assertEqual(1, len(departed))


def test_call_whose_caller_left_before_its_task_began_is_not_served(
    case: support.Case,
) -> None:
    """Guards against GONE: nothing would tell it that the caller has left."""

    async def serve(call: calls.Call, _: routers.CallRouter) -> None:
        served.append(call)

    served: list[calls.Call] = []
    case.assertEqual([events.Event.CALLER_LEFT], leave(serve, is_early=True))
    case.assertEqual([], served)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
