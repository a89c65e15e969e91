"""Registered entries of targets are added, changed, expired and removed."""

from pistachioseam import events
from pistachioseam.forwarding import catalog
from tests import call_fakes
from tests import support

GRACE = catalog.REREGISTRATION_GRACE_SECONDS


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
    **fields: object,
) -> None:
    """Apply a read at `now` of the targets with these numbers."""
    entries = tuple(
        call_fakes.create_target(number, **fields) for number in numbers
    )
    targets.apply(
        catalog.TargetChange(
            entries=entries, removed=removed, is_complete=is_complete
        ),
        now,
    )


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
    """A late entry with an earlier start time changes nothing."""
    targets, _ = create_catalog()
    change(targets, 1.0, [1], born_ms=5)
    change(targets, 2.0, [1], born_ms=2, is_ready=False)
    found = targets.get('plain-1')
    case.assertTrue(found is not None and found.is_ready)


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
    case.assertEqual((('plain-2', 1),), targets.list_recent_departures(24.0))


def test_departure_told_by_a_peer_lasts_until_a_later_read(
    case: support.Case,
) -> None:
    """A read that was sent before shows the target as ready."""
    targets, _ = create_catalog()
    target = targets.get('plain-1')
    assert target is not None
    targets.record_departure(target.get_incarnation(), 1.0)
    case.assertFalse(targets.is_available(target))
    change(targets, 1.5, [1])
    case.assertFalse(targets.is_available(target))
    change(targets, 2.5, [1])
    case.assertTrue(targets.is_available(target))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
