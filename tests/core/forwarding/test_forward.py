"""Calls are sent again only where that is safe, and answers are whole."""

import asyncio

from pistachioseam import events
from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import router as routers
from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests import support

Kind = call_fakes.Kind
answer = call_fakes.answer
event = call_fakes.event
fail = call_fakes.fail


def create_plain_fleet() -> call_fakes.Fleet:
    """Return a fleet with three plain targets."""
    return call_fakes.Fleet([call_fakes.create_target(n) for n in range(3)])


def create_engine_fleet() -> call_fakes.Fleet:
    """Return a fleet with three engines."""
    return call_fakes.Fleet(
        [call_fakes.create_target(n, call_fakes.ENGINES) for n in range(3)]
    )


def test_answer_is_passed_on_unchanged(case: support.Case) -> None:
    """Status, headers and body are the target's."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, reply = await fleet.serve('/safe/', [answer(404)])
        case.assertTrue(call.is_served)
        case.assertEqual((404, b'whole'), (reply.status, reply.body))
        case.assertIn((b'X-Own', b'404'), reply.headers)

    clocks.run(run())


def test_broken_once_call_is_not_sent_again(case: support.Case) -> None:
    """A call that may have run ends as unknown, at once."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, _ = await fleet.serve('/once/', [0.2, fail(Kind.BROKEN)])
        assert call.refusal is not None
        case.assertEqual(502, call.refusal.status)
        case.assertIs(refusals.Outcome.UNKNOWN, call.refusal.outcome)
        case.assertEqual(1, len(fleet.link.sent))

    clocks.run(run())


def test_declared_refusal_goes_to_another_target(case: support.Case) -> None:
    """A target that says it did not run a call leaves it to others."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, reply = await fleet.serve(
            '/once/', [answer(503, is_not_run=True)], [answer()]
        )
        case.assertTrue(call.is_served)
        case.assertEqual(200, reply.status)
        case.assertEqual(2, len({address for address, _ in fleet.link.sent}))

    clocks.run(run())


def test_refusal_after_refusals_says_not_run(case: support.Case) -> None:
    """Without a run the caller is told to come back."""

    async def run() -> None:
        fleet = create_plain_fleet()
        busy = [[answer(503, is_not_run=True)] for _ in range(9)]
        call, _ = await fleet.serve('/once/', *busy)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertIs(refusals.Outcome.NOT_RUN, call.refusal.outcome)
        case.assertIsNotNone(call.refusal.retry_after_seconds)

    clocks.run(run())


def test_broken_run_after_a_refusal_stays_unknown(case: support.Case) -> None:
    """A later refusal does not hide that an earlier send may have run."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, _ = await fleet.serve(
            '/safe/',
            [fail(Kind.BROKEN)],
            *[[answer(503, is_not_run=True)] for _ in range(9)],
        )
        assert call.refusal is not None
        case.assertEqual(502, call.refusal.status)

    clocks.run(run())


def test_failed_safe_call_is_tried_elsewhere(case: support.Case) -> None:
    """A failure of one target is not final while attempts are left."""

    async def run() -> None:
        fleet = create_plain_fleet()
        _, reply = await fleet.serve('/safe/', [answer(500)], [answer()])
        case.assertEqual(200, reply.status)

    clocks.run(run())


def test_last_failure_of_a_target_is_passed_on(case: support.Case) -> None:
    """When nothing better comes, the caller gets the target's own answer."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, reply = await fleet.serve('/safe/', [answer(500)], [answer(500)])
        case.assertTrue(call.is_served)
        case.assertEqual((500, b'whole'), (reply.status, reply.body))

    clocks.run(run())


def test_foreign_answer_is_not_delivered(case: support.Case) -> None:
    """An answer that bears another id, or no stamp, is no answer."""

    async def run() -> None:
        for wrong in (answer(request_id='other'), answer(stamp='')):
            fleet = create_plain_fleet()
            call, reply = await fleet.serve('/once/', [wrong])
            assert call.refusal is not None
            case.assertEqual(502, call.refusal.status)
            case.assertFalse(reply.is_begun())
            case.assertTrue(wrong.is_aborted)

    clocks.run(run())


def test_cut_body_is_not_delivered(case: support.Case) -> None:
    """Half an answer is none."""

    async def run() -> None:
        fleet = create_plain_fleet()
        cut = answer(chunks=(b'half', fail(Kind.BROKEN)))
        call, reply = await fleet.serve('/once/', [cut])
        assert call.refusal is not None
        case.assertFalse(reply.is_begun())

    clocks.run(run())


def test_silent_target_ends_at_the_deadline(case: support.Case) -> None:
    """The route's time is kept, and nothing is said of the run."""

    async def run() -> None:
        fleet = create_plain_fleet()
        started = fleet.runtime.now()
        call, _ = await fleet.serve('/once/', [60.0, answer()])
        assert call.refusal is not None
        case.assertEqual(504, call.refusal.status)
        took = fleet.runtime.now() - started
        case.assertAlmostEqual(call_fakes.TIMEOUT_SECONDS, took, places=2)

    clocks.run(run())


