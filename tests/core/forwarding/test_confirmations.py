"""Hosts of a domain share one watch of the store, at a bounded age."""

import asyncio
from collections import abc
import typing

import attrs
from returns import result

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import watches
from tests import call_fakes
from tests import clocks
from tests import support

CALL_SECONDS = 0.01
LATE_SECONDS = 0.28
"""Lateness of an answer that is just in time after a whole hold."""
READY_SECONDS = 3.0
"""Age up to which a host stays ready with a bound of 5 s for keys."""
TROUBLE: result.Result[typing.Any, ports.StoreFailure] = result.Failure(
    ports.StoreFailure(detail='cut')
)


class Store:
    """Store with one document and any entries; answers after a while."""

    def __init__(self) -> None:
        self.version = 1
        self.state_version = 1
        self.targets: dict[int, int] = {1: 1}
        self.changed = asyncio.Event()

    def name_state(self) -> None:
        """Put a new document in force."""
        self.version += 1
        self.state_version = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    def beat(self, number: int) -> None:
        """Write a target's entry; one that repeats itself is no news."""
        self.version += 1
        self.targets[number] = self.version


class Access:
    """One host's way to the store."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.calls = 0
        self.is_cut = False

    async def read_desired(
        self, after: int | None, wait_seconds: float
    ) -> result.Result[ports.DesiredChange, ports.StoreFailure]:
        """Return the document if it is new, at the latest after a wait."""
        self.calls += 1
        await asyncio.sleep(CALL_SECONDS)
        if self.is_cut:
            return TROUBLE
        store = self.store
        if after is not None and store.state_version <= after:
            try:
                async with asyncio.timeout(wait_seconds):
                    await store.changed.wait()
            except TimeoutError:
                pass
        is_new = after is None or store.state_version > after
        state = call_fakes.create_state(store.version) if is_new else None
        return result.Success(
            ports.DesiredChange(state=state, weights={}, cursor=store.version)
        )

    async def read_targets(
        self, after: int | None
    ) -> result.Result[ports.TargetsRead, ports.StoreFailure]:
        """Return the entries that were written since."""
        self.calls += 1
        await asyncio.sleep(CALL_SECONDS)
        if self.is_cut:
            return TROUBLE
        entries = tuple(
            call_fakes.create_target(number)
            for number, version in self.store.targets.items()
            if after is None or version > after
        )
        change = catalog.TargetChange(
            entries=entries, removed=(), is_whole=after is None
        )
        return result.Success(
            ports.TargetsRead(change=change, cursor=self.store.version)
        )


@attrs.define
class Witness:
    """Way to the host that asks the store, with its faults."""

    confirmer: confirmations.Confirmer | None = None
    is_silent: bool = False
    late_seconds: float = CALL_SECONDS
    asked: int = 0

    def find(self) -> str | None:
        """Return an address if there is such a host."""
        return None if self.confirmer is None else 'first'

    async def ask(
        self, _: str, question: confirmations.StoreQuestion
    ) -> confirmations.StoreWord | None:
        """Return its answer, late by some time."""
        self.asked += 1
        if self.is_silent:
            await asyncio.sleep(confirmations.HOLD_SECONDS)
            return None
        assert self.confirmer is not None
        word = await self.confirmer.answer(question)
        await asyncio.sleep(self.late_seconds)
        return word


class Host:
    """Watches of one host."""

    def __init__(self, store: Store) -> None:
        self.fleet = call_fakes.Fleet()
        self.router = self.fleet.router
        self.router.freshness.confirmed_at = None
        self.access = Access(store)
        platform = typing.cast(ports.Platform, self.access)
        self.desired = watches.DesiredWatch(self.router, platform)
        self.targets = watches.TargetsWatch(self.router, platform)
        clock = self.router.read_boot_clock
        self.confirmer = confirmations.Confirmer(
            self.desired.mark, self.targets.mark, clock
        )
        self.witness = Witness()
        follower = confirmations.Follower(
            self.desired,
            self.targets,
            self.witness,
            clock,
            self.fleet.runtime.sleep,
        )
        for work in (self.desired, self.targets, follower):
            self.fleet.runtime.start(work.run())

    def get_age(self) -> float:
        """Return the age of the keys."""
        return self.router.freshness.get_age(self.fleet.runtime.now())

    def get_version(self) -> int:
        """Return the number of the document in force."""
        assert self.router.desired.state is not None
        return self.router.desired.state.version

    def count_targets(self) -> int:
        """Return the number of targets."""
        return len(self.router.catalog.list_all())


def create_hosts(count: int) -> tuple[Store, list[Host]]:
    """Return a store and hosts; the first is the others' witness."""
    store = Store()
    hosts = [Host(store) for _ in range(count)]
    for host in hosts[1:]:
        host.witness.confirmer = hosts[0].confirmer
    return store, hosts


