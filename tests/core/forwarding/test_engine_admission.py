"""Model calls are sent once the coordinator of an engine admits them."""

import asyncio
import typing

import attrs

from pistachioseam import events
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import coordination
from pistachioseam.forwarding import coordinator_clients
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import engine_admission
from pistachioseam.forwarding import freshness
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import router as routers
from pistachioseam.forwarding.steps import forward
from pistachioseam import membership
from tests import call_fakes
from tests import clocks
from tests import support

Kind = call_fakes.Kind
PEER = membership.Peer(
    name='host-1', incarnation='host-1:1', domain='d1', address='10.0.1.1:1'
)
PROMPT = prompts.Prompt(
    model=call_fakes.MODEL,
    prompt_tokens=1000,
    output_tokens=10,
    parts=(prompts.Part('own', 1000),),
)
GRANT = 0.05
"""Answer that admits the call, with its expected time to first byte."""


@attrs.frozen
class Reject:
    """Answer that rejects the call."""

    expected_seconds: float


Answer: typing.TypeAlias = float | Reject | None


class Coordinators:
    """Coordinators that answer by a script, and then with its last answer.

    A call is granted by the expected time, and None is no answer.
    `delay_seconds` is what each answer takes.
    """

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.delay_seconds = 0.0
        self.is_large = True
        self.asked: list[tuple[str, coordination.Question]] = []
        self.begun: list[int] = []
        self.ended: list[int] = []

    def is_enabled(self) -> bool:
        """Return whether the fleet is large."""
        return self.is_large

    async def ask(
        self, target: catalog.LiveTarget, question: coordination.Question
    ) -> coordinator_clients.Admission | None:
        """Return the next answer."""
        self.asked.append((target.name, question))
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.pop(0)
        await asyncio.sleep(self.delay_seconds)
        if answer is None:
            return None
        if isinstance(answer, Reject):
            if answer.expected_seconds <= question.seconds_left:
                await asyncio.sleep(question.max_wait_seconds)
            return coordinator_clients.Admission(
                ticket=None, expected_seconds=answer.expected_seconds
            )
        ticket = coordinator_clients.Ticket(
            question.key, PEER, target.name, answer
        )
        return coordinator_clients.Admission(
            ticket=ticket, expected_seconds=answer
        )

    def report_begun(self, ticket: coordinator_clients.Ticket) -> None:
        """Record that a call has begun."""
        self.begun.append(ticket.key)

    def report_ended(self, ticket: coordinator_clients.Ticket) -> None:
        """Record that a call has ended, or was not sent."""
        self.ended.append(ticket.key)

    def get_backlog_seconds(self, target: str, now: float) -> float | None:
        """Return that nothing is known."""
        return None

    def list_waits(self) -> list[float]:
        """Return how long the questions were to wait."""
        return [question.max_wait_seconds for _, question in self.asked]

    def list_keys(self) -> list[int]:
        """Return the keys of the questions."""
        return [question.key for _, question in self.asked]


def create_state(is_prioritized: bool = True) -> desired.DesiredState:
    """Return a state with prompts of two priorities at the engines."""
    state = call_fakes.create_state(2 if is_prioritized else 3)
    routes = [
        attrs.evolve(route, priority=2 if is_prioritized else 1)
        if route.name == 'resumable'
        else route
        for route in state.routes
    ]
    return attrs.evolve(state, routes=tuple(routes))


def create_fixture(
    coordinators: Coordinators, engines: int = 5
) -> call_fakes.RouterFixture:
    """Return a host in a large fleet."""
    fixture = call_fakes.RouterFixture(
        call_fakes.create_engines(*['v1'] * engines)
    )
    fixture.set_state(create_state())
    fixture.router.coordinators = typing.cast(
        coordinator_clients.CoordinatorClient, coordinators
    )
    return fixture


def respond() -> list[call_fakes.Step]:
    """Return a complete response of an engine."""
    return [call_fakes.respond(chunks=(call_fakes.event(1),))]


async def serve(
    fixture: call_fakes.RouterFixture,
    *script: list[call_fakes.Step],
    **fields: typing.Any,
) -> calls.Call:
    """Return a call with a prompt after it was served or refused."""
    call, _ = await fixture.serve(
        '/stream/', *script, **{'prompt': PROMPT, **fields}
    )
    return call


def test_admitted_call_is_sent_and_reported(case: support.Case) -> None:
    """A slot stayed taken after the end of a call."""

    async def run() -> None:
        coordinators = Coordinators(GRANT)
        fixture = create_fixture(coordinators)
        call = await serve(fixture, respond())
        case.assertTrue(call.is_served)
        (key,) = coordinators.list_keys()
        case.assertEqual([key], coordinators.begun)
        case.assertEqual([key], coordinators.ended)
        ((name, question),) = coordinators.asked
        case.assertEqual(name, call.attempts[0].target.name)
        latency = fixture.router.topology.get_latency(
            call.attempts[0].target.domain
        )
        case.assertAlmostEqual(
            GRANT + 2 * latency + forward.FIRST_STEP_SECONDS,
            call.attempts[0].expected_seconds,
        )
        case.assertEqual(1000, question.prefill_tokens)
        case.assertEqual(1010, question.memory_tokens)
        case.assertEqual(
            engine_admission.PROBE_SECONDS, question.max_wait_seconds
        )
        case.assertEqual(1.0, question.objective_left_seconds)

    clocks.run(run())


