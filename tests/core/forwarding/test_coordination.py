"""Hosts ask the coordinator of an engine; either of them may fail halfway."""

import asyncio
from collections import abc
import typing

import attrs

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import coordination
from pistachioseam.forwarding import coordinator_clients
from pistachioseam.forwarding import loads
from pistachioseam import membership
from pistachioseam.placement import rendezvous
from pistachioseam_entry import runtime
from tests import call_fakes
from tests import clocks
from tests import fleets
from tests import support

DELAY_SECONDS = 0.001
TARGET = call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)


def create_question(key: int, **fields: typing.Any) -> coordination.Question:
    """Return a question for a small call that does not wait."""
    values: dict[str, typing.Any] = {
        'incarnation': TARGET.get_incarnation(),
        'key': key,
        'prefill_tokens': 40,
        'memory_tokens': 100,
        'priority': 1,
        'objective_seconds': 1.0,
        'objective_left_seconds': 1.0,
        'seconds_left': 5.0,
        'max_wait_seconds': 0.0,
    }
    return coordination.Question(**{**values, **fields})


class Link:
    """Messages to coordinators, which all have one engine of two slots.

    `lost` coordinators get no message, `frozen` ones handle them once awake,
    and of those in `deaf` no answer arrives. `asked` has the questions sent.
    """

    def __init__(self, hosts: int = 3) -> None:
        self.sink = call_fakes.Sink()
        self.runtime = runtime.AsyncioRuntime(self.sink)
        self.peers = fleets.create_peers(hosts, ['d1'])
        self.lost: set[str] = set()
        self.frozen: dict[str, asyncio.Event] = {}
        self.deaf: set[str] = set()
        self.known = {TARGET.get_incarnation()}
        self.load = loads.NO_LOAD
        self.asked: list[tuple[str, coordination.Question]] = []
        engine = call_fakes.create_state(slots=2).find_service(
            call_fakes.ENGINE_SERVICE
        )
        assert engine is not None
        self.coordinators = {
            peer.name: coordination.Coordinator(
                self.runtime,
                lambda name: engine.engine if name in self.known else None,
                lambda name: self.load,
            )
            for peer in self.peers
        }

    def create_client(self) -> coordinator_clients.CoordinatorClient:
        """Return the client of one host."""
        return coordinator_clients.CoordinatorClient(
            self.runtime,
            self,
            rendezvous.RendezvousHash(),
            lambda domain: DELAY_SECONDS,
            self.sink,
        )

    def is_enabled(self) -> bool:
        """Return that there are coordinators."""
        return True

    def list_coordinators(self, domain: str) -> abc.Sequence[membership.Peer]:
        """Return all hosts."""
        return self.peers

    async def ask(
        self,
        peer: membership.Peer,
        question: coordination.Question,
        seconds: float,
    ) -> coordination.Answer | None:
        """Return the answer; a coordinator does not learn of a timeout."""
        self.asked.append((peer.name, question))
        if peer.name in self.lost:
            await asyncio.sleep(seconds)
            return None
        task = asyncio.ensure_future(self._deliver(peer.name, question))
        try:
            async with asyncio.timeout(seconds):
                return await asyncio.shield(task)
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            task.cancel()
            raise

    async def _deliver(
        self, name: str, question: coordination.Question
    ) -> coordination.Answer | None:
        await asyncio.sleep(DELAY_SECONDS)
        if name in self.frozen:
            await self.frozen[name].wait()
        answer = await self.coordinators[name].admit(question)
        await asyncio.sleep(60.0 if name in self.deaf else DELAY_SECONDS)
        return answer

    def report(
        self, peer: membership.Peer, progress: coordination.Progress
    ) -> None:
        """Deliver a report, in the order of the messages."""
        self.runtime.start(self._report(peer.name, progress))

    async def _report(
        self, name: str, progress: coordination.Progress
    ) -> None:
        await asyncio.sleep(DELAY_SECONDS)
        if name in self.frozen:
            await self.frozen[name].wait()
        if name not in self.lost:
            self.coordinators[name].record_progress(progress)

    def count_admitted(self, name: str) -> int:
        """Return the number of admitted calls at a coordinator."""
        queue = self.coordinators[name]._queues.get(TARGET.get_incarnation())
        return queue.count_admitted() if queue is not None else 0

    def list_asked(self) -> list[str]:
        """Return the names of the coordinators asked, and forget them."""
        names = [name for name, _ in self.asked]
        self.asked.clear()
        return names


