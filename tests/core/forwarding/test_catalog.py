"""Registered entries of targets are added, changed, expired and removed."""

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import store_versions
from tests import call_fakes
from tests import support

GRACE = catalog.REREGISTRATION_GRACE_SECONDS
READ_SECONDS = 0.1
PLAIN_1 = ('plain-1', 1)
"""Incarnation of the first target."""


def at(number: int) -> store_versions.StoreVersion:
    """Return a version of the store."""
    return store_versions.StoreVersion(0, number)


def create_catalog() -> tuple[catalog.TargetCatalog, call_fakes.Sink]:
    """Return a catalog with two targets, read at second 0."""
    sink = call_fakes.Sink()
    targets = catalog.TargetCatalog(sink)
    change(targets, 0.0, [1, 2], is_complete=True)
    return targets, sink


def change(
    targets: catalog.TargetCatalog,
    now: float,
    numbers: list[int],
    removed: tuple[str, ...] = (),
    is_complete: bool = False,
    version: int | None = None,
    **fields: object,
) -> None:
    """Apply a read at `now` of the targets with these numbers.

    Their entries were written right before, unless `version` says otherwise.
    """
    version = round(now * 10) + 1 if version is None else version
    entries = [
        call_fakes.create_target(number, **fields) for number in numbers
    ]
    read = call_fakes.create_change(
        entries, removed, version, is_complete=is_complete
    )
    targets.apply(read, now)
    targets.record_confirmation(now - READ_SECONDS, now)


def list_names(targets: catalog.TargetCatalog) -> list[str]:
    """Return the names of all targets."""
    return sorted(target.name for target in targets.list_all())


def test_removed_entry_is_dropped_at_once(case: support.Case) -> None:
    """A target whose entry is removed is no longer listed."""
    targets, sink = create_catalog()
    change(targets, 1.0, [], removed=('plain-1',))
    case.assertEqual(['plain-2'], list_names(targets))
    case.assertIn(events.Event.TARGET_REMOVED, sink.list_kinds())


def test_complete_read_drops_missing_targets(case: support.Case) -> None:
    """After the store has lost its history, a complete read replaces all."""
    targets, _ = create_catalog()
    change(targets, 1.0, [2], is_complete=True)
    case.assertEqual(['plain-2'], list_names(targets))


def test_expired_entries_have_time_to_return(case: support.Case) -> None:
    """Entries removed after an outage are kept for the grace period."""
    targets, _ = create_catalog()
    change(targets, 5.0, [], removed=('plain-1', 'plain-2'))
    case.assertEqual(['plain-1', 'plain-2'], list_names(targets))
    change(targets, 6.0, [1])
    change(targets, 5.0 + GRACE, [])
    case.assertEqual(['plain-1'], list_names(targets))


def test_removal_after_the_grace_is_final(case: support.Case) -> None:
    """Once the grace period is over, a removed entry is dropped at once."""
    targets, _ = create_catalog()
    change(targets, 5.0, [])
    for second in (6.0, 7.0, 8.0):
        change(targets, second, [])
    change(targets, 9.0, [], removed=('plain-1',))
    case.assertEqual(['plain-2'], list_names(targets))


def test_leaving_target_is_not_ready(case: support.Case) -> None:
    """A leaving target is still listed, but not ready."""
    targets, sink = create_catalog()
    change(targets, 1.0, [1], is_ready=False)
    found = targets.get('plain-1')
    case.assertFalse(found is None or found.is_ready)
    case.assertIn(events.Event.TARGET_LEAVING, sink.list_kinds())


def test_restart_ends_the_previous_incarnation(
    case: support.Case,
) -> None:
    """Listeners are called with the incarnation that has ended."""
    targets, _ = create_catalog()
    ended: list[catalog.LiveTarget] = []
    targets.add_listener(ended.append)
    change(targets, 1.0, [1], born_ms=2)
    case.assertEqual([1], [target.born_ms for target in ended])


def test_entry_of_a_previous_incarnation_is_ignored(
    case: support.Case,
) -> None:
    """A late entry with an earlier version changes nothing."""
    targets, _ = create_catalog()
    change(targets, 1.0, [1], born_ms=5)
    change(targets, 2.0, [1], version=5, born_ms=2, is_ready=False)
    found = targets.get('plain-1')
    case.assertTrue(found is not None and found.is_ready)


def test_restart_after_a_clock_step_is_the_current_incarnation(
    case: support.Case,
) -> None:
    """A target that starts again with an earlier start time was ignored."""
    targets, _ = create_catalog()
    change(targets, 1.0, [1], born_ms=5)
    change(targets, 2.0, [1], born_ms=2)
    found = targets.get('plain-1')
    case.assertEqual(2, found and found.born_ms)
    case.assertTrue(found is not None and targets.is_available(found))


def read_entries(
    targets: catalog.TargetCatalog,
    now: float,
    *entries: tuple[int, catalog.LiveTarget | None],
) -> bool:
    """Apply a read of changes of the first target, given with versions."""
    change = catalog.TargetChange(
        entries=tuple(
            catalog.TargetEntry(
                name='plain-1', version=at(number), target=target
            )
            for number, target in entries
        ),
        version=at(max(number for number, _ in entries)),
        is_complete=False,
    )
    return targets.apply(change, now)


