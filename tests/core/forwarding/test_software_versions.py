"""The store lists the versions at which streams of a service may begin."""

import asyncio

import attrs

from pistachioseam.forwarding import software_versions
from pistachioseam.forwarding import stream_origins
from tests import call_fakes
from tests import clocks
from tests import row_stores
from tests import support

SERVICE = call_fakes.ENGINE_SERVICE
EVENT = call_fakes.event(1)
MANY_SECONDS = 2 * software_versions.RETIRE_SECONDS


class Host(call_fakes.RouterFixture):
    """Host that keeps the rows of a store in line with its targets."""

    def __init__(self, store: row_stores.RowStore, *versions: str) -> None:
        super().__init__(call_fakes.create_engines(*versions), row_store=store)
        self.software = self.router.software

    def may_begin(self, version: str) -> bool:
        """Return whether a stream may begin at a target of a version."""
        target = call_fakes.create_target(9, SERVICE, software_version=version)
        return self.software.may_begin_streams(target)

    async def begin_stream(self, **fields: str) -> tuple[int, float]:
        """Return the status of a call for a stream, and its seconds."""
        start = self.runtime.now()
        call, reply = await self.serve(
            '/resumable/', [call_fakes.respond(chunks=(EVENT,))], **fields
        )
        status = call.refusal.status if call.refusal else reply.status
        return status, self.runtime.now() - start


def test_streams_begin_only_at_listed_versions(case: support.Case) -> None:
    """A host that is lost right after has left word of the version."""

    async def run() -> None:
        store = row_stores.RowStore()
        host = Host(store, 'v1')
        case.assertFalse(host.may_begin('v1'))
        case.assertTrue(await host.software.update())
        case.assertEqual(('v1',), store.rows[SERVICE].versions)
        case.assertTrue(host.may_begin('v1'))
        case.assertFalse(host.may_begin('v2'))
        case.assertEqual('v1', await host.software.find_only_version(SERVICE))
        other = Host(store, 'v1', 'v2')
        case.assertTrue(await other.software.update())
        case.assertTrue(other.may_begin('v2'))
        # The first host has not seen the other version yet.
        case.assertIsNone(await host.software.find_only_version(SERVICE))

    clocks.run(run())


def test_hosts_that_list_versions_at_once_lose_none(
    case: support.Case,
) -> None:
    """Each has seen another version; the row changes under their feet."""

    async def run() -> None:
        store = row_stores.RowStore()
        versions = [f'v{number}' for number in range(9)]
        hosts = [Host(store, version) for version in versions]
        for host in hosts:
            host.runtime.start(host.software.run())
        await asyncio.sleep(3.0)
        case.assertEqual(tuple(versions), store.rows[SERVICE].versions)

    clocks.run(run())


def test_version_that_has_left_is_retired_late(case: support.Case) -> None:
    """Its streams may be resumed for some time; then one version is left."""

    async def run() -> None:
        store = row_stores.RowStore()
        host = Host(store, 'v1', 'v2')
        host.software._is_retirer = lambda: True
        host.runtime.start(host.software.run())
        await asyncio.sleep(1.0)
        host.remove_targets(host.router.catalog.list_all()[:1])
        await asyncio.sleep(software_versions.RETIRE_SECONDS / 2)
        case.assertEqual(('v1', 'v2'), store.rows[SERVICE].versions)
        await asyncio.sleep(MANY_SECONDS)
        case.assertEqual(('v2',), store.rows[SERVICE].versions)

    clocks.run(run())


def test_version_that_comes_back_is_listed_again_first(
    case: support.Case,
) -> None:
    """Another host has retired it, which this one has not read."""

    async def run() -> None:
        store = row_stores.RowStore()
        host = Host(store, 'v1', 'v2')
        await host.software.update()
        first, _ = host.router.catalog.list_all()
        host.remove_targets((first,))
        await asyncio.sleep(MANY_SECONDS)
        store.rows[SERVICE] = attrs.evolve(
            store.rows[SERVICE], versions=('v2',), row_version=9
        )
        host.add_target(first)
        case.assertFalse(host.may_begin('v1'))
        case.assertTrue(await host.software.update())
        case.assertEqual(('v1', 'v2'), store.rows[SERVICE].versions)
        case.assertTrue(host.may_begin('v1'))

    clocks.run(run())


