"""Simulated hosts that keep quotas together, without messages or sockets.

Faults are those of hosts and links: hosts join, leave, freeze and restart,
and groups of hosts lose each other. A frozen host goes on where it stopped,
and then handles what has arrived in the meantime.
"""

import asyncio
import random
import typing


from pistachioseam.forwarding import desired
from pistachioseam.forwarding import quotas
from pistachioseam import membership
from pistachioseam.placement import rendezvous
from pistachioseam_entry import call_peers
from pistachioseam_entry import quota_exchange
from pistachioseam_entry import runtime
from tests import call_fakes

ACCOUNT = 'account'
HEARTBEAT_SECONDS = 0.5
LATENCY_SECONDS = 0.01
CHECK_SECONDS = 0.02
"""Resolution of freezes."""
TERMS = quotas.QuotaTerms(slack=110_000.0)
ISSUER_KEY = 7
MIN_COST = 800
MAX_COST = 15_000


def compute_bound(quota: desired.Quota) -> float:
    """Return the most that may be sent in a window."""
    allowed = quota.rate_per_second * TERMS.window_seconds + quota.burst
    return allowed * (1 + TERMS.overage) + TERMS.slack


def find_most(sent: list[tuple[float, float]], seconds: float) -> float:
    """Return the highest cost in any window; `sent` holds time and cost."""
    ordered = sorted(sent)
    most = total = 0.0
    first = 0
    for at, cost in ordered:
        total += cost
        while ordered[first][0] <= at - seconds:
            total -= ordered[first][1]
            first += 1
        most = max(most, total)
    return most


