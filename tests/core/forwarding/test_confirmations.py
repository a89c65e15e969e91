"""Hosts of a domain share the leader's watch of the store.

The age of each host's cache stays within the bound for keys.
"""

import asyncio
from collections import abc
import typing

import attrs
from returns import result

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import watches
from tests import call_fakes
from tests import clocks
from tests import support

CALL_SECONDS = 0.01
SLOW_LATENCY_SECONDS = 0.28
"""Latency at which the response to a full long poll is just in time."""
READY_SECONDS = 3.0
"""Age up to which a host is ready if the bound for revocations is 5 s."""
FAILURE: result.Result[typing.Any, ports.StoreFailure] = result.Failure(
    ports.StoreFailure(detail='disconnected')
)


class Store:
    """Store with one document and the entries of targets."""

    def __init__(self) -> None:
        self.version = 1
        self.state_version = 1
        self.targets: dict[int, int] = {1: 1}
        self.removed: dict[int, int] = {}
        self.changed = asyncio.Event()

    def get_cursor(self) -> store_versions.StoreVersion:
        """Return the version for a read."""
        return store_versions.StoreVersion(0, self.version)

    def replace_document(self) -> None:
        """Replace the document by a new version."""
        self.version += 1
        self.state_version = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, number: int) -> None:
        """Remove a target's entry."""
        self.version += 1
        self.removed[number] = self.version
        del self.targets[number]

    def heartbeat(self, number: int) -> None:
        """Write a target's entry; it is unchanged if it was there before."""
        self.version += 1
        self.targets[number] = self.version


class StoreClient:
    """One host's connection to the store, which can be disconnected."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.calls = 0
        self.is_disconnected = False
        self.targets_seconds = CALL_SECONDS

    async def read_desired(
        self, after: store_versions.StoreVersion | None, wait_seconds: float
    ) -> result.Result[ports.DesiredChange, ports.StoreFailure]:
        """Return the document if it changed, after a long poll otherwise."""
        self.calls += 1
        await asyncio.sleep(CALL_SECONDS)
        if self.is_disconnected:
            return FAILURE
        store = self.store
        if after is not None and store.state_version <= after.number:
            try:
                async with asyncio.timeout(wait_seconds):
                    await store.changed.wait()
            except TimeoutError:
                pass
        is_new = after is None or store.state_version > after.number
        state = call_fakes.create_state(store.version) if is_new else None
        return result.Success(
            ports.DesiredChange(
                state=state, weights={}, cursor=store.get_cursor()
            )
        )

    async def read_targets(
        self, after: store_versions.StoreVersion | None
    ) -> result.Result[ports.TargetsRead, ports.StoreFailure]:
        """Return the entries written after a version, or all."""
        self.calls += 1
        await asyncio.sleep(self.targets_seconds)
        if self.is_disconnected:
            return FAILURE
        cursor = self.store.get_cursor()
        entries = [
            catalog.TargetEntry(
                name=target.name,
                version=attrs.evolve(cursor, number=version),
                target=target,
            )
            for number, version in self.store.targets.items()
            if after is None or version > after.number
            for target in (call_fakes.create_target(number),)
        ]
        entries += [
            catalog.TargetEntry(
                name=call_fakes.create_target(number).name,
                version=attrs.evolve(cursor, number=version),
            )
            for number, version in self.store.removed.items()
            if after is not None and version > after.number
        ]
        change = catalog.TargetChange(
            entries=tuple(entries), version=cursor, is_complete=after is None
        )
        return result.Success(ports.TargetsRead(change=change, cursor=cursor))


@attrs.define
class LeaderClient:
    """Connection to the domain's leader, with faults to inject."""

    confirmer: confirmations.Confirmer | None = None
    is_silent: bool = False
    latency_seconds: float = CALL_SECONDS
    queries: int = 0
    extra_age_seconds: float = 0.0

    def find_leader_address(self) -> str | None:
        """Return an address if another host is the leader."""
        return None if self.confirmer is None else 'first'

    async def fetch_store_status(
        self, _: str, query: confirmations.StoreQuery
    ) -> confirmations.StoreStatus | None:
        """Return the leader's response after a latency, None on a timeout."""
        self.queries += 1
        if self.is_silent:
            await asyncio.sleep(confirmations.LONG_POLL_SECONDS)
            return None
        assert self.confirmer is not None
        status = await self.confirmer.respond(query)
        await asyncio.sleep(self.latency_seconds)
        if status is None or not self.extra_age_seconds:
            return status
        return attrs.evolve(
            status,
            desired=self._age(status.desired),
            targets=self._age(status.targets),
        )

    def _age(
        self, status: confirmations.TableStatus
    ) -> confirmations.TableStatus:
        age_seconds = status.age_seconds + self.extra_age_seconds
        return attrs.evolve(status, age_seconds=age_seconds)


