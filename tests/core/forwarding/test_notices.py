"""Targets that leave or ask for a pause get no further calls."""

import asyncio
import math

from pistachioseam import events
from pistachioseam.forwarding import notices
from pistachioseam.forwarding import ports
from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests import support

respond = call_fakes.respond
DRAIN_SECONDS = notices.DEFAULT_DRAIN_SECONDS
PAUSE_SECONDS = 30.0
"""Time after which a target that asked for a pause takes calls again."""


def create_fixture(count: int) -> call_fakes.RouterFixture:
    """Return a router with plain targets."""
    return call_fakes.RouterFixture(
        [call_fakes.create_target(n) for n in range(count)]
    )


async def send(
    fixture: call_fakes.RouterFixture, **fields: object
) -> tuple[str, int]:
    """Serve one call; return the address that responded and the status."""
    sent = len(fixture.targets.sent)
    call, reply = await fixture.serve('/safe/', [respond(**fields)])
    address = ''.join(address for address, _ in fixture.targets.sent[sent:])
    return address, reply.status or (
        call.refusal.status if call.refusal else 0
    )


def test_leaving_target_gets_no_further_calls(case: support.Case) -> None:
    """The list of targets still shows it as ready."""

    async def run() -> None:
        fixture = create_fixture(2)
        leaving, status = await send(fixture, is_leaving=True)
        case.assertEqual(200, status)
        for _ in range(20):
            address, status = await send(fixture)
            case.assertEqual(200, status)
            case.assertNotEqual(leaving, address)

    clocks.run(run())


def test_only_target_that_leaves_serves_until_its_drain_ends(
    case: support.Case,
) -> None:
    """It is the only one of its service, and is listed as ready."""

    async def run() -> None:
        fixture = create_fixture(1)
        await send(fixture, is_leaving=True)
        await asyncio.sleep(1.0)
        case.assertEqual(200, (await send(fixture))[1])
        await asyncio.sleep(DRAIN_SECONDS - 1.0)
        case.assertEqual(('', 503), await send(fixture))

    clocks.run(run())


def test_drain_of_a_target_counts_from_the_observation(
    case: support.Case,
) -> None:
    """It got calls for a drain time from when a peer told of it."""
    target = call_fakes.create_target(1)
    held = notices.TargetNotices(call_fakes.Sink(), drain_seconds=4.0)
    held.record_leaving(target.get_incarnation(), 10.0)
    for age_seconds, until in ((0.0, 13.5), (2.9, 10.6), (1.0, 10.6)):
        report = notices.LeavingReport(target.get_incarnation(), age_seconds)
        held.merge(report, 10.0)
        case.assertTrue(held.accepts_calls(target, until - 0.01))
        case.assertFalse(held.accepts_calls(target, until + 0.01))
    (told,) = held.list_recently_leaving(10.05)
    case.assertAlmostEqual(2.95, told.age_seconds)
    case.assertEqual((), held.list_recently_leaving(10.11))


def test_next_incarnation_gets_calls(case: support.Case) -> None:
    """A target that starts again under its name does not leave."""

    async def run() -> None:
        fixture = create_fixture(1)
        await send(fixture, is_leaving=True)
        await asyncio.sleep(DRAIN_SECONDS)
        fixture.restart_target(0)
        case.assertEqual(200, (await send(fixture))[1])

    clocks.run(run())


def test_rejected_calls_and_other_instances_tell_of_leaving(
    case: support.Case,
) -> None:
    """A response of another instance tells of that instance."""

    async def run() -> None:
        fixture = create_fixture(2)
        names = [target.name for target in fixture.router.catalog.list_all()]
        fixture.router.record_response(
            ports.ReceivedHead(
                address='10.0.0.0:80',
                incarnation=names[0],
                sent_at=0.0,
                is_own=True,
                head=respond(
                    421, is_leaving=True, other_incarnation=names[1]
                ).head,
            )
        )
        for target in fixture.router.catalog.list_all():
            is_leaving = fixture.router.notices.is_leaving(target)
            case.assertEqual(target.name == names[1], is_leaving)

    clocks.run(run())


