"""Requests wait for a slot, go on after a close, and end at their deadline."""

from collections import abc

from twisted.internet import task

from pistachioseam_standins import run_queues
from tests import support

RUN_SECONDS = 1.0
LINGER_SECONDS = 1.5
DEADLINE_SECONDS = 3.0


class Queue:
    """Queue of one slot; `begun` holds the begins, as name and seconds."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.begun: list[tuple[str, float]] = []
        self.queue = run_queues.RunQueue(1, LINGER_SECONDS, self.clock)

    def add(
        self, name: str, seconds_left: float = DEADLINE_SECONDS
    ) -> run_queues.Run:
        """Add a request that records its begin."""
        return self.queue.add(RUN_SECONDS, seconds_left, self._record(name))

    def _record(self, name: str) -> abc.Callable[[], None]:
        return lambda: self.begun.append((name, self.clock.seconds()))

    def advance(self, seconds: float) -> None:
        """Let time pass in steps."""
        self.clock.pump([0.25] * int(seconds / 0.25))


def test_requests_begin_one_after_another(case: support.Case) -> None:
    """Guards against runs that all begin on arrival."""
    queue = Queue()
    for name in ('a', 'b', 'c'):
        queue.add(name)
    case.assertEqual(1, queue.queue.count_running())
    case.assertEqual(2, queue.queue.count_waiting())
    queue.advance(DEADLINE_SECONDS)
    case.assertEqual([('a', 0.0), ('b', 1.0), ('c', 2.0)], queue.begun)


def test_request_whose_caller_has_left_may_still_begin(
    case: support.Case,
) -> None:
    """One that waits longer than it lingers does not."""
    queue = Queue()
    runs = [queue.add(name) for name in ('a', 'b', 'c')]
    queue.queue.leave(runs[2])
    queue.advance(0.25)
    queue.queue.leave(runs[1])
    queue.advance(DEADLINE_SECONDS)
    case.assertEqual([('a', 0.0), ('b', 1.0)], queue.begun)
    case.assertFalse(runs[2].has_begun)
    case.assertTrue(runs[1].is_stopped)


def test_request_does_not_begin_after_its_deadline(
    case: support.Case,
) -> None:
    """It has not run then; one that runs is stopped."""
    queue = Queue()
    first = queue.add('a', seconds_left=0.75)
    second = queue.add('b', seconds_left=0.5)
    queue.advance(DEADLINE_SECONDS)
    case.assertEqual([('a', 0.0)], queue.begun)
    case.assertTrue(first.is_stopped)
    case.assertFalse(queue.queue.count_running())
    case.assertFalse(second.has_begun)


def test_load_waits_for_runs_and_rejects_the_others(
    case: support.Case,
) -> None:
    """Guards against a request that begins while weights are loaded."""
    queue = Queue()
    queue.add('a')
    waiting = queue.add('b')
    idle_at: list[float] = []
    queue.queue.reject_waiting()
    queue.queue.call_when_idle(lambda: idle_at.append(queue.clock.seconds()))
    case.assertTrue(waiting.is_over)
    case.assertEqual([], idle_at)
    queue.advance(DEADLINE_SECONDS)
    case.assertEqual([RUN_SECONDS], idle_at)
    case.assertEqual([('a', 0.0)], queue.begun)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
