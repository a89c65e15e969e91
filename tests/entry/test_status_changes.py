"""Receivers are told what is new to them, the urgent first."""

import asyncio
import typing

from pistachioseam.forwarding import loads
from pistachioseam_entry import runtime
from pistachioseam_entry import status_changes
from pistachioseam_peer.generated import messages_pb2
from tests import call_fakes
from tests import clocks
from tests import fleets
from tests import support

(PEER,) = fleets.create_peers(1, ('d1',))


def create_changes() -> status_changes.StatusChanges:
    """Return changes without receivers."""
    fixture = call_fakes.RouterFixture()
    return status_changes.StatusChanges(fixture.router.runtime)


def list_loading(*names: str) -> tuple[status_changes.Word, ...]:
    """Return the words about loading engines."""
    status = messages_pb2.HostStatus()
    for name in names:
        status.engines.add(target=name, born_ms=1, is_loading=True)
    return status_changes.list_words(status, 0.0)


def test_urgent_statuses_hold_only_new_words(case: support.Case) -> None:
    """Each urgent status of a domain was relayed whole to all hosts."""

    async def run() -> None:
        changes = create_changes()
        words = list_loading('a')
        first = messages_pb2.HostStatus()
        case.assertTrue(changes.add_words(first, PEER, words, False))
        case.assertEqual(['a'], [engine.target for engine in first.engines])
        await asyncio.sleep(status_changes.SLOW_REPEAT_SECONDS)
        second = messages_pb2.HostStatus()
        case.assertFalse(changes.add_words(second, PEER, words, False))
        case.assertEqual(0, second.ByteSize())
        words = list_loading('a', 'b')
        case.assertTrue(changes.add_words(second, PEER, words, False))
        case.assertEqual(['b'], [engine.target for engine in second.engines])

    clocks.run(run())


def test_word_that_holds_again_is_new(case: support.Case) -> None:
    """An engine that loads twice was reported late the second time."""

    async def run() -> None:
        changes = create_changes()
        for words in (list_loading('a'), (), list_loading('a')):
            status = messages_pb2.HostStatus()
            has_words = changes.add_words(status, PEER, words, False)
            case.assertEqual(bool(words), has_words)

    clocks.run(run())


def test_age_of_a_leaving_target_is_no_new_word(case: support.Case) -> None:
    """Each urgent status told of the target again."""

    async def run() -> None:
        changes = create_changes()
        for age_ms in (1, 20, 900):
            told = messages_pb2.HostStatus()
            told.leaving.add(target='a', born_ms=1, age_ms=age_ms)
            words = status_changes.list_words(told, 0.0)
            status = messages_pb2.HostStatus()
            has_words = changes.add_words(status, PEER, words, False)
            case.assertEqual(age_ms == 1, has_words)

    clocks.run(run())


def test_named_weights_are_told_again_if_more_is_known(
    case: support.Case,
) -> None:
    """Hosts learned a second late after what time weights were named."""

    async def run() -> None:
        changes = create_changes()
        known = messages_pb2.HostStatus()
        known.named.add(model='model', weights_version=2)
        for after_ms in (0, 5, 5):
            known.named[0].after_ms = after_ms
            words = status_changes.list_words(known, 0.0)
            status = messages_pb2.HostStatus()
            changes.add_words(status, PEER, words, True)
            known.named[0].predecessor = 1 if after_ms else 0
            case.assertEqual(1, len(status.named))

    clocks.run(run())


def test_loads_without_room_come_first_next_time(case: support.Case) -> None:
    """The same targets would be left out each time."""

    async def run() -> None:
        changes = create_changes()
        current = {key: loads.Load(1, 16, 32) for key in range(20)}
        told: dict[int, loads.Load] = {}
        for _ in range(2):
            status = messages_pb2.HostStatus()
            changes.add_loads(status, PEER, current, 70.0)
            table = status.changes.loads
            case.assertEqual(10, len(table.targets))
            told.update(status_changes.decode_loads(table))
        case.assertEqual(current, told)
        status = messages_pb2.HostStatus()
        await asyncio.sleep(status_changes.LOAD_PAUSE_SECONDS)
        changes.add_loads(status, PEER, {}, 1000.0)
        ended = status_changes.decode_loads(status.changes.loads)
        case.assertEqual(dict.fromkeys(current, loads.NO_LOAD), ended)

    clocks.run(run())


def test_newest_sightings_that_fit_are_sent_once(case: support.Case) -> None:
    """Sightings filled the links of leaders."""

    async def run() -> None:
        changes = create_changes()
        sightings = [
            messages_pb2.CacheSighting(holder='engine', names=[f'part-{n}'])
            for n in range(4)
        ]
        changes.queue_sightings(sightings)
        size = sightings[0].ByteSize() + status_changes.FIELD_BYTES
        taken = changes.take_sightings(2 * size)
        case.assertEqual(sightings[:1:-1], taken)
        changes.queue_sightings(sightings[2:])
        case.assertEqual(sightings[1::-1], changes.take_sightings(1000.0))
        await asyncio.sleep(status_changes.SIGHTING_REFRESH_SECONDS + 0.1)
        changes.queue_sightings(sightings[2:3])
        case.assertEqual(sightings[2:3], changes.take_sightings(1000.0))

    clocks.run(run())


def test_overdrawn_budget_is_paid_back_first(case: support.Case) -> None:
    """What must be sent at once would add to the loads."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture()
        budget = status_changes.ByteBudget(fixture.router.runtime)
        budget.spend(2 * status_changes.BYTES_PER_SECOND)
        await asyncio.sleep(1.0)
        case.assertLess(budget.get_left(), 0)
        await asyncio.sleep(5.0)
        most = status_changes.BYTES_PER_SECOND * status_changes.BURST_SECONDS
        case.assertEqual(most, budget.get_left())

    clocks.run(run())


def test_budget_is_created_before_the_loop_runs(case: support.Case) -> None:
    """Hosts did not start."""
    budget = status_changes.ByteBudget(
        runtime.AsyncioRuntime(typing.cast(typing.Any, None))
    )

    async def run() -> None:
        case.assertGreater(budget.get_left(), 0.0)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
