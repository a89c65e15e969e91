"""The store's clock never dates a version later than it was named."""

import random

from pistachioseam.forwarding import store_clocks
from pistachioseam.forwarding import store_versions
from tests import support

OFFSET_SECONDS = 5000.0
"""Time of the store's clock when the boot clock is 0."""


def at(number: int, era: int = 0) -> store_versions.StoreVersion:
    """Return a version of the store."""
    return store_versions.StoreVersion(era, number)


def find_boot_time(
    clock: store_clocks.StoreClock, version: store_versions.StoreVersion
) -> float | None:
    """Return the boot time before which the store had not reached it."""
    time = clock.find_time_before(version)
    return None if time is None else clock.find_boot_time(time)


def test_time_is_that_of_the_last_older_state(case: support.Case) -> None:
    """A long poll that ends late dated a version by its send."""
    clock = store_clocks.StoreClock()
    clock.record(at(3), OFFSET_SECONDS + 0.01, 0.0, 0.02)
    clock.record(at(4), OFFSET_SECONDS + 0.9, 0.1, 0.91)
    clock.record(at(6), OFFSET_SECONDS + 1.5, 0.92, 1.51)
    time = find_boot_time(clock, at(5)) or 0.0
    case.assertLess(0.88, time)
    case.assertLessEqual(time, 0.9)
    case.assertAlmostEqual(0.0, find_boot_time(clock, at(4)) or 0.0, 1)
    case.assertIsNone(find_boot_time(clock, at(3)))


def test_times_are_never_too_late(case: support.Case) -> None:
    """Slow requests or clocks that drift dated a version too late."""
    for seed in range(200):
        draw = random.Random(seed)
        clock = store_clocks.StoreClock()
        rate = 1 + draw.uniform(-0.9, 0.9) * store_clocks.MAX_DRIFT
        sent_at, states = 0.0, {}
        for number in range(1, 60):
            sent_at += draw.choice((0.01, 1.0, 100.0))
            state_at = sent_at + draw.random()
            received_at = state_at + draw.random()
            store_ms = int((OFFSET_SECONDS + state_at * rate) * 1000)
            clock.record(at(number), store_ms / 1000, sent_at, received_at)
            states[number] = state_at
            sent_at = received_at
            for before in draw.choices(range(2, number + 2), k=2):
                time = find_boot_time(clock, at(before))
                assert time is not None
                case.assertLessEqual(time, states[before - 1], f'seed {seed}')


def test_restored_store_has_a_new_clock(case: support.Case) -> None:
    """Versions of an era were dated by responses of another one."""
    clock = store_clocks.StoreClock()
    clock.record(at(3), OFFSET_SECONDS, 0.0, 0.02)
    clock.record(at(2, era=1), 7.0, 1.0, 1.02)
    clock.record(at(4), OFFSET_SECONDS + 2.0, 2.0, 2.02)
    case.assertIsNone(find_boot_time(clock, at(9)))
    case.assertIsNone(find_boot_time(clock, at(2, era=1)))
    time = find_boot_time(clock, at(3, era=1))
    case.assertAlmostEqual(1.0, time or 0.0, delta=0.002)


def test_clock_that_was_set_is_not_mixed(case: support.Case) -> None:
    """Versions were dated by an offset that did not hold any more."""
    for jump_seconds in (-60.0, 60.0):
        clock = store_clocks.StoreClock()
        clock.record(at(3), OFFSET_SECONDS, 0.0, 0.02)
        clock.record(at(5), OFFSET_SECONDS + jump_seconds, 1.0, 1.02)
        case.assertIsNone(find_boot_time(clock, at(4)))
        time = find_boot_time(clock, at(6))
        case.assertAlmostEqual(1.0, time or 0.0, delta=0.002)


def test_response_without_a_time_counts_as_none(case: support.Case) -> None:
    """A store without a clock dated versions by nothing."""
    clock = store_clocks.StoreClock()
    clock.record(at(3), None, 0.0, 0.02)
    case.assertIsNone(find_boot_time(clock, at(4)))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