def test_store_outage_does_not_keep_streams_from_beginning(
    case: support.Case,
) -> None:
    """A version gets streams after a while; none of unknown origin goes on."""

    async def run() -> None:
        store = row_stores.RowStore()
        host = Host(store, 'v1')
        store.is_down = True
        host.runtime.start(host.software.run())
        await asyncio.sleep(1.0)
        case.assertFalse(host.may_begin('v1'))
        await asyncio.sleep(software_versions.UNLISTED_SECONDS)
        case.assertTrue(host.may_begin('v1'))
        case.assertIsNone(await host.software.find_only_version(SERVICE))

    clocks.run(run())


def test_call_right_after_the_start_waits_for_the_listing(
    case: support.Case,
) -> None:
    """The host has read the targets; it has yet to list their version."""

    async def run() -> None:
        host = Host(row_stores.RowStore())
        host.runtime.start(host.software.run())
        await asyncio.sleep(software_versions.CHECK_SECONDS / 2)
        host.add_target(call_fakes.create_engines('v1')[0])
        status, seconds = await host.begin_stream()
        case.assertEqual(200, status)
        case.assertTrue(host.may_begin('v1'))
        case.assertLess(seconds, software_versions.CHECK_SECONDS / 2)

    clocks.run(run())


def test_calls_are_refused_at_once_while_the_store_fails(
    case: support.Case,
) -> None:
    """A version that cannot be listed keeps no caller waiting."""

    async def run() -> None:
        store = row_stores.RowStore()
        host = Host(store, 'v1')
        store.is_down = True
        host.runtime.start(host.software.run())
        await asyncio.sleep(0.0)
        case.assertEqual(503, (await host.begin_stream())[0])
        case.assertEqual((503, 0.0), await host.begin_stream())
        store.is_down = False
        await asyncio.sleep(software_versions.UNLISTED_SECONDS / 2)
        case.assertEqual((200, 0.0), await host.begin_stream())

    clocks.run(run())


def test_silent_store_holds_no_new_stream_for_long(
    case: support.Case,
) -> None:
    """Its responses come only after seconds."""

    async def run() -> None:
        store = row_stores.RowStore()
        store.read_seconds = 30.0
        host = Host(store, 'v1')
        host.runtime.start(host.software.run())
        status, seconds = await host.begin_stream()
        case.assertEqual(503, status)
        case.assertLessEqual(seconds, software_versions.STORE_WAIT_SECONDS)

    clocks.run(run())


def test_unlisted_version_holds_no_stream_of_another(
    case: support.Case,
) -> None:
    """A stream of a version that has left cannot go on after the listing."""

    async def run() -> None:
        host = Host(row_stores.RowStore(), 'v1')
        origin = stream_origins.StreamOrigin(SERVICE, 'v0')
        key = stream_origins.compute_key('', 'first')
        host.router.stream_origins.record(key, origin, host.runtime.now())
        found = await host.begin_stream(
            resumed_request_id='first', after_event='1'
        )
        case.assertEqual((503, 0.0), found)

    clocks.run(run())


def test_host_is_ready_only_when_it_may_begin_streams(
    case: support.Case,
) -> None:
    """Hosts that start at once meet conflicts, which list no version."""

    async def run() -> None:
        store = row_stores.RowStore()
        hosts = [Host(store, f'v{number}') for number in range(9)]
        for host in hosts:
            host.runtime.start(host.software.run())
        has_begun = [False] * len(hosts)
        for _ in range(2000):
            await asyncio.sleep(0.001)
            for number, host in enumerate(hosts):
                if host.software.has_synced() and not has_begun[number]:
                    has_begun[number] = True
                    case.assertTrue(host.may_begin(f'v{number}'))
        case.assertEqual([True] * len(hosts), has_begun)

    clocks.run(run())


def test_silent_store_holds_no_caller_for_long(case: support.Case) -> None:
    """Its calls end only after a second; no stale rows are taken for new."""

    async def run() -> None:
        store = row_stores.RowStore()
        host = Host(store, 'v1')
        await host.software.update()
        store.read_seconds = 30.0
        start = host.runtime.now()
        found = await asyncio.gather(
            *(host.software.find_only_version(SERVICE) for _ in range(5))
        )
        case.assertEqual([None] * 5, found)
        waited = host.runtime.now() - start
        case.assertLessEqual(waited, software_versions.STORE_WAIT_SECONDS)

    clocks.run(run())


def test_callers_that_come_back_at_once_share_reads(
    case: support.Case,
) -> None:
    """Each gets rows from a read that began after it asked."""

    async def run() -> None:
        store = row_stores.RowStore()
        host = Host(store, 'v1')
        await host.software.update()
        before = store.reads
        found = await asyncio.gather(
            *(host.software.find_only_version(SERVICE) for _ in range(50))
        )
        case.assertEqual(['v1'] * 50, found)
        case.assertLessEqual(store.reads - before, 2)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
