"""A host stops when callers have what it sends."""

import asyncio
import contextlib
import socket
import typing
from unittest import mock

from pistachioseam import exchanges
from pistachioseam import pipeline
from pistachioseam import router as routers
from pistachioseam_entry import listener
from pistachioseam_entry import metrics
from pistachioseam_entry import process
from pistachioseam_entry import reactors
from pistachioseam_entry import settings
from tests import simulations
from tests import support

REQUEST = b'POST /v1/x HTTP/1.0\r\nContent-Length: 0\r\n\r\n'
LARGE_BYTES = 20_000_000
READ_BYTES = 1_000_000


async def respond(exchange: exchanges.Exchange, _: routers.Router) -> None:
    """Respond with more than the buffers of a connection hold."""
    await exchange.reply.begin(200, {})
    await exchange.reply.write(b'x' * LARGE_BYTES)


def test_stop_waits_until_a_slow_caller_has_its_response(
    case: support.Case,
) -> None:
    """Guards against LOST: the host stopped with bytes in its own buffer."""

    async def work() -> int:
        host = simulations.Simulation(['h']).hosts['h']
        listener_ = listener.Listener(
            host.router, metrics.Metrics(), settings.Requests()
        )
        site = listener_.create_site()
        port: typing.Any = reactors.get_reactor().listenTCP(
            0, site, interface='127.0.0.1'
        )
        stopping = mock.Mock(
            listener=listener_,
            _site=site,
            settings=mock.Mock(
                shutdown=settings.Shutdown(
                    notice_seconds=0.0, limit_seconds=9.0
                )
            ),
            router=host.router,
            _stop_listening=mock.AsyncMock(),
        )
        loop = asyncio.get_running_loop()
        with contextlib.closing(socket.socket()) as caller:
            caller.setblocking(False)
            await loop.sock_connect(caller, ('127.0.0.1', port.getHost().port))
            with mock.patch.object(pipeline, 'run_filters', respond):
                await loop.sock_sendall(caller, REQUEST)
                received = len(await loop.sock_recv(caller, READ_BYTES))
            drain = asyncio.ensure_future(process.Process._drain(stopping))
            await asyncio.sleep(5 * process.DRAIN_CHECK_SECONDS)
            case.assertFalse(drain.done())
            while part := await loop.sock_recv(caller, READ_BYTES):
                received += len(part)
            await drain
        await port.stopListening().asFuture(loop)
        stopping.sink.emit.assert_not_called()
        return received

    loop = reactors.get_reactor()._asyncioEventloop
    received = loop.run_until_complete(asyncio.wait_for(work(), 10.0))
    case.assertGreater(received, LARGE_BYTES)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
