"""A request is in progress until its response has ended."""

import asyncio
from collections import abc
import typing
from unittest import mock

from twisted.internet import testing

from pistachioseam import claim_records
from pistachioseam import exchanges
from pistachioseam import pipeline
from pistachioseam import router as routers
from pistachioseam_entry import listener
from pistachioseam_entry import metrics
from pistachioseam_entry import reactors
from pistachioseam_entry import settings
from tests import simulations
from tests import support

REQUEST = b'POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
WAIT_SECONDS = 0.2
"""Time that a call takes."""


async def stream(exchange: exchanges.Exchange, _: routers.Router) -> None:
    """Respond with a stream of one event."""
    await exchange.reply.begin(200, {})
    await exchange.reply.write(b'id: 1\ndata: x\n\n')


def test_request_is_active_until_the_end_of_its_response(
    case: support.Case,
) -> None:
    """Guards against a stop that cuts off the last events of a stream."""

    async def work() -> bytes:
        host = simulations.Simulation(['h']).hosts['h']
        listener_ = listener.Listener(
            host.router, metrics.Metrics(), settings.Requests()
        )
        protocol: typing.Any = listener_.create_site().buildProtocol(None)
        transport = testing.StringTransport()
        protocol.makeConnection(transport)
        with mock.patch.object(pipeline, 'run_filters', stream):
            protocol.dataReceived(REQUEST)
            while listener_.active_requests or not transport.value():
                await asyncio.sleep(0)
        ended = transport.value()
        protocol.connectionLost(testing.failure.Failure(ConnectionError()))
        return ended

    loop = reactors.get_reactor()._asyncioEventloop
    ended = loop.run_until_complete(asyncio.wait_for(work(), 10.0))
    case.assertTrue(ended.endswith(LAST_CHUNK), ended)


def leave(prepare: abc.Callable[[exchanges.Exchange], None]) -> bool:
    """Return whether a call is cancelled when its caller leaves.

    `prepare` sets how far it has come.
    """

    async def work() -> bool:
        host = simulations.Simulation(['h']).hosts['h']
        listener_ = listener.Listener(
            host.router, metrics.Metrics(), settings.Requests()
        )
        protocol: typing.Any = listener_.create_site().buildProtocol(None)
        protocol.makeConnection(testing.StringTransport())
        tasks: list[asyncio.Task[typing.Any] | None] = []

        async def wait(
            exchange: exchanges.Exchange, _: routers.Router
        ) -> None:
            prepare(exchange)
            tasks.append(asyncio.current_task())
            await asyncio.sleep(WAIT_SECONDS)

        with mock.patch.object(pipeline, 'run_filters', wait):
            protocol.dataReceived(REQUEST)
            await asyncio.sleep(WAIT_SECONDS / 4)
            protocol.connectionLost(testing.failure.Failure(ConnectionError()))
            (task,) = tasks
            assert task is not None
            await asyncio.wait((task,))
        return task.cancelled()

    loop = reactors.get_reactor()._asyncioEventloop
    is_cancelled: bool = loop.run_until_complete(
        asyncio.wait_for(work(), 10.0)
    )
    return is_cancelled


def test_unsent_call_without_a_key_is_cancelled_as_its_caller_leaves(
    case: support.Case,
) -> None:
    """Guards against GONE: a single attempt whose connect hangs was sent.

    One with a key may be writing its claim, which would be left in the store.
    """

    def connect(exchange: exchanges.Exchange) -> None:
        pass

    def send(exchange: exchanges.Exchange) -> None:
        exchange.record_sending()

    def claim(exchange: exchanges.Exchange) -> None:
        exchange.headers[claim_records.IDEMPOTENCY_KEY_HEADER] = 'key'

    case.assertTrue(leave(connect))
    case.assertFalse(leave(send))
    case.assertFalse(leave(claim))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
