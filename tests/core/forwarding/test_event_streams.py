"""Events are delivered whole, once and in order."""

from pistachioseam.forwarding import event_streams
from tests import call_fakes
from tests import support

Verdict = event_streams.Verdict
event = call_fakes.event


def test_events_are_split_wherever_bytes_end(case: support.Case) -> None:
    """The split does not depend on the pieces that arrive."""
    data = event(1) + event(2) + event(3)
    for size in range(1, len(data)):
        splitter = event_streams.EventSplitter()
        found = []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        case.assertEqual([1, 2, 3], [item.event_id for item in found])
        case.assertEqual(data, b''.join(item.data for item in found))
        case.assertTrue(splitter.is_between_events())


def test_rest_of_an_event_is_kept_back(case: support.Case) -> None:
    """Half an event is not between events."""
    splitter = event_streams.EventSplitter()
    case.assertEqual([], splitter.feed(event(1)[:-1]))
    case.assertFalse(splitter.is_between_events())


def test_order_skips_repeats_and_finds_gaps(case: support.Case) -> None:
    """The first event may have any id."""
    order = event_streams.EventOrder()
    numbers = (4, 5, 4, 5, 6, 8)
    verdicts = [
        order.judge(event_streams.StreamEvent(number, b''))
        for number in numbers
    ]
    deliver, skip, gap = Verdict.DELIVER, Verdict.SKIP, Verdict.GAP
    case.assertEqual([deliver, deliver, skip, skip, deliver, gap], verdicts)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
