"""Hosts find the issuer of an account, and pass questions on to it."""

import asyncio
from collections import abc

from pistachioseam import events
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import quotas
from pistachioseam_entry import peer_messages
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes
from tests import clocks
from tests import fleets
from tests import support

SETTLE_SECONDS = 6.0
COST = 1000.0
ACCOUNTS = tuple(f'account-{number}' for number in range(16))


def create_state(
    version: int, rate: float, accounts: abc.Iterable[str] = ACCOUNTS
) -> desired.DesiredState:
    """Return a state in which the accounts have a quota of tokens."""
    return call_fakes.create_state(
        version,
        tuple(
            desired.Account(
                name=name,
                keys=(f'key of {name}',),
                priority=0,
                is_isolated=False,
                quota=desired.Quota(
                    rate_per_second=rate, burst=rate, counts_tokens=True
                ),
            )
            for name in accounts
        ),
    )


class Fleet:
    """Hosts that exchange statuses and quota messages."""

    def __init__(self, hosts: int, domains: int, rate: float = 100.0) -> None:
        self.network = fleets.Network()
        self.peers = fleets.create_peers(
            hosts, [f'd{number}' for number in range(domains)]
        )
        self.hosts = []
        for peer in self.peers:
            host = fleets.Host(peer, self.network)
            host.fixture.set_state(create_state(2, rate * COST))
            host.peers.members.add_discovered(self.peers)
            host.peers._has_host_list = True
            self.hosts.append(host)

    def start(self, seconds: float) -> list[asyncio.Future[None]]:
        """Exchange statuses in the background."""
        return [
            asyncio.ensure_future(host.run(seconds)) for host in self.hosts
        ]

    def find_issuers(self, account: str) -> set[str]:
        """Return the hosts that grant an account's quota, as they see it."""
        return {
            host.own.name
            for host in self.hosts
            if host.is_up() and self._ask(host, account) == host.own.name
        }

    def _ask(self, host: fleets.Host, account: str) -> str:
        view = host.peers._get_view()
        return host.peers.quotas._find_issuer(view, account).name


async def count_granted(
    hosts: abc.Sequence[fleets.Host], account: str, calls: int
) -> int:
    """Return how many calls the hosts are granted, asking in turn."""
    granted = 0
    for number in range(calls):
        host = hosts[number % len(hosts)]
        decision = await host.peers.quotas.request(
            quotas.QuotaRequest(
                asker=host.own.name, account=account, cost=COST
            )
        )
        granted += decision is not None and decision.is_granted
    return granted


def test_accounts_are_spread_over_leaders(case: support.Case) -> None:
    """One host granted the quotas of all accounts.

    Each account has a single issuer, which all hosts reach.
    """

    async def run() -> None:
        fleet = Fleet(hosts=63, domains=6)
        running = fleet.start(SETTLE_SECONDS + 3.0)
        await asyncio.sleep(SETTLE_SECONDS)
        leaders = {host.find_leader() for host in fleet.hosts}
        issuers = [fleet.find_issuers(account) for account in ACCOUNTS]
        for found in issuers:
            case.assertEqual(1, len(found))
        used = set[str]().union(*issuers)
        case.assertLessEqual(used, leaders)
        case.assertGreater(len(used), 2)
        case.assertEqual(63, await count_granted(fleet.hosts, ACCOUNTS[0], 63))
        await asyncio.gather(*running)

    clocks.run(run())


def test_all_hosts_share_one_bucket(case: support.Case) -> None:
    """Each of nine hosts granted the whole burst."""

    async def run() -> None:
        fleet = Fleet(hosts=9, domains=3)
        running = fleet.start(SETTLE_SECONDS + 8.0)
        await asyncio.sleep(SETTLE_SECONDS)
        started_at = asyncio.get_running_loop().time()
        granted = await count_granted(fleet.hosts, ACCOUNTS[0], 180)
        seconds = asyncio.get_running_loop().time() - started_at
        case.assertGreaterEqual(granted, 100)
        case.assertLessEqual(granted, 101 + 100 * seconds)
        await asyncio.gather(*running)

    clocks.run(run())


