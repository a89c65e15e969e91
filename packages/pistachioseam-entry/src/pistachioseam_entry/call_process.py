"""The process of a host that forwards calls: wiring, timers, shutdown."""

import asyncio
import pathlib
import time
import typing

import attrs
from returns import pipeline
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from pistachioseam import events
from pistachioseam.forwarding import budgets
from pistachioseam.forwarding import cache_store_watches
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import freshness
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import leases
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import watches
from pistachioseam import health
from pistachioseam import links
from pistachioseam import membership
from pistachioseam import quarantine
from pistachioseam_entry import call_admin
from pistachioseam_entry import call_listener
from pistachioseam_entry import call_peers
from pistachioseam_entry import call_settings
from pistachioseam_entry import lifecycle
from pistachioseam_entry import log_writer
from pistachioseam_entry import logs
from pistachioseam_entry import measured_store
from pistachioseam_entry import metrics
from pistachioseam_entry import reactors
from pistachioseam_entry import runtime
from pistachioseam_entry import target_channels

NOTICE_SECONDS = 2.5
"""The balancer asks once a second and reacts to the second miss."""
LAST_SECONDS = 0.4
"""Part of the shutdown time that is left for the end of the process."""
DRAIN_CHECK_SECONDS = 0.05
LOG_FLUSH_SECONDS = 0.5
"""Pause between two tries at a log whose reader does not keep up."""
LOG_REPORT_STEPS = 10
"""Tries between two reports of lines that were left out."""
CRASHES_TO_QUARANTINE = 3
"""Crashes after which the users' rules end the retries of a request."""
MS = 1000.0
WEIGHTS_MARGIN_SECONDS = 2.0
"""Time that a call may wait at its engine before it begins to run; admission
passes waits of about a second."""


@attrs.frozen(kw_only=True)
class Adapter:
    """Access to one kind of platform: its formats, store and engines."""

    codec: call_listener.CallDecoder
    channels: target_channels.ChannelPool
    store: ports.Platform
    engines: ports.EngineControl


def read_boot_clock() -> float:
    """Return seconds that go on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ReadinessResource(resource.Resource):
    """Answer to the balancer's question."""

    isLeaf = True  # noqa: N815

    def __init__(self, owner: 'CallProcess') -> None:
        super().__init__()
        self._owner = owner

    def render(self, request: typing.Any) -> bytes:
        """Answer 200 only while new callers are welcome."""
        if not self._owner.is_ready():
            request.setResponseCode(503)
        return b'\n'