def test_caller_bounds_the_deadline(case: support.Case) -> None:
    """A caller that waits for less is answered sooner; targets are told."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, _ = await fleet.serve(
            '/once/', [60.0, answer()], seconds_allowed=1.5
        )
        case.assertIsNotNone(call.refusal)
        case.assertAlmostEqual(1.5, fleet.link.sent[0][1].seconds_left, 2)

    clocks.run(run())


def test_unreachable_targets_cost_no_budget(case: support.Case) -> None:
    """A channel that cannot be opened is no send."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, reply = await fleet.serve(
            '/once/', [fail(Kind.NOT_SENT)], [answer()]
        )
        case.assertTrue(call.is_served)
        case.assertEqual(200, reply.status)
        now = fleet.runtime.now()
        spent = fleet.router.budget.count_retries(call_fakes.PLAIN, now)
        case.assertEqual(0, spent)

    clocks.run(run())


def test_broken_resumable_stream_goes_on_elsewhere(
    case: support.Case,
) -> None:
    """Whole events are delivered once and in order over two targets."""

    async def run() -> None:
        fleet = create_engine_fleet()
        first = answer(
            chunks=(event(1), event(2) + b'id: 3\nda', fail(Kind.BROKEN))
        )
        second = answer(chunks=(event(2) + event(3), event(4)))
        call, reply = await fleet.serve('/resumable/', [first], [second])
        case.assertTrue(call.is_served)
        expected = b''.join(event(number) for number in (1, 2, 3, 4))
        case.assertEqual(expected, reply.body)
        case.assertEqual('2', fleet.link.sent[1][1].after_event)

    clocks.run(run())


def test_resumed_stream_with_a_gap_is_broken_off(case: support.Case) -> None:
    """A missing event ends the answer instead of being skipped."""

    async def run() -> None:
        fleet = create_engine_fleet()
        first = answer(chunks=(event(1), fail(Kind.BROKEN)))
        second = answer(chunks=(event(3),))
        call, reply = await fleet.serve('/resumable/', [first], [second])
        case.assertFalse(call.is_served)
        case.assertIsNotNone(call.refusal)
        case.assertEqual(event(1), reply.body)

    clocks.run(run())


def test_log_tells_refusals_from_broken_streams(case: support.Case) -> None:
    """Only an answer that had begun is logged as a broken stream."""

    async def run() -> None:
        for script, expected in (
            ([fail(Kind.NOT_SENT)] * 9, events.Event.REQUEST_REFUSED),
            (
                [answer(chunks=(event(1), fail(Kind.BROKEN)))],
                events.Event.STREAM_FAILED,
            ),
        ):
            fleet = create_engine_fleet()
            call, reply = await fleet.serve(
                '/stream/', *[[step] for step in script]
            )
            if not reply.is_begun():
                await reply.begin(503, ())
            delivery.emit_end(call, fleet.router, caller_left=False)
            case.assertIs(expected, fleet.sink.list_kinds()[-1])

    clocks.run(run())


def test_decision_is_logged_with_its_inputs(case: support.Case) -> None:
    """The line of a placed call names costs, configuration and age."""

    async def run() -> None:
        fleet = create_plain_fleet()
        await fleet.serve('/once/', [answer()])
        placed = [
            fields
            for kind, fields in fleet.sink.events
            if kind is events.Event.CALL_PLACED
        ]
        for name in ('request_id', 'target', 'costs', 'configuration', 'age'):
            case.assertIn(name, placed[0])

    clocks.run(run())


def test_stream_that_ends_inside_an_event_is_not_complete(
    case: support.Case,
) -> None:
    """A proper end of the body in the middle of an event is a failure."""

    async def run() -> None:
        fleet = create_engine_fleet()
        torn = answer(chunks=(event(1), b'id: 2\nda'))
        call, reply = await fleet.serve('/stream/', [torn])
        case.assertFalse(call.is_served)
        case.assertEqual(event(1), reply.body)

    clocks.run(run())


