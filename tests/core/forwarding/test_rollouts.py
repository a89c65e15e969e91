"""One host loads the newest weights on all engines, oldest weights first."""

import asyncio
from collections import abc
import itertools
import typing

import attrs
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import drains
from pistachioseam.forwarding import leases
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import store_versions
from pistachioseam import interfaces
from tests import call_fakes
from tests import clocks
from tests import support

MODEL = call_fakes.MODEL
MIN_HANDOVER_SECONDS = 3.0
CALL_TIMEOUT_SECONDS = 1.0
LOAD_SECONDS = 0.38
GOSSIP_SECONDS = 0.1
PREFILL_LEAD_SECONDS = 0.1
"""Time before the end of a drain at which a run begins."""
NO_RUNS = drains.EngineRuns(running=0, prefilling=0)


def create_row(holder: str, number: int) -> ports.LeaseRow:
    """Return the row of the lease, as written in the first era."""
    return ports.LeaseRow(
        holder=holder, version=store_versions.StoreVersion(0, number)
    )


class Store:
    """Store with the row of the lease, and faults to inject."""

    def __init__(self) -> None:
        self.row = create_row('', 0)
        self.is_losing_responses = False
        self.is_down = False
        self.calls = 0

    async def read_lease(
        self, lease_name: str
    ) -> result.Result[ports.LeaseRow, ports.StoreFailure]:
        """Return the row."""
        self.calls += 1
        await asyncio.sleep(0.01)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='status 503'))
        return result.Success(self.row)

    async def write_lease(
        self, lease_name: str, holder: str, previous: ports.LeaseRow
    ) -> result.Result[ports.LeaseRow, ports.StoreFailure]:
        """Replace the row if it still has the version."""
        self.calls += 1
        await asyncio.sleep(0.01)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='status 503'))
        if previous.version != self.row.version:
            conflict = ports.StoreFailure(detail='412', is_conflict=True)
            return result.Failure(conflict)
        number = previous.version.number + 1
        era = previous.version.era
        self.row = ports.LeaseRow(
            holder=holder,
            version=store_versions.StoreVersion(era, number),
            written_era=era,
        )
        if self.is_losing_responses:
            lost = ports.StoreFailure(detail='lost', is_outcome_unknown=True)
            return result.Failure(lost)
        return result.Success(self.row)


@attrs.define
class Engine:
    """State of an engine; `orders` counts the accepted orders to load."""

    load_seconds: float = 0.5
    version: int = 1
    orders: int = 0
    loading_until: float = 0.0
    is_unreachable: bool = False
    is_crashed: bool = False
    answer_seconds: float = 0.01
    loading_answer_seconds: float = 0.01
    runs: drains.EngineRuns = NO_RUNS
    switches: list[drains.SwitchMode] = attrs.field(factory=list)