class CallProcess:
    """One host; a context manager that owns its ports and tasks."""

    def __init__(
        self,
        options: call_settings.CallSettings,
        adapter: Adapter,
        writer: log_writer.LogWriter,
        settings_path: pathlib.Path,
    ) -> None:
        self.settings = options
        self._settings_path = settings_path
        self._writer = writer
        self.metrics = metrics.Metrics()
        self.sink = logs.LogSink(options.host.name, self.metrics)
        self.runtime = runtime.AsyncioRuntime(self.sink)
        self.lifecycle = lifecycle.create_lifecycle(self.sink)
        self.channels = adapter.channels
        store = measured_store.MeasuredStore(
            adapter.store, self.metrics, self.runtime
        )
        self.router = self._create_router()
        self.listener = call_listener.CallListener(
            self.router, adapter.codec, self.metrics
        )
        self.desired_watch = watches.DesiredWatch(self.router, store)
        self.targets_watch = watches.TargetsWatch(self.router, store)
        self.rollout = rollouts.Rollout(
            self.router,
            store,
            adapter.engines,
            self._create_lease(),
            lambda: self.peers.get_standby_rank(),
        )
        self.store_watch = cache_store_watches.CacheStoreWatch(
            self.router,
            adapter.engines,
            lambda domain: self.peers.is_first_near(domain),
        )
        self.peers = call_peers.CallPeers(
            self._create_own_peer(),
            self.router,
            self.rollout,
            store,
            confirmations.Confirmer(
                self.desired_watch.progress,
                self.targets_watch.progress,
                read_boot_clock,
            ),
        )
        self.follower = confirmations.Follower(
            self.desired_watch,
            self.targets_watch,
            self.peers,
            read_boot_clock,
            self.runtime.sleep,
        )
        self._ports: list[typing.Any] = []

    def _create_router(self) -> routers.CallRouter:
        options = self.settings
        return routers.CallRouter(
            runtime=self.runtime,
            read_boot_clock=read_boot_clock,
            random=runtime.SystemRandom(),
            sink=self.sink,
            connections=self.channels,
            topology=links.Topology(
                domain=options.host.domain, regions=options.regions
            ),
            desired=known_versions.DesiredStateCache(self.sink),
            weights=known_versions.WeightsTracker(self.runtime),
            freshness=freshness.Freshness(options.bounds.revocation_ms / MS),
            catalog=catalog.TargetCatalog(self.sink),
            loads=loads.LoadTracker(),
            budget=budgets.FleetRetryBudget(
                options.retries, lambda: self.peers.count_hosts()
            ),
            health=health.HealthTracker(self.runtime, self.sink),
            quarantine=quarantine.Quarantine(
                self.runtime, CRASHES_TO_QUARANTINE
            ),
            max_weights_lag_seconds=get_max_behind(options.bounds),
        )

    def _create_lease(self) -> leases.Lease:
        return leases.Lease(
            holder=self.settings.host.name,
            lease_seconds=self.settings.bounds.lease_ms / MS,
            read_boot_clock=read_boot_clock,
        )

    def _create_own_peer(self) -> membership.Peer:
        host = self.settings.host
        token = self.router.random.token()
        return membership.Peer(
            name=host.name,
            incarnation=f'{host.name}:{token}',
            domain=host.domain,
            address=host.peer_address,
        )

    def __enter__(self) -> 'CallProcess':
        """Open the ports and start the timers."""
        host = self.settings.host
        self.sink.emit(
            events.Event.PROCESS_STARTED,
            domain=host.domain,
            address=host.listen_address,
        )
        self.runtime.__enter__()
        self.router.catalog.add_listener(self._forget_target)
        self.router.weights.add_listener(self.router.caches.forget)
        ready = server.Site(ReadinessResource(self))
        self._listen(self.listener.create_site(), host.listen_address)
        self._listen(ready, host.ready_address)
        self._listen(
            call_admin.CallAdmin(self).create_site(), host.admin_address
        )
        self.runtime.start(self.desired_watch.run())
        self.runtime.start(self.targets_watch.run())
        self.runtime.start(self.follower.run())
        self.runtime.start(self.rollout.run())
        self.runtime.start(self._tend_logs())
        self.runtime.start(self.store_watch.run())
        self.peers.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        """Close what is still open."""
        self.peers.__exit__()
        self.runtime.__exit__()
        self.channels.__exit__()

    async def _tend_logs(self) -> None:
        """Write what waits for the log's reader, and say what was lost."""
        while True:
            for _ in range(LOG_REPORT_STEPS):
                await asyncio.sleep(LOG_FLUSH_SECONDS)
                self._writer.flush()
            self.sink.report_omitted(self._writer.take_dropped())

    def _listen(self, site: typing.Any, address: str) -> None:
        host, _, port = address.rpartition(':')
        site.displayTracebacks = False
        listening = reactors.get_reactor().listenTCP(
            int(port), site, interface=host.strip('[]')
        )
        self._ports.append(listening)

    def _forget_target(self, target: catalog.LiveTarget) -> None:
        """Drop what was kept for an incarnation that has ended."""
        self.router.weights.forget(target)
        self.router.caches.forget(target.name)
        self.router.pace_board.forget(target.name)
        self.router.fault_board.forget(target.name)
        self.channels.close_idle(target.address)

    def is_ready(self) -> bool:
        """Tell whether new callers should come here."""
        now = read_boot_clock()
        is_informed = (
            self.router.catalog.has_synced()
            and self.router.freshness.can_be_ready(now)
        )
        if is_informed and self.lifecycle.get_state() == 'starting':
            self.lifecycle.become_ready()
        return is_informed and self.lifecycle.get_state() == 'ready'

    def reload(self) -> None:
        """Read the settings again; put bounds and budgets in force.

        Addresses stay as they were at the start. Settings with a defect
        change nothing.
        """
        loaded = call_settings.load_call_settings(self._settings_path)
        if not pipeline.is_successful(loaded):
            for finding in loaded.failure():
                self.sink.emit(
                    events.Event.SETTINGS_REJECTED, finding=finding.format()
                )
            return
        self.settings = loaded.unwrap()
        bounds = self.settings.bounds
        self.router.freshness.bound_seconds = bounds.revocation_ms / MS
        self.router.max_weights_lag_seconds = get_max_behind(bounds)
        self.router.budget.terms = self.settings.retries
        self.rollout.lease.lease_seconds = bounds.lease_ms / MS
        self.sink.emit(
            events.Event.PROCESS_RELOADED, bounds=attrs.asdict(bounds)
        )

    def shut_down(self) -> defer.Deferred[None]:
        """Return a Deferred that fires when a graceful shutdown has ended."""
        work = asyncio.ensure_future(self._drain())
        return defer.Deferred.fromFuture(work)

    async def _drain(self) -> None:
        """Serve on until the balancer has noticed and all calls have ended."""
        self.lifecycle.drain()
        self.listener.is_draining = True
        seconds = self.settings.bounds.shutdown_seconds - LAST_SECONDS
        try:
            async with asyncio.timeout(seconds):
                await asyncio.sleep(NOTICE_SECONDS)
                self.listener.is_closing = True
                while self.listener.active:
                    await asyncio.sleep(DRAIN_CHECK_SECONDS)
                await self.peers.leave()
        except TimeoutError:
            self.sink.emit(
                events.Event.INTERNAL_ERROR,
                error='the shutdown limit passed with calls in progress',
                active=self.listener.active,
            )
        self.lifecycle.stop()


def get_max_behind(bounds: call_settings.Bounds) -> float:
    """Return for how long calls are sent to engines with replaced weights."""
    return bounds.weights_ms / MS - WEIGHTS_MARGIN_SECONDS