def test_caller_that_leaves_ends_the_work(case: support.Case) -> None:
    """The target's channel is dropped, and its load is taken off."""

    async def run() -> None:
        fleet = create_engine_fleet()
        endless = answer(chunks=(event(1), 60.0, event(2)))
        fleet.link.script = [[endless]]
        call = fleet.create_call('/stream/')
        work = asyncio.ensure_future(routers.run_filters(call, fleet.router))
        await asyncio.sleep(0.5)
        case.assertTrue(call.follows_caller())
        work.cancel()
        await asyncio.wait([work])
        case.assertTrue(endless.is_aborted)
        case.assertEqual({}, fleet.router.loads.get_own_loads())

    clocks.run(run())


def test_once_call_outlives_its_caller_when_sent(case: support.Case) -> None:
    """It may be cancelled before its first byte only."""

    async def run() -> None:
        fleet = create_plain_fleet()
        fleet.link.script = [[60.0, answer()]]
        call = fleet.create_call('/once/')
        case.assertTrue(call.follows_caller())
        work = asyncio.ensure_future(routers.run_filters(call, fleet.router))
        await asyncio.sleep(0.5)
        case.assertFalse(call.follows_caller())
        work.cancel()

    clocks.run(run())


def test_key_must_be_known_and_fresh(case: support.Case) -> None:
    """Unknown keys are denied; old knowledge denies and allows nothing."""

    async def run() -> None:
        fleet = create_plain_fleet()
        account = desired.Account(
            name='a', keys=('key',), priority=0, is_isolated=False
        )
        fleet.set_state(call_fakes.create_state(2, (account,)))
        call, _ = await fleet.serve('/once/', key='wrong')
        case.assertEqual(401, call.refusal and call.refusal.status)
        call, _ = await fleet.serve('/once/', [answer()], key='key')
        case.assertTrue(call.is_served)
        case.assertEqual('a', fleet.link.sent[-1][1].account)
        await asyncio.sleep(4.7)
        for key in ('wrong', 'key'):
            call, _ = await fleet.serve('/once/', key=key)
            case.assertEqual(503, call.refusal and call.refusal.status)
        case.assertEqual(1, len(fleet.link.sent))

    clocks.run(run())


def test_key_is_checked_again_before_each_send(case: support.Case) -> None:
    """A call that waited past the bound of its key is not sent."""

    async def run() -> None:
        fleet = create_plain_fleet()
        account = desired.Account(
            name='a', keys=('key',), priority=0, is_isolated=False
        )
        fleet.set_state(call_fakes.create_state(2, (account,)))
        await asyncio.sleep(4.0)
        call, _ = await fleet.serve(
            '/once/', [0.9, fail(Kind.NOT_SENT)], key='key'
        )
        case.assertEqual(503, call.refusal and call.refusal.status)
        case.assertEqual(1, len(fleet.link.sent))

    clocks.run(run())


def test_unknown_route_is_denied_only_on_fresh_knowledge(
    case: support.Case,
) -> None:
    """A host that is out of touch may lack a new route."""

    async def run() -> None:
        fleet = create_plain_fleet()
        call, _ = await fleet.serve('/none/')
        case.assertEqual(404, call.refusal and call.refusal.status)
        await asyncio.sleep(2.5)
        call, _ = await fleet.serve('/none/')
        case.assertEqual(503, call.refusal and call.refusal.status)

    clocks.run(run())


def test_salt_keeps_versions_and_isolated_accounts_apart(
    case: support.Case,
) -> None:
    """Parts are shared by equal model, version and isolation only."""
    salts = {
        prompts.compute_salt('m', 1, ''),
        prompts.compute_salt('m', 2, ''),
        prompts.compute_salt('n', 1, ''),
        prompts.compute_salt('m', 1, 'a'),
        prompts.compute_salt('m', 1, 'b'),
    }
    case.assertEqual(5, len(salts))


def test_other_weights_than_expected_are_learned(case: support.Case) -> None:
    """A target that has moved on is asked again with its new version."""

    async def run() -> None:
        fleet = call_fakes.Fleet(
            [call_fakes.create_target(1, call_fakes.ENGINES)]
        )
        fleet.set_state(None, {call_fakes.MODEL: 2})
        prompt = prompts.Prompt(
            model=call_fakes.MODEL,
            prompt_tokens=10,
            output_tokens=5,
            parts=(prompts.Part('p', 10),),
        )
        call, reply = await fleet.serve(
            '/stream/',
            [answer(421, is_not_run=True)],
            [answer(chunks=(event(1),))],
            prompt=prompt,
        )
        case.assertTrue(call.is_served)
        case.assertEqual(event(1), reply.body)
        sent = [outgoing for _, outgoing in fleet.link.sent]
        case.assertEqual([1, 2], [s.weights_version for s in sent])
        case.assertNotEqual(sent[0].cache_salt, sent[1].cache_salt)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
