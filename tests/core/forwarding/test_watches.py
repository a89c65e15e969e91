"""Watches of the store survive failures at a bounded rate of calls."""

import asyncio
import typing

import attrs
from returns import result

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import store_versions
from pistachioseam.forwarding import watches
from tests import call_fakes
from tests import clocks
from tests import support

Script = list[typing.Any]


class Store:
    """Store that returns scripted results, then reads without changes."""

    def __init__(self, *script: typing.Any) -> None:
        self.script: Script = list(script)
        self.cursors: list[store_versions.StoreVersion | None] = []

    async def read_desired(
        self, after: store_versions.StoreVersion | None, wait_seconds: float
    ) -> result.Result[ports.DesiredChange, ports.StoreFailure]:
        """Return the next scripted result, after the long poll's wait."""
        self.cursors.append(after)
        await asyncio.sleep(wait_seconds if after is not None else 0.01)
        step = self.script.pop(0) if self.script else _create_change(None, 9)
        return _wrap(step)

    async def read_targets(
        self, after: store_versions.StoreVersion | None
    ) -> result.Result[ports.TargetsRead, ports.StoreFailure]:
        """Return the next scripted result."""
        self.cursors.append(after)
        await asyncio.sleep(0.01)
        step = self.script.pop(0) if self.script else _create_read([], 9)
        return _wrap(step)


def at(number: int, era: int = 0) -> store_versions.StoreVersion:
    """Return a version of the store."""
    return store_versions.StoreVersion(era, number)


def _wrap(step: typing.Any) -> typing.Any:
    if isinstance(step, ports.StoreFailure):
        return result.Failure(step)
    return result.Success(step)


def _create_change(version: int | None, cursor: int) -> ports.DesiredChange:
    state = None if version is None else call_fakes.create_state(version)
    return ports.DesiredChange(state=state, weights={}, cursor=at(cursor))


def _create_read(
    numbers: list[int], cursor: int, is_complete: bool = False
) -> ports.TargetsRead:
    change = call_fakes.create_change(
        [call_fakes.create_target(n) for n in numbers],
        version=cursor,
        is_complete=is_complete,
    )
    return ports.TargetsRead(change=change, cursor=at(cursor))


STORE_SECONDS = 5000.0
"""Time of the store's clock when that of the host is 0."""
FAILURE = ports.StoreFailure(detail='status 503')
HISTORY_LOST = ports.StoreFailure(detail='status 410', is_history_lost=True)


def test_freshness_counts_from_when_the_read_was_sent(
    case: support.Case,
) -> None:
    """A long poll without a change confirms only the time when it was sent."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        fixture.router.freshness.confirmed_at = None
        watch = watches.DesiredWatch(fixture.router, _cast(Store()))
        await watch.read()
        sent_at = fixture.runtime.now()
        await watch.read()
        case.assertAlmostEqual(
            sent_at, fixture.router.freshness.confirmed_at or 0.0, places=5
        )

    clocks.run(run())


def test_log_tells_within_what_time_weights_were_named(
    case: support.Case,
) -> None:
    """A host that learned late logged the version like any other."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        named = [
            ports.DesiredChange(
                state=None, weights={call_fakes.MODEL: number}, cursor=at(3)
            )
            for number in (1, 2)
        ]
        failure = ports.StoreFailure(detail='HTTP status 503')
        store = Store(named[0], failure, failure, named[1])
        watch = watches.DesiredWatch(fixture.router, _cast(store))
        for _ in store.script[:]:
            await watch.read(0.5)
        within = [
            fields['named_within']
            for kind, fields in fixture.sink.events
            if kind is events.Event.NEWER_WEIGHTS_DESIRED
        ]
        case.assertEqual([None, 1.51], within)

    clocks.run(run())


def test_weights_are_dated_by_the_clock_of_the_store(
    case: support.Case,
) -> None:
    """Limits counted from the send of the last long poll without a change.

    An intermediate version may have been named before the row's last write.
    """

    async def run(named: int, read_at: int) -> float:
        fixture = call_fakes.RouterFixture()
        model = call_fakes.MODEL

        def create(version: int, row: int, cursor: int) -> ports.DesiredChange:
            return ports.DesiredChange(
                state=None,
                weights={model: version},
                weights_rows={model: at(row)},
                cursor=at(cursor),
                store_seconds=STORE_SECONDS + fixture.runtime.now(),
            )

        first = Store(create(1, 3, 3))
        await watches.DesiredWatch(fixture.router, _cast(first)).read()
        watch = watches.DesiredWatch(fixture.router, _cast(first))
        first.script.append(create(1, 3, 3))
        await watch.read()
        await asyncio.sleep(1.0)
        polled = attrs.evolve(
            _create_read([], read_at),
            store_seconds=STORE_SECONDS + fixture.runtime.now(),
        )
        targets = watches.TargetsWatch(fixture.router, _cast(Store(polled)))
        await targets.read()
        await asyncio.sleep(1.0)
        first.script.append(create(named, 6, 6))
        await watch.read(0.0)
        return fixture.router.desired.get_lag_seconds(
            model, 1, fixture.runtime.now()
        )

    case.assertAlmostEqual(1.0, clocks.run(run(2, 5)), delta=0.05)
    case.assertAlmostEqual(2.0, clocks.run(run(2, 6)), delta=0.05)
    case.assertAlmostEqual(2.0, clocks.run(run(3, 5)), delta=0.05)