def test_other_calls_are_not_asked_about(case: support.Case) -> None:
    """Existing deployments were served by other rules than before."""

    async def run() -> None:
        coordinators = Coordinators(GRANT)
        fixture = create_fixture(coordinators)
        coordinators.is_large = False
        case.assertTrue((await serve(fixture, respond())).is_served)
        coordinators.is_large = True
        call = await serve(fixture, respond(), prompt=None)
        case.assertTrue(call.is_served)
        fixture.set_state(create_state(is_prioritized=False))
        case.assertTrue((await serve(fixture, respond())).is_served)
        case.assertEqual([], coordinators.asked)

    clocks.run(run())


def test_three_engines_are_probed_before_waiting(case: support.Case) -> None:
    """A call waited at one engine while others were idle."""

    async def run() -> None:
        coordinators = Coordinators(*[Reject(0.2)] * 3, GRANT)
        fixture = create_fixture(coordinators)
        for number in range(5):
            # Makes a target dearer once it has been asked.
            fixture.router.loads.start_call(
                f'{call_fakes.ENGINE_SERVICE}-{number}', 100, number * 100
            )
        asked: list[str] = []

        def get_backlog_seconds(target: str, now: float) -> float | None:
            return 0.2 if target in [n for n, _ in coordinators.asked] else 0.0

        coordinators.get_backlog_seconds = (  # type: ignore[method-assign]
            get_backlog_seconds
        )
        call = await serve(fixture, respond())
        case.assertTrue(call.is_served)
        asked = [name for name, _ in coordinators.asked]
        case.assertEqual(3, len(set(asked[:3])))
        waits = coordinators.list_waits()
        case.assertEqual([engine_admission.PROBE_SECONDS] * 3, waits[:3])
        case.assertEqual([engine_admission.WAIT_SECONDS], waits[3:])

    clocks.run(run())


def test_call_that_no_engine_serves_in_time_is_refused(
    case: support.Case,
) -> None:
    """Callers waited for nothing, or came back all at once."""

    async def run() -> None:
        coordinators = Coordinators(Reject(6.5))
        fixture = create_fixture(coordinators, engines=1)
        started_at = fixture.runtime.now()
        waits = set()
        for number in range(20):
            call = await serve(fixture, request_id=f'request-{number}')
            refusal = call.refusal
            assert refusal is not None
            case.assertEqual(503, refusal.status)
            waits.add(refusal.retry_after_seconds)
        case.assertGreater(len(waits), 10)
        case.assertGreater(min(waits), 1.0)
        case.assertEqual(started_at, fixture.runtime.now())
        case.assertEqual([], fixture.targets.sent)
        case.assertIn(
            events.Event.CALL_REFUSED_OVERLOADED, fixture.sink.list_kinds()
        )

    clocks.run(run())


def test_call_waits_as_long_as_its_caller(case: support.Case) -> None:
    """A call that could be answered in its time limit was refused."""

    async def run() -> None:
        coordinators = Coordinators(*[Reject(0.4)] * 8, GRANT)
        fixture = create_fixture(coordinators)
        call = await serve(fixture, respond())
        case.assertTrue(call.is_served)
        case.assertGreater(fixture.runtime.now() - call.received_at, 0.5)

    clocks.run(run())


def test_call_is_refused_once_its_caller_gives_up(case: support.Case) -> None:
    """A call was admitted that nobody waited for."""

    async def run() -> None:
        coordinators = Coordinators(Reject(0.4))
        fixture = create_fixture(coordinators)
        call = await serve(fixture)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        waited = fixture.runtime.now() - call.received_at
        case.assertLess(waited, 4.1)
        case.assertEqual([], fixture.targets.sent)

    clocks.run(run())


def test_refused_call_is_never_sent(case: support.Case) -> None:
    """After many rejections a call was sent without an admission.

    The engine's memory was then exceeded, which crashes it.
    """

    async def run() -> None:
        coordinators = Coordinators(
            Reject(0.1), *[Reject(9.0)] * (engine_admission.MAX_ASKS + 5)
        )

        async def ask(
            target: catalog.LiveTarget, question: coordination.Question
        ) -> coordinator_clients.Admission | None:
            """Reject at once, as coordinators do without a chance."""
            return await Coordinators.ask(
                coordinators,
                target,
                attrs.evolve(question, max_wait_seconds=0.0),
            )

        coordinators.ask = ask  # type: ignore[method-assign]
        fixture = create_fixture(coordinators)
        call = await serve(fixture, respond())
        case.assertEqual([], fixture.targets.sent)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)

    clocks.run(run())