class Host:
    """Host of the simulated fleet; its boot clock has its own start."""

    def __init__(
        self, fleet: 'Fleet', name: str, quota: desired.Quota, start: float
    ) -> None:
        self.name = name
        self.account = desired.Account(
            name=ACCOUNT,
            keys=(),
            priority=None,
            is_isolated=False,
            quota=quota,
        )
        self.is_up = True
        self.frozen_until = 0.0
        self.knows_fleet = True
        self.heard: dict[str, float] = {}
        self.sink = call_fakes.Sink()
        self.runtime = runtime.AsyncioRuntime(self.sink)
        self.issuer = quotas.QuotaIssuer(self._get_share)
        self._fleet = fleet
        self._clock_start = start
        self.client = quotas.QuotaClient(
            name,
            self.runtime,
            self.read_boot_clock,
            call_fakes.SeededRandom(),
            self.sink,
            self.ask,
            lambda: len(fleet.names) if self.knows_fleet else None,
            TERMS,
        )

    def read_boot_clock(self) -> float:
        """Return seconds since this host's boot."""
        return self.runtime.now() + self._clock_start

    def list_heard(self, seconds: float) -> list[str]:
        """Return the hosts with a heartbeat in the last seconds."""
        since = self.runtime.now() - seconds
        return [name for name, at in self.heard.items() if at >= since]

    def find_issuer(self) -> str:
        """Return the issuer as this host sees the fleet."""
        alive = self.list_heard(membership.PEER_TIMEOUT_SECONDS)
        names = sorted({*alive, self.name})
        return self._fleet.ranking.rank(ISSUER_KEY, names, 1)[0]

    def _get_share(self) -> float:
        if not self.knows_fleet:
            return 0.0
        seen = 1 + len(self.list_heard(call_peers.RECENT_SECONDS))
        return quotas.compute_share(seen / len(self._fleet.names))

    async def thaw(self) -> None:
        """Return once this host is not frozen."""
        while self.runtime.now() < self.frozen_until:
            await asyncio.sleep(CHECK_SECONDS)

    async def run(self) -> None:
        """Send heartbeats and follow the fleet."""
        while self.is_up:
            await self.thaw()
            self._fleet.broadcast(self)
            is_issuer = self.find_issuer() == self.name
            self.issuer.follow(
                [ACCOUNT] if is_issuer else [], self.read_boot_clock()
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def hear(self, name: str) -> None:
        """Record a heartbeat, once this host handles it."""
        await self.thaw()
        self.heard[name] = self.runtime.now()

    async def ask(
        self, request: quotas.QuotaRequest, hops: int = 0
    ) -> quotas.QuotaDecision | None:
        """Decide or pass on, as `quota_exchange.QuotaExchange` does."""
        issuer = self.find_issuer()
        if issuer == self.name:
            assert self.account.quota is not None
            return self.issuer.issue(
                request, self.account.quota, self.read_boot_clock()
            )
        if hops >= quota_exchange.MAX_HOPS:
            return None
        answer = asyncio.ensure_future(
            self._fleet.deliver(self, issuer, request, hops + 1)
        )
        done, _ = await asyncio.wait(
            (answer,), timeout=quota_exchange.TIMEOUT_SECONDS[hops]
        )
        return answer.result() if done else None

    async def call(self, cost: int, hold_seconds: float) -> None:
        """Send a call as `steps.forward` does, after a wait for an engine."""
        grant = self.client.create_grant(self.account, cost)
        while True:
            if await grant.acquire() is not None:
                self._fleet.refused.append((self.runtime.now(), cost))
                break
            await asyncio.sleep(hold_seconds)
            hold_seconds /= 2
            await self.thaw()
            if not self.is_up:
                return
            if grant.may_send():
                self._fleet.sent.append((self.runtime.now(), cost))
                grant.end(may_have_run=True)
                return
        grant.end(may_have_run=False)


class Fleet:
    """Hosts with traffic of one account.

    `sides` holds the group of each host; groups do not reach each other.
    `lost_replies` counts replies still to be lost.
    """

    def __init__(
        self, hosts: int, quota: desired.Quota, seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.ranking = rendezvous.RendezvousHash()
        self.names = [f'host-{number}' for number in range(hosts)]
        self.sides: dict[str, int] = {}
        self.lost_replies = 0
        self.sent: list[tuple[float, float]] = []
        self.refused: list[tuple[float, float]] = []
        self._tasks: set[asyncio.Future[typing.Any]] = set()
        self.hosts: dict[str, Host] = {}
        for name in self.names:
            self.start_host(name, quota)
        for host in self.hosts.values():
            host.heard = dict.fromkeys(
                set(self.names) - {host.name}, host.runtime.now()
            )

    def start(
        self, work: typing.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        """Run something in the background."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_host(self, name: str, quota: desired.Quota) -> None:
        """Start a host, or its next incarnation."""
        former = self.hosts.get(name)
        if former is not None:
            former.is_up = False
        host = Host(self, name, quota, self.random.random() * 1000)
        self.hosts[name] = host
        if name not in self.names:
            self.names.append(name)
        self.start(host.run())

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether a message of a host arrives."""
        return (
            self.hosts[receiver].is_up
            and self.hosts[sender].is_up
            and self.sides.get(sender, 0) == self.sides.get(receiver, 0)
        )

    def broadcast(self, sender: Host) -> None:
        """Deliver a heartbeat to all hosts."""
        for name, host in self.hosts.items():
            if name != sender.name and self.reaches(sender.name, name):
                self.start(host.hear(sender.name))

    async def deliver(
        self,
        sender: Host,
        receiver: str,
        request: quotas.QuotaRequest,
        hops: int,
    ) -> quotas.QuotaDecision | None:
        """Return a host's answer; a lost one never comes."""
        host = self.hosts[receiver]
        await asyncio.sleep(LATENCY_SECONDS)
        if not self.reaches(sender.name, receiver):
            await asyncio.sleep(60.0)
        await host.thaw()
        decision = await host.ask(request, hops)
        await asyncio.sleep(LATENCY_SECONDS)
        if self.lost_replies or not self.reaches(receiver, sender.name):
            self.lost_replies = max(0, self.lost_replies - 1)
            await asyncio.sleep(60.0)
        return decision

    def find_issuer(self) -> str:
        """Return the issuer as most hosts see it."""
        return next(iter(self.hosts.values())).find_issuer()

    async def load(
        self,
        seconds: float,
        cost_per_second: float,
        names: list[str] | None = None,
        hold_seconds: float = 0.0,
        costs: tuple[int, int] = (MIN_COST, MAX_COST),
    ) -> None:
        """Send calls at random times through random hosts of `names`."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        rate = cost_per_second / (sum(costs) / 2)
        while rate:
            await asyncio.sleep(self.random.expovariate(rate))
            if loop.time() >= end:
                return
            host = self.hosts[self.random.choice(names or self.names)]
            cost = self.random.randint(*costs)
            hold = self.random.random() * hold_seconds
            if host.is_up and loop.time() >= host.frozen_until:
                self.start(host.call(cost, hold))

    def sum_sent(self, start: float, end: float) -> float:
        """Return the cost that was sent in a time."""
        return sum(cost for at, cost in self.sent if start <= at < end)

    def count_refused(self, start: float, end: float) -> int:
        """Return how many calls were refused in a time."""
        return sum(start <= at < end for at, _ in self.refused)
