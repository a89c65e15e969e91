"""Loads sum the work in flight of all hosts."""

from pistachioseam.forwarding import loads
from tests import support


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


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