def test_without_coordinators_the_host_decides(case: support.Case) -> None:
    """No call was served while coordinators were lost."""

    async def run() -> None:
        coordinators = Coordinators(None)
        fixture = create_fixture(coordinators)
        call = await serve(fixture, respond())
        case.assertTrue(call.is_served)
        case.assertEqual([], coordinators.begun + coordinators.ended)

    clocks.run(run())


def test_oversized_call_is_refused_unasked(case: support.Case) -> None:
    """A call larger than an engine's memory crashes it."""

    async def run() -> None:
        coordinators = Coordinators(GRANT)
        fixture = create_fixture(coordinators)
        prompt = attrs.evolve(PROMPT, prompt_tokens=50_000)
        call = await serve(fixture, respond(), prompt=prompt)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertEqual([], coordinators.asked)
        case.assertEqual([], fixture.targets.sent)

    clocks.run(run())


def test_each_attempt_has_its_own_admission(case: support.Case) -> None:
    """The late report of an attempt's end released the next one's slot."""

    async def run() -> None:
        coordinators = Coordinators(GRANT)
        fixture = create_fixture(coordinators)
        busy: list[call_fakes.Step] = [call_fakes.create_failure(Kind.BUSY)]
        call = await serve(fixture, busy, respond())
        case.assertTrue(call.is_served)
        first, second = coordinators.list_keys()
        case.assertNotEqual(first, second)
        case.assertEqual([second], coordinators.begun)
        case.assertEqual([first, second], coordinators.ended)

    clocks.run(run())


def test_same_request_at_two_hosts_has_two_keys(case: support.Case) -> None:
    """A caller that tried two hosts confused a coordinator's counts."""

    async def run() -> None:
        keys = set()
        for seed in (1, 2):
            coordinators = Coordinators(GRANT)
            fixture = create_fixture(coordinators)
            fixture.router.random = call_fakes.SeededRandom(seed)
            await serve(fixture, respond())
            keys.update(coordinators.list_keys())
        case.assertEqual(2, len(keys))

    clocks.run(run())


def test_engine_that_left_meanwhile_gets_no_call(case: support.Case) -> None:
    """A call was sent to an engine that had left while it waited."""

    async def run() -> None:
        coordinators = Coordinators(GRANT)
        coordinators.delay_seconds = 0.2
        fixture = create_fixture(coordinators, engines=2)
        serving = asyncio.ensure_future(serve(fixture, respond()))
        await asyncio.sleep(0.1)
        ((left, _),) = coordinators.asked
        target = fixture.router.catalog.get(left)
        assert target is not None
        fixture.remove_targets([target])
        call = await serving
        case.assertTrue(call.is_served)
        case.assertNotEqual(left, call.attempts[0].target.name)
        first, second = coordinators.list_keys()
        case.assertEqual([first, second], coordinators.ended)

    clocks.run(run())


def test_revoked_key_is_refused_after_the_wait(case: support.Case) -> None:
    """A call was sent whose key may have been revoked as it waited."""

    async def run() -> None:
        coordinators = Coordinators(GRANT)
        coordinators.delay_seconds = 0.3
        fixture = create_fixture(coordinators)
        account = desired.Account(
            name='a',
            keys=(call_fakes.KEY,),
            priority=None,
            is_isolated=False,
        )
        state = attrs.evolve(
            create_state(),
            version=3,
            accounts=(account,),
            routes=tuple(
                attrs.evolve(route, is_public=False)
                for route in create_state().routes
            ),
        )
        fixture.set_state(state)
        bound = fixture.router.freshness.bound_seconds
        await asyncio.sleep(bound - freshness.KEY_MARGIN_SECONDS - 0.1)
        call = await serve(fixture, respond(), key=call_fakes.KEY)
        case.assertEqual(1, len(coordinators.asked))
        case.assertEqual([], fixture.targets.sent)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertEqual(coordinators.list_keys(), coordinators.ended)

    clocks.run(run())


def test_admission_is_released_when_the_caller_leaves(
    case: support.Case,
) -> None:
    """A caller that left before its call was sent kept a slot."""

    async def run() -> None:
        coordinators = Coordinators(GRANT)
        fixture = create_fixture(coordinators)

        async def acquire(limit: typing.Any) -> bool:
            await asyncio.sleep(9.0)
            return True

        fixture.router.permits.acquire = (  # type: ignore[method-assign]
            acquire
        )
        for target in fixture.router.catalog.list_all():
            fixture.router.record_response(
                routers.ports.ReceivedHead(
                    address=target.address,
                    incarnation=target.name,
                    sent_at=fixture.runtime.now(),
                    is_own=True,
                    head=call_fakes.respond(max_request_rate=1.0).head,
                    awaited_request_id=call_fakes.REQUEST_ID,
                )
            )
        await asyncio.sleep(1.0)
        serving = asyncio.ensure_future(serve(fixture, respond()))
        await asyncio.sleep(0.1)
        case.assertEqual(1, len(coordinators.asked))
        case.assertEqual([], coordinators.ended)
        serving.cancel()
        await asyncio.wait([serving])
        case.assertEqual(coordinators.list_keys(), coordinators.ended)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Return the test functions as unittest cases."""
    return support.load_functions(globals())