async def find_order(link: Link) -> list[str]:
    """Return the coordinators of the engine in the order of asking."""
    client = link.create_client()
    lost, link.lost = link.lost, set(link.coordinators)
    await client.ask(TARGET, create_question(1000))
    link.lost = lost
    return link.list_asked()


async def admit(
    client: coordinator_clients.CoordinatorClient,
    key: int,
    **fields: typing.Any,
) -> coordinator_clients.Ticket:
    """Return the ticket of a call that has to be admitted."""
    asked = await client.ask(TARGET, create_question(key, **fields))
    assert asked is not None and asked.ticket is not None
    return asked.ticket


def test_all_hosts_ask_the_same_coordinator(case: support.Case) -> None:
    """Two hosts filled an engine's slots twice."""

    async def run() -> None:
        link = Link()
        for key in (1, 2):
            await admit(link.create_client(), key)
        asked = await link.create_client().ask(TARGET, create_question(3))
        assert asked is not None
        case.assertIsNone(asked.ticket)
        case.assertEqual(1, len(set(link.list_asked())))

    clocks.run(run())


def test_call_waits_for_a_slot(case: support.Case) -> None:
    """A call was turned away though a slot became free in time."""

    async def run() -> None:
        link = Link()
        client = link.create_client()
        tickets = [await admit(client, key) for key in (1, 2)]
        waiting = asyncio.ensure_future(admit(client, 3, max_wait_seconds=0.3))
        await asyncio.sleep(0.1)
        case.assertFalse(waiting.done())
        client.report_begun(tickets[0])
        client.report_ended(tickets[0])
        await asyncio.sleep(0.01)
        case.assertTrue(waiting.done())

    clocks.run(run())


def test_call_is_answered_within_its_wait(case: support.Case) -> None:
    """A coordinator that made a call wait was taken for a lost one."""

    async def run() -> None:
        link = Link()
        client = link.create_client()
        for key in (1, 2):
            await admit(client, key)
        started_at = link.runtime.now()
        question = create_question(3, max_wait_seconds=0.3)
        asked = await client.ask(TARGET, question)
        assert asked is not None
        case.assertIsNone(asked.ticket)
        case.assertAlmostEqual(
            0.3, link.runtime.now() - started_at, delta=0.03
        )
        case.assertEqual(0, client.unanswered)

    clocks.run(run())


def test_lost_coordinator_is_skipped(case: support.Case) -> None:
    """Each call waited for a lost coordinator."""

    async def run() -> None:
        link = Link()
        first, second = await find_order(link)
        link.lost = {first}
        client = link.create_client()
        started_at = link.runtime.now()
        ticket = await admit(client, 1)
        case.assertEqual(second, ticket.coordinator.name)
        case.assertLess(link.runtime.now() - started_at, 0.16)
        case.assertEqual([first, second], link.list_asked())
        case.assertIn(
            events.Event.COORDINATOR_UNANSWERED, link.sink.list_kinds()
        )
        await admit(client, 2)
        case.assertEqual([second], link.list_asked())
        client.report_ended(ticket)
        link.lost.clear()
        await asyncio.sleep(coordinator_clients.MIN_SUSPICION_SECONDS)
        await admit(client, 3)
        case.assertEqual([first], link.list_asked())

    clocks.run(run())


def test_next_coordinator_learns_the_time_left(case: support.Case) -> None:
    """A call that had waited for a lost coordinator seemed to be new."""

    async def run() -> None:
        link = Link()
        link.lost = {(await find_order(link))[0]}
        await admit(
            link.create_client(),
            1,
            objective_left_seconds=0.1,
            seconds_left=0.5,
        )
        (_, first), (_, second) = link.asked
        waited = coordinator_clients.ANSWER_MARGIN_SECONDS + 2 * DELAY_SECONDS
        case.assertAlmostEqual(
            first.seconds_left - waited, second.seconds_left
        )
        case.assertAlmostEqual(
            first.objective_left_seconds - waited,
            second.objective_left_seconds,
        )

    clocks.run(run())


