"""Calls avoid targets that fail, hang or run old weights."""

import asyncio

from pistachioseam.forwarding import admission
from pistachioseam.forwarding import placement
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import router as routers
from tests import call_fakes
from tests import clocks
from tests import support

Kind = call_fakes.Kind
MODEL = call_fakes.MODEL
PROMPT = prompts.Prompt(
    model=MODEL,
    prompt_tokens=1000,
    output_tokens=10,
    parts=(prompts.Part('own', 1000),),
)


def test_failing_target_gets_less(case: support.Case) -> None:
    """A target that fails most calls is left for the others."""

    async def run() -> None:
        fleet = call_fakes.Fleet(
            [call_fakes.create_target(n) for n in range(3)]
        )
        bad = 'plain-0'
        counts = {False: 0, True: 0}
        for _ in range(60):
            call = fleet.create_call('/safe/')
            call.service = call_fakes.create_state().find_service('plain')
            choice = placement.place_call(call, fleet.router)
            assert choice is not None
            name = choice.target.name
            counts[name == bad] += 1
            now = fleet.runtime.now()
            fleet.router.fault_board.note(name, name == bad, now)
            await asyncio.sleep(0.02)
        case.assertLess(counts[True], 10)

    clocks.run(run())


def test_hanging_target_gets_no_more(case: support.Case) -> None:
    """Calls that are unanswered for long keep others away."""

    async def run() -> None:
        fleet = call_fakes.Fleet(
            [call_fakes.create_target(n) for n in range(3)]
        )
        for _ in range(2):
            fleet.router.loads.begin('plain-0', 0, 0, now=fleet.runtime.now())
        await asyncio.sleep(2.0)
        call = fleet.create_call('/safe/')
        call.service = call_fakes.create_state().find_service('plain')
        for _ in range(20):
            choice = placement.place_call(call, fleet.router)
            assert choice is not None
            case.assertNotEqual('plain-0', choice.target.name)

    clocks.run(run())


def test_weights_out_of_bounds_are_never_used(case: support.Case) -> None:
    """With only old weights left the call is refused as not run."""

    async def run() -> None:
        fleet = call_fakes.Fleet(
            [call_fakes.create_target(n, call_fakes.ENGINES) for n in range(3)]
        )
        fleet.router.max_weights_lag_seconds = 6.0
        fleet.set_state(None, {MODEL: 2})
        call, _ = await fleet.serve(
            '/stream/',
            [call_fakes.respond(chunks=(call_fakes.event(1),))],
            prompt=PROMPT,
        )
        case.assertTrue(call.is_served)
        await asyncio.sleep(3.0)
        fleet.router.freshness.note_confirmed(fleet.runtime.now())
        await asyncio.sleep(3.5)
        call, _ = await fleet.serve('/stream/', prompt=PROMPT)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)

    clocks.run(run())


def test_overload_is_refused_not_queued(case: support.Case) -> None:
    """Twice the prompts that engines can read: admitted ones are in time.

    The load of scale days: each engine reads 40 thousand tokens a second and
    calls bring 80 thousand. Without admission the queue grows without end.
    """

    async def run() -> None:
        fleet = call_fakes.Fleet(
            [call_fakes.create_target(1, call_fakes.ENGINES)]
        )
        fleet.set_state(call_fakes.create_state(2, slots=128))
        fleet.targets.prefill_seconds = 1000 / 40_000
        late, served, refused = 0, 0, 0

        async def one() -> None:
            nonlocal late, served, refused
            call = fleet.create_call('/stream/', PROMPT)
            started = fleet.runtime.now()
            await routers.run_filters(call, fleet.router)
            served += call.is_served
            refused += not call.is_served
            took = fleet.runtime.now() - started
            late += call.is_served and took > 1.26

        for _ in range(400):
            fleet.runtime.start(one())
            await asyncio.sleep(1 / 80)
        await asyncio.sleep(3.0)
        case.assertEqual(0, late)
        case.assertGreater(served, 180)
        case.assertGreater(refused, 100)

    clocks.run(run())


def test_refused_callers_do_not_return_together(case: support.Case) -> None:
    """The time to return is spread, and grows with the excess."""
    soon = admission.judge(1.5, 0.5, 1.0, 0.0)
    late = admission.judge(1.5, 0.5, 1.0, 0.99)
    worse = admission.judge(2.0, 0.5, 1.0, 0.0)
    assert isinstance(soon, admission.Refuse)
    assert isinstance(late, admission.Refuse)
    assert isinstance(worse, admission.Refuse)
    case.assertGreater(late.retry_after_seconds, soon.retry_after_seconds)
    case.assertGreater(worse.retry_after_seconds, soon.retry_after_seconds)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
