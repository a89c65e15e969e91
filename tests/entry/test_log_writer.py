"""Logging neither blocks the process nor exceeds its volume limits."""

import os
import time

from pistachioseam import events
from pistachioseam_entry import log_budget
from pistachioseam_entry import log_writer
from tests import support

LINE = 'x' * 199 + '\n'


def test_stopped_reader_does_not_block_writes(case: support.Case) -> None:
    """With a full pipe, lines beyond the buffer are dropped and counted."""
    reader, writer = os.pipe()
    case.addCleanup(os.close, reader)
    case.addCleanup(os.close, writer)
    log = log_writer.LogWriter(writer)
    started = time.monotonic()
    for _ in range(10_000):
        log.write(LINE)
    case.assertLess(time.monotonic() - started, 1.0)
    dropped = log.take_dropped()
    case.assertGreater(dropped, 0)
    case.assertEqual(0, log.take_dropped())
    kept = 0
    os.set_blocking(reader, False)
    while True:
        try:
            kept += os.read(reader, 65_536).count(b'\n')
        except BlockingIOError:
            log.flush()
            try:
                kept += os.read(reader, 65_536).count(b'\n')
            except BlockingIOError:
                break
    case.assertEqual(10_000, kept + dropped)


def test_closed_reader_raises_no_error(case: support.Case) -> None:
    """Writing to a closed pipe drops the line and does not raise."""
    reader, writer = os.pipe()
    case.addCleanup(os.close, writer)
    os.close(reader)
    log = log_writer.LogWriter(writer)
    log.write(LINE)
    case.assertEqual(1, log.take_dropped())


def test_volume_is_bounded_except_for_errors(case: support.Case) -> None:
    """Events of successful calls have a lower limit than others.

    Errors have none.
    """
    budget = log_budget.LineBudget()
    seconds, per_second = 10, 1000
    written = {event: 0 for event in events.Event}
    logged_events = (
        events.Event.REQUEST_ENDED,
        events.Event.REQUEST_REFUSED,
        events.Event.INTERNAL_ERROR,
    )
    for number in range(seconds * per_second):
        for event in logged_events:
            written[event] += budget.take(event, number / per_second)
    ended, refused, errors = (written[event] for event in logged_events)
    max_lines = log_budget.ROUTINE_LINES_PER_SECOND * (
        seconds + log_budget.BURST_SECONDS
    )
    case.assertLessEqual(ended, max_lines + 1)
    case.assertGreater(refused, ended)
    case.assertEqual(seconds * per_second, errors)
    omitted = budget.take_omitted()
    number = events.Event.REQUEST_ENDED.value.number
    case.assertEqual(seconds * per_second - ended, omitted[number])
    case.assertEqual({}, budget.take_omitted())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
