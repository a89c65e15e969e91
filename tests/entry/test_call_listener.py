"""Responses to callers are complete, or do not look so."""

import asyncio
from collections import abc
import typing
from unittest import mock

from twisted.internet import testing

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


def respond(filters: Filters) -> tuple[bytes, bool, list[events.Event]]:
    """Return the bytes of a response, whether it closed, what was logged."""

    async def work() -> tuple[bytes, bool, list[events.Event]]:
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
        await asyncio.sleep(0.01)
        logged = [event for event, _ in fixture.sink.events]
        return transport.value(), transport.disconnecting, logged

    loop = reactors.get_reactor()._asyncioEventloop
    return loop.run_until_complete(asyncio.wait_for(work(), 10.0))


def test_cancelled_call_of_a_present_caller_is_no_success(
    case: support.Case,
) -> None:
    """Guards against MIXED: an empty 200 for a call that nobody answered."""

    async def cancel(call: calls.Call, _: routers.CallRouter) -> None:
        raise asyncio.CancelledError

    content, _, logged = respond(cancel)
    case.assertTrue(content.startswith(b'HTTP/1.1 500 '), content)
    case.assertIn(events.Event.INTERNAL_ERROR, logged)
    case.assertNotIn(events.Event.CALLER_LEFT, logged)


def test_cancelled_stream_of_a_present_caller_does_not_look_complete(
    case: support.Case,
) -> None:
    """Guards against MIXED: the last chunk after half of the events."""

    async def cancel(call: calls.Call, _: routers.CallRouter) -> None:
        await call.reply.begin(200, ())
        await call.reply.write(b'id: 1\ndata: x\n\n')
        raise asyncio.CancelledError

    content, has_closed, _ = respond(cancel)
    case.assertIn(b'id: 1', content)
    case.assertFalse(content.endswith(LAST_CHUNK))
    case.assertTrue(has_closed)


def test_call_without_any_response_closes_its_connection(
    case: support.Case,
) -> None:
    """Guards against MIXED: an error while the response is written."""

    async def fail(call: calls.Call, _: routers.CallRouter) -> None:
        raise ValueError

    with mock.patch.object(
        call_replies.ForwardedReply, 'refuse', side_effect=ValueError
    ):
        content, has_closed, _ = respond(fail)
    case.assertEqual(b'', content)
    case.assertTrue(has_closed)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