class Host:
    """One host's watches, confirmer and follower."""

    def __init__(self, store: Store) -> None:
        self.fixture = call_fakes.RouterFixture()
        self.router = self.fixture.router
        self.router.freshness.confirmed_at = None
        self.client = StoreClient(store)
        platform = typing.cast(ports.Platform, self.client)
        self.desired = watches.DesiredWatch(self.router, platform)
        self.targets = watches.TargetsWatch(self.router, platform)
        clock = self.router.read_boot_clock
        self.confirmer = confirmations.Confirmer(
            self.desired.progress, self.targets.progress, clock
        )
        self.leader = LeaderClient()
        follower = confirmations.Follower(
            self.desired,
            self.targets,
            self.leader,
            clock,
            self.fixture.runtime.sleep,
        )
        for work in (self.desired, self.targets, follower):
            self.fixture.runtime.start(work.run())

    def get_age(self) -> float:
        """Return the age of the host's cached keys in seconds."""
        return self.router.freshness.get_age(self.fixture.runtime.now())

    def get_version(self) -> int:
        """Return the version of the document in force."""
        assert self.router.desired.state is not None
        return self.router.desired.state.version

    def count_targets(self) -> int:
        """Return the number of targets known to the host."""
        return len(self.router.catalog.list_all())


def create_hosts(count: int) -> tuple[Store, list[Host]]:
    """Return a store and hosts; the first host leads the others."""
    store = Store()
    hosts = [Host(store) for _ in range(count)]
    for host in hosts[1:]:
        host.leader.confirmer = hosts[0].confirmer
    return store, hosts


async def measure_max_age(hosts: abc.Sequence[Host], seconds: float) -> float:
    """Return the greatest age of any host's keys over some seconds."""
    max_age = 0.0
    for _ in range(int(seconds / 0.05)):
        await asyncio.sleep(0.05)
        max_age = max(max_age, *(host.get_age() for host in hosts))
    return max_age


def test_only_the_leader_reads_the_store(case: support.Case) -> None:
    """Heartbeats that change nothing cause no calls by followers."""

    async def run() -> None:
        store, hosts = create_hosts(15)
        await asyncio.sleep(3.0)
        before = [host.client.calls for host in hosts]
        for _ in range(20):
            store.heartbeat(1)
            case.assertLess(
                await measure_max_age(hosts, 1.0), READY_SECONDS - 0.5
            )
        used = [
            host.client.calls - calls
            for host, calls in zip(hosts, before, strict=True)
        ]
        case.assertEqual([0] * 14, used[1:])
        case.assertLess(used[0], 20 * 2.5)

    clocks.run(run())


def test_changes_reach_followers_at_once(case: support.Case) -> None:
    """A waiting long poll returns when the leader sees a change."""

    async def run() -> None:
        store, hosts = create_hosts(4)
        await asyncio.sleep(3.0)
        store.replace_document()
        await asyncio.sleep(0.1)
        case.assertEqual(
            [store.state_version] * 4, [host.get_version() for host in hosts]
        )
        store.heartbeat(2)
        await asyncio.sleep(watches.TARGETS_POLL_SECONDS + 0.1)
        case.assertEqual([2] * 4, [host.count_targets() for host in hosts])

    clocks.run(run())


