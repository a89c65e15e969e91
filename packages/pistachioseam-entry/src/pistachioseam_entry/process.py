"""Entry host process: its components, polling and graceful shutdown."""

import asyncio
import typing

from returns import pipeline
from twisted.internet import defer

from pistachioseam import acceptance
from pistachioseam import claims
from pistachioseam import events
from pistachioseam import health
from pistachioseam import interfaces
from pistachioseam import journal
from pistachioseam import leaving
from pistachioseam import limits
from pistachioseam import links
from pistachioseam import membership
from pistachioseam.placement import placer
from pistachioseam import quarantine
from pistachioseam import response_budgets
from pistachioseam import retries
from pistachioseam import router as routers
from pistachioseam import snapshots
from pistachioseam_entry import admin
from pistachioseam_entry import capacities
from pistachioseam_entry import lifecycle
from pistachioseam_entry import listener
from pistachioseam_entry import logs
from pistachioseam_entry import metrics
from pistachioseam_entry import peers
from pistachioseam_entry import platform
from pistachioseam_entry import runtime
from pistachioseam_entry import settings
from pistachioseam_entry import sockets
from pistachioseam_entry import targets

STARTUP_POLL_SECONDS = 0.1
"""Polling interval until the first configuration is in force."""
DRAIN_CHECK_SECONDS = 0.05
NON_POLLER_INTERVAL_FACTOR = 10
"""Factor by which hosts that are not pollers lengthen the polling interval;
they get configurations by gossip."""


class UnreachableHolders:
    """Claim holder client of a host without peers: no holder is reachable."""

    async def query_holder(
        self, holder: str, key: interfaces.RowKey, token: str
    ) -> claims.HolderReport:
        """Return UNREACHABLE for every holder."""
        return claims.HolderReport.UNREACHABLE


