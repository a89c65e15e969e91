"""Hosts agree with the store whatever the order of what they learn.

A model store with random writes, removals, malformed entries and restored
copies; hosts that read parts of its history and tell each other of departures,
late and repeatedly.

More examples: `EXAMPLES=5000 scripts/tests catalog_model`.
"""

from collections import abc
import os
import random

import attrs
import hypothesis
from hypothesis import strategies

from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import store_versions
from tests import call_fakes
from tests import support

EXAMPLES = int(os.environ.get('EXAMPLES', '150'))
HOSTS = 3
TARGETS = 3
MAX_STEPS = 60
HISTORY = 12
"""Changes that the store keeps for reads of the changes only."""
STEP_SECONDS = (0.0, 0.1, 0.3, 1.0, 4.0)
SETTLE_SECONDS = catalog.REREGISTRATION_GRACE_SECONDS + 0.5
FORMER_BUILD_SHARE = 0.2
"""Departures that are told without a version, as by a host of that build."""


@attrs.define
class Server:
    """Target that writes its own entry; it is gone while it is not `is_up`."""

    number: int
    born_ms: int = 1
    heartbeats: int = 0
    is_up: bool = True
    is_ready: bool = True
    written_era: int = 0

    def has_written(self, entry: catalog.TargetEntry) -> bool:
        """Return whether an entry is that of the last write."""
        return (
            entry.target is not None
            and entry.target.born_ms == self.born_ms
            and entry.target.heartbeats == self.heartbeats
            and entry.version.era == self.written_era
        )

    def write(self, era: int) -> catalog.LiveTarget:
        """Return the next entry."""
        self.heartbeats += 1
        self.written_era = era
        return call_fakes.create_target(
            self.number,
            born_ms=self.born_ms,
            heartbeats=self.heartbeats,
            is_ready=self.is_ready,
        )


@attrs.define
class Store:
    """History of the entries; it can be restored from an older copy."""

    history: list[catalog.TargetEntry] = attrs.field(factory=list)
    era: int = 0
    number: int = 0
    copy: tuple[int, tuple[catalog.TargetEntry, ...]] = (0, ())

    def get_version(self) -> store_versions.StoreVersion:
        """Return the newest version."""
        return store_versions.StoreVersion(self.era, self.number)

    def write(self, name: str, target: catalog.LiveTarget | None) -> None:
        """Write an entry, None to remove it or to leave a malformed one."""
        self.number += 1
        self.history.append(
            catalog.TargetEntry(
                name=name, version=self.get_version(), target=target
            )
        )

    def save_copy(self) -> None:
        """Keep a copy of all entries."""
        self.copy = (self.number, tuple(self.history))

    def restore(self) -> None:
        """Come back from the copy, in the next era."""
        self.era += 1
        self.number = self.copy[0]
        self.history = [
            attrs.evolve(
                entry, version=attrs.evolve(entry.version, era=self.era)
            )
            for entry in self.copy[1]
        ]

    def list_newest(self) -> dict[str, catalog.TargetEntry]:
        """Return the newest entry of each target."""
        return {entry.name: entry for entry in self.history}

    def read(
        self, after: store_versions.StoreVersion | None
    ) -> catalog.TargetChange:
        """Return the changes after a version, or all entries."""
        oldest = self.number - HISTORY
        is_complete = (
            after is None or after.era != self.era or after.number < oldest
        )
        if is_complete or after is None:
            entries = tuple(
                entry
                for entry in self.list_newest().values()
                if entry.target is not None
            )
        else:
            entries = tuple(e for e in self.history if e.version > after)
        return catalog.TargetChange(
            entries=entries,
            version=self.get_version(),
            is_complete=is_complete,
        )


@attrs.define
class Host:
    """Host with a catalog, and what peers have told it but not yet arrived."""

    targets: catalog.TargetCatalog = attrs.field(
        factory=lambda: catalog.TargetCatalog(call_fakes.Sink())
    )
    cursor: store_versions.StoreVersion | None = None
    inbox: list[catalog.Departure] = attrs.field(factory=list)
    departed: set[catalog.Incarnation] = attrs.field(factory=set)

    def read(
        self, store: Store, now: float, left: set[catalog.Incarnation]
    ) -> None:
        """Read the store as `watches.TargetsWatch` does.

        `left` are the incarnations that have ended. The host uses none that it
        has dropped.
        """
        change = store.read(self.cursor)
        if self.cursor is not None and change.version.era > self.cursor.era:
            self.targets.record_outage_end(now)
        self.targets.apply(change, now)
        self.targets.record_confirmation(now, now)
        self.cursor = change.version
        self.departed |= left - set(self.list_available())

    def list_available(self) -> list[catalog.Incarnation]:
        """Return the incarnations that get calls."""
        return sorted(
            target.get_incarnation()
            for target in self.targets.list_all()
            if self.targets.is_available(target)
        )


