"""Server-sent events are split correctly and delivered once, in order."""

from pistachioseam.forwarding import event_streams
from tests import call_fakes
from tests import support

EventAction = event_streams.EventAction
event = call_fakes.event


def test_events_are_split_at_any_chunk_size(case: support.Case) -> None:
    """The split does not depend on the sizes of the received chunks."""
    data = event(1) + event(2) + event(3)
    for size in range(1, len(data)):
        splitter = event_streams.EventSplitter()
        found = []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        case.assertEqual([1, 2, 3], [item.event_id for item in found])
        case.assertEqual(data, b''.join(item.data for item in found))
        case.assertTrue(splitter.is_between_events())


def test_partial_event_is_buffered(case: support.Case) -> None:
    """An incomplete event is not returned until its end arrives."""
    splitter = event_streams.EventSplitter()
    case.assertEqual([], splitter.feed(event(1)[:-1]))
    case.assertFalse(splitter.is_between_events())


def test_duplicates_are_skipped_and_gaps_found(case: support.Case) -> None:
    """Ids must be consecutive after the first, which may be any number."""
    sequence = event_streams.EventSequence()
    numbers = (4, 5, 4, 5, 6, 8)
    actions = [
        sequence.check_next(event_streams.StreamEvent(number, b''))
        for number in numbers
    ]
    deliver, skip, gap = EventAction.DELIVER, EventAction.SKIP, EventAction.GAP
    case.assertEqual([deliver, deliver, skip, skip, deliver, gap], actions)


def test_other_bytes_among_numbered_events_are_a_gap(
    case: support.Case,
) -> None:
    """They neither reach the caller nor hide that events are missing.

    A target in trouble may send bytes that look like an event. Comments are
    legal anywhere.
    """
    deliver, gap = EventAction.DELIVER, EventAction.GAP
    sequence = event_streams.EventSequence()
    stream = event(4) + b': ping\n\n' + event(6) + b'\x00 junk\n\n'
    actions = [
        sequence.check_next(item)
        for item in event_streams.EventSplitter().feed(stream)
    ]
    case.assertEqual([deliver, deliver, gap, gap], actions)
    case.assertEqual(4, sequence.last_id)
    sequence = event_streams.EventSequence()
    unnumbered = event_streams.StreamEvent(None, b'data: x\n\n')
    case.assertIs(deliver, sequence.check_next(unnumbered))
    case.assertIs(deliver, sequence.check_next(unnumbered))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
