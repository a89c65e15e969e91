"""Calls begin on their weights in time, however long their engine's queue."""

import asyncio

from pistachioseam.forwarding import begin_limits
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import known_versions
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import router as routers
from pistachioseam import interfaces
from pistachioseam_entry import call_process
from pistachioseam_entry import call_settings
from tests import call_fakes
from tests import clocks
from tests import support

Kind = interfaces.FailureKind
event = call_fakes.event
respond = call_fakes.respond
QUEUE_SECONDS = 4.0
"""Wait in the engine's queue; the route's objective is 1 s."""
PROMPT = prompts.Prompt(
    model=call_fakes.MODEL,
    prompt_tokens=10,
    output_tokens=5,
    parts=(prompts.Part('p', 10),),
)


def create_fixture(
    weights_ms: int,
    versions: tuple[int, ...] = (1,),
    connections: call_fakes.ScriptedTargets | None = None,
) -> call_fakes.RouterFixture:
    """Return a router with an engine for each weights version."""
    fixture = call_fakes.RouterFixture(
        [
            call_fakes.create_target(
                number,
                call_fakes.ENGINE_SERVICE,
                weights={call_fakes.MODEL: version},
            )
            for number, version in enumerate(versions)
        ],
        connections,
    )
    bounds = call_settings.Bounds(
        revocation_ms=60_000,
        weights_ms=weights_ms,
        lease_ms=3_000,
        shutdown_seconds=8,
    )
    call_process.set_weights_limits(fixture.router, bounds)
    return fixture


async def serve_queued(
    fixture: call_fakes.RouterFixture,
) -> tuple[calls.Call, call_fakes.Reply]:
    """Run a call that waits in its engine's queue, then is served."""
    return await fixture.serve(
        '/stream/',
        [QUEUE_SECONDS, respond(chunks=(event(1),))],
        prompt=PROMPT,
    )


def test_queued_call_does_not_begin_beyond_the_weights_bound(
    case: support.Case,
) -> None:
    """A call that was sent in time is given up before the bound."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=10_000)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        named_at = fixture.runtime.now()
        await asyncio.sleep(6.8)
        call, _ = await serve_queued(fixture)
        case.assertEqual(1, len(fixture.targets.sent))
        case.assertLess(fixture.runtime.now() - named_at, 10.0)
        assert call.refusal is not None
        case.assertEqual(502, call.refusal.status)

    clocks.run(run())


def test_weights_replaced_while_a_call_waits_are_not_begun_on(
    case: support.Case,
) -> None:
    """The bound counts from the newer version, not from the send."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=3_000)
        named_at = fixture.runtime.now() + 0.5

        async def name_newer_version() -> None:
            await asyncio.sleep(0.5)
            fixture.set_state(None, {call_fakes.MODEL: 2})

        fixture.runtime.start(name_newer_version())
        call, _ = await serve_queued(fixture)
        case.assertFalse(call.is_served)
        ended_after = fixture.runtime.now() - named_at
        case.assertLess(ended_after, 3.0)
        case.assertGreater(ended_after, 2.0)

    clocks.run(run())


def test_resumable_call_is_sent_to_newer_weights_in_time(
    case: support.Case,
) -> None:
    """It does not wait for its deadline in the queue of outdated weights."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=3_000)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        await asyncio.sleep(2.0)
        target = fixture.router.catalog.list_all()[0]

        async def load_newer_weights() -> None:
            await asyncio.sleep(0.5)
            fixture.router.weights.record(target, call_fakes.MODEL, 2)

        fixture.runtime.start(load_newer_weights())
        call, reply = await fixture.serve(
            '/resumable/',
            [QUEUE_SECONDS, respond(chunks=(event(1),))],
            [respond(chunks=(event(1),))],
            prompt=PROMPT,
        )
        case.assertTrue(call.is_served)
        case.assertEqual(event(1), reply.body)
        sent = [outgoing for _, outgoing in fixture.targets.sent]
        case.assertEqual([1, 2], [s.weights_version for s in sent])

    clocks.run(run())


def test_call_on_current_weights_waits_in_the_queue(
    case: support.Case,
) -> None:
    """Only outdated weights limit the wait, and only until the first event."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=2_000)
        call, _ = await serve_queued(fixture)
        case.assertTrue(call.is_served)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        call, reply = await fixture.serve(
            '/stream/',
            [respond(chunks=(event(1), QUEUE_SECONDS, event(2)))],
            prompt=PROMPT,
        )
        case.assertTrue(call.is_served)
        case.assertEqual(event(1) + event(2), reply.body)

    clocks.run(run())