def test_without_coordinators_the_host_decides(case: support.Case) -> None:
    """A call waited for one lost coordinator after the other."""

    async def run() -> None:
        link = Link(hosts=2)
        link.lost = set(link.coordinators)
        client = link.create_client()
        started_at = link.runtime.now()
        case.assertIsNone(await client.ask(TARGET, create_question(1)))
        case.assertLess(link.runtime.now() - started_at, 0.32)
        case.assertEqual(2, len(link.list_asked()))
        case.assertIsNone(await client.ask(TARGET, create_question(2)))
        case.assertEqual([], link.list_asked())

    clocks.run(run())


def test_late_answer_of_a_frozen_coordinator_is_void(
    case: support.Case,
) -> None:
    """A coordinator that woke counted calls that were sent by others."""

    async def run() -> None:
        link = Link()
        first, second = await find_order(link)
        link.frozen[first] = asyncio.Event()
        ticket = await admit(link.create_client(), 1)
        case.assertEqual(second, ticket.coordinator.name)
        await asyncio.sleep(1.0)
        link.frozen.pop(first).set()
        await clocks.run_pending()
        case.assertEqual(0, link.count_admitted(first))
        case.assertEqual(1, link.count_admitted(second))

    clocks.run(run())


def test_grant_whose_answer_is_lost_is_released(case: support.Case) -> None:
    """A lost answer kept a slot until the call's time limit."""

    async def run() -> None:
        link = Link()
        first, _ = await find_order(link)
        link.deaf.add(first)
        asking = asyncio.ensure_future(admit(link.create_client(), 1))
        await asyncio.sleep(0.1)
        case.assertEqual(1, link.count_admitted(first))
        await asking
        await asyncio.sleep(0.01)
        case.assertEqual(0, link.count_admitted(first))

    clocks.run(run())


def test_two_coordinators_count_their_own_calls(case: support.Case) -> None:
    """Reports went to a coordinator that had not admitted the call."""

    async def run() -> None:
        link = Link()
        first, second = await find_order(link)
        client, other = link.create_client(), link.create_client()
        await admit(client, 1)
        link.lost = {first}
        ticket = await admit(other, 2)
        link.lost.clear()
        case.assertEqual(second, ticket.coordinator.name)
        other.report_begun(ticket)
        other.report_ended(ticket)
        await asyncio.sleep(0.01)
        case.assertEqual(1, link.count_admitted(first))
        case.assertEqual(0, link.count_admitted(second))

    clocks.run(run())


def test_caller_that_leaves_gives_up_its_place(case: support.Case) -> None:
    """A caller that left while waiting got a slot that nobody used."""

    async def run() -> None:
        link = Link()
        client = link.create_client()
        tickets = [await admit(client, key) for key in (1, 2)]
        name = tickets[0].coordinator.name
        question = create_question(3, max_wait_seconds=0.3)
        waiting = asyncio.ensure_future(client.ask(TARGET, question))
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.wait([waiting])
        await clocks.run_pending()
        case.assertEqual(0, link.coordinators[name].count_waiting())
        client.report_ended(tickets[0])
        await asyncio.sleep(0.1)
        case.assertEqual(1, link.count_admitted(name))

    clocks.run(run())


def test_caller_that_leaves_with_the_answer_under_way(
    case: support.Case,
) -> None:
    """A call that was admitted as its caller left kept its slot."""

    async def run() -> None:
        link = Link()
        first, _ = await find_order(link)
        asking = asyncio.ensure_future(
            link.create_client().ask(TARGET, create_question(1))
        )
        await asyncio.sleep(1.5 * DELAY_SECONDS)
        case.assertEqual(1, link.count_admitted(first))
        asking.cancel()
        await asyncio.sleep(0.01)
        case.assertEqual(0, link.count_admitted(first))

    clocks.run(run())


