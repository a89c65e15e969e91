"""Fleets of simulated hosts that follow the entries of targets in a store."""

import asyncio
from collections import abc
import random
import typing

import attrs
from returns import result

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import confirmations
from pistachioseam.forwarding import contacts
from pistachioseam.forwarding import placement
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import watches
from pistachioseam import links
from pistachioseam import membership
from pistachioseam_entry import runtime
from tests import call_fakes
from tests import fleets

CALL_SECONDS = 0.01
SAMPLE_SECONDS = 0.02
HEARTBEAT_SECONDS = 1.2
CLOCK_OFFSET_SECONDS = 5000.0
"""Time of the store's clock when that of the hosts is 0."""
REFUSED: result.Result[typing.Any, ports.StoreFailure] = result.Failure(
    ports.StoreFailure(detail='HTTP status 503')
)


@attrs.define
class EntryStore:
    """Store with a document and the entries of targets.

    `rows` holds each target's entry, None once it is removed, with the version
    of its last write, `weights` the weights version of each model in the same
    way. `refused` holds the names of hosts whose calls fail, `delays` the
    seconds that the calls of a host take.
    """

    version: int = 1
    rows: dict[str, tuple[int, catalog.LiveTarget | None]] = attrs.field(
        factory=dict
    )
    weights: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    delays: dict[str, float] = attrs.field(factory=dict)
    reads: int = 0

    def write(self, entry: catalog.LiveTarget) -> None:
        """Write an entry, with a further heartbeat."""
        self.version += 1
        _, known = self.rows.get(entry.name, (0, None))
        heartbeats = 1 + (known.heartbeats if known else 0)
        entry = attrs.evolve(entry, heartbeats=heartbeats)
        self.rows[entry.name] = (self.version, entry)

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self.version += 1
        self.rows[name] = (self.version, None)

    def name_weights(self, model: str, weights_version: int) -> None:
        """Write the weights version that engines are to load."""
        self.version += 1
        self.weights[model] = (self.version, weights_version)

    def list_named(self, after: int) -> dict[str, int]:
        """Return the weights versions that were named after a version."""
        return {
            model: weights_version
            for model, (version, weights_version) in self.weights.items()
            if version > after
        }

    def list_naming_rows(self) -> dict[str, store_versions.StoreVersion]:
        """Return the versions of the rows that name weights."""
        return {
            model: store_versions.StoreVersion(0, version)
            for model, (version, _) in self.weights.items()
        }

    def read_clock(self) -> float:
        """Return the store's own clock, in whole milliseconds."""
        now = asyncio.get_running_loop().time() + CLOCK_OFFSET_SECONDS
        return int(now * 1000) / 1000

    async def run_heartbeats(self) -> None:
        """Write the entries that are left again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for _, entry in list(self.rows.values()):
                if entry is not None:
                    self.write(entry)


class EntryClient:
    """One host's connection to the store."""

    def __init__(self, store: EntryStore, host: str) -> None:
        self._store = store
        self._host = host

    async def _call(self) -> bool:
        """Return whether a call succeeds, after the time that it takes."""
        self._store.reads += 1
        await asyncio.sleep(self._store.delays.get(self._host, CALL_SECONDS))
        return self._host not in self._store.refused

    async def read_desired(
        self, after: store_versions.StoreVersion | None, wait_seconds: float
    ) -> result.Result[ports.DesiredChange, ports.StoreFailure]:
        """Return the document at the first read, weights at the others."""
        if not await self._call():
            return REFUSED
        known = -1 if after is None else after.number
        end = asyncio.get_running_loop().time() + wait_seconds
        while (
            after is not None
            and not self._store.list_named(known)
            and asyncio.get_running_loop().time() < end
        ):
            await asyncio.sleep(SAMPLE_SECONDS)
        state = call_fakes.create_state() if after is None else None
        return result.Success(
            ports.DesiredChange(
                state=state,
                weights=self._store.list_named(known),
                cursor=self._get_cursor(),
                weights_rows=self._store.list_naming_rows(),
                store_seconds=self._store.read_clock(),
            )
        )

    async def read_targets(
        self, after: store_versions.StoreVersion | None
    ) -> result.Result[ports.TargetsRead, ports.StoreFailure]:
        """Return the entries that have changed after a version, or all."""
        if not await self._call():
            return REFUSED
        entries = tuple(
            catalog.TargetEntry(
                name=name,
                version=store_versions.StoreVersion(0, version),
                target=entry,
            )
            for name, (version, entry) in self._store.rows.items()
            if after is None or version > after.number
        )
        change = catalog.TargetChange(
            entries=entries,
            version=self._get_cursor(),
            is_complete=after is None,
        )
        return result.Success(
            ports.TargetsRead(
                change=change,
                cursor=self._get_cursor(),
                store_seconds=self._store.read_clock(),
            )
        )

    def _get_cursor(self) -> store_versions.StoreVersion:
        return store_versions.StoreVersion(0, self._store.version)


