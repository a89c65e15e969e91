"""Hosts of a fleet that exchange statuses on a simulated network."""

import asyncio
import collections
from collections import abc
import typing

import attrs
from returns import result

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import rate_permits
from pistachioseam import membership
from pistachioseam_entry import call_peers
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes

REGION_LATENCY_SECONDS = 0.03
"""Time that a response of a host of another domain takes, at most."""


def create_peers(
    hosts: int, domains: abc.Sequence[str]
) -> list[membership.Peer]:
    """Return hosts, spread evenly over the domains."""
    return [
        membership.Peer(
            name=f'host-{number}',
            incarnation=f'host-{number}:1',
            domain=domains[number % len(domains)],
            address=f'10.0.1.{number}:1',
        )
        for number in range(hosts)
    ]


@attrs.define
class Rollout:
    """Stand-in for a rollout without loading engines."""

    loading: set[tuple[str, int]] = attrs.field(factory=set)

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Do nothing; no upgrade is ever started."""


class Network:
    """Hosts by address; `messages` counts the one-way messages.

    `delays` holds the seconds that responses of a host take, `silenced` the
    names of hosts whose one-way messages are lost.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.messages = 0
        self.bytes_by_sender: collections.Counter[str] = collections.Counter()
        self.handshakes = 0
        self.cut_domains: set[str] = set()
        self.delays: dict[str, float] = {}
        self.silenced: set[str] = set()

    def find(self, sender: membership.Peer, address: str) -> 'Host | None':
        """Return the host that a message reaches, None if it is lost."""
        host = self.hosts.get(address)
        if host is None:
            return None
        domains = {sender.domain, host.own.domain}
        is_cut = len(domains) > 1 and domains & self.cut_domains
        return None if is_cut else host


class Client:
    """Client that delivers messages without sockets."""

    def __init__(self, network: Network, own: membership.Peer) -> None:
        self._network = network
        self._own = own

    def send_to_all(
        self, addresses: abc.Iterable[str], message: messages_pb2.Message
    ) -> None:
        """Deliver a message to each address that is up."""
        payload = message.SerializeToString()
        for address in addresses:
            self._network.messages += 1
            self._network.bytes_by_sender[message.sender.name] += len(payload)
            host = self._network.find(self._own, address)
            if (
                host is not None
                and message.sender.name not in self._network.silenced
            ):
                received = messages_pb2.Message.FromString(payload)
                host.peers._handle_message(received)

    async def exchange(
        self, address: str, message: messages_pb2.Message, timeout: float
    ) -> result.Result[messages_pb2.Message, str]:
        """Return the response of an address that is up."""
        self._network.handshakes += 1
        if address not in self._network.hosts:
            return result.Failure('ConnectionRefusedError')
        host = self._network.find(self._own, address)
        if host is None:
            await asyncio.sleep(timeout)
            return result.Failure('TimeoutError')
        if host.own.domain != self._own.domain:
            await asyncio.sleep(REGION_LATENCY_SECONDS)
        received = messages_pb2.Message.FromString(message.SerializeToString())
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(self._network.delays.get(host.own.name, 0))
                response = await host.peers._handle_request(received)
        except TimeoutError:
            return result.Failure('TimeoutError')
        return result.Success(response)

    def disconnect(self, address: str) -> None:
        """Do nothing; there are no connections."""

    def __exit__(self, *_: object) -> None:
        """Do nothing; there are no connections."""


class Host:
    """Host with its exchange of statuses, on a simulated network."""

    def __init__(
        self,
        own: membership.Peer,
        network: Network,
        fixture: call_fakes.RouterFixture | None = None,
    ) -> None:
        self.own = own
        self.fixture = fixture or call_fakes.RouterFixture()
        self.router = self.fixture.router
        self.rollout = Rollout()
        self.peers = call_peers.CallPeers(
            self.own,
            self.router,
            typing.cast(typing.Any, self.rollout),
            typing.cast(ports.Platform, None),
            typing.cast(typing.Any, None),
        )
        self.peers._client = typing.cast(typing.Any, Client(network, own))
        self.router.permits = rate_permits.PermitClient(
            own.name, self.router.runtime, self.peers.permits.request
        )
        self.router.quotas = quotas.QuotaClient(
            own.name,
            self.router.runtime,
            self.router.read_boot_clock,
            self.router.random,
            self.router.sink,
            self.peers.quotas.request,
            self.peers.count_known_hosts,
            quotas.QuotaTerms(slack=110_000.0),
        )
        self._network = network
        network.hosts[self.own.address] = self

    def use_former_messages(self) -> None:
        """Neither send nor understand changes, as hosts of former builds."""
        self.peers._get_version = lambda: 0  # type: ignore[method-assign]
        self.peers._understands_changes = (  # type: ignore[method-assign]
            lambda peer: False
        )
        self.peers._statuses.expand_changes = (  # type: ignore[method-assign]
            lambda status: status.ClearField('changes')
        )

    def start_updates(self) -> None:
        """Send updates between the regular statuses too."""
        self.peers.follow_router()

    def find_leader(self) -> str:
        """Return the name of the leader as this host sees it."""
        leaders = self.peers._contacts.leaders
        return leaders[0].name if leaders else ''

    async def run(self, seconds: float) -> None:
        """Exchange statuses until the host is stopped or time is up."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end and self.is_up():
            self.peers.run_round()
            await asyncio.sleep(self.peers._contacts.get_pause_seconds())

    def is_up(self) -> bool:
        """Return whether the host is on the network."""
        return self._network.hosts.get(self.own.address) is self

    def stop(self) -> None:
        """Take the host off the network."""
        del self._network.hosts[self.own.address]
