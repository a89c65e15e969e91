"""One host brings all engines to the newest weights, the neediest first."""

import asyncio

import attrs
from returns import result

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import drains
from pistachioseam.forwarding import leases
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import rollouts
from pistachioseam import interfaces
from tests import call_fakes
from tests import clocks
from tests import support

MODEL = call_fakes.MODEL
LEASE_SECONDS = 3.0
NO_RUNS = drains.EngineRuns(running=0, reading=0)


class Store:
    """The lease's row."""

    def __init__(self) -> None:
        self.row = ports.LeaseRow(holder='', version=0)
        self.is_losing = False
        self.is_down = False
        self.calls = 0

    async def read_lease(
        self, duty: str
    ) -> result.Result[ports.LeaseRow, ports.StoreFailure]:
        """Return the row."""
        self.calls += 1
        await asyncio.sleep(0.01)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='status 503'))
        return result.Success(self.row)

    async def write_lease(
        self, duty: str, holder: str, version: int
    ) -> result.Result[ports.LeaseRow, ports.StoreFailure]:
        """Replace the row if it still has the version."""
        self.calls += 1
        await asyncio.sleep(0.01)
        if self.is_down:
            return result.Failure(ports.StoreFailure(detail='status 503'))
        if version != self.row.version:
            trouble = ports.StoreFailure(detail='412', is_conflict=True)
            return result.Failure(trouble)
        self.row = ports.LeaseRow(holder=holder, version=version + 1)
        if self.is_losing:
            lost = ports.StoreFailure(detail='lost', is_outcome_unknown=True)
            return result.Failure(lost)
        return result.Success(self.row)


@attrs.define
class Engine:
    """State of an engine: how long a load takes, and its orders."""

    load_seconds: float = 0.5
    version: int = 1
    orders: int = 0
    busy_until: float = 0.0
    is_unreachable: bool = False
    runs: drains.EngineRuns = NO_RUNS
    switches: list[drains.Switch] = attrs.field(factory=list)


class Engines:
    """Engines that take orders; kept by name."""

    def __init__(self, fleet: call_fakes.Fleet) -> None:
        self._fleet = fleet
        self.engines: dict[str, Engine] = {}
        self.acts: list[tuple[float, str, str, int]] = []

    def _find(self, target: catalog.LiveTarget) -> Engine:
        engine = self.engines.setdefault(target.name, Engine())
        if engine.busy_until and engine.busy_until <= self._now():
            engine.busy_until = 0.0
            engine.version = max(
                version
                for _, _, name, version in self.acts
                if name == target.name
            )
        return engine

    def _now(self) -> float:
        return self._fleet.runtime.now()

    async def read_report(
        self, target: catalog.LiveTarget
    ) -> result.Result[ports.EngineReport, interfaces.CallFailure]:
        """Return the engine's state."""
        await asyncio.sleep(0.01)
        engine = self._find(target)
        if engine.is_unreachable:
            return result.Failure(call_fakes.fail(call_fakes.Kind.NOT_SENT))
        return result.Success(
            ports.EngineReport(
                orders=engine.orders,
                is_busy=engine.busy_until > 0.0,
                weights={MODEL: engine.version},
                runs=engine.runs,
            )
        )

    async def order_weights(
        self, target: catalog.LiveTarget, order: ports.WeightsOrder
    ) -> result.Result[int, interfaces.CallFailure]:
        """Begin to load."""
        await asyncio.sleep(0.01)
        engine = self._find(target)
        if engine.busy_until or order.expected_orders != engine.orders:
            return result.Success(409)
        engine.orders += 1
        engine.switches.append(order.switch)
        engine.busy_until = self._now() + engine.load_seconds
        self.acts.append(
            (self._now(), order.holder, target.name, order.version)
        )
        return result.Success(202)


def create_fleet(count: int) -> call_fakes.Fleet:
    """Return a fleet of engines with weights 1."""
    return call_fakes.Fleet(
        [call_fakes.create_target(n, call_fakes.ENGINES) for n in range(count)]
    )