def test_target_that_asks_for_a_pause_gets_nothing(
    case: support.Case,
) -> None:
    """All targets are paused; the refusal names the first that opens."""

    async def run() -> None:
        fixture = create_fixture(2)
        rejections = [
            [respond(503, is_not_run=True, retry_after_seconds=seconds)]
            for seconds in (2.0, 1.5)
        ]
        call, _ = await fixture.serve('/safe/', *rejections)
        assert call.refusal is not None
        case.assertEqual(2, len(fixture.targets.sent))
        start = asyncio.get_running_loop().time()
        call, _ = await fixture.serve('/safe/')
        assert call.refusal is not None
        case.assertEqual(start, asyncio.get_running_loop().time())
        case.assertEqual(503, call.refusal.status)
        case.assertIs(refusals.Outcome.NOT_RUN, call.refusal.outcome)
        seconds = call.refusal.retry_after_seconds or 0.0
        case.assertTrue(1.5 <= seconds <= 2.25, seconds)
        case.assertEqual(2, len(fixture.targets.sent))
        await asyncio.sleep(1.5)
        case.assertEqual(200, (await send(fixture))[1])

    clocks.run(run())


def test_late_copy_of_a_rejection_asks_for_nothing(case: support.Case) -> None:
    """Its pause and its limit are over; the rejection was counted before."""

    async def run() -> None:
        fixture = create_fixture(1)
        router = fixture.router
        (target,) = router.catalog.list_all()
        rejection = respond(
            503,
            request_id='first',
            is_not_run=True,
            retry_after_seconds=1.0,
            max_request_rate=3.0,
            max_rejections=2.0,
        ).head
        answer = respond(request_id='second').head
        for request_id, head in (
            ('first', rejection),
            ('second', answer),
            ('third', rejection),
        ):
            router.record_response(
                ports.ReceivedHead(
                    address=target.address,
                    incarnation=target.name,
                    sent_at=router.runtime.now(),
                    is_own=head.request_id == request_id,
                    head=head,
                    awaited_request_id=request_id,
                )
            )
            await asyncio.sleep(PAUSE_SECONDS)
        incarnation = target.get_incarnation()
        now = router.runtime.now() - PAUSE_SECONDS
        case.assertEqual(0.0, router.get_pause_seconds(target, now))
        case.assertIsNone(router.rate_limits.get(incarnation))
        kinds = fixture.sink.list_kinds()
        case.assertEqual(1, kinds.count(events.Event.TARGET_FULL))
        case.assertIn(events.Event.RESPONSE_PASSED_OVER, kinds)

    clocks.run(run())


def test_short_pause_is_waited_for(case: support.Case) -> None:
    """A call is held for a pause that is far below its objective."""

    async def run() -> None:
        fixture = create_fixture(1)
        await fixture.serve(
            '/safe/',
            [respond(503, is_not_run=True, retry_after_seconds=0.05)],
            [respond()],
        )
        case.assertEqual(2, len(fixture.targets.sent))

    clocks.run(run())


def test_odd_pauses_are_bounded_and_logged_once(case: support.Case) -> None:
    """A malformed value is ignored, an absurd one is shortened."""

    async def run() -> None:
        for seconds, expected in (
            (math.nan, 0.0),
            (math.inf, notices.MAX_PAUSE_SECONDS),
            (1e9, notices.MAX_PAUSE_SECONDS),
            (0.25, 0.25),
        ):
            sink = call_fakes.Sink()
            held = notices.TargetNotices(sink)
            notice = notices.Notice(retry_after_seconds=seconds)
            held.record(('a', 1), notice, 10.0)
            held.record(('a', 1), notice, 10.0)
            pause = held.get_pause_seconds(('a', 1), 10.0)
            case.assertAlmostEqual(expected, pause)
            expected_events = int(seconds != 0.25)
            case.assertEqual(
                expected_events,
                sink.list_kinds().count(events.Event.RETRY_AFTER_ODD),
            )

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
