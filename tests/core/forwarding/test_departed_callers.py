"""Calls that have not reached a target end when their callers leave."""

import asyncio

from pistachioseam.forwarding import calls
from pistachioseam.forwarding import router as routers
from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests.core.forwarding import test_begin_limits
from tests.core.forwarding import test_quotas
from tests import support

CONNECT_SECONDS = 1.0
LEFT_SECONDS = 0.3
ONCE_PREFIXES = ('/once/', '/stream/')


def create_fixture(
    connect_seconds: float = CONNECT_SECONDS,
) -> call_fakes.RouterFixture:
    """Return a router with targets of both services."""
    fixture = call_fakes.RouterFixture(
        [
            call_fakes.create_target(1),
            call_fakes.create_target(2),
            call_fakes.create_target(3, call_fakes.ENGINE_SERVICE),
        ]
    )
    fixture.targets.connect_seconds = connect_seconds
    return fixture


def start(
    fixture: call_fakes.RouterFixture, prefix: str, key: str = ''
) -> tuple[calls.Call, asyncio.Future[None]]:
    """Start to serve a call."""
    call = fixture.create_call(prefix, key=key)
    work = asyncio.ensure_future(routers.run_filters(call, fixture.router))
    return call, work


def test_call_whose_caller_left_during_the_connect_is_not_sent(
    case: support.Case,
) -> None:
    """Guards against GONE: bookings were sent 2 s after their callers left."""

    async def run() -> None:
        for prefix in call_fakes.ROUTES:
            fixture = create_fixture()
            call, work = start(fixture, prefix)
            await asyncio.sleep(LEFT_SECONDS)
            case.assertTrue(call.is_cancelled_on_disconnect(), prefix)
            work.cancel()
            await asyncio.wait((work,))
            await asyncio.sleep(2 * CONNECT_SECONDS)
            case.assertEqual([], fixture.targets.sent)
            case.assertEqual({}, fixture.router.loads.get_own_loads())
            (attempt,) = call.describe_attempts()
            case.assertIn(':connecting', attempt)

    clocks.run(run())


def test_call_that_is_not_cancelled_is_not_begun_after_its_caller_left(
    case: support.Case,
) -> None:
    """Guards against GONE: the caller leaves between two attempts."""

    async def run() -> None:
        fixture = create_fixture()
        call, work = start(fixture, '/once/')
        await asyncio.sleep(LEFT_SECONDS)
        call.caller.leave()
        await work
        case.assertEqual([], fixture.targets.sent)
        case.assertEqual(1, len(call.attempts))
        case.assertFalse(call.may_have_run)

    clocks.run(run())


def test_rejected_call_is_not_sent_again_after_its_caller_left(
    case: support.Case,
) -> None:
    """Guards against GONE by the second attempt after a 421 or 503."""

    async def run() -> None:
        for rejection in (
            call_fakes.respond(503, is_not_run=True),
            call_fakes.respond(421),
        ):
            fixture = create_fixture(connect_seconds=0.0)
            fixture.targets.script = [[LEFT_SECONDS, rejection]]
            call, work = start(fixture, '/once/')
            await asyncio.sleep(LEFT_SECONDS / 2)
            case.assertFalse(call.is_cancelled_on_disconnect())
            call.caller.leave()
            await work
            case.assertEqual(1, len(fixture.targets.sent))
            assert call.refusal is not None
            case.assertIs(refusals.Outcome.NOT_RUN, call.refusal.outcome)

    clocks.run(run())


def test_call_that_reached_a_target_runs_to_its_end_without_its_caller(
    case: support.Case,
) -> None:
    """Its outcome is recorded."""

    async def run() -> None:
        fixture = create_fixture(connect_seconds=0.0)
        fixture.targets.script = [[LEFT_SECONDS, call_fakes.respond()]]
        call, work = start(fixture, '/once/')
        await asyncio.sleep(LEFT_SECONDS / 2)
        case.assertFalse(call.is_cancelled_on_disconnect())
        call.caller.leave()
        await work
        case.assertTrue(call.is_served)
        case.assertEqual(200, call.status)

    clocks.run(run())


def test_deadline_during_the_connect_is_told_as_not_run(
    case: support.Case,
) -> None:
    """Callers got 504 for calls that reached no target, and had to give up."""

    async def run() -> None:
        for prefix in ONCE_PREFIXES:
            fixture = create_fixture(2 * call_fakes.TIMEOUT_SECONDS)
            call, work = start(fixture, prefix)
            await work
            assert call.refusal is not None
            case.assertEqual(503, call.refusal.status)
            case.assertIs(refusals.Outcome.NOT_RUN, call.refusal.outcome)
            case.assertIsNotNone(call.refusal.retry_after_seconds)
            case.assertEqual('not-sent', call.attempts[0].failure)
            await asyncio.sleep(3 * call_fakes.TIMEOUT_SECONDS)
            case.assertEqual([], fixture.targets.sent)

    clocks.run(run())


def test_begin_limit_during_the_connect_is_told_as_not_run(
    case: support.Case,
) -> None:
    """Callers got 502 for prompts that reached no engine."""

    async def run() -> None:
        fixture = test_begin_limits.create_fixture(weights_ms=3_000)
        fixture.targets.connect_seconds = call_fakes.TIMEOUT_SECONDS
        fixture.set_state(None, {call_fakes.MODEL: 2})
        await asyncio.sleep(1.0)
        call, _ = await fixture.serve(
            '/stream/', prompt=test_begin_limits.PROMPT
        )
        case.assertEqual([], fixture.targets.sent)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertEqual('not-sent', call.attempts[0].failure)
        case.assertLess(fixture.runtime.now(), call.deadline)

    clocks.run(run())


def test_cost_of_a_call_that_is_cancelled_unsent_is_returned(
    case: support.Case,
) -> None:
    """Bookings whose callers left during the connect used up the quota."""

    async def run() -> None:
        fixture = test_quotas.create_fixture()
        fixture.targets.connect_seconds = CONNECT_SECONDS
        _, work = start(fixture, '/once/', key='key')
        await asyncio.sleep(LEFT_SECONDS)
        work.cancel()
        await asyncio.wait((work,))
        await clocks.run_pending()
        asked = [(r.cost, r.returned) for r in fixture.quota_requests]
        case.assertEqual([(1.0, 0.0), (0.0, 1.0)], asked)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
