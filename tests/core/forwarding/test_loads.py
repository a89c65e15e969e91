"""Loads sum the work in flight of all hosts."""

from pistachioseam.forwarding import loads
from tests import support

KEY = loads.hash_target('t')


def test_own_and_peers_loads_are_added(case: support.Case) -> None:
    """The loads of a silent peer expire."""
    tracker = loads.LoadTracker()
    tracker.start_call('t', 100, 50, now=1.0)
    tracker.record_peer_loads('p', {'t': loads.Load(2, 10, 5)}, 1.0)
    case.assertEqual(loads.Load(3, 110, 55), tracker.get('t', 2.0))
    expired_at = 1.0 + loads.PEER_LOAD_TTL_SECONDS
    case.assertEqual(loads.Load(1, 100, 50), tracker.get('t', expired_at))


def test_call_with_first_byte_has_no_prefill(case: support.Case) -> None:
    """After its first byte a call takes KV cache memory until it ends."""
    tracker = loads.LoadTracker()
    work = tracker.start_call('t', 100, 50, 20, is_urgent=True, now=1.0)
    case.assertEqual(50, tracker.get('t', 1.0).urgent_tokens)
    tracker.finish_prefill(work)
    case.assertEqual(loads.Load(1, 100), tracker.get('t', 1.0))
    tracker.finish(work)
    case.assertEqual(loads.NO_LOAD, tracker.get('t', 1.0))
    case.assertEqual({}, tracker.get_own_loads())


def test_transfers_do_not_count_as_runs(case: support.Case) -> None:
    """A transfer adds to its source's transfer time, but not to its runs."""
    tracker = loads.LoadTracker()
    work = tracker.start_transfer('store', 40)
    load = tracker.get('store', 1.0)
    case.assertEqual((0, 40), (load.runs, load.transfer_ms))
    tracker.finish(work)
    case.assertEqual(loads.NO_LOAD, tracker.get('store', 1.0))


def test_overdue_calls_are_counted(case: support.Case) -> None:
    """Only old calls without a first byte count as overdue."""
    tracker = loads.LoadTracker()
    old = tracker.start_call('t', 0, 0, now=1.0)
    tracker.start_call('t', 0, 0, now=5.0)
    case.assertEqual(1, tracker.count_overdue('t', 4.0))
    tracker.finish_prefill(old)
    case.assertEqual(0, tracker.count_overdue('t', 4.0))


def test_table_of_the_fleet_replaces_reports(case: support.Case) -> None:
    """A deputy counted calls twice that it was told of by two hosts."""
    tracker = loads.LoadTracker()
    tracker.start_call('t', 16, 0)
    tracker.record_peer_loads('p', {'t': loads.Load(2, 32)}, 1.0)
    tracker.update_table('domain d2', 's:1', {KEY: loads.Load(3, 48)}, 1.0)
    case.assertEqual(loads.Load(6, 96), tracker.get('t', 1.0))
    others = tracker.subtract_peer(tracker.sum_all(1.0), 'p')
    case.assertEqual(loads.Load(4, 64), others[KEY])
    fleet = {KEY: loads.Load(5, 80)}
    tracker.update_table(loads.FLEET_SOURCE, 'l:1', fleet, 1.0)
    case.assertEqual(loads.Load(6, 96), tracker.get('t', 1.0))
    others = tracker.subtract_peer(tracker.sum_all(1.0), 'p')
    case.assertEqual(loads.Load(4, 64), others[KEY])
    expired_at = 1.0 + loads.PEER_LOAD_TTL_SECONDS
    case.assertEqual(loads.Load(1, 16), tracker.get('t', expired_at))


def test_loads_without_change_last_as_long_as_their_sender(
    case: support.Case,
) -> None:
    """Those that a lost leader has told expire, though a new one sends."""
    tracker = loads.LoadTracker()
    tracker.update_table('', 'l:1', {KEY: loads.Load(5, 80)}, 1.0)
    tracker.update_table('', 'l:1', {}, 2.9)
    case.assertEqual(5, tracker.get('t', 4.0).runs)
    tracker.update_table('', 'l:2', {}, 4.0)
    case.assertEqual(loads.NO_LOAD, tracker.get('t', 4.0))
    tracker.update_table('', 'l:2', {KEY: loads.Load(5, 80)}, 4.0)
    tracker.update_table('', 'l:2', {KEY: loads.NO_LOAD}, 4.1)
    case.assertEqual(loads.NO_LOAD, tracker.get('t', 4.1))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
