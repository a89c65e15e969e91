"""Rollout of newer weights to the engines, by the holder of a lease.

The other hosts are standbys: when the holder stops making progress, one of
them takes over the lease. A holder that no engine answers stops renewing it.
"""

import asyncio
from collections import abc

import attrs
from returns import pipeline as returns_pipeline
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import drains
from pistachioseam.forwarding import engine_silence
from pistachioseam.forwarding import leases
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces

LEASE_NAME = 'weights'
"""Key of the lease in the platform's store; field `duty` of log lines."""
RECONCILE_SECONDS = 0.1
"""Pause between two reconciliations while engines are outdated."""
IDLE_RECONCILE_SECONDS = 0.3
"""The same while no engine is; newly named weights end the pause at once."""
STANDBY_SECONDS = 0.8
"""Time since engines became outdated after which the first standby takes over,
if the last holder's lease has also expired."""
STANDBY_STEP_SECONDS = 0.5
"""Further delay per standby rank. Standbys of higher rank also read the lease
less often, as each read is a call to the store."""
FIRST_READ_SECONDS = 0.05
"""Time since engines became outdated after which the first standbys read the
lease; their wait for it counts from the read that finds the last renewal."""
OBSERVE_SECONDS = 2.0
"""Pause between a standby's reads of the lease while no engine is outdated."""
MAX_OBSERVERS = 4
"""Number of standbys that read the lease while no engine is outdated. One that
does not know for how long the row has been unchanged must first wait for that
long."""
MAX_STANDBYS = 8
"""Rank below which hosts may take over; when one is lost, the next host in the
order of ranks replaces it. In a large fleet these are the leaders and deputies
of all domains: the store may turn away a third of the hosts at once."""
MAX_LOADING_FRACTION = 1 / 3
"""Fraction of the engines that may load at once; more slow each other down."""
FIRST_REPORT_DELAY_SECONDS = 0.4
"""Pause between an accepted order and the next read of the engine's report,
about the time that a load takes."""
LOADING_POLL_SECONDS = 0.3
"""Pause between two reads of the report of an engine that is loading."""
LOAD_NOW_SECONDS = 1.0
"""An engine whose weights will be too old for calls within this time is loaded
regardless of the limit on concurrent loads."""
RENEW_RETRY_SECONDS = 0.5
"""Pause after a failed renewal; the platform also charges for calls that the
store rejects."""
REST_SECONDS = 30.0
"""Time for which a host that has left the lease lets other hosts go first."""
REST_EXTRA_SECONDS = 1.0
"""How much later than others such a host may write an unchanged lease."""
ORDER_SECONDS = 1.5
"""Age of the renewal at which an order without an answer is given up."""
UNREACHABLE_RETRY_SECONDS = 0.5
"""Pause before the upgrade of an engine that did not respond is retried."""


@attrs.frozen
class OutdatedEngine:
    """Engine whose weights of a model are older than `version`, the newest."""

    target: catalog.LiveTarget
    model: str
    version: int


def list_outdated(router: routers.CallRouter) -> list[OutdatedEngine]:
    """Return the ready engines that run outdated weights.

    Each is listed with the newest version, so that versions in between are
    skipped.
    """
    state = router.desired.state
    if state is None:
        return []
    outdated = []
    for model, version in router.desired.get_newest_versions().items():
        for target in router.catalog.list_all():
            service = state.find_service(target.service)
            if service is None or service.engine is None:
                continue
            if router.notices.is_leaving(target):
                continue
            if model not in service.engine.models or (
                not router.catalog.is_available(target)
            ):
                continue
            if router.weights.get_confirmed(target, model) < version:
                outdated.append(OutdatedEngine(target, model, version))
    return outdated


