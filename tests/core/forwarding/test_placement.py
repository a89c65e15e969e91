"""Placement avoids targets that fail, hang or run outdated weights."""

import asyncio

from pistachioseam.forwarding import admission
from pistachioseam.forwarding import placement
from pistachioseam.forwarding import plans
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import residency
from pistachioseam.forwarding import router as routers
from pistachioseam import refusals
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


def test_failing_target_gets_fewer_calls(case: support.Case) -> None:
    """Calls move from a target that fails most of them to the others."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture(
            [call_fakes.create_target(n) for n in range(3)]
        )
        failing = 'plain-0'
        counts = {False: 0, True: 0}
        for _ in range(60):
            call = fixture.create_call('/safe/')
            call.service = call_fakes.create_state().find_service('plain')
            choice = placement.place_call(call, fixture.router)
            assert choice is not None
            name = choice.target.name
            counts[name == failing] += 1
            now = fixture.runtime.now()
            fixture.router.failure_tracker.record(name, name == failing, now)
            await asyncio.sleep(0.02)
        case.assertLess(counts[True], 10)

    clocks.run(run())


def test_hanging_target_gets_no_more_calls(case: support.Case) -> None:
    """Overdue calls at a target move new calls to other targets."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture(
            [call_fakes.create_target(n) for n in range(3)]
        )
        for _ in range(2):
            fixture.router.loads.start_call(
                'plain-0', 0, 0, now=fixture.runtime.now()
            )
        await asyncio.sleep(2.0)
        call = fixture.create_call('/safe/')
        call.service = call_fakes.create_state().find_service('plain')
        for _ in range(20):
            choice = placement.place_call(call, fixture.router)
            assert choice is not None
            case.assertNotEqual('plain-0', choice.target.name)

    clocks.run(run())


def test_weights_beyond_max_lag_are_never_used(case: support.Case) -> None:
    """With only outdated weights left, a call is refused without running."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture(
            [
                call_fakes.create_target(n, call_fakes.ENGINE_SERVICE)
                for n in range(3)
            ]
        )
        fixture.router.max_weights_lag_seconds = 6.0
        fixture.set_state(None, {MODEL: 2})
        call, _ = await fixture.serve(
            '/stream/',
            [call_fakes.respond(chunks=(call_fakes.event(1),))],
            prompt=PROMPT,
        )
        case.assertTrue(call.is_served)
        await asyncio.sleep(3.0)
        fixture.router.freshness.record_confirmation(fixture.runtime.now())
        await asyncio.sleep(3.5)
        call, _ = await fixture.serve('/stream/', prompt=PROMPT)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)

    clocks.run(run())


def test_weights_age_while_a_host_is_suspended(case: support.Case) -> None:
    """A host that woke placed calls on weights by its own running time."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture(
            [call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)]
        )
        router = fixture.router
        router.max_weights_lag_seconds = 6.0
        fixture.set_state(None, {MODEL: 2})
        call = fixture.create_call('/stream/', PROMPT)
        call.service = call_fakes.create_state().find_service(
            call_fakes.ENGINE_SERVICE
        )
        case.assertIsNotNone(placement.place_call(call, router))
        router.read_boot_clock = lambda: fixture.runtime.now() + 7.0
        case.assertIsNone(placement.place_call(call, router))

    clocks.run(run())


def test_overload_is_refused_not_queued(case: support.Case) -> None:
    """At twice the prefill capacity, admitted calls are served in time.

    The engine prefills 40,000 tokens/s and calls bring 80,000 tokens/s.
    Without admission control its queue grows without bound.
    """

    async def run() -> None:
        fixture = call_fakes.RouterFixture(
            [call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)]
        )
        fixture.set_state(call_fakes.create_state(2, slots=128))
        fixture.targets.prefill_seconds = 1000 / 40_000
        late, served, refused = 0, 0, 0

        async def send_call(number: int) -> None:
            nonlocal late, served, refused
            call = fixture.create_call(
                '/stream/', PROMPT, request_id=f'call-{number}'
            )
            started = fixture.runtime.now()
            await routers.run_filters(call, fixture.router)
            served += call.is_served
            refused += (
                call.refusal is not None
                and call.refusal.reason is refusals.Reason.OVERLOADED
            )
            elapsed = fixture.runtime.now() - started
            # The objective is 1 s; calls expected within 1.2 s are admitted.
            late += call.is_served and elapsed > 1.26

        for number in range(400):
            fixture.runtime.start(send_call(number))
            await asyncio.sleep(1 / 80)
        await asyncio.sleep(3.0)
        case.assertEqual(0, late)
        case.assertGreater(served, 180)
        case.assertGreater(refused, 100)

    clocks.run(run())


def test_refused_callers_do_not_retry_together(case: support.Case) -> None:
    """Retry-after times have jitter and grow with the excess wait."""
    earliest = admission.decide(1.5, 0.5, 1.0, 0.0)
    latest = admission.decide(1.5, 0.5, 1.0, 0.99)
    overloaded = admission.decide(2.0, 0.5, 1.0, 0.0)
    assert isinstance(earliest, admission.Refuse)
    assert isinstance(latest, admission.Refuse)
    assert isinstance(overloaded, admission.Refuse)
    case.assertGreater(
        latest.retry_after_seconds, earliest.retry_after_seconds
    )
    case.assertGreater(
        overloaded.retry_after_seconds, earliest.retry_after_seconds
    )


def test_shared_lookup_changes_no_plan(case: support.Case) -> None:
    """One lookup for all engines gives the plans of a lookup for each.

    Engines of several domains hold nothing, a part of the prefix or all of
    it, under two weights versions, and transfer by different amounts.
    """

    async def run() -> None:
        targets = [
            call_fakes.create_target(
                number,
                call_fakes.ENGINE_SERVICE,
                domain=f'd{number % 3}',
                weights={call_fakes.MODEL: 1 + number % 2},
            )
            for number in range(24)
        ]
        fixture = call_fakes.RouterFixture(targets)
        router = fixture.router
        state = call_fakes.create_state(2)
        fixture.set_state(state, {call_fakes.MODEL: 2})
        parts = tuple(
            prompts.Part(name, tokens)
            for name, tokens in (('a', 2500), ('b', 3800), ('c', 2900))
        )
        prompt = prompts.Prompt(
            model=call_fakes.MODEL,
            prompt_tokens=9200,
            output_tokens=10,
            parts=parts,
        )
        call = fixture.create_call('/stream/', prompt)
        call.service = state.services[1]
        for number, target in enumerate(targets[:8]):
            salt = prompts.compute_salt(call_fakes.MODEL, 1 + number % 2, '')
            update = residency.CacheUpdate(
                target.name, salt, parts[: 1 + number % 3]
            )
            router.cache_models.record_use(update, 50_000, -1.0)
            router.loads.start_transfer(target.name, 40 * number)
        shared = plans.HolderLookup(call, router)
        planned = [
            plans.plan_run(call, router, target, shared) for target in targets
        ]
        case.assertEqual(
            [plans.plan_run(call, router, target) for target in targets],
            planned,
        )
        case.assertGreater(len({plan.source.name for plan in planned}), 2)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