class Engines:
    """Control of simulated engines; `engines` holds them by name.

    While `is_cut_off`, no call gets an answer within its timeout. Orders are
    written after `connect_seconds`.
    """

    def __init__(self, fixture: call_fakes.RouterFixture) -> None:
        self._fixture = fixture
        self.engines: dict[str, Engine] = {}
        self.is_cut_off = False
        self.connect_seconds = 0.0
        self.reports = 0
        self.accepted_orders: list[tuple[float, str, str, int]] = []

    def _find(self, target: catalog.LiveTarget) -> Engine:
        engine = self.engines.setdefault(target.name, Engine())
        if engine.loading_until and engine.loading_until <= self._now():
            engine.loading_until = 0.0
            engine.version = max(
                version
                for _, _, name, version in self.accepted_orders
                if name == target.name
            )
        return engine

    def read_version(self, target: catalog.LiveTarget) -> int:
        """Return the version of the weights that an engine runs."""
        return self._find(target).version

    def _now(self) -> float:
        return self._fixture.runtime.now()

    async def _time_out(
        self,
    ) -> result.Result[typing.Any, interfaces.CallFailure]:
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        return result.Failure(
            call_fakes.create_failure(call_fakes.Kind.TIMED_OUT)
        )

    async def read_report(
        self, target: catalog.LiveTarget, *, needs_new_connection: bool = False
    ) -> result.Result[ports.EngineReport, interfaces.CallFailure]:
        """Return the engine's report."""
        engine = self._find(target)
        delay = engine.answer_seconds
        if engine.loading_until:
            delay = engine.loading_answer_seconds
        await asyncio.sleep(min(delay, CALL_TIMEOUT_SECONDS))
        engine = self._find(target)
        self.reports += 1
        if engine.is_crashed and not self.is_cut_off:
            return result.Failure(
                interfaces.CallFailure(
                    call_fakes.Kind.NOT_SENT, 'refused', is_refused=True
                )
            )
        if engine.is_unreachable:
            return result.Failure(
                call_fakes.create_failure(call_fakes.Kind.NOT_SENT)
            )
        if delay >= CALL_TIMEOUT_SECONDS:
            return result.Failure(
                call_fakes.create_failure(call_fakes.Kind.TIMED_OUT)
            )
        if self.is_cut_off:
            return await self._time_out()
        return result.Success(
            ports.EngineReport(
                orders=engine.orders,
                is_loading=engine.loading_until > 0.0,
                weights={MODEL: engine.version},
                runs=engine.runs,
            )
        )

    async def order_weights(
        self,
        target: catalog.LiveTarget,
        order: ports.WeightsOrder,
        may_send: abc.Callable[[], bool],
    ) -> result.Result[int, interfaces.CallFailure]:
        """Start to load unless the engine is loading or the order is stale."""
        await asyncio.sleep(self.connect_seconds)
        if not may_send():
            return result.Failure(
                call_fakes.create_failure(call_fakes.Kind.NOT_SENT)
            )
        await asyncio.sleep(0.01)
        engine = self._find(target)
        if self.is_cut_off:
            return await self._time_out()
        if engine.loading_until or order.expected_orders != engine.orders:
            return result.Success(409)
        engine.orders += 1
        engine.switches.append(order.switch)
        engine.loading_until = self._now() + engine.load_seconds
        self.accepted_orders.append(
            (self._now(), order.holder, target.name, order.version)
        )
        return result.Success(202)


def create_fixture(count: int) -> call_fakes.RouterFixture:
    """Return a fixture with engines that run version 1."""
    return call_fakes.RouterFixture(
        [
            call_fakes.create_target(n, call_fakes.ENGINE_SERVICE)
            for n in range(count)
        ]
    )


def start(
    fixture: call_fakes.RouterFixture,
    store: Store,
    engines: Engines,
    holder: str = 'host-1',
    rank: int = 0,
) -> rollouts.Rollout:
    """Start a host's rollout."""
    lease = leases.Lease(
        holder=holder,
        min_handover_seconds=MIN_HANDOVER_SECONDS,
        read_boot_clock=fixture.runtime.now,
    )
    rollout = rollouts.Rollout(
        fixture.router, store, engines, lease, lambda: rank
    )
    fixture.runtime.start(rollout.run())
    return rollout


