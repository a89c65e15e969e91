"""A request is in progress until its response has ended."""

import asyncio
import typing
from unittest import mock

from twisted.internet import testing

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


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