class WatchingHost(fleets.Host):
    """Host that reads the store or follows the hosts that do."""

    def __init__(
        self,
        own: membership.Peer,
        network: fleets.Network,
        store: EntryStore,
        regions: tuple[links.Region, ...],
    ) -> None:
        fixture = call_fakes.RouterFixture(domain=own.domain)
        super().__init__(own, network, fixture)
        router = self.router
        router.topology = links.Topology(domain=own.domain, regions=regions)
        router.freshness.confirmed_at = None
        platform = typing.cast(ports.Platform, EntryClient(store, own.name))
        desired_watch = watches.DesiredWatch(router, platform)
        targets_watch = watches.TargetsWatch(router, platform)
        clock = router.read_boot_clock
        self.peers._confirmer = confirmations.Confirmer(
            desired_watch.progress, targets_watch.progress, clock
        )
        follower = confirmations.Follower(
            desired_watch,
            targets_watch,
            self.peers,
            clock,
            router.runtime.sleep,
            get_drain_seconds=lambda: router.notices.drain_seconds,
        )
        self.start_updates()
        for work in (desired_watch, targets_watch, follower):
            fixture.runtime.start(work.run())

    def stop(self) -> None:
        """Take the host off the network and end its tasks."""
        super().stop()
        self.fixture.runtime.__exit__()

    def get_lag_seconds(self, model: str, version: int) -> float:
        """Return for how long this host takes weights for replaced."""
        now = self.router.runtime.now()
        return self.router.desired.get_lag_seconds(model, version, now)

    def may_send_to(self, name: str) -> bool:
        """Return whether a call may be placed on a target."""
        call = self.fixture.create_call('/safe/')
        state = self.router.desired.state
        assert state is not None
        call.service = state.find_service(call_fakes.PLAIN_SERVICE)
        eligible = placement.list_eligible(call, self.router)
        return name in [target.name for target in eligible]


class WatchingFleet:
    """Hosts that follow the entries of targets in one store."""

    def __init__(self, hosts: int, domains: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.network = fleets.Network()
        self.store = EntryStore()
        self._runtime = runtime.AsyncioRuntime(call_fakes.Sink())
        self.targets = [call_fakes.create_target(n) for n in range(4)]
        for target in self.targets:
            self.store.write(target)
        names = [f'd{number}' for number in range(domains)]
        half = (domains + 1) // 2
        self.regions = (
            links.Region(name='r1', domains=tuple(names[:half])),
            links.Region(name='r2', domains=tuple(names[half:])),
        )
        self.peers = fleets.create_peers(hosts, names)
        self.hosts = [self._start_host(peer) for peer in self.peers]

    def _start_host(self, peer: membership.Peer) -> WatchingHost:
        host = WatchingHost(peer, self.network, self.store, self.regions)
        host.peers.members.add_discovered(self.peers)
        host.peers._has_host_list = True
        host.router.runtime.start(host.run(float('inf')))
        return host

    def start(self, work: abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine in the background."""
        self._runtime.start(work)

    async def settle(self, seconds: float = 6.0) -> None:
        """Let the hosts find their leaders."""
        self.start(self.store.run_heartbeats())
        await asyncio.sleep(seconds + self.random.random())

    def find_region_leader(self, region: int) -> str:
        """Return the name of the host that reads the store for a region."""
        domains = self.regions[region].domains
        members = [peer for peer in self.peers if peer.domain in domains]
        ranked = contacts.rank_peers(
            members, self.hosts[0].router.rendezvous_hash
        )
        return ranked[0].name

    async def restart(self, number: int, seconds: float = 0.5) -> None:
        """Stop a host; start its next incarnation after some seconds."""
        self.hosts[number].stop()
        await asyncio.sleep(seconds)
        name, _, count = self.peers[number].incarnation.partition(':')
        self.peers[number] = attrs.evolve(
            self.peers[number], incarnation=f'{name}:{int(count) + 1}'
        )
        self.hosts[number] = self._start_host(self.peers[number])

    async def measure(self, target: str, seconds: float) -> dict[str, float]:
        """Return for how long each host still places calls on a target."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        last: dict[str, float] = {}
        while loop.time() - started_at < seconds:
            for host in self._list_up():
                if host.may_send_to(target):
                    last[host.own.name] = loop.time() - started_at
            await asyncio.sleep(SAMPLE_SECONDS)
        return last

    def _list_up(self) -> abc.Iterator[WatchingHost]:
        return (host for host in self.hosts if host.is_up())