def test_all_engines_load_the_newest_weights(case: support.Case) -> None:
    """At most a third of the engines loads at a time."""

    async def run() -> None:
        fixture = create_fixture(6)
        engines = Engines(fixture)
        start(fixture, Store(), engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(4.0)
        loaded = [
            fixture.router.weights.get(t, MODEL)
            for t in fixture.router.catalog.list_all()
        ]
        case.assertEqual([2] * 6, loaded)
        case.assertEqual(6, len(engines.accepted_orders))
        start_times = sorted(at for at, _, _, _ in engines.accepted_orders)
        for first, third in zip(start_times, start_times[2:], strict=False):
            case.assertGreaterEqual(third - first, 0.5)

    clocks.run(run())


def test_lease_that_nobody_holds_is_taken_while_idle(
    case: support.Case,
) -> None:
    """The first rollout after a restore of the store begins without a wait.

    The store cannot tell whether its row of the lease was lost.
    """

    async def run() -> None:
        fixture = create_fixture(6)
        engines = Engines(fixture)
        store = Store()
        store.row = ports.LeaseRow(
            holder='gone',
            version=store_versions.StoreVersion(2, 7),
            written_era=1,
        )
        start(fixture, store, engines, 'host-2', rank=1)
        start(fixture, store, engines, 'host-1', rank=0)
        await asyncio.sleep(8.0)
        case.assertEqual('host-1', store.row.holder)
        case.assertTrue(store.row.is_conclusive())
        calls = store.calls
        await asyncio.sleep(10.0)
        case.assertLess(store.calls - calls, 12)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(1.0)
        case.assertLess(0, len(engines.accepted_orders))

    clocks.run(run())


def test_long_streams_do_not_delay_the_rollout(case: support.Case) -> None:
    """Runs in decode continue under the newer weights after a short drain."""

    async def run() -> None:
        fixture = create_fixture(6)
        engines = Engines(fixture)
        for target in fixture.router.catalog.list_all():
            fixture.router.loads.start_call(target.name, 500, 0)
            streaming = drains.EngineRuns(running=1, prefilling=0)
            engines.engines[target.name] = Engine(runs=streaming)
        start(fixture, Store(), engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        named_at = fixture.runtime.now()
        await asyncio.sleep(8.0)
        case.assertEqual(6, len(engines.accepted_orders))
        case.assertLess(
            max(at for at, _, _, _ in engines.accepted_orders) - named_at, 5
        )
        for engine in engines.engines.values():
            case.assertEqual([drains.SwitchMode.CONTINUE], engine.switches)

    clocks.run(run())


def test_prefill_uses_one_version(case: support.Case) -> None:
    """An engine with a run in prefill finishes its runs before it loads."""

    async def run() -> None:
        fixture = create_fixture(1)
        engines = Engines(fixture)
        name = fixture.router.catalog.list_all()[0].name
        fixture.router.loads.start_call(name, 500, 500)
        prefilling = drains.EngineRuns(running=3, prefilling=1)
        engines.engines[name] = Engine(runs=prefilling)
        start(fixture, Store(), engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(8.0)
        case.assertEqual(
            [drains.SwitchMode.FINISH], engines.engines[name].switches
        )

    clocks.run(run())


class CopyingEngines(Engines):
    """Engines whose first report after an accepted order comes late.

    A copy of the report before is read in its place. `rejected` counts the
    orders that were rejected.
    """

    def __init__(self, fixture: call_fakes.RouterFixture) -> None:
        super().__init__(fixture)
        self.copies: dict[str, ports.EngineReport] = {}
        self.rejected = 0
        self._last: dict[str, ports.EngineReport] = {}

    async def read_report(
        self, target: catalog.LiveTarget, *, needs_new_connection: bool = False
    ) -> result.Result[ports.EngineReport, interfaces.CallFailure]:
        """Return the engine's report, or the copy that is due."""
        read = await super().read_report(
            target, needs_new_connection=needs_new_connection
        )
        copy = self.copies.pop(target.name, None)
        self._last[target.name] = read.unwrap()
        return result.Success(copy) if copy else read

    async def order_weights(
        self,
        target: catalog.LiveTarget,
        order: ports.WeightsOrder,
        may_send: abc.Callable[[], bool],
    ) -> result.Result[int, interfaces.CallFailure]:
        """Start to load, and send the last report once more."""
        ordered = await super().order_weights(target, order, may_send)
        if ordered.unwrap() == 202:
            self.copies[target.name] = self._last[target.name]
        else:
            self.rejected += 1
        return ordered


def test_copy_of_a_report_from_before_an_order_is_not_believed(
    case: support.Case,
) -> None:
    """A further order would follow from it, which the engine rejects."""

    async def run() -> None:
        fixture = create_fixture(3)
        engines = CopyingEngines(fixture)
        start(fixture, Store(), engines)
        await asyncio.sleep(0.5)
        for version in (2, 3):
            fixture.set_state(None, {MODEL: version})
            await asyncio.sleep(5.0)
            loaded = [
                engines.read_version(target)
                for target in fixture.router.catalog.list_all()
            ]
            case.assertEqual([version] * 3, loaded)
        case.assertEqual({}, engines.copies)
        case.assertEqual(6, len(engines.accepted_orders))
        case.assertEqual(0, engines.rejected)

    clocks.run(run())


class LateEngines(Engines):
    """Engines whose report reads get the copy of the report before.

    No copy precedes the report on a new connection.
    """

    def __init__(self, fixture: call_fakes.RouterFixture) -> None:
        super().__init__(fixture)
        self._last: ports.EngineReport | None = None

    async def read_report(
        self, target: catalog.LiveTarget, *, needs_new_connection: bool = False
    ) -> result.Result[ports.EngineReport, interfaces.CallFailure]:
        """Return the report of the last read, the first time the own one."""
        read = await super().read_report(
            target, needs_new_connection=needs_new_connection
        )
        last, self._last = self._last or read.unwrap(), read.unwrap()
        return read if needs_new_connection else result.Success(last)


def test_copy_of_a_report_hides_no_run_in_prefill(case: support.Case) -> None:
    """The weights would change under a prompt that is being read.

    The run begins during the drain, and no host has told of it yet.
    """

    async def run() -> None:
        fixture = create_fixture(1)
        engines = LateEngines(fixture)
        (target,) = fixture.router.catalog.list_all()
        streaming = drains.EngineRuns(running=1, prefilling=0)
        engine = engines.engines[target.name] = Engine(runs=streaming)
        start(fixture, Store(), engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        while not engines.reports:
            await asyncio.sleep(0.01)
        await asyncio.sleep(drains.DRAIN_SECONDS - PREFILL_LEAD_SECONDS)
        engine.runs = drains.EngineRuns(running=2, prefilling=1)
        await asyncio.sleep(1.0)
        case.assertNotIn(drains.SwitchMode.CONTINUE, engine.switches)

    clocks.run(run())


def test_replaced_versions_are_skipped(case: support.Case) -> None:
    """An engine that has not started to load loads only the newest version."""

    async def run() -> None:
        fixture = create_fixture(6)
        engines = Engines(fixture)
        start(fixture, Store(), engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(0.3)
        fixture.set_state(None, {MODEL: 3})
        await asyncio.sleep(6.0)
        case.assertEqual(
            2,
            sum(version == 2 for _, _, _, version in engines.accepted_orders),
        )
        case.assertEqual(
            6,
            sum(version == 3 for _, _, _, version in engines.accepted_orders),
        )

    clocks.run(run())


def test_busy_engine_is_not_left_behind(case: support.Case) -> None:
    """Versions named in quick succession reach the engine with the most runs.

    Sorted by load alone, the idle engines would load each version first and
    the busy one none.
    """

    async def run() -> None:
        fixture = create_fixture(6)
        engines = Engines(fixture)
        start(fixture, Store(), engines)
        busy = fixture.router.catalog.list_all()[0].name
        for _ in range(9):
            fixture.router.loads.start_call(busy, 1, 1)
        for target in fixture.router.catalog.list_all():
            engines.engines[target.name] = Engine(load_seconds=1.5)
        await asyncio.sleep(0.5)
        named_at = fixture.runtime.now()
        for version in range(2, 8):
            fixture.set_state(None, {MODEL: version})
            await asyncio.sleep(3.2)
        first = min(
            at for at, _, name, _ in engines.accepted_orders if name == busy
        )
        case.assertLess(first - named_at, 8.0 - 1.5)

    clocks.run(run())


def test_late_successor_loads_all_engines_at_once(
    case: support.Case,
) -> None:
    """The limit on concurrent loads is lifted for engines that must load now.

    When a holder takes over late, the weights of all engines are almost too
    old for calls, so that none could serve while it waits to load.
    """

    async def run() -> None:
        fixture = create_fixture(9)
        fixture.router.max_weights_lag_seconds = 7.0
        engines = Engines(fixture)
        fixture.set_state(None, {MODEL: 1})
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(6.5)
        started = fixture.runtime.now()
        start(fixture, Store(), engines)
        await asyncio.sleep(1.0)
        case.assertEqual(9, len(engines.accepted_orders))
        last = max(at for at, _, _, _ in engines.accepted_orders)
        case.assertLess(last - started, 0.5)

    clocks.run(run())


def test_unreachable_engine_delays_no_other(case: support.Case) -> None:
    """The other engines load while one does not respond."""

    async def run() -> None:
        fixture = create_fixture(3)
        engines = Engines(fixture)
        start(fixture, Store(), engines)
        first = fixture.router.catalog.list_all()[0].name
        engines.engines[first] = Engine(is_unreachable=True)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(3.0)
        names = {name for _, _, name, _ in engines.accepted_orders}
        case.assertEqual(2, len(names - {first}))

    clocks.run(run())


def test_standby_host_takes_over(case: support.Case) -> None:
    """If the holder is lost, a standby takes over after the handover time."""

    async def run() -> None:
        fixture = create_fixture(6)
        engines = Engines(fixture)
        store = Store()
        store.row = create_row('gone', 7)
        start(fixture, store, engines, 'host-2', 1)
        await asyncio.sleep(0.5)
        started = fixture.runtime.now()
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(7.0)
        case.assertEqual(
            {'host-2'}, {holder for _, holder, _, _ in engines.accepted_orders}
        )
        delay = min(at for at, _, _, _ in engines.accepted_orders) - started
        case.assertLess(
            delay, MIN_HANDOVER_SECONDS + leases.VALIDITY_SECONDS + 1.0
        )

    clocks.run(run())


def test_holder_without_a_path_to_engines_leaves_the_lease(
    case: support.Case,
) -> None:
    """It went on renewing the lease, and no engine got an order."""

    async def run() -> None:
        cut_off, sound = create_fixture(6), create_fixture(6)
        lost, engines = Engines(cut_off), Engines(sound)
        store = Store()
        start(cut_off, store, lost, 'host-1', 0)
        start(sound, store, engines, 'host-2', 1)
        await asyncio.sleep(0.5)
        cut_off.set_state(None, {MODEL: 2})
        await asyncio.sleep(1.0)
        case.assertEqual('host-1', store.row.holder)
        cut_off.router.is_cut_off = lambda: True
        for engine in lost.engines.values():
            engine.is_unreachable = True
        for fixture in (cut_off, sound):
            fixture.set_state(None, {MODEL: 3})
        await asyncio.sleep(9.0)
        case.assertEqual(
            {'host-2'}, {holder for _, holder, _, _ in engines.accepted_orders}
        )

    clocks.run(run())


def test_only_the_holder_sends_orders(case: support.Case) -> None:
    """Of two hosts that compete for the lease only one sends orders."""

    async def run() -> None:
        fixture = create_fixture(6)
        engines = Engines(fixture)
        store = Store()
        start(fixture, store, engines, 'host-1', 0)
        start(fixture, store, engines, 'host-2', 0)
        await asyncio.sleep(0.5)
        for version in range(2, 6):
            fixture.set_state(None, {MODEL: version})
            await asyncio.sleep(2.0)
        case.assertEqual(
            1, len({holder for _, holder, _, _ in engines.accepted_orders})
        )

    clocks.run(run())


def test_order_is_not_sent_after_the_renewal_has_expired(
    case: support.Case,
) -> None:
    """Its connection opened after the time in which a successor's wait began.

    The check before the connect does not cover the connect.
    """

    async def run(connect_seconds: float) -> int:
        fixture = create_fixture(3)
        engines = Engines(fixture)
        engines.connect_seconds = connect_seconds
        store = Store()
        start(fixture, store, engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(0.3)
        store.is_down = True
        await asyncio.sleep(3.0)
        return len(engines.accepted_orders)

    case.assertLess(0, clocks.run(run(0.5)))
    case.assertEqual(0, clocks.run(run(1.2)))


def test_refused_renewals_are_spread_out(case: support.Case) -> None:
    """A holder whose renewals fail retries a few times a second."""

    async def run() -> None:
        fixture = create_fixture(9)
        engines = Engines(fixture)
        store = Store()
        start(fixture, store, engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(0.3)
        store.is_down = True
        store.calls = 0
        await asyncio.sleep(10.0)
        case.assertLess(store.calls, 45)
        store.is_down = False
        await asyncio.sleep(5.0)
        case.assertEqual(9, len(engines.accepted_orders))

    clocks.run(run())


def test_renewal_with_a_lost_response_is_read_back(case: support.Case) -> None:
    """A read finds that the renewal took effect, and the rollout continues."""

    async def run() -> None:
        fixture = create_fixture(3)
        engines = Engines(fixture)
        store = Store()
        store.is_losing_responses = True
        start(fixture, store, engines)
        await asyncio.sleep(0.5)
        fixture.set_state(None, {MODEL: 2})
        await asyncio.sleep(1.0)
        case.assertEqual([], engines.accepted_orders)
        store.is_losing_responses = False
        await asyncio.sleep(3.0)
        case.assertEqual(3, len(engines.accepted_orders))

    clocks.run(run())


class Fleet:
    """Hosts with the same engines, each with a path of its own to them.

    `controls` holds the paths by rank. Hosts tell each other which weights
    the engines run.
    """

    def __init__(self, engine_count: int, host_count: int) -> None:
        self.store = Store()
        self.fixtures = [
            create_fixture(engine_count) for _ in range(host_count)
        ]
        self.controls = [Engines(fixture) for fixture in self.fixtures]
        self.targets: list[catalog.LiveTarget] = []
        for target in self.fixtures[0].router.catalog.list_all():
            engine = Engine(load_seconds=LOAD_SECONDS)
            for control in self.controls:
                control.engines[target.name] = engine
                control.accepted_orders = self.controls[0].accepted_orders
            self.targets.append(target)
        for rank, fixture in enumerate(self.fixtures):
            control = self.controls[rank]
            start(fixture, self.store, control, f'host-{rank}', rank)
        self.fixtures[0].runtime.start(self._share_weights())

    async def _share_weights(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_SECONDS)
            for target in self.targets:
                version = self.controls[0].read_version(target)
                for fixture in self.fixtures:
                    fixture.router.weights.record(target, MODEL, version)

    def now(self) -> float:
        """Return the time in seconds."""
        return self.fixtures[0].runtime.now()

    def list_orders(self) -> list[tuple[float, str, str, int]]:
        """Return the accepted orders: time, holder, engine and version."""
        return self.controls[0].accepted_orders

    def name_version(self, version: int) -> None:
        """Let all hosts know of a newer weights version."""
        for fixture in self.fixtures:
            fixture.set_state(None, {MODEL: version})

    def cut_off(self, is_cut_off: bool, ranks: abc.Iterable[int]) -> None:
        """Cut the paths of hosts to the engines, or mend them."""
        for rank in ranks:
            self.controls[rank].is_cut_off = is_cut_off

    def start_streams(self) -> None:
        """Let each engine have a long run in decode."""
        for target in self.targets:
            engine = self.controls[0].engines[target.name]
            engine.runs = drains.EngineRuns(running=1, prefilling=0)
            for fixture in self.fixtures:
                fixture.router.loads.start_call(target.name, 500, 0)

    def count_reports(self) -> int:
        """Return how many reports the hosts have read."""
        return sum(control.reports for control in self.controls)

    def count_events(self, event: events.Event) -> int:
        """Return how often the hosts have logged an event."""
        return sum(
            fixture.sink.list_kinds().count(event) for fixture in self.fixtures
        )

    async def wait_for_version(self, version: int) -> float:
        """Wait until all engines run a version; return the time."""
        control = self.controls[0]
        while any(control.read_version(t) < version for t in self.targets):
            await asyncio.sleep(0.02)
        return self.now()


def test_holder_that_no_engine_answers_leaves_the_lease(
    case: support.Case,
) -> None:
    """It renewed for as long as its calls to engines timed out."""

    async def run() -> None:
        fleet = Fleet(30, 6)
        await asyncio.sleep(0.5)
        fleet.name_version(2)
        await fleet.wait_for_version(2)
        case.assertEqual('host-0', fleet.store.row.holder)
        await asyncio.sleep(5.0)
        fleet.cut_off(True, [0])
        named_at = fleet.now()
        fleet.name_version(3)
        finished_at = await fleet.wait_for_version(3)
        orders = [order for order in fleet.list_orders() if order[3] == 3]
        case.assertEqual(1, fleet.count_events(events.Event.LEASE_LEFT))
        case.assertNotIn('host-0', {holder for _, holder, _, _ in orders})
        case.assertLess(finished_at - named_at, 9.0)

    clocks.run(run())


def test_orders_of_two_holders_are_the_handover_time_apart(
    case: support.Case,
) -> None:
    """A holder that has left the lease in the middle of a rollout waits."""

    async def run() -> None:
        fleet = Fleet(30, 6)
        await asyncio.sleep(0.5)
        for version in range(2, 12):
            fleet.name_version(version)
            await asyncio.sleep(0.3 + 0.1 * version)
            cut = version % 3
            fleet.cut_off(True, range(cut))
            await asyncio.sleep(7.0)
            fleet.cut_off(False, range(cut))
            await asyncio.sleep(1.0)
        orders = fleet.list_orders()
        case.assertLess(1, len({holder for _, holder, _, _ in orders}))
        pairs = itertools.pairwise(orders)
        for (at, holder, _, _), (later, other, _, _) in pairs:
            if holder != other:
                case.assertGreaterEqual(later - at, MIN_HANDOVER_SECONDS)

    clocks.run(run())


def test_rollout_goes_on_after_all_hosts_were_without_answers(
    case: support.Case,
) -> None:
    """Neither a single host nor a fleet may wait for others without end."""

    async def run(host_count: int, seconds: float) -> None:
        fleet = Fleet(30, host_count)
        await asyncio.sleep(0.5)
        fleet.cut_off(True, range(host_count))
        fleet.name_version(2)
        await asyncio.sleep(seconds)
        calls = fleet.store.calls
        fleet.cut_off(False, range(host_count))
        mended_at = fleet.now()
        finished_at = await fleet.wait_for_version(2)
        case.assertLess(finished_at - mended_at, 9.0)
        case.assertLess(calls / seconds, 2 + 2 * host_count)

    for host_count in (1, 2, 8):
        for seconds in (3.0, 10.0, 20.0, 41.0):
            clocks.run(run(host_count, seconds))


def test_few_silent_engines_do_not_move_the_lease(case: support.Case) -> None:
    """Engines that are at fault themselves would fail for any holder."""

    async def run() -> None:
        fleet = Fleet(30, 4)
        for target in fleet.targets[:6]:
            fleet.controls[0].engines[target.name].is_unreachable = True
        await asyncio.sleep(0.5)
        for version in (2, 3):
            fleet.name_version(version)
            await asyncio.sleep(20.0)
        case.assertEqual('host-0', fleet.store.row.holder)
        case.assertEqual(0, fleet.count_events(events.Event.LEASE_LEFT))
        case.assertEqual(48, len(fleet.list_orders()))

    clocks.run(run())


def test_engines_that_refuse_connections_do_not_move_the_lease(
    case: support.Case,
) -> None:
    """A sound holder left the lease when a quarter of the engines crashed.

    A refused connection proves that the path works.
    """

    async def run(crashed: int) -> None:
        fleet = Fleet(30, 4)
        for target in fleet.targets[:crashed]:
            fleet.controls[0].engines[target.name].is_crashed = True
        await asyncio.sleep(0.5)
        for version in (2, 3):
            fleet.name_version(version)
            await asyncio.sleep(20.0)
        case.assertEqual('host-0', fleet.store.row.holder)
        case.assertEqual(0, fleet.count_events(events.Event.LEASE_LEFT))
        case.assertEqual(2 * (30 - crashed), len(fleet.list_orders()))

    for crashed in (8, 15, 29):
        clocks.run(run(crashed))


def test_holder_cut_off_while_engines_are_crashed_leaves_the_lease(
    case: support.Case,
) -> None:
    """Former refused connections must not keep it."""

    async def run() -> None:
        fleet = Fleet(30, 6)
        for target in fleet.targets[:15]:
            fleet.controls[0].engines[target.name].is_crashed = True
        await asyncio.sleep(0.5)
        fleet.name_version(2)
        await asyncio.sleep(5.0)
        fleet.cut_off(True, [0])
        fleet.name_version(3)
        await asyncio.sleep(12.0)
        orders = [order for order in fleet.list_orders() if order[3] == 3]
        case.assertEqual(15, len(orders))
        case.assertNotIn('host-0', {holder for _, holder, _, _ in orders})

    clocks.run(run())


def test_engines_load_without_pauses_between_them(
    case: support.Case,
) -> None:
    """The next engines waited for the next reconciliation to begin."""

    async def run(engine_count: int, has_streams: bool) -> float:
        fleet = Fleet(engine_count, 6)
        await asyncio.sleep(0.5)
        fleet.name_version(2)
        await fleet.wait_for_version(2)
        await asyncio.sleep(5.0)
        if has_streams:
            fleet.start_streams()
        orders, reports = len(fleet.list_orders()), fleet.count_reports()
        named_at = fleet.now()
        fleet.name_version(3)
        finished_at = await fleet.wait_for_version(3)
        times = [at for at, _, _, _ in fleet.list_orders()[orders:]]
        case.assertEqual(engine_count, len(times))
        reports = fleet.count_reports() - reports
        case.assertLessEqual(reports, 2 * engine_count)
        most = int(engine_count * rollouts.MAX_LOADING_FRACTION)
        for first, later in zip(times, times[most:], strict=False):
            case.assertGreaterEqual(later - first, LOAD_SECONDS)
        return finished_at - named_at

    case.assertLess(clocks.run(run(30, False)), 1.4)
    case.assertLess(clocks.run(run(30, True)), 4.0)
    case.assertLess(clocks.run(run(70, False)), 1.9)
    case.assertLess(clocks.run(run(70, True)), 4.6)


def test_rollout_ends_in_time_though_its_holder_is_lost(
    case: support.Case,
) -> None:
    """Standbys read the lease so late that their wait began 1.3 s late."""

    async def run(has_streams: bool, is_lost: bool, seconds: float) -> None:
        fleet = Fleet(30, 6)
        await asyncio.sleep(0.5)
        fleet.name_version(2)
        await fleet.wait_for_version(2)
        await asyncio.sleep(5.0 + seconds)
        if has_streams:
            fleet.start_streams()
        named_at = fleet.now()
        fleet.name_version(3)
        await asyncio.sleep(seconds)
        fleet.cut_off(True, [0])
        if is_lost:
            fleet.fixtures[0].router.is_cut_off = lambda: True
        store_calls = fleet.store.calls
        finished_at = await fleet.wait_for_version(3)
        case.assertLess(finished_at - named_at, 6.0)
        case.assertLess(fleet.store.calls - store_calls, 50)
        failed = fleet.count_events(events.Event.LEASE_WRITE_FAILED)
        case.assertEqual(0, failed)

    for has_streams in (False, True):
        for is_lost in (False, True):
            for seconds in (0.0, 0.05, 0.2, 0.3, 0.5):
                clocks.run(run(has_streams, is_lost, seconds))


def test_engines_that_load_keep_their_places(case: support.Case) -> None:
    """Engines may answer late while they load; more must not load then."""

    async def run() -> None:
        fleet = Fleet(30, 1)
        await asyncio.sleep(0.5)
        for engine in fleet.controls[0].engines.values():
            engine.load_seconds = 0.9
        for target in fleet.targets[:6]:
            engine = fleet.controls[0].engines[target.name]
            engine.loading_answer_seconds = 0.9
        fleet.name_version(2)
        await fleet.wait_for_version(2)
        orders = fleet.list_orders()
        case.assertEqual(30, len(orders))
        for first, later in zip(orders, orders[10:], strict=False):
            case.assertGreaterEqual(later[0] - first[0], 0.9)

    clocks.run(run())


def test_slow_engines_take_no_places_of_others(case: support.Case) -> None:
    """Each kept one of the places for as long as it had not answered."""

    async def run(answer_seconds: float) -> None:
        fleet = Fleet(30, 1)
        await asyncio.sleep(0.5)
        slow = {target.name for target in fleet.targets[:6]}
        for name in slow:
            engine = fleet.controls[0].engines[name]
            engine.answer_seconds = answer_seconds
        named_at = fleet.now()
        fleet.name_version(2)
        await asyncio.sleep(9.0)
        orders = fleet.list_orders()
        last = max(at for at, _, name, _ in orders if name not in slow)
        case.assertLess(last - named_at, 1.6)
        for first, later in zip(orders, orders[10:], strict=False):
            case.assertGreaterEqual(later[0] - first[0], LOAD_SECONDS)
        is_answering = answer_seconds < CALL_TIMEOUT_SECONDS
        case.assertEqual(30 if is_answering else 24, len(orders))

    for answer_seconds in (0.5, 0.9, 2.0):
        clocks.run(run(answer_seconds))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
