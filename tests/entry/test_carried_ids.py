"""What calls under ids that a connection has carried cost and get."""

import asyncio
import typing

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import response_bodies
from pistachioseam_entry import target_connections
from pistachioseam_platform import headers
from tests.entry import test_target_connections
from tests import support

FakeTarget = test_target_connections.FakeTarget
create_call = test_target_connections.create_call
RESPONSE = test_target_connections.RESPONSE
EMPTY_RESPONSE = test_target_connections.HEAD + b'Content-Length: 0\r\n\r\n'
CHUNKED_RESPONSE = (
    test_target_connections.HEAD
    + b'Transfer-Encoding: chunked\r\nX: Content-Length\r\n\r\n'
    + b'2\r\nok\r\n0\r\n\r\n'
)
CALLS = 20
PAUSE_SECONDS = 0.05
"""Time in which closed connections are seen as closed."""


async def send(
    pool: target_connections.ConnectionPool,
    address: str,
    call: ports.OutgoingCall,
) -> typing.Any:
    """Send a call; return its body."""
    response = (await pool.send(address, call)).unwrap()
    read = await response_bodies.read_body(response)
    response.abort()
    return read.unwrap()


def test_repeated_id_holds_no_more_connections(case: support.Case) -> None:
    """Each counts against the target's limit for all hosts."""

    async def work() -> None:
        async with FakeTarget(*[RESPONSE] * (CALLS + 1)) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                for _ in range(CALLS):
                    await send(pool, target.address, create_call())
                await asyncio.sleep(PAUSE_SECONDS)
                case.assertEqual(CALLS, target.connections)
                case.assertEqual(1, pool.count_open())

    test_target_connections.run(work)


def test_last_response_on_a_connection_is_whole(case: support.Case) -> None:
    """The pool closes the connection as the response ends."""

    async def work() -> None:
        count = target_connections.MAX_REQUESTS
        for response, body in (
            (RESPONSE, b'ok'),
            (EMPTY_RESPONSE, b''),
            (CHUNKED_RESPONSE, b'ok'),
        ):
            async with FakeTarget(*[response] * (count + 1)) as target:
                with target_connections.ConnectionPool(
                    headers.HeaderCodec()
                ) as pool:
                    for number in range(count):
                        call = create_call(request_id=f'{number}')
                        got = await send(pool, target.address, call)
                        case.assertEqual(body, got, number)
                    case.assertEqual(1, target.connections)
                    await asyncio.sleep(PAUSE_SECONDS)
                    case.assertEqual(0, pool.count_open())

    test_target_connections.run(work)


def test_cancelled_call_breaks_no_other_call(case: support.Case) -> None:
    """The next call is on its connection, as its response has arrived."""

    async def work() -> None:
        first_call = create_call(request_id='first')
        next_call = create_call(request_id='next')
        async with FakeTarget(EMPTY_RESPONSE, RESPONSE) as target:
            with target_connections.ConnectionPool(
                headers.HeaderCodec()
            ) as pool:
                first = asyncio.ensure_future(
                    pool.send(target.address, first_call)
                )
                sent: list[asyncio.Task[ports.SendResult]] = []
                add_idle = pool._add_idle

                def send_next(
                    connection: target_connections.Connection,
                ) -> None:
                    add_idle(connection)
                    if sent:
                        return
                    sending = pool.send(target.address, next_call)
                    sent.append(asyncio.ensure_future(sending))
                    asyncio.get_running_loop().call_soon(first.cancel)

                pool._add_idle = send_next  # type: ignore[method-assign]
                with case.assertRaises(asyncio.CancelledError):
                    await first
                response = (await sent[0]).unwrap()
                case.assertEqual('1/2/0', response.connection)

    test_target_connections.run(work)


def test_ids_that_differ_in_space_share_no_connection(
    case: support.Case,
) -> None:
    """Targets may tell them apart, but the codec does not."""

    async def work() -> None:
        codec = headers.HeaderCodec()
        raw_ids = (b'a', b'a\xa0', b'\x85a')
        async with FakeTarget(*[RESPONSE] * 2 * len(raw_ids)) as target:
            with target_connections.ConnectionPool(codec) as pool:
                for raw_id in raw_ids:
                    head = codec.decode_call(((headers.REQUEST_ID, raw_id),))
                    case.assertEqual('a', head.request_id)
                    call = create_call(request_id=head.request_id)
                    await send(pool, target.address, call)
                case.assertEqual(len(raw_ids), target.connections)

    test_target_connections.run(work)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
