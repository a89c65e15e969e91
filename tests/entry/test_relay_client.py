"""Relaying hosts get no more time than is left once they are asked."""

import asyncio
from collections import abc
import typing

import attrs
from returns import pipeline

from pistachioseam.forwarding import caller_presence
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import relays
from pistachioseam import interfaces
from pistachioseam import membership
from pistachioseam_entry import relay_client
from pistachioseam_entry import relay_messages
from pistachioseam_entry import runtime
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes
from tests import clocks
from tests.entry import test_relay_messages
from tests import partitioned_hosts
from tests import support

CALL = test_relay_messages.CALL


ANSWER_SECONDS = 0.3


class SilentStream:
    """Stream to a host that never answers; keeps what it is sent."""

    def __init__(self) -> None:
        self.sent: list[messages_pb2.Message] = []

    async def send(self, message: messages_pb2.Message) -> None:
        """Record a message."""
        self.sent.append(message)

    async def receive(self) -> messages_pb2.Message | None:
        """Wait without end."""
        await asyncio.Event().wait()
        return None

    def close(self) -> None:
        """Do nothing."""


class SlowStream(SilentStream):
    """Stream to a host that accepts a call late and then ends the stream."""

    async def receive(self) -> messages_pb2.Message | None:
        """Return the acceptance, then None."""
        if len(self.sent) > 1:
            return None
        await asyncio.sleep(ANSWER_SECONDS)
        word = messages_pb2.RelayWord(accepted_nonce=b'nonce')
        return messages_pb2.Message(relay_word=word)


class HeadStream(SlowStream):
    """Stream to a host that passes on a response with some status."""

    status = 200

    async def receive(self) -> messages_pb2.Message | None:
        """Return the acceptance, then a head."""
        if len(self.sent) < 2:
            return await super().receive()
        named = messages_pb2.HeaderPair(name=b'id', value=b'1')
        head = messages_pb2.RelayHead(status=self.status, headers=[named])
        word = messages_pb2.RelayWord(head=head)
        return messages_pb2.Message(relay_word=word)


class MuteStream(SlowStream):
    """Stream to a host that accepts a call and then falls silent."""

    async def receive(self) -> messages_pb2.Message | None:
        """Return the acceptance, then wait without end."""
        if len(self.sent) > 1:
            await asyncio.Event().wait()
        return await super().receive()


class Link:
    """Connections to hosts that all answer in the same way."""

    def __init__(self, open_stream: type[SilentStream]) -> None:
        self.streams: list[SilentStream] = []
        self._open_stream = open_stream

    def open_relay(self, address: str) -> SilentStream:
        """Return a new stream."""
        self.streams.append(self._open_stream())
        return self.streams[-1]

    def disconnect_relay(self, address: str) -> None:
        """Do nothing; streams are independent."""


class Peers:
    """Two hosts that may relay."""

    def choose(self, now: float) -> abc.Sequence[membership.Peer]:
        """Return both."""
        return [create_peer('host-2'), create_peer('host-3')]

    def record_refusal(self, name: str, now: float) -> None:
        """Do nothing."""

    def start(self, name: str) -> None:
        """Do nothing."""

    def finish(self, name: str) -> None:
        """Do nothing."""


def create_peer(name: str) -> membership.Peer:
    """Return a host."""
    return membership.Peer(
        name=name, incarnation='1', domain='d1', address=f'{name}:1'
    )


async def send(
    link: Link, call: ports.OutgoingCall = CALL
) -> ports.SendResult:
    """Send a call through the hosts of a link; return the result."""
    sink = call_fakes.Sink()

    def may_send(call: ports.OutgoingCall) -> bool:
        return True

    client = relay_client.RelayClient(
        create_peer('host-1'),
        lambda: typing.cast(relays.RelayPeers, Peers()),
        runtime.AsyncioRuntime(sink),
        sink,
        partitioned_hosts.Decoder(),
        lambda: link,
        may_send,
    )
    return await client.send(call)


def test_time_for_which_a_host_is_silent_is_taken_off_the_time_limit(
    case: support.Case,
) -> None:
    """The host that is asked next would grant it again."""

    async def run() -> None:
        link = Link(SilentStream)
        await send(link)
        requests = [stream.sent[0].relay_request for stream in link.streams]
        first, second = map(relay_messages.get_caller_seconds, requests)
        case.assertAlmostEqual(
            relay_client.ACCEPT_SECONDS, first - second, places=2
        )

    clocks.run(run())


def test_relaying_host_is_told_for_how_long_its_answer_was_waited_for(
    case: support.Case,
) -> None:
    """It cannot know how long the request and its own answer took."""

    async def run() -> None:
        link = Link(SlowStream)
        await send(link)
        (stream,) = link.streams
        _, go = stream.sent
        case.assertAlmostEqual(
            ANSWER_SECONDS * relay_messages.MS_PER_SECOND,
            go.relay_go.waited_ms,
            delta=1,
        )

    clocks.run(run())


def test_call_is_given_up_where_its_relaying_host_is_silent(
    case: support.Case,
) -> None:
    """That host may still reach the target, which may work on."""

    async def run() -> None:
        for stream in (MuteStream, SlowStream):
            sent = await send(Link(stream))
            case.assertTrue(sent.failure().is_given_up)

    clocks.run(run())


def test_relayed_head_with_an_invalid_status_is_broken(
    case: support.Case,
) -> None:
    """Guards against hosts of earlier builds, which pass on any number."""

    async def run() -> None:
        for status, is_valid in (
            (0, False),
            (20, False),
            (100, False),
            (199, False),
            (200, True),
            (599, True),
            (600, False),
            (999, False),
        ):
            HeadStream.status = status
            sent = await send(Link(HeadStream))
            case.assertEqual(is_valid, pipeline.is_successful(sent), status)
            if not is_valid:
                kind = sent.failure().kind
                case.assertIs(interfaces.FailureKind.BROKEN, kind)

    clocks.run(run())


def test_relaying_host_is_told_that_the_caller_has_left(
    case: support.Case,
) -> None:
    """Guards against GONE: it may still connect to the target."""

    async def run() -> None:
        link = Link(MuteStream)
        caller = caller_presence.CallerPresence()
        sending = asyncio.ensure_future(
            send(link, attrs.evolve(CALL, caller=caller))
        )
        await asyncio.sleep(2 * ANSWER_SECONDS)
        caller.leave()
        await sending
        (stream,) = link.streams
        told = [message.WhichOneof('content') for message in stream.sent]
        case.assertEqual(
            ['relay_request', 'relay_go', 'relay_caller_left'], told
        )

    clocks.run(run())


def test_call_whose_caller_left_is_not_ordered_to_be_sent(
    case: support.Case,
) -> None:
    """Guards against GONE: another host accepts it after the caller left."""

    async def run() -> None:
        link = Link(SlowStream)
        call = attrs.evolve(CALL, begin_sending=lambda: False)
        sent = await send(link, call)
        case.assertIs(interfaces.FailureKind.NOT_SENT, sent.failure().kind)
        (stream,) = link.streams
        case.assertEqual(1, len(stream.sent))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