def test_host_that_has_restarted_serves_weights_of_unknown_age(
    case: support.Case,
) -> None:
    """Until peers send the age of the newer weights, outdated ones serve."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=10_000)
        fixture.router.desired = known_versions.DesiredStateCache(fixture.sink)
        fixture.set_state(call_fakes.create_state(), {call_fakes.MODEL: 2})
        call, _ = await fixture.serve(
            '/stream/',
            [1.0, respond(chunks=(event(1),))],
            prompt=PROMPT,
        )
        case.assertTrue(call.is_served)

    clocks.run(run())


def test_weights_of_unknown_age_are_not_used_without_end(
    case: support.Case,
) -> None:
    """If all hosts restart, no peer knows when newer weights were named."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=10_000)
        fixture.router.desired = known_versions.DesiredStateCache(fixture.sink)
        fixture.set_state(call_fakes.create_state(), {call_fakes.MODEL: 2})
        await asyncio.sleep(10.0)
        call, _ = await fixture.serve(
            '/stream/', [respond(chunks=(event(1),))], prompt=PROMPT
        )
        case.assertEqual([], fixture.targets.sent)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)

    clocks.run(run())


def test_age_that_a_peer_sends_during_the_wait_counts(
    case: support.Case,
) -> None:
    """A host learns late that, or when, newer weights were named."""

    async def run() -> None:
        for is_restarted in (False, True):
            fixture = create_fixture(weights_ms=10_000)
            if is_restarted:
                fixture.router.desired = known_versions.DesiredStateCache(
                    fixture.sink
                )
            fixture.set_state(call_fakes.create_state(), {call_fakes.MODEL: 2})
            started = fixture.runtime.now()

            async def learn_age(router: routers.CallRouter) -> None:
                await asyncio.sleep(0.1)
                named = known_versions.NamedWeights(call_fakes.MODEL, 2, 6.8)
                router.desired.merge_named_weights(named, router.runtime.now())

            fixture.runtime.start(learn_age(fixture.router))
            call, _ = await serve_queued(fixture)
            case.assertFalse(call.is_served)
            case.assertLess(fixture.runtime.now() - started + 6.7, 9.0)

    clocks.run(run())


def test_call_that_begins_at_the_limit_is_not_broken_off(
    case: support.Case,
) -> None:
    """Its first event and the end of the limit may be due at the same time."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        began = loop.create_future()
        # Slightly earlier, and due in the same iteration of the loop.
        began_at = loop.time() + begin_limits.CHECK_SECONDS - 5e-10
        loop.call_at(began_at, began.set_result, None)
        seconds_left = [1.0, 0.0]
        async with begin_limits.BeginLimit(
            lambda: seconds_left.pop(0)
        ) as limit:
            await began
            limit.end()
            await asyncio.sleep(1.0)
        case.assertFalse(limit.is_exceeded())

    clocks.run(run())


def test_engine_whose_queue_is_long_is_not_suspected(
    case: support.Case,
) -> None:
    """A call that is given up there is no failure of the engine."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=3_000)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        await asyncio.sleep(2.0)
        call, _ = await serve_queued(fixture)
        target = call.attempts[-1].target.name
        case.assertEqual('outdated', call.attempts[-1].failure)
        case.assertTrue(fixture.router.health.is_usable(target))

    clocks.run(run())


def test_engine_stops_calls_on_outdated_weights_by_itself(
    case: support.Case,
) -> None:
    """A closed connection reaches it late; its time limit holds there."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=10_000)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        for wait_seconds, limit_seconds in ((6.0, 2.5), (0.8, 1.7)):
            await asyncio.sleep(wait_seconds)
            await fixture.serve(
                '/stream/', [respond(chunks=(event(1),))], prompt=PROMPT
            )
            _, outgoing = fixture.targets.sent[-1]
            case.assertAlmostEqual(
                limit_seconds, outgoing.get_target_seconds()
            )

    clocks.run(run())


def test_limit_of_outdated_weights_does_not_prolong_a_call(
    case: support.Case,
) -> None:
    """The caller's deadline holds if it is earlier, or weights are new."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=10_000)
        for weights in ({}, {call_fakes.MODEL: 2}):
            fixture.set_state(None, weights)
            await asyncio.sleep(3.0)
            await fixture.serve(
                '/stream/', [respond(chunks=(event(1),))], prompt=PROMPT
            )
            _, outgoing = fixture.targets.sent[-1]
            case.assertEqual(
                call_fakes.TIMEOUT_SECONDS, outgoing.get_target_seconds()
            )

    clocks.run(run())


