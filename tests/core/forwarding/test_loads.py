"""Loads are the sum of what all hosts have sent."""

from pistachioseam.forwarding import loads
from tests import support


def test_own_and_peers_loads_are_added(case: support.Case) -> None:
    """A silent peer's word is dropped after a while."""
    board = loads.LoadBoard()
    board.begin('t', 100, 50, now=1.0)
    board.note_peer('p', {'t': loads.Load(2, 10, 5)}, 1.0)
    case.assertEqual(loads.Load(3, 110, 55), board.get('t', 2.0))
    late = 1.0 + loads.PEER_SECONDS
    case.assertEqual(loads.Load(1, 100, 50), board.get('t', late))


def test_answered_call_has_nothing_left_to_read(case: support.Case) -> None:
    """It keeps its memory until it ends."""
    board = loads.LoadBoard()
    ticket = board.begin('t', 100, 50, 20, is_urgent=True, now=1.0)
    case.assertEqual(50, board.get('t', 1.0).urgent_tokens)
    board.note_prefilled(ticket)
    case.assertEqual(loads.Load(1, 100), board.get('t', 1.0))
    board.end(ticket)
    case.assertEqual(loads.NO_LOAD, board.get('t', 1.0))
    case.assertEqual({}, board.get_own())


def test_transfers_are_no_runs(case: support.Case) -> None:
    """A source is busy with a transfer, but has no run for it."""
    board = loads.LoadBoard()
    ticket = board.begin_transfer('store', 40)
    load = board.get('store', 1.0)
    case.assertEqual((0, 40), (load.runs, load.transfer_ms))
    board.end(ticket)
    case.assertEqual(loads.NO_LOAD, board.get('store', 1.0))


def test_unanswered_calls_are_counted(case: support.Case) -> None:
    """Only calls that are old and have no answer yet."""
    board = loads.LoadBoard()
    old = board.begin('t', 0, 0, now=1.0)
    board.begin('t', 0, 0, now=5.0)
    case.assertEqual(1, board.count_overdue('t', 4.0))
    board.note_prefilled(old)
    case.assertEqual(0, board.count_overdue('t', 4.0))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
