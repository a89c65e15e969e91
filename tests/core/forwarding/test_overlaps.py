"""A stream goes on at another engine once the one before has stopped (TWICE).

An engine goes on for a while with a call whose channel its host has closed.
"""

import asyncio

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import event_streams
from pistachioseam import interfaces
from tests import call_fakes
from tests import clocks
from tests.core.forwarding import test_begin_limits
from tests import lingering_engines
from tests import support

Kind = interfaces.FailureKind
event = call_fakes.event
respond = call_fakes.respond
MAX_OVERLAP_SECONDS = 0.4
"""Time for which two engines may work on one call."""
ENGINES = 3
RESET = call_fakes.create_failure(Kind.BROKEN)


async def measure_overlap(
    case: support.Case, *script: call_fakes.Step
) -> float:
    """Return how long two engines work on a resumable call.

    The first one responds by the script, the next one goes on.
    """
    engines = lingering_engines.LingeringEngines()
    fixture = test_begin_limits.create_fixture(10_000, (1,) * ENGINES, engines)
    call, _ = await fixture.serve(
        '/resumable/',
        script,
        [respond(chunks=(event(1), event(2), event(3)))],
        prompt=test_begin_limits.PROMPT,
    )
    case.assertTrue(call.is_served)
    case.assertEqual(2, len(engines.works))
    return engines.measure_overlap()


def list_given_up() -> dict[str, call_fakes.FakeResponse]:
    """Return responses that a host gives up while their engines work on."""
    too_large = bytes(event_streams.MAX_EVENT_BYTES + 1)
    return {
        'gap': respond(chunks=(event(1), 0.1, event(3), 9.0)),
        'event without id': respond(
            chunks=(event(1), 0.1, b'data: lost\n\n', 9.0)
        ),
        'too large': respond(chunks=(event(1), 0.1, too_large, 9.0)),
        'ambiguous': respond(chunks=(9.0,), is_ambiguous=True),
        'foreign': respond(chunks=(9.0,), request_id='another'),
        'unstamped': respond(chunks=(9.0,), stamp=''),
        'encoded': respond(chunks=(9.0,), is_encoded=True),
    }


def test_engine_whose_stream_the_host_gave_up_works_alone(
    case: support.Case,
) -> None:
    """Its channel is closed, but the engine notices that late."""
    overlaps = {
        name: clocks.run(measure_overlap(case, response))
        for name, response in list_given_up().items()
    }
    too_long = {
        name: round(seconds, 3)
        for name, seconds in overlaps.items()
        if seconds > MAX_OVERLAP_SECONDS
    }
    case.assertEqual({}, too_long)


def test_engine_that_ended_its_work_is_left_at_once(
    case: support.Case,
) -> None:
    """A reset, a rejection or the end of the body shows it."""
    for script in (
        (respond(chunks=(event(1), 0.1, RESET)),),
        (0.1, RESET),
        (respond(503, is_not_run=True),),
        (respond(500),),
        (respond(chunks=(event(1), 0.1, event(2)[:5])),),
    ):
        started_seconds = clocks.run(measure_wait(case, *script))
        case.assertLessEqual(started_seconds, 0.1001)


async def measure_wait(case: support.Case, *script: call_fakes.Step) -> float:
    """Return the time from the first send to the second."""
    started_at = asyncio.get_running_loop().time()
    await measure_overlap(case, *script)
    return asyncio.get_running_loop().time() - started_at


def test_engine_that_breaks_each_response_is_left(case: support.Case) -> None:
    """The call goes on there once, then at another engine."""

    async def run() -> None:
        engines = lingering_engines.LingeringEngines()
        fixture = test_begin_limits.create_fixture(10_000, (1, 1), engines)
        gap = (event(1), event(3), 9.0)
        call, reply = await fixture.serve(
            '/resumable/',
            [respond(chunks=gap)],
            [respond(chunks=gap)],
            [respond(chunks=(event(2),))],
            prompt=test_begin_limits.PROMPT,
        )
        case.assertTrue(call.is_served)
        case.assertEqual(event(1) + event(2), reply.body)
        first, again, other = [work.address for work in engines.works]
        case.assertEqual(first, again)
        case.assertNotEqual(first, other)

    clocks.run(run())


def test_begin_limit_does_not_let_two_engines_work_on_a_call(
    case: support.Case,
) -> None:
    """The engine may have begun, unseen, when its host gives the call up."""

    async def run() -> None:
        engines = lingering_engines.LingeringEngines()
        fixture = test_begin_limits.create_fixture(3_000, (1,), engines)
        call, _ = await serve_replaced(fixture, [9.0])
        case.assertTrue(call.is_served)
        case.assertEqual(2, len(engines.works))
        case.assertLessEqual(engines.measure_overlap(), MAX_OVERLAP_SECONDS)

    clocks.run(run())


async def serve_replaced(
    fixture: call_fakes.RouterFixture, script: list[call_fakes.Step]
) -> tuple[calls.Call, call_fakes.Reply]:
    """Run a call whose weights are replaced as it waits in a queue."""

    async def replace_weights() -> None:
        await asyncio.sleep(0.5)
        fixture.set_state(None, {call_fakes.MODEL: 2})
        await test_begin_limits.add_newer_engine(fixture, 0.3)

    fixture.runtime.start(replace_weights())
    return await fixture.serve(
        '/resumable/',
        script,
        [respond(chunks=(event(1),))],
        prompt=test_begin_limits.PROMPT,
    )


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
