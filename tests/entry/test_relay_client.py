"""Relaying hosts get no more time than is left once they are asked."""

import asyncio
from collections import abc
import typing

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import relays
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


class Link:
    """Connections to hosts that never answer."""

    def __init__(self) -> None:
        self.streams: list[SilentStream] = []

    def open_relay(self, address: str) -> SilentStream:
        """Return a new stream."""
        self.streams.append(SilentStream())
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


def create_peer(name: str) -> membership.Peer:
    """Return a host."""
    return membership.Peer(
        name=name, incarnation='1', domain='d1', address=f'{name}:1'
    )


def test_time_for_which_a_host_is_silent_is_taken_off_the_time_limit(
    case: support.Case,
) -> None:
    """The host that is asked next would grant it again."""

    async def run() -> None:
        sink = call_fakes.Sink()
        link = Link()

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
        await client.send(CALL)
        requests = [stream.sent[0].relay_request for stream in link.streams]
        first, second = map(relay_messages.get_caller_seconds, requests)
        case.assertAlmostEqual(
            relay_client.ACCEPT_SECONDS, first - second, places=2
        )

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