def test_end_of_an_incarnation_ends_its_queue(case: support.Case) -> None:
    """Calls waited for an engine that had ended; its slots stayed taken."""

    async def run() -> None:
        link = Link()
        client = link.create_client()
        tickets = [await admit(client, key) for key in (1, 2)]
        name = tickets[0].coordinator.name
        coordinator = link.coordinators[name]
        question = create_question(3, max_wait_seconds=0.3)
        waiting = asyncio.ensure_future(client.ask(TARGET, question))
        await asyncio.sleep(0.1)
        restarted = attrs.evolve(TARGET, born_ms=TARGET.born_ms + 1)
        link.known = {restarted.get_incarnation()}
        coordinator.forget(TARGET.get_incarnation())
        asked = await waiting
        assert asked is not None
        case.assertIsNone(asked.ticket)
        case.assertEqual(0, coordinator.count_queues())
        question = create_question(4, incarnation=restarted.get_incarnation())
        asked = await client.ask(restarted, question)
        assert asked is not None
        case.assertIsNotNone(asked.ticket)
        client.report_ended(tickets[0])
        await asyncio.sleep(0.01)
        queue = coordinator._queues[restarted.get_incarnation()]
        case.assertEqual(1, queue.count_admitted())

    clocks.run(run())


def test_coordinator_without_the_engine_is_not_suspected(
    case: support.Case,
) -> None:
    """A new engine made hosts avoid coordinators that had not read of it.

    They then skipped them for their other engines, too.
    """

    async def run() -> None:
        link = Link()
        first, second = await find_order(link)
        client = link.create_client()
        link.known.clear()
        case.assertIsNone(await client.ask(TARGET, create_question(1)))
        case.assertEqual([first, second], link.list_asked())
        case.assertEqual(0, client.unanswered)
        link.known.add(TARGET.get_incarnation())
        await admit(client, 2)
        case.assertEqual([first], link.list_asked())

    clocks.run(run())


def test_takeover_starts_from_the_reported_load(case: support.Case) -> None:
    """A new coordinator took a full engine for an idle one."""

    async def run() -> None:
        link = Link()
        link.load = loads.Load(runs=2)
        client = link.create_client()
        asked = await client.ask(TARGET, create_question(1))
        assert asked is not None
        case.assertIsNone(asked.ticket)

    clocks.run(run())


def test_queue_with_running_calls_is_kept(case: support.Case) -> None:
    """The calls of a long run were forgotten when no others came."""

    async def run() -> None:
        link = Link()
        client = link.create_client()
        ticket = await admit(client, 1, seconds_left=60.0)
        client.report_begun(ticket)
        await asyncio.sleep(coordination.QUEUE_EXPIRY_SECONDS + 1.0)
        coordinator = link.coordinators[ticket.coordinator.name]
        other: catalog.Incarnation = ('other', 1)
        link.known.add(other)
        await coordinator.admit(create_question(2, incarnation=other))
        case.assertEqual(1, link.count_admitted(ticket.coordinator.name))
        client.report_ended(ticket)
        await asyncio.sleep(coordination.QUEUE_EXPIRY_SECONDS + 1.0)
        third: catalog.Incarnation = ('third', 1)
        link.known.add(third)
        await coordinator.admit(create_question(3, incarnation=third))
        case.assertEqual(0, link.count_admitted(ticket.coordinator.name))
        case.assertNotIn(TARGET.get_incarnation(), coordinator._queues)

    clocks.run(run())


def test_answers_tell_the_backlog_for_a_while(case: support.Case) -> None:
    """Hosts placed calls by an answer that was long outdated."""

    async def run() -> None:
        link = Link()
        client = link.create_client()
        now = link.runtime.now()
        case.assertIsNone(client.get_backlog_seconds(TARGET.name, now))
        await admit(client, 1, prefill_tokens=8_000)
        now = link.runtime.now()
        backlog = client.get_backlog_seconds(TARGET.name, now)
        case.assertAlmostEqual(0.2, backlog or 0.0)
        backlog = client.get_backlog_seconds(TARGET.name, now + 0.15)
        case.assertAlmostEqual(0.05, backlog or 0.0)
        later = now + coordinator_clients.VIEW_SECONDS + 0.01
        case.assertIsNone(client.get_backlog_seconds(TARGET.name, later))
        await client.ask(TARGET, create_question(2, prefill_tokens=20_000))
        client.forget(TARGET.name)
        case.assertIsNone(client.get_backlog_seconds(TARGET.name, now))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Return the test functions as unittest cases."""
    return support.load_functions(globals())