def test_unconfirmed_host_reads_the_store(case: support.Case) -> None:
    """A leader that is silent, slow or disconnected makes no follower stale.

    The follower reads the store directly instead.
    """
    for fault in ('silent', 'disconnected', 'slow'):

        async def run(fault: str = fault) -> None:
            store, hosts = create_hosts(2)
            await asyncio.sleep(3.0)
            first, second = hosts
            second.leader.is_silent = fault == 'silent'
            first.client.is_disconnected = fault == 'disconnected'
            if fault == 'slow':
                second.leader.latency_seconds = SLOW_LATENCY_SECONDS
            case.assertLess(
                await measure_max_age([second], 12.0), READY_SECONDS, fault
            )
            store.replace_document()
            await asyncio.sleep(1.5)
            case.assertEqual(store.state_version, second.get_version(), fault)

        clocks.run(run())


def test_old_confirmations_do_not_hide_an_outage(case: support.Case) -> None:
    """Entries that lapse during an outage are kept for their targets' return.

    The leader goes on responding while the store is down.
    """

    async def run(down_seconds: float) -> None:
        store, hosts = create_hosts(2)
        await asyncio.sleep(3.0)
        for host in hosts:
            host.client.is_disconnected = True
        await asyncio.sleep(down_seconds)
        store.remove(1)
        for host in hosts:
            host.client.is_disconnected = False
        await asyncio.sleep(1.5)
        case.assertEqual([1, 1], [host.count_targets() for host in hosts])
        await asyncio.sleep(3.0)
        case.assertEqual([0, 0], [host.count_targets() for host in hosts])

    for down_seconds in (3.7, 4.3, 5.1, 5.9):
        clocks.run(run(down_seconds))


def test_hosts_cannot_confirm_each_other(case: support.Case) -> None:
    """Two hosts that take each other for the leader report their true age.

    Without the age in confirmations they would keep each other fresh forever,
    even when both have lost the store. A finite age shows that both have read
    the store before they lose it.
    """

    async def run() -> None:
        _, hosts = create_hosts(2)
        hosts[0].leader.confirmer = hosts[1].confirmer
        case.assertLess(await measure_max_age(hosts, 10.0), float('inf'))
        for host in hosts:
            host.client.is_disconnected = True
        disconnected_at = hosts[0].fixture.runtime.now()
        await asyncio.sleep(6.0)
        for host in hosts:
            confirmed_at = host.router.freshness.confirmed_at or 0.0
            case.assertLessEqual(confirmed_at, disconnected_at)

    clocks.run(run())


def test_old_confirmation_costs_one_read(case: support.Case) -> None:
    """A leader that lags for a moment does not send followers to the store.

    Load pattern: all hosts start at once, and leaders read the store later
    than their followers.
    """

    async def run() -> None:
        _, hosts = create_hosts(2)
        await asyncio.sleep(3.0)
        second = hosts[1]
        calls = second.client.calls
        second.leader.extra_age_seconds = 5.0
        await asyncio.sleep(0.6)
        second.leader.extra_age_seconds = 0.0
        case.assertLess(await measure_max_age([second], 6.0), READY_SECONDS)
        case.assertLessEqual(second.client.calls - calls, 2)
        calls = second.client.calls
        second.leader.extra_age_seconds = 5.0
        case.assertLess(await measure_max_age([second], 10.0), READY_SECONDS)
        case.assertLess(second.client.calls - calls, 10 * 2.5)

    clocks.run(run())


def test_slow_first_read_does_not_end_the_watch(case: support.Case) -> None:
    """One table is read seconds after the other, by a host that is alone."""

    async def run() -> None:
        store, hosts = create_hosts(1)
        hosts[0].client.targets_seconds = 4.0
        await asyncio.sleep(6.0)
        hosts[0].client.targets_seconds = CALL_SECONDS
        store.replace_document()
        await asyncio.sleep(1.5)
        case.assertEqual(store.state_version, hosts[0].get_version())

    clocks.run(run())


def test_lost_history_is_read_again(case: support.Case) -> None:
    """A host without a cursor reads the store instead of the leader."""

    async def run() -> None:
        _, hosts = create_hosts(2)
        await asyncio.sleep(3.0)
        hosts[1].desired.progress.reset()
        calls = hosts[1].client.calls
        await asyncio.sleep(1.0)
        case.assertGreater(hosts[1].client.calls, calls)
        case.assertIsNotNone(hosts[1].desired.progress.cursor)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