def test_lost_history_causes_a_full_read(case: support.Case) -> None:
    """The next read has no cursor, so that no change is missed."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        store = Store(
            _create_change(3, 5), HISTORY_LOST, _create_change(7, 20)
        )
        watch = watches.DesiredWatch(fixture.router, _cast(store))
        for _ in range(2):
            case.assertTrue(await watch.read())
        case.assertEqual([None, at(5), None], store.cursors)
        case.assertNotIn(
            events.Event.STORE_UNREACHABLE, fixture.sink.list_kinds()
        )
        assert fixture.router.desired.state is not None
        case.assertEqual(7, fixture.router.desired.state.version)
        case.assertIn(events.Event.HISTORY_LOST, fixture.sink.list_kinds())

    clocks.run(run())


def test_outage_costs_about_a_call_a_second(case: support.Case) -> None:
    """Failed calls back off; the outage's start and end are logged once."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        store = Store(
            _create_change(3, 5), *[FAILURE] * 25, _create_change(None, 6)
        )
        watch = watches.DesiredWatch(fixture.router, _cast(store))
        fixture.runtime.start(watch.run())
        await asyncio.sleep(30.0)
        case.assertLess(len(store.cursors), 25)
        await asyncio.sleep(60.0)
        kinds = fixture.sink.list_kinds()
        case.assertEqual(1, kinds.count(events.Event.STORE_UNREACHABLE))
        case.assertEqual(1, kinds.count(events.Event.STORE_RECOVERED))

    clocks.run(run())


def test_targets_are_read_once_a_second(case: support.Case) -> None:
    """The first read returns all entries, later ones only the changes."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        store = Store(_create_read([1, 2], 4, True), _create_read([3], 6))
        watch = watches.TargetsWatch(fixture.router, _cast(store))
        fixture.runtime.start(watch.run())
        await asyncio.sleep(10.0)
        case.assertEqual([None, at(4), at(6)], store.cursors[:3])
        case.assertLessEqual(len(store.cursors), 11)
        case.assertEqual(3, len(fixture.router.catalog.list_all()))

    clocks.run(run())


def test_restored_store_does_not_take_back_what_is_in_force(
    case: support.Case,
) -> None:
    """An older copy changes neither the state nor which targets leave.

    Versions are given out again, so the cursor of the former era is unusable.
    """

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        restored = ports.DesiredChange(
            state=call_fakes.create_state(3), weights={}, cursor=at(4, era=2)
        )
        rewritten = ports.DesiredChange(
            state=call_fakes.create_state(9), weights={}, cursor=at(5, era=2)
        )
        store = Store(_create_change(7, 5), HISTORY_LOST, restored, rewritten)
        watch = watches.DesiredWatch(fixture.router, _cast(store))
        restores: list[int] = []
        fixture.router.restore_listeners.append(
            lambda: restores.append(fixture.router.store_era)
        )
        versions = []
        for _ in range(3):
            case.assertTrue(await watch.read())
            assert fixture.router.desired.state is not None
            versions.append(fixture.router.desired.state.version)
        case.assertEqual([7, 7, 9], versions)
        case.assertEqual([None, at(5), None, at(4, era=2)], store.cursors)
        case.assertEqual([2], restores)

    clocks.run(run())


def create_entry(number: int, heartbeats: int, **fields: object) -> typing.Any:
    """Return a target's entry after a number of its own writes."""
    return call_fakes.create_target(number, heartbeats=heartbeats, **fields)


def test_restored_entries_do_not_replace_later_ones(
    case: support.Case,
) -> None:
    """Targets that were leaving, gone or new when the copy was made.

    The first two do not come back as ready. The last one is missing from the
    copy and is kept until it has had the time to write its entry again.
    """

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        watched = fixture.router.catalog

        def create_read(
            entries: tuple[typing.Any, ...],
            cursor: store_versions.StoreVersion,
            removed: tuple[str, ...] = (),
            is_complete: bool = False,
        ) -> ports.TargetsRead:
            return ports.TargetsRead(
                change=call_fakes.create_change(
                    entries,
                    removed,
                    cursor.number,
                    cursor.era,
                    is_complete=is_complete,
                ),
                cursor=cursor,
            )

        gone = create_entry(2, 5)
        store = Store(
            create_read((create_entry(1, 5), gone), at(9), is_complete=True),
            create_read(
                (create_entry(1, 6, is_ready=False), create_entry(3, 1)),
                at(12),
                removed=(gone.name,),
            ),
            HISTORY_LOST,
            create_read(
                (create_entry(1, 5), gone), at(9, era=1), is_complete=True
            ),
            create_read((create_entry(3, 4),), at(10, era=1)),
        )
        watch = watches.TargetsWatch(fixture.router, _cast(store))

        def list_ready() -> list[str]:
            return sorted(t.name for t in watched.list_all() if t.is_ready)

        seen = []
        for _ in range(4):
            case.assertTrue(await watch.read())
            seen.append(list_ready())
            await asyncio.sleep(1.0)
        case.assertEqual(['plain-1', 'plain-2'], seen[0])
        case.assertEqual([['plain-3']] * 3, seen[1:])
        await asyncio.sleep(catalog.REREGISTRATION_GRACE_SECONDS)
        await watch.read()
        case.assertEqual(['plain-3'], list_ready())

    clocks.run(run())


def _cast(store: Store) -> ports.Platform:
    return typing.cast(ports.Platform, store)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