def test_target_that_comes_and_leaves_in_one_read_is_not_used(
    case: support.Case,
) -> None:
    """DRAIN: a host that the store had refused used such a target for good."""
    targets = catalog.TargetCatalog(call_fakes.Sink())
    change(targets, 0.0, [2], is_complete=True)
    target = call_fakes.create_target(1)
    case.assertTrue(read_entries(targets, 9.0, (11, target), (13, None)))
    case.assertEqual(['plain-2'], list_names(targets))
    case.assertFalse(targets.is_available(target))
    change(targets, 10.0, [1], version=11)
    case.assertEqual(['plain-2'], list_names(targets))


def test_target_that_leaves_and_returns_in_one_read_is_used(
    case: support.Case,
) -> None:
    """VERSION: targets that had lapsed in an outage were dropped for good."""
    targets, _ = create_catalog()
    target = call_fakes.create_target(1)
    case.assertTrue(read_entries(targets, 9.0, (11, None), (13, target)))
    case.assertTrue(targets.is_available(target))
    targets.expire(9.0 + GRACE)
    case.assertTrue(targets.is_available(target))


def test_entry_that_is_repaired_in_one_read_is_used(
    case: support.Case,
) -> None:
    """The entry of another writer is not the newest one."""
    targets, _ = create_catalog()
    first, second = (
        call_fakes.create_target(1, born_ms=born_ms) for born_ms in (1, 2)
    )
    read_entries(
        targets, 1.0, (11, None), (12, first), (13, None), (14, second)
    )
    case.assertTrue(targets.is_available(second))
    case.assertFalse(targets.is_available(first))


def test_removal_after_an_outage_is_not_told_to_peers(
    case: support.Case,
) -> None:
    """Hosts that still had the entries of sound targets lost them too."""
    targets, _ = create_catalog()
    change(targets, 10.0, [], removed=('plain-1',))
    targets.expire(10.0 + GRACE)
    case.assertEqual(['plain-2'], list_names(targets))
    case.assertEqual((), targets.list_recent_departures(10.0 + GRACE))
    for second in range(12, 24):
        change(targets, float(second), [])
    change(targets, 24.0, [], removed=('plain-2',))
    case.assertEqual(
        (catalog.Departure(('plain-2', 1), at(241)),),
        targets.list_recent_departures(24.0),
    )


def test_departure_told_by_a_peer_lasts_until_a_later_entry(
    case: support.Case,
) -> None:
    """A read that was sent before shows the target as ready."""
    targets, _ = create_catalog()
    target = targets.get('plain-1')
    assert target is not None
    targets.record_departure(catalog.Departure(PLAIN_1, at(8)), 1.0)
    case.assertFalse(targets.is_available(target))
    for second in (1.5, 2.5, 3.5):
        change(targets, second, [1], version=7)
        case.assertFalse(targets.is_available(target))
    change(targets, 4.5, [1], version=9)
    case.assertTrue(targets.is_available(target))


def test_departure_repeated_after_the_return_is_ignored(
    case: support.Case,
) -> None:
    """VERSION: targets were never used again, as peers repeat departures."""
    targets, _ = create_catalog()
    target = call_fakes.create_target(1)
    change(targets, 1.0, [], removed=('plain-1',), version=8)
    (departure,) = targets.list_recent_departures(1.0)
    change(targets, 3.0, [1], version=9)
    for second in (3.1, 4.0, 5.0):
        targets.record_departure(departure, second)
        case.assertTrue(targets.is_available(target))
    case.assertEqual((), targets.list_recent_departures(3.1))


def test_departure_is_the_newest_word_before_its_entry_is_read(
    case: support.Case,
) -> None:
    """The host then reads older changes, the departure and the return."""
    targets, _ = create_catalog()
    former, target = (
        call_fakes.create_target(1, born_ms=born_ms) for born_ms in (2, 3)
    )
    targets.record_departure(catalog.Departure(('plain-1', 2), at(8)), 1.0)
    read_entries(targets, 2.0, (7, former))
    case.assertFalse(targets.is_available(former))
    read_entries(targets, 3.0, (8, None))
    case.assertEqual(['plain-2'], list_names(targets))
    read_entries(targets, 4.0, (9, target))
    case.assertTrue(targets.is_available(target))


def test_departure_of_a_former_build_lasts_until_a_later_confirmation(
    case: support.Case,
) -> None:
    """Its statuses give no version; a read that was sent later decides."""
    targets, _ = create_catalog()
    target = call_fakes.create_target(1)
    change(targets, 1.0, [1], version=7)
    for told_at in (1.0, 2.0):
        targets.record_departure(catalog.Departure(PLAIN_1), told_at)
        case.assertFalse(targets.is_available(target))
        targets.record_confirmation(told_at - 0.1, told_at + 0.2)
        case.assertFalse(targets.is_available(target))
        targets.record_confirmation(told_at + 0.1, told_at + 0.2)
        case.assertTrue(targets.is_available(target))
    targets.record_departure(catalog.Departure(('plain-1', 9)), 3.0)
    case.assertTrue(targets.is_available(target))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