def test_lost_issuer_is_replaced(case: support.Case) -> None:
    """Questions went on to a host that was lost."""

    async def run() -> None:
        fleet = Fleet(hosts=63, domains=6)
        running = fleet.start(SETTLE_SECONDS + 20.0)
        await asyncio.sleep(SETTLE_SECONDS)
        issuer = fleet.find_issuers(ACCOUNTS[0]).pop()
        [lost] = [host for host in fleet.hosts if host.own.name == issuer]
        lost.stop()
        asker = next(host for host in fleet.hosts if host is not lost)
        case.assertEqual(0, await count_granted([asker], ACCOUNTS[0], 1))
        case.assertTrue(
            any(
                events.Event.QUOTA_UNANSWERED in host.fixture.sink.list_kinds()
                for host in fleet.hosts
            )
        )
        await asyncio.sleep(6.0)
        case.assertEqual(1, len(fleet.find_issuers(ACCOUNTS[0])))
        others = [host for host in fleet.hosts if host is not lost]
        case.assertEqual(62, await count_granted(others, ACCOUNTS[0], 62))
        await asyncio.gather(*running)

    clocks.run(run())


def test_cut_off_domain_grants_its_part(case: support.Case) -> None:
    """Both sides of a partition granted the whole rate."""

    async def run() -> None:
        fleet = Fleet(hosts=60, domains=6)
        running = fleet.start(SETTLE_SECONDS + 20.0)
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.network.cut_domains = {'d0'}
        await asyncio.sleep(5.0)
        inside = [h for h in fleet.hosts if h.own.domain == 'd0']
        outside = [h for h in fleet.hosts if h.own.domain != 'd0']
        shares = [
            max(host.peers._get_quota_share() for host in hosts)
            for hosts in (inside, outside)
        ]
        case.assertAlmostEqual(1 / 6, shares[0])
        case.assertAlmostEqual(5 / 6, shares[1])
        case.assertEqual(16, await count_granted(inside, ACCOUNTS[0], 60))
        await asyncio.gather(*running)

    clocks.run(run())


def test_host_without_host_list_grants_nothing(case: support.Case) -> None:
    """A new host took itself for a part of an assumed fleet of sixteen."""

    async def run() -> None:
        fleet = Fleet(hosts=1, domains=1)
        fleet.hosts[0].peers._has_host_list = False
        fleet.hosts[0].peers.run_round()
        await asyncio.sleep(1.0)
        case.assertEqual(0, await count_granted(fleet.hosts, ACCOUNTS[0], 3))
        case.assertIsNone(fleet.hosts[0].peers.count_known_hosts())

    clocks.run(run())


def test_limit_of_the_issuer_counts(case: support.Case) -> None:
    """Hosts with a former state kept the former limit up."""

    async def run() -> None:
        fleet = Fleet(hosts=9, domains=3)
        running = fleet.start(SETTLE_SECONDS + 4.0)
        await asyncio.sleep(SETTLE_SECONDS)
        issuer = fleet.find_issuers(ACCOUNTS[0]).pop()
        [host] = [h for h in fleet.hosts if h.own.name == issuer]
        host.fixture.set_state(create_state(3, 5 * COST))
        others = [other for other in fleet.hosts if other is not host]
        case.assertLessEqual(
            await count_granted(others, ACCOUNTS[0], 40), 5 + 5
        )
        # The new state of the issuer has no quota of this account.
        host.fixture.set_state(create_state(4, 1.0, ACCOUNTS[1:]))
        case.assertEqual(40, await count_granted(others, ACCOUNTS[0], 40))
        await asyncio.gather(*running)

    clocks.run(run())


def test_hosts_of_former_builds_do_not_answer(case: support.Case) -> None:
    """They answer a question with a handshake, which decides nothing."""

    async def run() -> None:
        handshake = messages_pb2.Message()
        handshake.host_status.SetInParent()
        case.assertIsNone(peer_messages.decode_quota_decision(handshake))

    clocks.run(run())


def test_messages_hold_what_was_encoded(case: support.Case) -> None:
    """A wait below a millisecond became 0, which stands for an unknown."""
    request = quotas.QuotaRequest(
        asker='host', account='account', cost=5.0, returned=3.0
    )
    message = messages_pb2.Message()
    peer_messages.add_quota_request(message, request, 1)
    case.assertEqual(
        request,
        peer_messages.decode_quota_request(message.host_status.quota_question),
    )
    case.assertEqual(1, message.host_status.quota_question.hops)
    response = messages_pb2.Message()
    peer_messages.add_quota_decision(
        response, quotas.QuotaDecision(False, 0.0001)
    )
    case.assertEqual(
        quotas.QuotaDecision(False, 0.001),
        peer_messages.decode_quota_decision(response),
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