async def watch_ages(hosts: abc.Sequence[Host], seconds: float) -> float:
    """Let time pass; return the greatest age of any host's keys."""
    greatest = 0.0
    for _ in range(int(seconds / 0.05)):
        await asyncio.sleep(0.05)
        greatest = max(greatest, *(host.get_age() for host in hosts))
    return greatest


def test_one_host_asks_the_store_for_all(case: support.Case) -> None:
    """Entries that repeat themselves cost the others no call."""

    async def run() -> None:
        store, hosts = create_hosts(15)
        await asyncio.sleep(3.0)
        before = [host.access.calls for host in hosts]
        for _ in range(20):
            store.beat(1)
            case.assertLess(await watch_ages(hosts, 1.0), READY_SECONDS - 0.5)
        used = [
            host.access.calls - calls
            for host, calls in zip(hosts, before, strict=True)
        ]
        case.assertEqual([0] * 14, used[1:])
        case.assertLess(used[0], 20 * 2.5)

    clocks.run(run())


def test_changes_arrive_within_a_call(case: support.Case) -> None:
    """A question that is being held is answered at a change."""

    async def run() -> None:
        store, hosts = create_hosts(4)
        await asyncio.sleep(3.0)
        store.name_state()
        await asyncio.sleep(0.1)
        case.assertEqual(
            [store.state_version] * 4, [host.get_version() for host in hosts]
        )
        store.beat(2)
        await asyncio.sleep(watches.TARGETS_SECONDS + 0.1)
        case.assertEqual([2] * 4, [host.count_targets() for host in hosts])

    clocks.run(run())


def test_host_without_word_asks_the_store(case: support.Case) -> None:
    """Neither a silent nor a cut-off witness makes the keys old."""
    for fault in ('silent', 'cut', 'late'):

        async def run(fault: str = fault) -> None:
            store, hosts = create_hosts(2)
            await asyncio.sleep(3.0)
            first, second = hosts
            second.witness.is_silent = fault == 'silent'
            first.access.is_cut = fault == 'cut'
            if fault == 'late':
                second.witness.late_seconds = LATE_SECONDS
            case.assertLess(
                await watch_ages([second], 12.0), READY_SECONDS, fault
            )
            store.name_state()
            await asyncio.sleep(1.5)
            case.assertEqual(store.state_version, second.get_version(), fault)

        clocks.run(run())


def test_hosts_cannot_confirm_each_other(case: support.Case) -> None:
    """Two hosts that each ask the other grow old together, truthfully."""

    async def run() -> None:
        _, hosts = create_hosts(2)
        hosts[0].witness.confirmer = hosts[1].confirmer
        case.assertLess(await watch_ages(hosts, 10.0), float('inf'))
        for host in hosts:
            host.access.is_cut = True
        cut_at = hosts[0].fleet.runtime.now()
        await asyncio.sleep(6.0)
        for host in hosts:
            confirmed_at = host.router.freshness.confirmed_at or 0.0
            case.assertLessEqual(confirmed_at, cut_at)

    clocks.run(run())


def test_lost_history_is_read_again(case: support.Case) -> None:
    """A host that must read all again does not rely on a peer's word."""

    async def run() -> None:
        _, hosts = create_hosts(2)
        await asyncio.sleep(3.0)
        hosts[1].desired.mark.forget()
        calls = hosts[1].access.calls
        await asyncio.sleep(1.0)
        case.assertGreater(hosts[1].access.calls, calls)
        case.assertIsNotNone(hosts[1].desired.mark.cursor)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
