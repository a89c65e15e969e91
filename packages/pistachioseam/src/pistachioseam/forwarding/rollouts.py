"""Rollout of newer weights over the engines, by one host at a time."""

import asyncio
from collections import abc

import attrs
from returns import pipeline as railway

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import drains
from pistachioseam.forwarding import leases
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces

DUTY = 'weights'
CHECK_SECONDS = 0.1
"""Pause between looks at what is to be done."""
STANDBY_SECONDS = 0.8
"""Delay after which another host than the last holder steps in."""
STANDBY_STEP_SECONDS = 0.5
"""Further delay of each later host in the order of succession, which also
looks at the lease less often; each look is a call to the store."""
OBSERVE_SECONDS = 2.0
"""Pause between the successors' reads of an idle lease."""
OBSERVERS = 2
"""Successors that watch an idle lease."""
STANDBYS = 4
"""Hosts that may step in; when these are lost, later ones take their place."""
LOADING_SHARE = 1 / 3
"""Part of the engines that load at once; loading slows down with more."""
LOAD_SECONDS = 0.4
"""Time that loading takes an engine; users' sheets."""
RECHECK_SECONDS = 0.3
"""Pause between two looks at an engine that was ordered to load."""
URGENT_SECONDS = 1.0
"""Time before the use of old weights ends in which all engines load."""
RENEW_RETRY_SECONDS = 0.5
"""Pause after a renewal that failed; refused calls to the store are priced."""
UNREACHABLE_SECONDS = 0.5
"""Pause before another try at an engine that did not answer."""


@attrs.frozen
class OutdatedEngine:
    """Engine that runs older weights than the newest named."""

    target: catalog.LiveTarget
    model: str
    version: int


def list_outdated(router: routers.CallRouter) -> list[OutdatedEngine]:
    """Return the engines to be brought to newer weights.

    Versions of one incarnation only grow, so a version that is already
    replaced by a newer name is skipped.
    """
    state = router.desired.state
    if state is None:
        return []
    outdated = []
    for model, version in router.desired.list_named().items():
        for target in router.catalog.list_all():
            service = state.find_service(target.service)
            if service is None or service.engine is None:
                continue
            if model not in service.engine.models or not target.is_ready:
                continue
            if router.weights.get(target, model) < version:
                outdated.append(OutdatedEngine(target, model, version))
    return outdated


def order_by_need(
    outdated: abc.Sequence[OutdatedEngine], router: routers.CallRouter
) -> list[OutdatedEngine]:
    """Return the engines with the oldest weights first.

    Load pattern: versions named faster than all engines can load them. By
    load alone the same idle engines would load each version, and a busy one
    none. Among equals the one with the fewest runs drains soonest.
    """
    now = router.runtime.now()

    def rate(engine: OutdatedEngine) -> tuple[int, int]:
        loaded = router.weights.get(engine.target, engine.model)
        return loaded, router.loads.get(engine.target.name, now).runs

    return sorted(outdated, key=rate)