class Process:
    """One entry host; a context manager that owns its ports and tasks.

    The router holds the request state, the platform client reads the tables.
    `peers` is None if the settings have no section `peers`.
    """

    def __init__(self, options: settings.Settings) -> None:
        self.settings = options
        self.metrics = metrics.Metrics()
        self.sink = logs.LogSink(options.host.name, self.metrics)
        self.runtime = runtime.AsyncioRuntime(self.sink)
        self.lifecycle = lifecycle.create_lifecycle(self.sink)
        self.platform = platform.PlatformClient(options.platform)
        random = runtime.SystemRandom()
        self._incarnation = f'{options.host.name}:{random.token()}'
        self.peers = self._create_peers()
        self.responses = response_budgets.ResponseBudget()
        self.holdings = capacities.create_holdings(
            options.capacity, self.responses
        )
        self.router = self._create_router(random)
        self.listener = listener.Listener(
            self.router, self.metrics, options.requests, self.holdings
        )
        self._site = self.listener.create_site()
        self._admin = admin.Admin(self)
        self._ports: list[typing.Any] = []

    def _create_peers(self) -> peers.PeerNetwork | None:
        options = self.settings
        if options.peers is None:
            return None
        own = membership.Peer(
            name=options.host.name,
            incarnation=self._incarnation,
            domain=options.host.domain,
            address=options.peers.listen_address,
        )
        return peers.PeerNetwork(own, options.peers, self.runtime, self.sink)

    def _create_router(self, random: runtime.SystemRandom) -> routers.Router:
        options = self.settings
        topology = links.Topology(
            domain=options.host.domain, regions=options.regions
        )
        claim_manager = claims.ClaimManager(
            store=self.platform,
            runtime=self.runtime,
            random=random,
            sink=self.sink,
            holder_client=self.peers or UnreachableHolders(),
            holder=self._incarnation,
        )
        return routers.Router(
            runtime=self.runtime,
            random=random,
            sink=self.sink,
            client=targets.HttpTargetClient(options.requests, self.responses),
            callers=options.callers,
            topology=topology,
            acceptor=acceptance.Acceptor(self.platform, self.sink, self.peers),
            claims=claim_manager,
            placer=placer.Placer(options.placement, random),
            limits=limits.AccountLimits(options.limits),
            link_budget=links.LinkBudget(
                bytes_per_second=options.link.bytes_per_second,
                burst_bytes=options.link.burst_bytes,
            ),
            health=health.HealthTracker(self.runtime, self.sink),
            quarantine=quarantine.Quarantine(self.runtime),
            leaving=leaving.LeavingTargets(),
            retry_budget=retries.RetryBudget(),
            journal=journal.Journal(),
        )

    def __enter__(self) -> 'Process':
        """Open the ports and start polling."""
        host = self.settings.host
        self.sink.emit(events.Event.PROCESS_STARTED, domain=host.domain)
        self.runtime.__enter__()
        self._listen(self._admin.create_site(), host.admin_address)
        self._listen(self._site, host.listen_address)
        self.router.acceptor.add_listener(self._become_ready)
        self.runtime.start_loop('configuration', self._poll_configuration)
        self.runtime.start_loop('host list', self._poll_hosts)
        return self

    def __exit__(self, *_: object) -> None:
        """Close the peer connections and cancel the background tasks."""
        if self.peers is not None:
            self.peers.__exit__()
        self.runtime.__exit__()

    def _listen(self, site: typing.Any, address: str) -> None:
        self._ports.append(sockets.listen(site, address))

    async def _poll_configuration(self) -> None:
        """Fetch state from the peers, then poll the tables for new edits."""
        if self.peers is not None and not self.peers.is_listening:
            await self.peers.start(self.router)
        while True:
            await self.router.acceptor.refresh()
            await asyncio.sleep(self._get_poll_delay())

    def _get_poll_delay(self) -> float:
        """Return the seconds to the next poll; only pollers poll often."""
        if self.router.acceptor.snapshot.number == 0:
            return STARTUP_POLL_SECONDS
        seconds = self.settings.platform.poll_seconds
        if self.peers is not None and not self.peers.members.is_poller():
            return seconds * NON_POLLER_INTERVAL_FACTOR
        return seconds

    def _become_ready(self, _: snapshots.Snapshot) -> None:
        self.lifecycle.become_ready()

    async def _poll_hosts(self) -> None:
        """Poll the platform's host list for leaving targets."""
        while True:
            listed = await self.platform.list_hosts()
            if pipeline.is_successful(listed):
                hosts = listed.unwrap()
                self.router.leaving.replace_list(
                    leaving.LOCAL_SOURCE,
                    [host.address for host in hosts if host.is_leaving],
                    self.runtime.now(),
                )
            await asyncio.sleep(self._get_poll_delay())

    def update_state_gauges(self) -> None:
        """Set the gauges of `pistachioseam_state` to the current sizes."""
        router = self.router
        self.metrics.set_state(
            'active_requests', self.listener.active_requests
        )
        self.metrics.set_state('held_claims', router.claims.count_held())
        self.metrics.set_state(
            'unsettled_claims', router.claims.count_unsettled()
        )
        self.metrics.set_state(
            'tracked_prefixes', router.placer.prefix_index.count_prefixes()
        )
        self.metrics.set_state('journal_entries', router.journal.count())
        self.metrics.set_state(
            'caller_held_bytes', self.holdings.count_bytes()
        )
        self.metrics.set_state(
            'caller_budget_bytes', self.holdings.budget.bytes
        )
        self.metrics.set_state(
            'caller_connections', self.holdings.count_connections()
        )
        self.metrics.set_state(
            'response_buffer_bytes', self.responses.held_bytes
        )
        self.metrics.set_state(
            'configuration_number', router.acceptor.snapshot.number
        )

    def describe_peers(self) -> dict[str, typing.Any]:
        """Return the state of the peers for the dump; empty without peers."""
        if self.peers is None:
            return {}
        return self.peers.describe()

    def shut_down(self) -> defer.Deferred[None]:
        """Start a graceful shutdown; the Deferred fires when it has ended."""
        task = asyncio.ensure_future(self._drain())
        return defer.Deferred.fromFuture(task)

    async def _stop_listening(self) -> None:
        """Close the port for callers; open connections stay open."""
        stopped = self._ports[1].stopListening()
        if stopped is not None:
            await stopped.asFuture(asyncio.get_running_loop())

    async def _drain(self) -> None:
        """Stop accepting, finish requests and claims, up to the time limit.

        New connections are accepted during the notice, until the load
        balancer has seen that the host is not ready.
        """
        self.lifecycle.drain()
        self.listener.is_draining = True
        shutdown = self.settings.shutdown
        try:
            async with asyncio.timeout(shutdown.limit_seconds):
                await asyncio.sleep(shutdown.notice_seconds)
                await self._stop_listening()
                while (
                    self.listener.active_requests
                    or self._site.count_unsent_bytes()
                ):
                    await asyncio.sleep(DRAIN_CHECK_SECONDS)
                await self.router.claims.drain()
        except TimeoutError:
            self.sink.emit(
                events.Event.INTERNAL_ERROR,
                error='shutdown limit reached while draining; stopping now',
            )
        self.lifecycle.stop()