class Model:
    """Fleet, store and servers that a random sequence of steps drives."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.store = Store()
        self.servers = [Server(number) for number in range(TARGETS)]
        self.hosts = [Host() for _ in range(HOSTS)]
        self.told: list[catalog.Departure] = []
        self.left: set[catalog.Incarnation] = set()
        for server in self.servers:
            self.store.write(
                f'plain-{server.number}', server.write(self.store.era)
            )
        self.store.save_copy()
        for host in self.hosts:
            host.read(self.store, self.now, self.left)

    def run(self, steps: abc.Sequence[str]) -> None:
        """Take the steps, checking after each what departed targets get."""
        for step in steps:
            self.now += self.random.choice(STEP_SECONDS)
            server = self.random.choice(self.servers)
            getattr(self, f'_{step}')(
                self.random.choice(self.hosts),
                server,
                f'plain-{server.number}',
            )
            self._check_departed()

    def _read(self, host: Host, server: Server, name: str) -> None:
        host.read(self.store, self.now, self.left)

    def _heartbeat(self, host: Host, server: Server, name: str) -> None:
        if server.is_up:
            self.store.write(name, server.write(self.store.era))

    def _lapse(self, host: Host, server: Server, name: str) -> None:
        self.store.write(name, None)

    def _drain(self, host: Host, server: Server, name: str) -> None:
        server.is_ready = False
        self._heartbeat(host, server, name)

    def _stop(self, host: Host, server: Server, name: str) -> None:
        server.is_up = False
        self.left.add((name, server.born_ms))
        self.store.write(name, None)

    def _restart(self, host: Host, server: Server, name: str) -> None:
        self.left.add((name, server.born_ms))
        server.born_ms += 1
        server.heartbeats = 0
        server.is_up = server.is_ready = True
        self.store.write(name, server.write(self.store.era))

    def _copy(self, host: Host, server: Server, name: str) -> None:
        self.store.save_copy()

    def _restore(self, host: Host, server: Server, name: str) -> None:
        self.store.restore()

    def _tell(self, host: Host, server: Server, name: str) -> None:
        """Send what a host reports to its peers, at times not at once."""
        for departure in host.targets.list_recent_departures(self.now):
            if self.random.random() < FORMER_BUILD_SHARE:
                departure = catalog.Departure(departure.incarnation)
            self.told.append(departure)
            for peer in self.hosts:
                if peer is not host:
                    peer.inbox.append(departure)

    def _receive(self, host: Host, server: Server, name: str) -> None:
        for departure in host.inbox:
            host.targets.record_departure(departure, self.now)
        host.inbox.clear()

    def _repeat(self, host: Host, server: Server, name: str) -> None:
        """Let a host hear again what was told at any time before."""
        if self.told:
            departure = self.random.choice(self.told)
            host.targets.record_departure(departure, self.now)

    def _check_departed(self) -> None:
        """Check that no host uses an incarnation that it has seen leave."""
        for host in self.hosts:
            assert not host.departed & set(host.list_available())

    def settle(self) -> None:
        """Let the store be right, the hosts read it, and all words arrive.

        Entries that are right already are not written again. What hosts of
        a former build say is void after one more read.
        """
        newest = self.store.list_newest()
        for server in self.servers:
            name = f'plain-{server.number}'
            entry = newest.get(name)
            if server.is_up:
                if entry is None or not server.has_written(entry):
                    self.store.write(name, server.write(self.store.era))
            elif entry is not None and entry.target is not None:
                self.store.write(name, None)
        for _ in range(2):
            for host in self.hosts:
                self._tell(host, self.servers[0], '')
                host.read(self.store, self.now, self.left)
                self._receive(host, self.servers[0], '')
            self.now += SETTLE_SECONDS
        for host in self.hosts:
            host.read(self.store, self.now, self.left)
            for departure in self.told:
                if departure.version is not None:
                    host.targets.record_departure(departure, self.now)

    def list_expected(self) -> list[catalog.Incarnation]:
        """Return the incarnations whose newest entry is ready."""
        return sorted(
            entry.target.get_incarnation()
            for entry in self.store.list_newest().values()
            if entry.target is not None and entry.target.is_ready
        )


STEPS = (
    ('read', 'tell', 'receive', 'repeat') * 2
    + ('heartbeat', 'lapse', 'drain', 'stop', 'restart')
    + ('copy', 'restore')
)


@hypothesis.settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    steps=strategies.lists(strategies.sampled_from(STEPS), max_size=MAX_STEPS),
    seed=strategies.integers(0, 2**32),
)
def check_steps(steps: list[str], seed: int) -> None:
    """Check that all hosts end with what the newest entries say."""
    model = Model(seed)
    model.run(steps)
    model.settle()
    for host in model.hosts:
        assert host.list_available() == model.list_expected()


def test_hosts_end_with_the_newest_entries(case: support.Case) -> None:
    """Targets were lost for good, or used for good, by the order of words."""
    check_steps()


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