def start(
    fleet: call_fakes.Fleet,
    store: Store,
    engines: Engines,
    holder: str = 'host-1',
    rank: int = 0,
) -> rollouts.Rollout:
    """Start a host's rollout."""
    lease = leases.Lease(
        holder=holder,
        lease_seconds=LEASE_SECONDS,
        read_boot_clock=fleet.runtime.now,
    )
    rollout = rollouts.Rollout(
        fleet.router, store, engines, lease, lambda: rank
    )
    fleet.runtime.start(rollout.run())
    return rollout


def test_all_engines_load_the_newest_weights(case: support.Case) -> None:
    """A third at a time, within the time that so many loads take."""

    async def run() -> None:
        fleet = create_fleet(6)
        engines = Engines(fleet)
        start(fleet, Store(), engines)
        await asyncio.sleep(0.5)
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(4.0)
        loaded = [
            fleet.router.weights.get(t, MODEL)
            for t in fleet.router.catalog.list_all()
        ]
        case.assertEqual([2] * 6, loaded)
        case.assertEqual(6, len(engines.acts))
        begun = sorted(at for at, _, _, _ in engines.acts)
        for first, third in zip(begun, begun[2:], strict=False):
            case.assertGreaterEqual(third - first, 0.5)

    clocks.run(run())


def test_long_streams_do_not_hold_up_weights(case: support.Case) -> None:
    """Runs that have begun to answer go on under the newer weights."""

    async def run() -> None:
        fleet = create_fleet(6)
        engines = Engines(fleet)
        for target in fleet.router.catalog.list_all():
            fleet.router.loads.begin(target.name, 500, 0)
            streaming = drains.EngineRuns(running=1, reading=0)
            engines.engines[target.name] = Engine(runs=streaming)
        start(fleet, Store(), engines)
        await asyncio.sleep(0.5)
        fleet.set_state(None, {MODEL: 2})
        named_at = fleet.runtime.now()
        await asyncio.sleep(8.0)
        case.assertEqual(6, len(engines.acts))
        case.assertLess(max(at for at, _, _, _ in engines.acts) - named_at, 5)
        for engine in engines.engines.values():
            case.assertEqual([drains.Switch.CONTINUE], engine.switches)

    clocks.run(run())


def test_prompts_are_read_under_one_version(case: support.Case) -> None:
    """A run whose prompt is still being read never changes its weights."""

    async def run() -> None:
        fleet = create_fleet(1)
        engines = Engines(fleet)
        name = fleet.router.catalog.list_all()[0].name
        fleet.router.loads.begin(name, 500, 500)
        reading = drains.EngineRuns(running=3, reading=1)
        engines.engines[name] = Engine(runs=reading)
        start(fleet, Store(), engines)
        await asyncio.sleep(0.5)
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(8.0)
        case.assertEqual(
            [drains.Switch.FINISH], engines.engines[name].switches
        )

    clocks.run(run())


def test_replaced_versions_are_skipped(case: support.Case) -> None:
    """An engine that has not begun loads only the newest."""

    async def run() -> None:
        fleet = create_fleet(6)
        engines = Engines(fleet)
        start(fleet, Store(), engines)
        await asyncio.sleep(0.5)
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(0.3)
        fleet.set_state(None, {MODEL: 3})
        await asyncio.sleep(6.0)
        case.assertEqual(
            2, sum(version == 2 for _, _, _, version in engines.acts)
        )
        case.assertEqual(
            6, sum(version == 3 for _, _, _, version in engines.acts)
        )

    clocks.run(run())


def test_busy_engine_is_not_left_behind(case: support.Case) -> None:
    """Versions that come fast reach the engine with the most runs too."""

    async def run() -> None:
        fleet = create_fleet(6)
        engines = Engines(fleet)
        start(fleet, Store(), engines)
        busy = fleet.router.catalog.list_all()[0].name
        for _ in range(9):
            fleet.router.loads.begin(busy, 1, 1)
        for target in fleet.router.catalog.list_all():
            engines.engines[target.name] = Engine(load_seconds=1.5)
        await asyncio.sleep(0.5)
        started = fleet.runtime.now()
        for version in range(2, 8):
            fleet.set_state(None, {MODEL: version})
            await asyncio.sleep(3.2)
        first = min(at for at, _, name, _ in engines.acts if name == busy)
        case.assertLess(first - started, 8.0 - 1.5)

    clocks.run(run())