class Rollout:
    """Brings engines to the newest weights while this host holds the lease."""

    def __init__(
        self,
        router: routers.CallRouter,
        platform: ports.Platform,
        control: ports.EngineControl,
        lease: leases.Lease,
        get_standby_rank: abc.Callable[[], int],
    ) -> None:
        self._router = router
        self._platform = platform
        self._control = control
        self._get_standby_rank = get_standby_rank
        self.lease = lease
        self._listeners: list[abc.Callable[[], None]] = []
        self.loading: set[tuple[str, int]] = set()
        self._retry_at: dict[tuple[str, int], float] = {}
        self._renewing = asyncio.Lock()
        self._renew_after = 0.0
        self._outdated_since: float | None = None
        self._observed_at = 0.0

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` when engines begin to load."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Work for ever."""
        await self._observe()
        while True:
            await self._router.runtime.sleep(CHECK_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Look once at what is to be done, and do it if this host may."""
        outdated = list_outdated(self._router)
        self._forget_ended()
        now = self._router.read_boot_clock()
        if not outdated:
            self._outdated_since = None
            await self._observe_idle(now)
            return
        if self._outdated_since is None:
            self._outdated_since = now
        if not self.lease.is_own() and not await self._is_due(now):
            return
        if self.lease.needs_renewal() and not await self._renew():
            return
        self._start_some(outdated)

    def _forget_ended(self) -> None:
        live = {
            target.get_incarnation()
            for target in self._router.catalog.list_all()
        }
        for incarnation in [i for i in self._retry_at if i not in live]:
            del self._retry_at[incarnation]

    async def _observe_idle(self, now: float) -> None:
        """Let a few successors watch the lease, so that they can step in."""
        is_observer = self._get_standby_rank() < OBSERVERS
        is_due = now - self._observed_at > OBSERVE_SECONDS
        if is_observer and is_due and not self.lease.is_own():
            await self._observe()

    async def _is_due(self, now: float) -> bool:
        """Tell whether the last holder has been silent for too long."""
        assert self._outdated_since is not None
        rank = self._get_standby_rank()
        if rank >= STANDBYS:
            return False
        delay = STANDBY_SECONDS + rank * STANDBY_STEP_SECONDS
        row = self.lease.row
        if row is not None and row.version == 0:
            delay = rank * CHECK_SECONDS
        if now - self._outdated_since < delay:
            return False
        pause = STANDBY_STEP_SECONDS
        if rank >= OBSERVERS:
            pause *= 1 + rank
        if now - self._observed_at > pause:
            await self._observe()
        return self.lease.may_write()

    async def _observe(self) -> None:
        self._observed_at = self._router.read_boot_clock()
        read = await self._platform.read_lease(DUTY)
        if railway.is_successful(read):
            self.lease.note_row(read.unwrap(), self._observed_at)

    async def _renew(self) -> bool:
        """Write the lease, one write at a time; tell whether it is held."""
        async with self._renewing:
            if not self.lease.needs_renewal():
                return True
            now = self._router.read_boot_clock()
            if now < self._renew_after:
                return False
            is_held = await self._write_lease()
            if not is_held:
                now = self._router.read_boot_clock()
                self._renew_after = now + RENEW_RETRY_SECONDS
            return is_held

    async def _write_lease(self) -> bool:
        if not self.lease.may_write():
            await self._observe()
            return False
        assert self.lease.row is not None
        was_own = self.lease.is_own()
        sent_at = self._router.read_boot_clock()
        written = await self._platform.write_lease(
            DUTY, self.lease.holder, self.lease.row.version
        )
        if railway.is_successful(written):
            row = written.unwrap()
            self.lease.note_written(row, sent_at)
            if not was_own:
                self._router.sink.emit(
                    events.Event.DUTY_TAKEN, duty=DUTY, version=row.version
                )
            return True
        trouble = written.failure()
        self._router.sink.emit(
            events.Event.DUTY_LOST, duty=DUTY, detail=trouble.detail
        )
        if trouble.is_conflict or trouble.is_outcome_unknown:
            self.lease.note_conflict()
            await self._observe()
        return False

    def _start_some(self, outdated: list[OutdatedEngine]) -> None:
        """Start on as many engines as may load at once."""
        service = outdated[0].target.service
        count = len(self._router.catalog.list_service(service))
        room = max(1, int(count * LOADING_SHARE)) - len(self.loading)
        before = len(self.loading)
        now = self._router.read_boot_clock()
        for engine in order_by_need(outdated, self._router):
            incarnation = engine.target.get_incarnation()
            if incarnation in self.loading:
                continue
            if room <= 0 and not self._is_urgent(engine):
                continue
            if self._retry_at.get(incarnation, now) > now:
                continue
            room -= 1
            self.loading.add(incarnation)
            self._router.weights.note_loading(incarnation)
            self._router.runtime.start(self._bring_up(engine))
        if len(self.loading) > before:
            for listener in self._listeners:
                listener()

    def _is_urgent(self, engine: OutdatedEngine) -> bool:
        """Tell whether an engine gets no more calls until it has loaded.

        Load pattern: the holder of the lease vanished right after a naming.
        Its successor finds all engines with weights that soon may not be
        used, so to spare some for serving would serve nobody.
        """
        bound = self._router.max_weights_lag_seconds - URGENT_SECONDS
        return self._get_behind(engine) > bound

    async def _bring_up(self, engine: OutdatedEngine) -> None:
        """Order one engine to load, and look until it has."""
        incarnation = engine.target.get_incarnation()
        begun_at = self._router.runtime.now()
        try:
            while self._is_wanted(engine):
                self._router.weights.note_loading(incarnation)
                waited = self._router.runtime.now() - begun_at
                if not self._could_load(engine, waited):
                    await self._router.runtime.sleep(drains.STEP_SECONDS)
                    continue
                pause = await self._correct(engine, waited)
                if pause is None:
                    break
                await self._router.runtime.sleep(pause)
        finally:
            self.loading.discard(incarnation)

    def _could_load(self, engine: OutdatedEngine, waited: float) -> bool:
        """Tell whether to ask if the engine is ready to load."""
        load = self._get_load(engine)
        return self._is_late(engine) or drains.is_worth_asking(
            load.runs, waited
        )

    def _get_load(self, engine: OutdatedEngine) -> loads.Load:
        now = self._router.runtime.now()
        return self._router.loads.get(engine.target.name, now)

    def _get_behind(self, engine: OutdatedEngine) -> float:
        """Return for how long the engine's weights have been replaced."""
        loaded = self._router.weights.get(engine.target, engine.model)
        return self._router.desired.get_behind_seconds(
            engine.model, loaded, self._router.runtime.now()
        )

    def _is_late(self, engine: OutdatedEngine) -> bool:
        return self._get_behind(engine) > drains.LATE_SECONDS

    def _is_wanted(self, engine: OutdatedEngine) -> bool:
        """Tell whether the engine is there, still behind, and ours."""
        target = self._router.catalog.get(engine.target.name)
        if target is None or not target.is_ready or not self.lease.is_own():
            return False
        if target.get_incarnation() != engine.target.get_incarnation():
            return False
        loaded = self._router.weights.get(target, engine.model)
        return loaded < self._router.desired.get_named(engine.model)

    async def _correct(
        self, engine: OutdatedEngine, waited: float
    ) -> float | None:
        """Read an engine's state and order if need be.

        Return the seconds to the next look, None if it is to be left alone.
        """
        read = await self._control.read_report(engine.target)
        if not railway.is_successful(read):
            self._note_unordered(engine, read.failure())
            return None
        report = read.unwrap()
        newest = self._router.desired.get_named(engine.model)
        loaded = report.weights.get(engine.model, 0)
        if loaded:
            self._router.weights.note(engine.target, engine.model, loaded)
        if loaded >= newest:
            return None
        if report.is_busy:
            return RECHECK_SECONDS
        load = self._get_load(engine)
        runs = drains.merge(report.runs, load.runs, load.prefill_tokens)
        switch = drains.judge(runs, waited, self._is_late(engine))
        if switch is None:
            return drains.REPORT_SECONDS
        order = attrs.evolve(engine, version=newest)
        return await self._order(order, report.orders, switch)

    async def _order(
        self, engine: OutdatedEngine, orders: int, switch: drains.Switch
    ) -> float | None:
        """Give the order if the lease allows it."""
        if self.lease.needs_renewal() and not await self._renew():
            return None
        if not self.lease.may_act():
            return None
        assert self.lease.row is not None
        order = ports.WeightsOrder(
            model=engine.model,
            version=engine.version,
            holder=self.lease.holder,
            fencing_token=self.lease.row.version,
            expected_orders=orders,
            switch=switch,
        )
        ordered = await self._control.order_weights(engine.target, order)
        if not railway.is_successful(ordered):
            self._note_unordered(engine, ordered.failure())
            return None
        status = ordered.unwrap()
        self._router.sink.emit(
            events.Event.WEIGHTS_ORDERED,
            target=engine.target.name,
            model=engine.model,
            version=engine.version,
            status=status,
            switch=switch.value,
            fencing_token=order.fencing_token,
        )
        if status == 200:
            self._router.weights.note(
                engine.target, engine.model, engine.version
            )
        return LOAD_SECONDS if status == 202 else RECHECK_SECONDS

    def _note_unordered(
        self, engine: OutdatedEngine, failure: interfaces.CallFailure
    ) -> None:
        """Leave room for other engines, and look again later."""
        now = self._router.read_boot_clock()
        incarnation = engine.target.get_incarnation()
        self._retry_at[incarnation] = now + UNREACHABLE_SECONDS
        self._router.sink.emit(
            events.Event.ORDER_FAILED,
            target=engine.target.name,
            model=engine.model,
            version=engine.version,
            detail=f'{failure.kind.value}: {failure.detail}',
        )
