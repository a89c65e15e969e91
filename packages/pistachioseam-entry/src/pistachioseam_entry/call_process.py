"""Process of a host that forwards calls: wiring, ports, tasks, shutdown."""

import asyncio
import pathlib
import time
import typing

import attrs
from returns import pipeline
from twisted.internet import defer
from twisted.web import resource

from pistachioseam import events
from pistachioseam.forwarding import brittleness
from pistachioseam.forwarding import budgets
from pistachioseam.forwarding import cache_store_watches
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import crash_evidence
from pistachioseam.forwarding import crash_records
from pistachioseam.forwarding import freshness
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import leases
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import notices
from pistachioseam.forwarding import paths
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import quotas
from pistachioseam.forwarding import rate_limits
from pistachioseam.forwarding import rate_permits
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding import software_versions
from pistachioseam.forwarding import stream_origins
from pistachioseam.forwarding import stream_records
from pistachioseam.forwarding import watches
from pistachioseam import health
from pistachioseam import links
from pistachioseam import membership
from pistachioseam import quarantine
from pistachioseam_entry import bounded_requests
from pistachioseam_entry import call_listener
from pistachioseam_entry import call_peers
from pistachioseam_entry import call_settings
from pistachioseam_entry import capacities
from pistachioseam_entry import lifecycle
from pistachioseam_entry import log_writer
from pistachioseam_entry import logs
from pistachioseam_entry import measured_store
from pistachioseam_entry import metrics
from pistachioseam_entry import relay_client
from pistachioseam_entry import relay_service
from pistachioseam_entry import routed_connections
from pistachioseam_entry import runtime
from pistachioseam_entry import sockets
from pistachioseam_entry import target_connections

BALANCER_REACTION_SECONDS = 2.5
"""Time after which the load balancer opens no new connections to this host. It
probes readiness once a second and reacts to the second failure."""
EXIT_RESERVE_SECONDS = 0.4
"""Part of the shutdown limit reserved for the exit of the process."""
DRAIN_CHECK_SECONDS = 0.05
"""Pause between two checks of whether all calls have ended."""
LOG_FLUSH_SECONDS = 0.5
"""Pause between two flushes of log lines buffered for a slow reader."""
MAX_LOGGED_KINDS = 5
"""Kinds of messages to peers whose bytes are logged, the largest first."""
FLUSHES_PER_LOG_REPORT = 10
"""Flushes between two reports of lost log lines."""
CRASHES_TO_QUARANTINE = 3
"""Target crashes during a request, or during calls with a prompt part, after
which these are quarantined, as the platform's rules require."""
MS_PER_SECOND = 1000.0
ROLLOUT_DELAY_SECONDS = 2.0
"""Time from the start of a host in which it learns which peers are alive."""
WEIGHTS_MARGIN_FRACTION = 0.3
"""Part of the bound for outdated weights that is reserved for a call's wait in
its engine's queue before it runs. Admission control bounds the expected wait;
under load the actual one has exceeded 2 s of a bound of 10 s."""
BEGIN_MARGIN_FRACTION = 0.15
"""Part of the bound that is left when a call that still waits is given up. In
it the engine learns of that; and hosts learn up to a second late that newer
weights were named."""
RUN_MARGIN_FRACTION = 0.15
"""Part of the bound that is left at the time limit that an engine gets, for
the way of the call, as for `BEGIN_MARGIN_FRACTION`: the engine counts from
when it arrives."""


class Codec(
    call_listener.CallDecoder, relay_client.HeadDecoder, typing.Protocol
):
    """Wire format of callers' requests and of targets' responses."""


@attrs.frozen(kw_only=True)
class Adapter:
    """Access to one platform: wire format, connections, store and engines."""

    codec: Codec
    connections: target_connections.ConnectionPool
    store: ports.Platform
    engines: ports.EngineControl


def read_boot_clock() -> float:
    """Return seconds of a clock that advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ReadinessResource(resource.Resource):
    """Readiness endpoint for the load balancer's probe."""

    isLeaf = True  # noqa: N815

    def __init__(self, process: 'CallProcess') -> None:
        super().__init__()
        self._process = process

    def render(self, request: typing.Any) -> bytes:
        """Respond 200 while this host is ready for new callers, else 503."""
        if not self._process.is_ready():
            request.setResponseCode(503)
        return b'\n'


