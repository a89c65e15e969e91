"""Hosts follow the rows of the targets' entries, whatever their reads hold."""

import asyncio
import json
import typing

import attrs
from returns import result

from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import watches
from pistachioseam_entry import status_messages
from pistachioseam_platform import rows
from pistachioseam_platform import store
from tests import call_fakes
from tests import clocks
from tests import support

NAME = 'plain-1'
STATUS_SECONDS = 0.5
ANNOUNCED_SECONDS = 8.0
"""Longer than hosts repeat departures to each other."""
READ_SECONDS = 1.0


@attrs.define
class RowClient:
    """Client of a store whose feed returns each change of a row."""

    history: list[rows.StoredRow] = attrs.field(factory=list)
    version: int = 0

    def write(self, content: dict[str, typing.Any] | None) -> None:
        """Write the entry of the target, None to remove it."""
        self.version += 1
        value = None if content is None else json.dumps(content).encode()
        self.history.append(rows.StoredRow(NAME, self.version, value))

    async def read_rows(self, table: str) -> rows.ReadResult:
        """Return the newest entry."""
        newest = tuple(r for r in self.history[-1:] if r.value is not None)
        return self._create_read(newest, is_complete=True)

    async def watch_rows(
        self, table: str, after: store_versions.StoreVersion, wait: float
    ) -> rows.ReadResult:
        """Return the changes after a version."""
        changes = tuple(r for r in self.history if r.version > after.number)
        return self._create_read(changes, is_complete=False)

    def _create_read(
        self, found: tuple[rows.StoredRow, ...], is_complete: bool
    ) -> rows.ReadResult:
        cursor = store_versions.StoreVersion(0, self.version)
        return result.Success(rows.TableRead(found, cursor, is_complete))


@attrs.define
class Rollout:
    """Stand-in for a rollout without loading engines."""

    loading: set[tuple[str, int]] = attrs.field(factory=set)


class Host:
    """Host that reads the store and exchanges statuses."""

    def __init__(self, client: RowClient) -> None:
        self.router = call_fakes.RouterFixture([]).router
        platform = store.PlatformStore(typing.cast(rows.StoreClient, client))
        self.watch = watches.TargetsWatch(
            self.router, typing.cast(ports.Platform, platform)
        )
        self.statuses = status_messages.StatusMessages(
            self.router,
            Rollout(),  # type: ignore[arg-type]
            list,
        )

    def uses_target(self) -> bool:
        """Return whether the target gets calls."""
        target = self.router.catalog.get(NAME)
        return target is not None and self.router.catalog.is_available(target)


def create_entry(**fields: object) -> dict[str, typing.Any]:
    """Return the entry of a target that is ready."""
    entry: dict[str, typing.Any] = {
        'service': call_fakes.PLAIN_SERVICE,
        'address': '127.0.0.1:9001',
        'zone': 'd1',
        'version': 'v1',
        'capacity': 4,
        'state': 'ready',
        'born': 7,
        'seq': 1,
    }
    return {**entry, **fields}


async def read_changes(
    *changes: dict[str, typing.Any] | None, is_known: bool
) -> bool:
    """Return whether a host uses a target after it reads changes at once.

    `is_known` tells whether it has read an entry of the target before.
    """
    client = RowClient()
    host = Host(client)
    if is_known:
        client.write(create_entry())
    await host.watch.read()
    await asyncio.sleep(READ_SECONDS)
    for content in changes:
        client.write(content)
    await host.watch.read()
    return host.uses_target()


def test_target_that_came_and_left_between_two_reads_is_not_used(
    case: support.Case,
) -> None:
    """DRAIN: the host sent it calls for good, as it dropped the removal."""
    came = create_entry()
    for is_known in (False, True):
        for last in (None, {**came, 'capacity': None}):
            case.assertFalse(
                clocks.run(read_changes(came, last, is_known=is_known))
            )


def test_target_that_left_and_returned_between_two_reads_is_used(
    case: support.Case,
) -> None:
    """VERSION: the host dropped it for good, removing it after its return."""
    restarted = create_entry(born=8)
    spoiled = {'state': 'ready'}
    for is_known in (False, True):
        for changes in (
            (None, create_entry(seq=5)),
            (None, restarted),
            (spoiled, create_entry(seq=5)),
            (None, create_entry(seq=5), None, restarted),
        ):
            case.assertTrue(
                clocks.run(read_changes(*changes, is_known=is_known))
            )


def test_entry_of_another_writer_hides_no_later_entry(
    case: support.Case,
) -> None:
    """DRAIN: its count of heartbeats, a time, made all later ones older."""

    async def run(**odd: object) -> None:
        client = RowClient()
        host = Host(client)
        client.write(create_entry())
        await host.watch.read()
        client.write(create_entry(**odd))
        await host.watch.read()
        client.write(create_entry(seq=3))
        await host.watch.read()
        case.assertTrue(host.uses_target())
        client.write(create_entry(seq=4, state='draining'))
        await host.watch.read()
        case.assertFalse(host.uses_target())

    clocks.run(run(seq=1_800_000_000_000))
    clocks.run(run(born=1_800_000_000_000))


def test_peers_repeat_a_departure_after_the_return(
    case: support.Case,
) -> None:
    """VERSION: hosts told each other of a lapse long after it had ended.

    Each host that had read the return took the word of a peer for a new
    departure, and told the next one.
    """

    async def run() -> None:
        client = RowClient()
        hosts = [Host(client) for _ in range(3)]
        client.write(create_entry())
        for host in hosts:
            await host.watch.read()
        await asyncio.sleep(READ_SECONDS)
        client.write(None)
        for host in hosts:
            await host.watch.read()
        await asyncio.sleep(2.0)
        client.write(create_entry(seq=5))
        for number, host in enumerate(hosts):
            await host.watch.read()
            await tell_peers(hosts)
            used = [h.uses_target() for h in hosts[: number + 1]]
            case.assertEqual([True] * (number + 1), used)
            await asyncio.sleep(READ_SECONDS / len(hosts))
        rounds = int(ANNOUNCED_SECONDS / STATUS_SECONDS)
        for _ in range(rounds):
            await tell_peers(hosts)
            case.assertEqual([True] * 3, [h.uses_target() for h in hosts])
            for host in hosts:
                await host.watch.read()
            await asyncio.sleep(STATUS_SECONDS)

    async def tell_peers(hosts: list[Host]) -> None:
        statuses = [host.statuses.create_host_status() for host in hosts]
        for host in hosts:
            for number, status in enumerate(statuses):
                if hosts[number] is not host:
                    host.statuses.apply_host_status(f'h{number}', status)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
