"""What hosts buffer of targets' responses for slow callers is bounded."""

import asyncio
import typing

from returns import pipeline
from twisted.internet import testing

from pistachioseam import response_budgets
from pistachioseam_entry import call_bodies
from pistachioseam_entry import reactors
from pistachioseam_entry import sockets
from tests import support

PART_BYTES = 8192


def create_reader(budget: response_budgets.ResponseBudget) -> typing.Any:
    """Return a reader of a body that arrives on a transport of its own."""
    reader: typing.Any = call_bodies.BodyReader(lambda: False, budget)
    reader.makeConnection(testing.StringTransport())
    return reader


def fill(reader: typing.Any, size: int) -> int:
    """Deliver parts until the reader pauses, at most `size` bytes."""
    sent = 0
    while sent < size and reader.transport.producerState == 'producing':
        reader.dataReceived(bytes(PART_BYTES))
        sent += PART_BYTES
    return sent


def read(reader: typing.Any, size: int) -> bytes:
    """Return the next bytes that the reader has buffered, `size` of them."""
    loop = reactors.get_reactor()._asyncioEventloop
    data = b''
    while len(data) < size:
        result = loop.run_until_complete(asyncio.wait_for(reader.read(), 5.0))
        assert pipeline.is_successful(result)
        part: bytes = result.unwrap()
        assert 0 < len(part) <= call_bodies.MAX_READ_BYTES
        data += part
    return data


def test_one_slow_caller_gets_the_whole_buffer(case: support.Case) -> None:
    """A target cuts off a response that stays unread for some seconds."""
    reader = create_reader(response_budgets.ResponseBudget())
    size = 10 * response_budgets.MAX_BUFFERED_BYTES
    case.assertEqual(
        response_budgets.MAX_BUFFERED_BYTES + PART_BYTES, fill(reader, size)
    )
    full = response_budgets.MAX_BUFFERED_BYTES + PART_BYTES
    case.assertEqual(full, len(read(reader, full)))
    case.assertEqual('producing', reader.transport.producerState)


def test_many_slow_callers_share_a_total(case: support.Case) -> None:
    """Guards against the buffers of many responses that fill the memory."""
    budget = response_budgets.ResponseBudget()
    budget.limit_bytes = 4 * response_budgets.MAX_BUFFERED_BYTES
    readers = [create_reader(budget) for _ in range(40)]
    for reader in readers:
        fill(reader, 10 * response_budgets.MAX_BUFFERED_BYTES)
    floor = response_budgets.MIN_BUFFERED_BYTES + PART_BYTES
    buffered = [reader._buffered_bytes for reader in readers]
    case.assertLessEqual(
        sum(buffered),
        budget.limit_bytes
        + response_budgets.MAX_BUFFERED_BYTES
        + len(readers) * floor,
    )
    unread_bytes = len(readers) * sockets.RECEIVE_BUFFER_BYTES
    case.assertEqual(sum(buffered) + unread_bytes, budget.held_bytes)
    for reader, size in zip(readers, buffered, strict=True):
        read(reader, size)
    case.assertEqual(0, budget.held_bytes)


def test_reader_pauses_again_when_its_transport_was_resumed(
    case: support.Case,
) -> None:
    """Guards against a body that is buffered whole.

    `Response.deliverBody` resumes the transport after the first data, also if
    the reader has paused it meanwhile.
    """
    budget = response_budgets.ResponseBudget()
    budget.limit_bytes = 0
    reader = create_reader(budget)
    fill(reader, 3 * response_budgets.MIN_BUFFERED_BYTES)
    case.assertEqual('paused', reader.transport.producerState)
    reader.transport.resumeProducing()
    reader.dataReceived(bytes(PART_BYTES))
    case.assertEqual('paused', reader.transport.producerState)


def test_abandoned_response_is_not_counted(case: support.Case) -> None:
    """Guards against a total that fills up with responses nobody reads."""
    budget = response_budgets.ResponseBudget()
    reader = create_reader(budget)
    fill(reader, 100_000)
    reader.abandon()
    reader.dataReceived(bytes(PART_BYTES))
    case.assertEqual(0, budget.held_bytes)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