def test_call_that_its_engine_stops_in_the_queue_is_sent_elsewhere(
    case: support.Case,
) -> None:
    """It is not refused, as it has provably not run."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=2_000)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        await asyncio.sleep(1.0)
        fixture.runtime.start(add_newer_engine(fixture, 0.3))
        call, reply = await fixture.serve(
            '/stream/',
            [0.85, respond(503, is_not_run=True)],
            [respond(chunks=(event(1),))],
            prompt=PROMPT,
        )
        case.assertTrue(call.is_served)
        case.assertEqual(event(1), reply.body)
        case.assertEqual(
            ['busy', ''], [attempt.failure for attempt in call.attempts]
        )

    clocks.run(run())


async def add_newer_engine(
    fixture: call_fakes.RouterFixture, seconds: float
) -> None:
    """Add an engine with version 2 after some seconds."""
    await asyncio.sleep(seconds)
    fixture.add_target(
        call_fakes.create_target(
            7, call_fakes.ENGINE_SERVICE, weights={call_fakes.MODEL: 2}
        )
    )
    fixture.list_software_versions()


def test_stream_that_its_engine_stops_is_resumed(case: support.Case) -> None:
    """Its engine is not suspected of a crash."""
    stops: tuple[tuple[call_fakes.Chunk, ...], ...] = (
        (call_fakes.create_failure(Kind.BROKEN),),
        (),
    )
    for stop in stops:
        clocks.run(check_stopped_stream(case, stop))


async def check_stopped_stream(
    case: support.Case, stop: tuple[call_fakes.Chunk, ...]
) -> None:
    """Check that a stream that ends at the limit goes on elsewhere."""
    fixture = create_fixture(weights_ms=3_000)
    fixture.set_state(None, {call_fakes.MODEL: 2})
    await asyncio.sleep(2.0)
    fixture.runtime.start(add_newer_engine(fixture, 0.3))
    call, reply = await fixture.serve(
        '/resumable/',
        [respond(chunks=(event(1), 0.8, *stop))],
        [respond(chunks=(event(2),))],
        prompt=PROMPT,
    )
    case.assertTrue(call.is_served)
    case.assertEqual(event(1) + event(2), reply.body)
    case.assertEqual('outdated', call.attempts[0].failure)
    _, outgoing = fixture.targets.sent[-1]
    case.assertEqual('1', outgoing.after_event)
    name = call.attempts[0].target.name
    case.assertTrue(fixture.router.health.is_usable(name))


def test_stream_that_its_engine_stops_does_not_look_complete(
    case: support.Case,
) -> None:
    """A body of undeclared length may end at the limit after any event."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=3_000)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        await asyncio.sleep(2.0)
        call, reply = await fixture.serve(
            '/stream/', [respond(chunks=(event(1), 0.8))], prompt=PROMPT
        )
        case.assertFalse(call.is_served)
        case.assertEqual(event(1), reply.body)

    clocks.run(run())


def test_engine_that_stops_slightly_early_does_not_complete_a_stream(
    case: support.Case,
) -> None:
    """Its limit is rounded down, and its clock need not run as the host's."""

    async def run() -> None:
        for early_seconds, is_served in ((0.005, False), (0.2, True)):
            fixture = create_fixture(weights_ms=3_000)
            fixture.set_state(None, {call_fakes.MODEL: 2})
            await asyncio.sleep(2.0)
            seconds = fixture.router.max_run_lag_seconds - 2.0 - early_seconds
            call, _ = await fixture.serve(
                '/stream/',
                [respond(chunks=(event(1), seconds))],
                prompt=PROMPT,
            )
            case.assertIs(is_served, call.is_served)

    clocks.run(run())


def test_stream_whose_end_is_marked_is_complete(case: support.Case) -> None:
    """Its last chunk may be read when the limit has passed."""

    async def run() -> None:
        fixture = create_fixture(weights_ms=3_000)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        await asyncio.sleep(2.0)
        response = respond(chunks=(event(1), 0.8))
        response.is_end_marked = True
        call, reply = await fixture.serve(
            '/stream/', [response], prompt=PROMPT
        )
        case.assertTrue(call.is_served)
        case.assertEqual(event(1), reply.body)

    clocks.run(run())


def test_timeout_of_an_engine_at_its_limit_is_not_passed_on(
    case: support.Case,
) -> None:
    """The caller's own time has not run out."""

    async def run() -> None:
        for path, status in (('/stream/', 502), ('/resumable/', 200)):
            fixture = create_fixture(weights_ms=3_000)
            fixture.set_state(None, {call_fakes.MODEL: 2})
            await asyncio.sleep(2.0)
            fixture.runtime.start(add_newer_engine(fixture, 0.1))
            call, reply = await fixture.serve(
                path,
                [0.5, respond(504)],
                [respond(chunks=(event(1),))],
                prompt=PROMPT,
            )
            refusal_status = call.refusal.status if call.refusal else 0
            case.assertEqual(status, refusal_status or reply.status)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
