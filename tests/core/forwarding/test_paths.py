"""A host notices that it reaches no target, and that it does again."""

import asyncio

from pistachioseam import events
from pistachioseam.forwarding import paths
from pistachioseam_entry import runtime
from tests import call_fakes
from tests import clocks
from tests import support

MAX_NOTICE_SECONDS = 1.5
"""Time to notice a loss while calls wait; far below the four seconds after
which callers of such a host must be served as others are."""


class Probes:
    """Targets that accept connections or not."""

    def __init__(self, count: int = 6) -> None:
        self.addresses = [f'10.0.0.{number}:80' for number in range(count)]
        self.accepting = set(self.addresses)
        self.refuses = False
        self.count = 0
        self.sink = call_fakes.Sink()
        self.paths = paths.TargetPaths(
            runtime.AsyncioRuntime(self.sink),
            call_fakes.SeededRandom(),
            self.sink,
            lambda: self.addresses,
            self._is_reachable,
        )

    async def _is_reachable(self, address: str, seconds: float) -> bool:
        self.count += 1
        is_accepting = address in self.accepting
        await asyncio.sleep(0.001 if is_accepting or self.refuses else seconds)
        return is_accepting


async def wait_lost(probes: Probes, seconds: float) -> float:
    """Return when the path was lost, in seconds from now."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(seconds):
        await probes.paths.wait_until_lost()
    return loop.time() - started_at


def test_silence_while_calls_wait_shows_a_lost_path(
    case: support.Case,
) -> None:
    """Established connections hang and none is refused."""

    async def run() -> None:
        probes = Probes()
        running = asyncio.ensure_future(probes.paths.run())
        probes.paths.record_received()
        await asyncio.sleep(5.0)
        case.assertEqual(0, probes.count)
        probes.accepting.clear()
        probes.paths.record_sent('call')
        case.assertLess(await wait_lost(probes, 5.0), MAX_NOTICE_SECONDS)
        probes.accepting = set(probes.addresses)
        await asyncio.sleep(2 * paths.CHECK_VALID_SECONDS + 0.1)
        case.assertFalse(probes.paths.is_lost())
        case.assertEqual(
            [events.Event.TARGET_PATHS_LOST, events.Event.TARGET_PATHS_BACK],
            probes.sink.list_kinds(),
        )
        running.cancel()

    clocks.run(run())


def test_refused_connection_shows_a_lost_path_at_once(
    case: support.Case,
) -> None:
    """Kept connections may live on and bring bytes."""

    async def run() -> None:
        probes = Probes()
        probes.refuses = True
        probes.accepting.clear()
        probes.paths.record_received()
        case.assertTrue(await probes.paths.check())

    clocks.run(run())


def test_single_failing_targets_are_no_lost_path(case: support.Case) -> None:
    """A sound target accepts a connection; checks are shared and bounded."""

    async def run() -> None:
        probes = Probes()
        probes.accepting = set(probes.addresses[:4])
        results = await asyncio.gather(
            *(probes.paths.check() for _ in range(50))
        )
        case.assertNotIn(True, results)
        case.assertLessEqual(probes.count, paths.PROBED_TARGETS)

    clocks.run(run())


def test_first_target_that_is_back_ends_the_loss(case: support.Case) -> None:
    """All targets had crashed, and one has started again."""

    async def run() -> None:
        probes = Probes(9)
        probes.refuses = True
        running = asyncio.ensure_future(probes.paths.run())
        probes.accepting.clear()
        case.assertTrue(await probes.paths.check())
        probes.accepting = {probes.addresses[5]}
        await asyncio.sleep(2 * paths.CHECK_VALID_SECONDS + 0.1)
        case.assertFalse(probes.paths.is_lost())
        running.cancel()

    clocks.run(run())


def test_silent_target_that_goes_on_is_no_lost_path(
    case: support.Case,
) -> None:
    """One call waits for long, while the others accept connections."""

    async def run() -> None:
        probes = Probes()
        running = asyncio.ensure_future(probes.paths.run())
        probes.paths.record_sent('call')
        await asyncio.sleep(5.0)
        case.assertFalse(probes.paths.is_lost())
        most = paths.PROBED_TARGETS * 5.0 / paths.SILENCE_SECONDS
        case.assertLess(probes.count, most)
        running.cancel()

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