def sort_by_version(
    outdated: abc.Sequence[OutdatedEngine], router: routers.CallRouter
) -> list[OutdatedEngine]:
    """Return the engines with the oldest weights first.

    Load pattern: operators name new versions faster than all engines can load
    them. If engines were sorted by load alone, the same idle engines would
    load every version and a busy one none. Among engines with equal weights
    the one with the fewest runs comes first, as it drains soonest.
    """
    now = router.runtime.now()

    def get_sort_key(engine: OutdatedEngine) -> tuple[int, int]:
        loaded = router.weights.get_confirmed(engine.target, engine.model)
        return loaded, router.loads.get(engine.target.name, now).runs

    return sorted(outdated, key=get_sort_key)


class Rollout:
    """Loads the newest weights on all engines while this host holds the lease.

    `loading` holds the incarnations of the engines being drained or loaded.
    `get_standby_rank` returns this host's rank among the standbys, 0 first.
    """

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
        self._ordered: set[tuple[str, int]] = set()
        self._known_orders: dict[tuple[str, int], int] = {}
        self._report_sent_at: dict[tuple[str, int], float] = {}
        self._renewal_lock = asyncio.Lock()
        self._next_renewal_at = 0.0
        self._has_renewal_failed = False
        self._outdated_since: float | None = None
        self._lease_read_at = 0.0
        self._silence = engine_silence.EngineSilence()
        self._rests_until: float | None = None
        self._has_changed = asyncio.Event()
        router.desired.add_listener(self._has_changed.set)

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call `listener` after upgrades of engines have been started."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Reconcile forever; standbys know the lease from the start."""
        if self._get_standby_rank() < MAX_STANDBYS:
            await self._read_lease()
        while True:
            await self._pause()
            await self.reconcile()

    async def _pause(self) -> None:
        """Wait for the next reconciliation."""
        seconds = (
            IDLE_RECONCILE_SECONDS
            if self._outdated_since is None
            else RECONCILE_SECONDS
        )
        self._has_changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._has_changed.wait()
        except TimeoutError:
            # Other causes of outdated engines are found a little later.
            pass

    async def reconcile(self) -> None:
        """Start upgrades of outdated engines if this host holds the lease.

        It first renews the lease or takes it over, if needed and possible.
        """
        outdated = list_outdated(self._router)
        self._prune_retries()
        now = self._router.read_boot_clock()
        if not outdated:
            self._outdated_since = None
            self._silence.reset()
            await self._observe_idle_lease(now)
            return
        if self._outdated_since is None:
            self._outdated_since = now
        if self._router.is_cut_off() or not await self._can_hold(now):
            self._silence.reset()
            return
        engine_count = self._count_engines(outdated[0])
        if self._silence.has_lasted(
            engine_silence.STALL_SECONDS, engine_count, now
        ):
            self._leave_lease(now)
            return
        if self._should_renew(engine_count, now) and not await self._renew():
            return
        self._start_upgrades(outdated)

    def _count_engines(self, engine: OutdatedEngine) -> int:
        """Return the number of engines of an engine's service."""
        return len(self._router.catalog.list_service(engine.target.service))

    def _should_renew(self, engine_count: int, now: float) -> bool:
        """Return whether to renew the lease before upgrades are started.

        Orders renew it too, and reports may be read without it. So once it has
        been renewed in a rollout it may wait, lest it is renewed while no
        engine answers: a successor's wait counts from the last renewal.
        """
        renewed_at = self.lease.renewed_at
        if (
            renewed_at is None
            or self._outdated_since is None
            or renewed_at < self._outdated_since
            or self._has_renewal_failed
        ):
            return self.lease.needs_renewal()
        return (
            now - renewed_at > engine_silence.STALL_SECONDS
            and not self._silence.has_lasted(
                engine_silence.DOUBT_SECONDS, engine_count, now
            )
        )

    def _leave_lease(self, now: float) -> None:
        """Let the lease expire, as no engine answers this host."""
        self._router.sink.emit(
            events.Event.LEASE_LEFT,
            duty=LEASE_NAME,
            failures=self._silence.failures,
            engines=self._silence.count_engines(
                engine_silence.STALL_SECONDS, now
            ),
        )
        self._silence.reset()
        self._rests_until = now + REST_SECONDS

    async def _can_hold(self, now: float) -> bool:
        """Return whether this host holds the lease or may take it now.

        A host that has left the lease takes it only if no other does.
        """
        if not self._is_resting():
            return self.lease.is_last_holder() or await self._can_take_over(
                now
            )
        if self.lease.is_last_holder() and self._has_row_rested():
            await self._read_lease()
        if not self.lease.is_last_holder() and not await self._can_take_over(
            now
        ):
            return False
        if not self._has_row_rested():
            return False
        self._rests_until = None
        return True

    def _is_resting(self) -> bool:
        """Return whether this host has left the lease to others."""
        return (
            self._rests_until is not None
            and self._router.read_boot_clock() < self._rests_until
        )

    def _has_row_rested(self) -> bool:
        """Return whether the other hosts have had time to take the lease."""
        return self.lease.is_expired(REST_EXTRA_SECONDS)

    def _prune_retries(self) -> None:
        live = {
            target.get_incarnation()
            for target in self._router.catalog.list_all()
        }
        for incarnation in [i for i in self._retry_at if i not in live]:
            del self._retry_at[incarnation]
        for incarnation in [i for i in self._known_orders if i not in live]:
            del self._known_orders[incarnation]

    async def _observe_idle_lease(self, now: float) -> None:
        """Read the lease if this host is one of the first standbys.

        A standby may take over only when the row has been unchanged for long
        enough, so it reads the row also while no engine is outdated. The first
        standby takes a lease that nobody holds, so that the next rollout need
        not wait for that.
        """
        is_observer = self._get_standby_rank() < MAX_OBSERVERS
        is_last_read_old = now - self._lease_read_at > OBSERVE_SECONDS
        if (
            is_observer
            and is_last_read_old
            and not self.lease.is_last_holder()
        ):
            await self._read_lease()
            if self._get_standby_rank() == 0 and self.lease.is_free():
                await self._renew()

    async def _can_take_over(self, now: float) -> bool:
        """Return whether this standby may take over from the last holder.

        It may if engines have been outdated for its rank's delay and the row
        of the lease has not changed for long enough; the row is read again if
        the last read is too old. If no host has held the lease yet, the delay
        is shorter.
        """
        assert self._outdated_since is not None
        rank = self._get_standby_rank()
        if rank >= MAX_STANDBYS:
            return False
        delay = STANDBY_SECONDS + rank * STANDBY_STEP_SECONDS
        read_delay = FIRST_READ_SECONDS + rank * RECONCILE_SECONDS
        pause = STANDBY_STEP_SECONDS
        if rank >= MAX_OBSERVERS:
            read_delay = delay
            pause *= 1 + rank
        row = self.lease.row
        if row is not None and row.version.number == 0:
            delay = read_delay = rank * RECONCILE_SECONDS
        outdated_seconds = now - self._outdated_since
        if outdated_seconds < read_delay:
            return False
        is_first_read = self._lease_read_at < self._outdated_since
        if is_first_read or now - self._lease_read_at > pause:
            await self._read_lease()
        if outdated_seconds < delay or not self.lease.can_write():
            return False
        # A standby of lower rank may have been faster.
        if now - self._lease_read_at > RECONCILE_SECONDS:
            await self._read_lease()
        return self.lease.can_write()

    async def _read_lease(self) -> None:
        self._lease_read_at = self._router.read_boot_clock()
        read = await self._platform.read_lease(LEASE_NAME)
        if returns_pipeline.is_successful(read):
            self.lease.record_read(read.unwrap(), self._lease_read_at)

    async def _renew(self) -> bool:
        """Renew the lease if needed; return whether this host holds it.

        Concurrent upgrades share one write, and a failed write is followed by
        a pause. A host that reaches no target, or that no engine has answered,
        leaves the lease to others.
        """
        if self._router.is_cut_off() or self._is_resting():
            return False
        async with self._renewal_lock:
            if not self.lease.needs_renewal():
                return True
            now = self._router.read_boot_clock()
            if now < self._next_renewal_at:
                return False
            is_held = await self._write_lease()
            self._has_renewal_failed = not is_held
            if not is_held:
                now = self._router.read_boot_clock()
                self._next_renewal_at = now + RENEW_RETRY_SECONDS
            return is_held

    async def _write_lease(self) -> bool:
        if not self.lease.can_write():
            await self._read_lease()
            return False
        assert self.lease.row is not None
        was_last_holder = self.lease.is_last_holder()
        sent_at = self._router.read_boot_clock()
        written = await self._platform.write_lease(
            LEASE_NAME, self.lease.holder, self.lease.row
        )
        if returns_pipeline.is_successful(written):
            row = written.unwrap()
            self.lease.record_write(row, sent_at)
            if not was_last_holder:
                self._router.sink.emit(
                    events.Event.LEASE_ACQUIRED,
                    duty=LEASE_NAME,
                    version=row.version.number,
                    era=row.version.era,
                )
            return row.is_conclusive()
        failure = written.failure()
        self._router.sink.emit(
            events.Event.LEASE_WRITE_FAILED,
            duty=LEASE_NAME,
            detail=failure.detail,
        )
        if failure.is_conflict or failure.is_outcome_unknown:
            self.lease.invalidate()
            await self._read_lease()
        return False

    def _start_upgrades(self, outdated: list[OutdatedEngine]) -> None:
        """Start upgrades of as many engines as may load at once.

        Engines that must load now are started beyond this limit.
        """
        remaining = self._count_places(outdated[0])
        loading_before = len(self.loading)
        now = self._router.read_boot_clock()
        for engine in sort_by_version(outdated, self._router):
            incarnation = engine.target.get_incarnation()
            if incarnation in self.loading:
                continue
            if remaining <= 0 and not self._must_load_now(engine):
                continue
            if self._retry_at.get(incarnation, now) > now:
                continue
            remaining -= 1
            self.loading.add(incarnation)
            self._router.weights.record_loading(incarnation)
            self._router.runtime.start(self._upgrade(engine))
        if len(self.loading) > loading_before:
            for listener in self._listeners:
                listener()

    def _count_places(self, engine: OutdatedEngine) -> int:
        """Return how many more engines may drain or load.

        An engine whose report is slow takes no place before it is ordered to
        load, unless so many are silent that it may be this host's fault.
        """
        now = self._router.read_boot_clock()
        count = self._count_engines(engine)
        busy = len(self.loading)
        if not self._silence.has_lasted(
            engine_silence.DOUBT_SECONDS, count, now
        ):
            busy -= sum(
                now - sent_at >= engine_silence.DOUBT_SECONDS
                for sent_at in self._report_sent_at.values()
            )
        return max(1, int(count * MAX_LOADING_FRACTION)) - busy

    def _must_load_now(self, engine: OutdatedEngine) -> bool:
        """Return whether an engine's weights will soon be too old for calls.

        Such an engine will get no calls until it has loaded. When the holder
        of the lease is lost right after a version was named, the weights of
        all engines are almost too old by the time its successor takes over, so
        engines that waited for their turn to load would get no calls
        meanwhile.
        """
        bound = self._router.max_weights_lag_seconds - LOAD_NOW_SECONDS
        return self._get_lag_seconds(engine) > bound

    async def _upgrade(self, engine: OutdatedEngine) -> None:
        """Drain one engine, order it to load, and poll it until it has."""
        incarnation = engine.target.get_incarnation()
        started_at = self._router.runtime.now()
        try:
            while self._should_upgrade(engine):
                self._router.weights.record_loading(incarnation)
                waited_seconds = self._router.runtime.now() - started_at
                if not self._should_poll_report(engine, waited_seconds):
                    await self._router.runtime.sleep(drains.LOCAL_POLL_SECONDS)
                    continue
                pause = await self._reconcile_engine(engine, waited_seconds)
                if pause is None:
                    break
                await self._router.runtime.sleep(pause)
        finally:
            self.loading.discard(incarnation)
            self._ordered.discard(incarnation)

    def _should_poll_report(
        self, engine: OutdatedEngine, waited_seconds: float
    ) -> bool:
        """Return whether to read the report of an engine, late ones always."""
        load = self._get_load(engine)
        return self._is_late(engine) or drains.should_poll_report(
            load.runs, waited_seconds
        )

    def _get_load(self, engine: OutdatedEngine) -> loads.Load:
        now = self._router.runtime.now()
        return self._router.loads.get(engine.target.name, now)

    def _get_lag_seconds(self, engine: OutdatedEngine) -> float:
        """Return for how long an engine's weights have been outdated."""
        loaded = self._router.weights.get_confirmed(
            engine.target, engine.model
        )
        return self._router.desired.get_lag_seconds(
            engine.model, loaded, self._router.read_boot_clock()
        )

    def _is_late(self, engine: OutdatedEngine) -> bool:
        """Return whether the drain of an engine must be shortened."""
        return self._get_lag_seconds(engine) > drains.LATE_SECONDS

    def _should_upgrade(self, engine: OutdatedEngine) -> bool:
        """Return whether the upgrade of an engine should continue.

        False if its incarnation has ended, its weights are up to date or this
        host has lost the lease.
        """
        target = self._router.catalog.get(engine.target.name)
        if (
            target is None
            or not self._router.catalog.is_available(target)
            or not self.lease.is_last_holder()
            or self._is_resting()
        ):
            return False
        if target.get_incarnation() != engine.target.get_incarnation():
            return False
        loaded = self._router.weights.get_confirmed(target, engine.model)
        return loaded < self._router.desired.get_newest_version(engine.model)

    async def _reconcile_engine(
        self, engine: OutdatedEngine, waited_seconds: float
    ) -> float | None:
        """Read an engine's report and order it to load if it is ready.

        Return the seconds until the next check, None to end the upgrade.
        """
        pause = self._router.notices.get_pause_seconds(
            engine.target.get_incarnation(), self._router.runtime.now()
        )
        if pause > 0:
            return pause
        sent_at = self._router.read_boot_clock()
        # A late copy of a report may hide a run that must not continue.
        read = await self._read_report(
            engine,
            sent_at,
            needs_new_connection=drains.may_continue(
                waited_seconds, self._is_late(engine)
            ),
        )
        if not returns_pipeline.is_successful(read):
            self._schedule_retry(engine, read.failure())
            return None
        self._record_answer(engine)
        report = read.unwrap()
        if not self._is_current(engine, report):
            detail = f'report from before an order: {report.orders} orders'
            self._log_failure(
                engine,
                interfaces.CallFailure(interfaces.FailureKind.FAILED, detail),
            )
            return drains.REPORT_POLL_SECONDS
        newest = self._router.desired.get_newest_version(engine.model)
        loaded = report.weights.get(engine.model, 0)
        if loaded:
            self._router.weights.record(engine.target, engine.model, loaded)
        if loaded >= newest:
            self._has_changed.set()
            return None
        if report.is_loading:
            return LOADING_POLL_SECONDS
        load = self._get_load(engine)
        runs = drains.merge_runs(report.runs, load.runs, load.prefill_tokens)
        switch = drains.choose_switch(
            runs, waited_seconds, self._is_late(engine)
        )
        if switch is None:
            return drains.REPORT_POLL_SECONDS
        now = self._router.read_boot_clock()
        if (
            now - sent_at >= engine_silence.DOUBT_SECONDS
            and engine.target.get_incarnation() not in self._ordered
            and self._count_places(engine) < 0
            and not self._must_load_now(engine)
        ):
            # Another engine has taken the place meanwhile.
            return None
        order = attrs.evolve(engine, version=newest)
        return await self._send_order(order, report.orders, switch)

    def _is_current(
        self, engine: OutdatedEngine, report: ports.EngineReport
    ) -> bool:
        """Return False for the late copy of a report from before an order.

        Reports bear no id, and the orders of an engine only grow. The same
        number is believed when it is read again.
        """
        incarnation = engine.target.get_incarnation()
        known = self._known_orders.get(incarnation, 0)
        self._known_orders[incarnation] = report.orders
        return report.orders >= known

    async def _read_report(
        self,
        engine: OutdatedEngine,
        now: float,
        *,
        needs_new_connection: bool,
    ) -> result.Result[ports.EngineReport, interfaces.CallFailure]:
        incarnation = engine.target.get_incarnation()
        self._silence.record_call(incarnation, now)
        if incarnation not in self._ordered:
            self._report_sent_at[incarnation] = now
        try:
            return await self._control.read_report(
                engine.target, needs_new_connection=needs_new_connection
            )
        finally:
            self._report_sent_at.pop(incarnation, None)

    async def _send_order(
        self, engine: OutdatedEngine, orders: int, switch: drains.SwitchMode
    ) -> float | None:
        """Send an order to load if this host holds the lease.

        Return the seconds until the next check, None to end the upgrade.
        """
        if self.lease.needs_renewal() and not await self._renew():
            return None
        if not self._may_order():
            return None
        assert self.lease.row is not None
        order = ports.WeightsOrder(
            model=engine.model,
            version=engine.version,
            holder=self.lease.holder,
            fencing_token=self.lease.row.get_fencing_token(),
            expected_orders=orders,
            switch=switch,
            seconds_left=ORDER_SECONDS - self.lease.get_renewal_age(),
        )
        self._record_call(engine)
        self._ordered.add(engine.target.get_incarnation())
        ordered = await self._control.order_weights(
            engine.target, order, self._may_order
        )
        if not returns_pipeline.is_successful(ordered):
            self._schedule_retry(engine, ordered.failure())
            return None
        self._record_answer(engine)
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
            self._router.weights.record(
                engine.target, engine.model, engine.version
            )
        elif status == 202:
            incarnation = engine.target.get_incarnation()
            self._known_orders[incarnation] = orders + 1
        return (
            FIRST_REPORT_DELAY_SECONDS
            if status == 202
            else LOADING_POLL_SECONDS
        )

    def _may_order(self) -> bool:
        """Return whether this host may send an order at this moment."""
        return not self._is_resting() and self.lease.can_act()

    def _record_call(self, engine: OutdatedEngine) -> None:
        now = self._router.read_boot_clock()
        self._silence.record_call(engine.target.get_incarnation(), now)

    def _record_answer(self, engine: OutdatedEngine) -> None:
        now = self._router.read_boot_clock()
        self._silence.record_answer(engine.target.get_incarnation(), now)

    def _schedule_retry(
        self, engine: OutdatedEngine, failure: interfaces.CallFailure
    ) -> None:
        """Log a failed call and delay the next upgrade of the engine.

        Its upgrade ends, so that another engine can load in the meantime.
        """
        now = self._router.read_boot_clock()
        incarnation = engine.target.get_incarnation()
        self._retry_at[incarnation] = now + UNREACHABLE_RETRY_SECONDS
        self._silence.record_failure(incarnation, failure, now)
        self._log_failure(engine, failure)

    def _log_failure(
        self, engine: OutdatedEngine, failure: interfaces.CallFailure
    ) -> None:
        self._router.sink.emit(
            events.Event.ORDER_FAILED,
            target=engine.target.name,
            model=engine.model,
            version=engine.version,
            detail=f'{failure.kind.value}: {failure.detail}',
        )
