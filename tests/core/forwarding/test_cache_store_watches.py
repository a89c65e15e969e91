"""A KV cache store that restarts counts as empty."""

import asyncio
import typing

from returns import result

from pistachioseam.forwarding import cache_store_watches
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import residency
from pistachioseam import interfaces
from tests import call_fakes
from tests import clocks
from tests.core.forwarding import test_caches
from tests import support

STORE = test_caches.STORE.address


class Control:
    """Engine control with a cache store whose epoch the test sets.

    `copies` are late copies of its earlier answers, which come on connections
    that were used before.
    """

    def __init__(self) -> None:
        self.epoch: int | None = 1
        self.cursors: list[int] = []
        self.copies: list[
            result.Result[ports.CacheStoreEpoch, interfaces.CallFailure]
        ] = []

    async def read_epoch(
        self, address: str, after: int, *, needs_new_connection: bool = False
    ) -> result.Result[ports.CacheStoreEpoch, interfaces.CallFailure]:
        """Return the epoch, or fail while there is none."""
        self.cursors.append(after)
        await asyncio.sleep(0.1)
        if self.copies and not needs_new_connection:
            return self.copies.pop()
        if self.epoch is None:
            return result.Failure(
                call_fakes.create_failure(call_fakes.Kind.NOT_SENT)
            )
        return result.Success(ports.CacheStoreEpoch(self.epoch, after + 10))


async def start_and_fill(
    fixture: call_fakes.RouterFixture, control: Control
) -> None:
    """Watch a cache store, and record that it has a prompt's parts."""
    watch = cache_store_watches.CacheStoreWatch(
        fixture.router,
        typing.cast(ports.EngineControl, control),
        lambda _: True,
    )
    fixture.runtime.start(watch.run())
    await asyncio.sleep(1.5)
    update = residency.CacheUpdate(STORE, 's', test_caches.PARTS)
    plans.apply_cache_update(fixture.router, update, is_own=True)


def test_restart_and_outage_are_detected(case: support.Case) -> None:
    """A restarted cache store counts as empty, and one that is down is unused.

    A host that still counts the entries from before the restart would expect
    cache hits that do not happen.
    """

    async def run() -> None:
        fixture = test_caches.create_fixture(2)
        router = fixture.router
        control = Control()
        await start_and_fill(fixture, control)

        def count() -> int:
            return router.cache_models.count_prefix_tokens(
                STORE, 's', test_caches.PARTS
            )

        case.assertEqual(6000, count())
        control.epoch = 2
        await asyncio.sleep(1.5)
        case.assertEqual(0, count())
        case.assertIsNotNone(plans.find_available_cache_store(router, 'd1'))
        control.epoch = None
        await asyncio.sleep(1.5)
        case.assertIsNone(plans.find_available_cache_store(router, 'd1'))
        control.epoch = 3
        await asyncio.sleep(1.5)
        case.assertIsNotNone(plans.find_available_cache_store(router, 'd1'))

    clocks.run(run())


def test_copy_of_an_earlier_answer_does_not_empty_a_store(
    case: support.Case,
) -> None:
    """Prompts would be read again whose KV cache entries the store has."""
    copies: tuple[
        result.Result[ports.CacheStoreEpoch, interfaces.CallFailure], ...
    ] = (
        result.Failure(call_fakes.create_failure(call_fakes.Kind.FAILED)),
        result.Success(ports.CacheStoreEpoch(1, 0)),
    )

    async def run() -> None:
        fixture = test_caches.create_fixture(2)
        router = fixture.router
        control = Control()
        control.epoch = 2
        await start_and_fill(fixture, control)
        for copy in copies:
            control.copies.append(copy)
            await asyncio.sleep(2.0)
            case.assertEqual([], control.copies)
            tokens = router.cache_models.count_prefix_tokens(
                STORE, 's', test_caches.PARTS
            )
            case.assertEqual(6000, tokens)
            case.assertEqual(2, router.cache_store_epochs[STORE])

    clocks.run(run())


def test_store_is_polled_once_a_second_from_its_cursor(
    case: support.Case,
) -> None:
    """A poll from the start would return all events each time."""

    async def run() -> None:
        fixture = test_caches.create_fixture(2)
        control = Control()
        watch = cache_store_watches.CacheStoreWatch(
            fixture.router,
            typing.cast(ports.EngineControl, control),
            lambda _: True,
        )
        fixture.runtime.start(watch.run())
        await asyncio.sleep(5.0)
        case.assertLessEqual(len(control.cursors), 5)
        case.assertEqual([0, 10, 20], control.cursors[:3])

    clocks.run(run())


def test_only_the_watching_host_polls(case: support.Case) -> None:
    """A host that should not watch a cache store does not read its epoch."""

    async def run() -> None:
        fixture = test_caches.create_fixture(2)
        control = Control()
        watch = cache_store_watches.CacheStoreWatch(
            fixture.router,
            typing.cast(ports.EngineControl, control),
            lambda _: False,
        )
        fixture.runtime.start(watch.run())
        await asyncio.sleep(2.0)
        case.assertEqual({}, fixture.router.cache_store_epochs)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