class AdminResource(resource.Resource):
    """Admin endpoints, imported when an operator first uses them.

    The libraries that only they need would take a tenth of a host's start.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, process: 'CallProcess') -> None:
        super().__init__()
        self._process = process
        self._endpoints: typing.Any = None

    def render(self, request: typing.Any) -> typing.Any:
        """Respond to a request of an operator."""
        if self._endpoints is None:
            from pistachioseam_entry import call_admin

            admin = call_admin.CallAdmin(self._process)
            self._endpoints = admin.create_resource()
        return self._endpoints.render(request)


class CallProcess:
    """Process of one host; a context manager that owns its ports and tasks."""

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
        self.connections = adapter.connections
        self._random = runtime.SystemRandom()
        self.paths = paths.TargetPaths(
            self.runtime,
            self._random,
            self.sink,
            lambda: [t.address for t in self.router.catalog.list_all()],
            self.connections.is_reachable,
        )
        store = measured_store.MeasuredStore(
            adapter.store, self.metrics, self.runtime
        )
        own_peer = self._create_own_peer()
        self.router = self._create_router(store, own_peer, adapter.codec)
        self.paths.add_listener(self._handle_paths_change)
        set_weights_limits(self.router, options.bounds)
        self.holdings = capacities.create_holdings(
            options.capacity, self.connections.response_budget
        )
        self.listener = call_listener.CallListener(
            self.router, adapter.codec, self.metrics, self.holdings
        )
        self.relay_service = relay_service.RelayService(
            self.router,
            self.paths,
            self.connections,
            self.holdings.budget.bytes // relay_service.RELAYED_CALL_BYTES,
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
        self.cache_store_watch = cache_store_watches.CacheStoreWatch(
            self.router,
            adapter.engines,
            lambda domain: self.peers.is_region_leader(domain),
        )
        self.peers = call_peers.CallPeers(
            own_peer,
            self.router,
            self.rollout,
            store,
            confirmations.Confirmer(
                self.desired_watch.progress,
                self.targets_watch.progress,
                read_boot_clock,
            ),
            self.relay_service,
        )
        self.follower = confirmations.Follower(
            self.desired_watch,
            self.targets_watch,
            self.peers,
            read_boot_clock,
            self.runtime.sleep,
            lambda address, reason: self.sink.emit(
                events.Event.LEADER_NOT_CONFIRMING,
                leader=address,
                reason=reason,
            ),
            lambda: self.router.notices.drain_seconds,
        )
        self.stream_recorder = stream_records.StreamRecorder(
            options.host.name,
            self.router.stream_origins,
            self.router.software,
            self.runtime,
            self.router.random,
            self.sink,
            store,
            lambda: self.peers.find_leader_address() is None,
        )
        self._ports: list[typing.Any] = []

    def _create_router(
        self, store: ports.Platform, own: membership.Peer, codec: Codec
    ) -> routers.CallRouter:
        options = self.settings
        random = self._random
        desired = known_versions.DesiredStateCache(self.sink)
        targets = catalog.TargetCatalog(self.sink)
        crashing_requests = quarantine.Quarantine(
            self.runtime, CRASHES_TO_QUARANTINE
        )
        crashing_parts = crash_evidence.CrashEvidence(
            self.sink, CRASHES_TO_QUARANTINE
        )
        return routers.CallRouter(
            runtime=self.runtime,
            read_boot_clock=read_boot_clock,
            random=random,
            sink=self.sink,
            connections=routed_connections.RoutedConnections(
                self.connections,
                self.paths,
                self._create_relay_client(own, codec),
                self.runtime,
            ),
            response_budget=self.connections.response_budget,
            is_cut_off=self.paths.is_lost,
            topology=links.Topology(
                domain=options.host.domain, regions=options.regions
            ),
            desired=desired,
            weights=known_versions.WeightsTracker(self.runtime),
            freshness=freshness.Freshness(
                options.bounds.revocation_ms / MS_PER_SECOND
            ),
            catalog=targets,
            loads=loads.LoadTracker(),
            budget=budgets.RetryBudgetShare(
                options.retries, lambda: self.peers.count_hosts()
            ),
            health=health.HealthTracker(self.runtime, self.sink),
            quarantine=crashing_requests,
            crash_evidence=crashing_parts,
            crash_records=crash_records.CrashRecords(
                crashing_requests,
                crashing_parts,
                self.runtime,
                random,
                self.sink,
                store,
            ),
            notices=notices.TargetNotices(
                self.sink, options.bounds.drain_ms / MS_PER_SECOND
            ),
            stream_origins=stream_origins.StreamOrigins(),
            software=software_versions.SoftwareVersions(
                targets,
                desired,
                self.runtime,
                random,
                self.sink,
                store,
                is_retirer=lambda: self.peers.find_leader_address() is None,
                count_hosts=lambda: self.peers.count_hosts(),
            ),
            rate_limits=rate_limits.RateLimits(self.sink),
            brittleness=brittleness.BrittleTargets(self.sink, random),
            permits=rate_permits.PermitClient(
                options.host.name,
                self.runtime,
                lambda request: self.peers.permits.request(request),
            ),
            quotas=quotas.QuotaClient(
                options.host.name,
                self.runtime,
                read_boot_clock,
                random,
                self.sink,
                lambda request: self.peers.quotas.request(request),
                lambda: self.peers.count_known_hosts(),
                options.quotas,
                self.metrics.count_quota_question,
            ),
        )

    def _create_relay_client(
        self, own: membership.Peer, codec: Codec
    ) -> relay_client.RelayClient:
        return relay_client.RelayClient(
            own,
            lambda: self.peers.relay_peers,
            self.runtime,
            self.sink,
            codec,
            lambda: self.peers.get_relay_link(),
            lambda call: (
                not call.account
                or self.router.freshness.can_verify_keys(read_boot_clock())
            ),
            self.connections.response_budget,
        )

    def _handle_paths_change(self) -> None:
        """Forget what calls have shown of targets that were out of reach."""
        self.router.health.forget_failures()
        if self.paths.is_lost():
            self.router.loads.finish_prefills()
        self.peers.send_status()

    def _create_lease(self) -> leases.Lease:
        return leases.Lease(
            holder=self.settings.host.name,
            min_handover_seconds=self.settings.bounds.lease_ms / MS_PER_SECOND,
            read_boot_clock=read_boot_clock,
        )

    def _create_own_peer(self) -> membership.Peer:
        host = self.settings.host
        token = self._random.token()
        return membership.Peer(
            name=host.name,
            incarnation=f'{host.name}:{token}',
            domain=host.domain,
            address=host.peer_address,
        )

    def __enter__(self) -> 'CallProcess':
        """Open the ports and start the background tasks."""
        host = self.settings.host
        self.sink.emit(
            events.Event.PROCESS_STARTED,
            domain=host.domain,
            address=host.listen_address,
        )
        self.runtime.__enter__()
        self.connections.on_opened = self.router.target_doubts.record_opened
        self.connections.on_broken = self.router.target_doubts.record_broken
        self.router.catalog.add_listener(self._forget_target)
        self.router.weights.add_listener(self.router.cache_models.forget)
        readiness_site = bounded_requests.create_small_site(
            ReadinessResource(self), self.holdings
        )
        admin_site = bounded_requests.create_small_site(
            AdminResource(self), self.holdings
        )
        self._listen(self.listener.create_site(), host.listen_address)
        self._listen(readiness_site, host.ready_address)
        self._listen(admin_site, host.admin_address)
        self._start_loops()
        self.peers.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the tasks and close all connections."""
        self.peers.__exit__()
        self.runtime.__exit__()
        self.connections.__exit__()

    def _start_loops(self) -> None:
        start = self.runtime.start_loop
        start('desired state', self.desired_watch.run, is_essential=True)
        start('targets', self.targets_watch.run, is_essential=True)
        start('leader', self.follower.run, is_essential=True)
        start('software versions', self.router.software.run, is_essential=True)
        start('crash records', self.router.crash_records.run)
        start('streams', self.stream_recorder.run)
        start('rollout', self._run_rollout)
        start('log', self._flush_logs)
        start('cache stores', self.cache_store_watch.run)
        start('paths', self.paths.run)

    async def _run_rollout(self) -> None:
        """Run the rollout once peers are known, by which standbys differ."""
        await asyncio.sleep(ROLLOUT_DELAY_SECONDS)
        await self.rollout.run()

    async def _flush_logs(self) -> None:
        """Flush buffered log lines; report lost ones and the activity."""
        while True:
            timer_delay_seconds = 0.0
            for _ in range(FLUSHES_PER_LOG_REPORT):
                wake_at = self.runtime.now() + LOG_FLUSH_SECONDS
                await asyncio.sleep(LOG_FLUSH_SECONDS)
                timer_delay_seconds = max(
                    timer_delay_seconds, self.runtime.now() - wake_at
                )
                self._writer.flush()
            self.sink.report_lost_lines(self._writer.take_dropped())
            self._report_activity(timer_delay_seconds)

    def _report_activity(self, timer_delay_seconds: float) -> None:
        """Log what shows that this host is short of processor time or link."""
        traffic = self.peers.take_traffic()
        self.sink.emit(
            events.Event.HOST_ACTIVITY,
            timer_delay=round(timer_delay_seconds, 3),
            peer_messages=traffic.sent,
            peer_bytes=traffic.sent_bytes,
            peer_messages_dropped=traffic.dropped,
            peer_bytes_largest=dict(
                self.peers.take_bytes_by_kind().most_common(MAX_LOGGED_KINDS)
            ),
        )

    def _listen(self, site: typing.Any, address: str) -> None:
        site.displayTracebacks = False
        self._ports.append(sockets.listen(site, address))

    def _forget_target(self, target: catalog.LiveTarget) -> None:
        """Discard the state of a target's incarnation that has ended."""
        self.router.weights.forget(target)
        self.router.cache_models.forget(target.name)
        self.router.slowdown_tracker.forget(target.name)
        self.router.failure_tracker.forget(target.name)
        self.connections.close_idle(target.address)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new callers to this host.

        The first time that its configuration is fresh enough, the lifecycle
        advances to `ready`.
        """
        now = read_boot_clock()
        is_fresh = (
            self.router.catalog.has_synced()
            and self.router.software.has_synced()
            and self.router.crash_records.has_synced()
            and self.router.freshness.can_be_ready(now)
            and not self.runtime.loops.is_essential_failing()
        )
        if is_fresh and self.lifecycle.get_state() == 'starting':
            self.lifecycle.become_ready()
        return is_fresh and self.lifecycle.get_state() == 'ready'

    def reload(self) -> None:
        """Read the settings file again; apply bounds, retry budget and quotas.

        All other settings take effect only after a restart. A file with errors
        is rejected as a whole.
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
        self.router.freshness.bound_seconds = (
            bounds.revocation_ms / MS_PER_SECOND
        )
        set_weights_limits(self.router, bounds)
        self.router.notices.drain_seconds = bounds.drain_ms / MS_PER_SECOND
        self.router.budget.terms = self.settings.retries
        self.router.quotas.terms = self.settings.quotas
        self.rollout.lease.min_handover_seconds = (
            bounds.lease_ms / MS_PER_SECOND
        )
        self.sink.emit(
            events.Event.PROCESS_RELOADED, bounds=attrs.asdict(bounds)
        )

    def shut_down(self) -> defer.Deferred[None]:
        """Start a graceful shutdown; the Deferred fires when it has ended."""
        task = asyncio.ensure_future(self._drain())
        return defer.Deferred.fromFuture(task)

    async def _drain(self) -> None:
        """Serve until the load balancer has reacted and all calls have ended.

        A call has ended when its caller's side has accepted the whole
        response. Those still in progress at the shutdown limit are aborted.
        """
        self.lifecycle.drain()
        self.listener.is_draining = True
        self.relay_service.is_refusing = True
        seconds = self.settings.bounds.shutdown_seconds - EXIT_RESERVE_SECONDS
        try:
            async with asyncio.timeout(seconds):
                await asyncio.sleep(BALANCER_REACTION_SECONDS)
                self.listener.is_refusing_calls = True
                while (
                    self.listener.active_requests
                    or self.relay_service.active
                    or self.listener.count_unsent_bytes()
                ):
                    await asyncio.sleep(DRAIN_CHECK_SECONDS)
                await self.peers.leave()
        except TimeoutError:
            self.sink.emit(
                events.Event.INTERNAL_ERROR,
                error='shutdown limit reached while draining; stopping now',
                active=self.listener.active_requests,
                unsent_bytes=self.listener.count_unsent_bytes(),
            )
        self.lifecycle.stop()


def set_weights_limits(
    router: routers.CallRouter, bounds: call_settings.Bounds
) -> None:
    """Set for how long outdated weights stay in use."""
    router.max_weights_lag_seconds = get_max_weights_lag_seconds(bounds)
    bound_seconds = bounds.weights_ms / MS_PER_SECOND
    router.max_begin_lag_seconds = bound_seconds * (1 - BEGIN_MARGIN_FRACTION)
    router.max_run_lag_seconds = bound_seconds * (1 - RUN_MARGIN_FRACTION)


def get_max_weights_lag_seconds(bounds: call_settings.Bounds) -> float:
    """Return for how long engines with outdated weights still get calls."""
    bound_seconds = bounds.weights_ms / MS_PER_SECOND
    return bound_seconds * (1 - WEIGHTS_MARGIN_FRACTION)
