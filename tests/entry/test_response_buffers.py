"""What hosts buffer of targets' responses for slow callers is bounded."""

import asyncio
import typing

from returns import pipeline
from twisted.internet import testing

from pistachioseam_entry import call_bodies
from pistachioseam_entry import reactors
from tests import support

PART_BYTES = 8192


def create_reader(buffers: call_bodies.ResponseBuffers) -> typing.Any:
    """Return a reader of a body that arrives on a transport of its own."""
    reader: typing.Any = call_bodies.BodyReader(lambda: False, buffers)
    reader.makeConnection(testing.StringTransport())
    return reader


def fill(reader: typing.Any, size: int) -> int:
    """Deliver parts until the reader pauses, at most `size` bytes."""
    sent = 0
    while sent < size and reader.transport.producerState == 'producing':
        reader.dataReceived(bytes(PART_BYTES))
        sent += PART_BYTES
    return sent


def read(reader: typing.Any) -> bytes:
    """Return what the reader has buffered."""
    loop = reactors.get_reactor()._asyncioEventloop
    result = loop.run_until_complete(asyncio.wait_for(reader.read(), 5.0))
    assert pipeline.is_successful(result)
    data: bytes = result.unwrap()
    return data


def test_one_slow_caller_gets_the_whole_buffer(case: support.Case) -> None:
    """A target cuts off a response that stays unread for some seconds."""
    reader = create_reader(call_bodies.ResponseBuffers())
    size = 10 * call_bodies.MAX_BUFFERED_BYTES
    case.assertEqual(
        call_bodies.MAX_BUFFERED_BYTES + PART_BYTES, fill(reader, size)
    )
    case.assertEqual(
        call_bodies.MAX_BUFFERED_BYTES + PART_BYTES, len(read(reader))
    )
    case.assertEqual('producing', reader.transport.producerState)


def test_many_slow_callers_share_a_total(case: support.Case) -> None:
    """Guards against the buffers of many responses that fill the memory."""
    buffers = call_bodies.ResponseBuffers()
    buffers.limit_bytes = 4 * call_bodies.MAX_BUFFERED_BYTES
    readers = [create_reader(buffers) for _ in range(40)]
    for reader in readers:
        fill(reader, 10 * call_bodies.MAX_BUFFERED_BYTES)
    floor = call_bodies.MIN_BUFFERED_BYTES + PART_BYTES
    case.assertLessEqual(
        buffers.held_bytes,
        buffers.limit_bytes
        + call_bodies.MAX_BUFFERED_BYTES
        + len(readers) * floor,
    )
    for reader in readers:
        read(reader)
    case.assertEqual(0, buffers.held_bytes)


def test_abandoned_response_is_not_counted(case: support.Case) -> None:
    """Guards against a total that fills up with responses nobody reads."""
    buffers = call_bodies.ResponseBuffers()
    reader = create_reader(buffers)
    fill(reader, 100_000)
    reader.abandon()
    reader.dataReceived(bytes(PART_BYTES))
    case.assertEqual(0, buffers.held_bytes)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