def test_late_successor_loads_all_engines_at_once(
    case: support.Case,
) -> None:
    """Engines that may soon not be used are not spared for serving."""

    async def run() -> None:
        fleet = create_fleet(9)
        fleet.router.max_weights_lag_seconds = 7.0
        engines = Engines(fleet)
        fleet.set_state(None, {MODEL: 1})
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(6.5)
        started = fleet.runtime.now()
        start(fleet, Store(), engines)
        await asyncio.sleep(1.0)
        case.assertEqual(9, len(engines.acts))
        last = max(at for at, _, _, _ in engines.acts)
        case.assertLess(last - started, 0.5)

    clocks.run(run())


def test_unreachable_engine_holds_nobody_up(case: support.Case) -> None:
    """The others load while it does not answer."""

    async def run() -> None:
        fleet = create_fleet(3)
        engines = Engines(fleet)
        start(fleet, Store(), engines)
        first = fleet.router.catalog.list_all()[0].name
        engines.engines[first] = Engine(is_unreachable=True)
        await asyncio.sleep(0.5)
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(3.0)
        names = {name for _, _, name, _ in engines.acts}
        case.assertEqual(2, len(names - {first}))

    clocks.run(run())


def test_standby_host_takes_over(case: support.Case) -> None:
    """When the holder is gone another host orders, a lease later."""

    async def run() -> None:
        fleet = create_fleet(6)
        engines = Engines(fleet)
        store = Store()
        store.row = ports.LeaseRow(holder='gone', version=7)
        start(fleet, store, engines, 'host-2', 1)
        await asyncio.sleep(0.5)
        started = fleet.runtime.now()
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(7.0)
        case.assertEqual(
            {'host-2'}, {holder for _, holder, _, _ in engines.acts}
        )
        begun = min(at for at, _, _, _ in engines.acts) - started
        case.assertLess(begun, LEASE_SECONDS + leases.HOLD_SECONDS + 1.0)

    clocks.run(run())


def test_two_hosts_never_order_together(case: support.Case) -> None:
    """One wins the lease; the other leaves all orders to it."""

    async def run() -> None:
        fleet = create_fleet(6)
        engines = Engines(fleet)
        store = Store()
        start(fleet, store, engines, 'host-1', 0)
        start(fleet, store, engines, 'host-2', 0)
        await asyncio.sleep(0.5)
        for version in range(2, 6):
            fleet.set_state(None, {MODEL: version})
            await asyncio.sleep(2.0)
        case.assertEqual(1, len({holder for _, holder, _, _ in engines.acts}))

    clocks.run(run())


def test_refused_renewals_are_spread_out(case: support.Case) -> None:
    """A holder that the store turns away asks a few times a second."""

    async def run() -> None:
        fleet = create_fleet(9)
        engines = Engines(fleet)
        store = Store()
        start(fleet, store, engines)
        await asyncio.sleep(0.5)
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(0.3)
        store.is_down = True
        store.calls = 0
        await asyncio.sleep(10.0)
        case.assertLess(store.calls, 45)
        store.is_down = False
        await asyncio.sleep(5.0)
        case.assertEqual(9, len(engines.acts))

    clocks.run(run())


def test_lost_answer_of_the_store_is_read_back(case: support.Case) -> None:
    """A renewal that took effect unseen is found, and the work goes on."""

    async def run() -> None:
        fleet = create_fleet(3)
        engines = Engines(fleet)
        store = Store()
        store.is_losing = True
        start(fleet, store, engines)
        await asyncio.sleep(0.5)
        fleet.set_state(None, {MODEL: 2})
        await asyncio.sleep(1.0)
        case.assertEqual([], engines.acts)
        store.is_losing = False
        await asyncio.sleep(3.0)
        case.assertEqual(3, len(engines.acts))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
