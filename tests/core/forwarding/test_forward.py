"""Retries of forwarded calls are safe, and responses are complete."""

import asyncio

from pistachioseam import events
from pistachioseam.forwarding import delivery
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import rollouts
from pistachioseam.forwarding import router as routers
from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests import support

Kind = call_fakes.Kind
respond = call_fakes.respond
event = call_fakes.event
create_failure = call_fakes.create_failure


def create_plain_fixture() -> call_fakes.RouterFixture:
    """Return a router with three plain targets."""
    return call_fakes.RouterFixture(
        [call_fakes.create_target(n) for n in range(3)]
    )


def create_engine_fixture() -> call_fakes.RouterFixture:
    """Return a router with three engines."""
    return call_fakes.RouterFixture(
        [
            call_fakes.create_target(n, call_fakes.ENGINE_SERVICE)
            for n in range(3)
        ]
    )


def test_response_is_delivered_unchanged(case: support.Case) -> None:
    """Status, headers and body are those of the target, also for a 404."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, reply = await fixture.serve('/safe/', [respond(404)])
        case.assertTrue(call.is_served)
        case.assertEqual((404, b'whole'), (reply.status, reply.body))
        case.assertIn((b'X-Own', b'404'), reply.headers)

    clocks.run(run())


def test_broken_once_call_is_not_retried(case: support.Case) -> None:
    """A call that may run only once fails with an unknown outcome."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, _ = await fixture.serve(
            '/once/', [0.2, create_failure(Kind.BROKEN)]
        )
        assert call.refusal is not None
        case.assertEqual(502, call.refusal.status)
        case.assertIs(refusals.Outcome.UNKNOWN, call.refusal.outcome)
        case.assertEqual(1, len(fixture.targets.sent))

    clocks.run(run())


def test_call_that_did_not_run_is_retried(case: support.Case) -> None:
    """A call that a target states it has not run goes to another."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, reply = await fixture.serve(
            '/once/', [respond(503, is_not_run=True)], [respond()]
        )
        case.assertTrue(call.is_served)
        case.assertEqual(200, reply.status)
        case.assertEqual(
            2, len({address for address, _ in fixture.targets.sent})
        )

    clocks.run(run())


def test_call_that_all_targets_reject_did_not_run(case: support.Case) -> None:
    """The caller gets 503 with a retry time when no target ran the call."""

    async def run() -> None:
        fixture = create_plain_fixture()
        busy = [[respond(503, is_not_run=True)] for _ in range(9)]
        call, _ = await fixture.serve('/once/', *busy)
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertIs(refusals.Outcome.NOT_RUN, call.refusal.outcome)
        case.assertIsNotNone(call.refusal.retry_after_seconds)

    clocks.run(run())


def test_outcome_stays_unknown_after_later_rejections(
    case: support.Case,
) -> None:
    """Later rejections do not hide that an earlier attempt may have run."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, _ = await fixture.serve(
            '/safe/',
            [create_failure(Kind.BROKEN)],
            *[[respond(503, is_not_run=True)] for _ in range(9)],
        )
        assert call.refusal is not None
        case.assertEqual(502, call.refusal.status)

    clocks.run(run())


def test_failed_safe_call_is_retried(case: support.Case) -> None:
    """A 500 of one target is not delivered while attempts are left."""

    async def run() -> None:
        fixture = create_plain_fixture()
        _, reply = await fixture.serve('/safe/', [respond(500)], [respond()])
        case.assertEqual(200, reply.status)

    clocks.run(run())


def test_last_error_response_is_delivered(case: support.Case) -> None:
    """If all attempts fail, the caller gets the last 500 of a target."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, reply = await fixture.serve(
            '/safe/', [respond(500)], [respond(500)]
        )
        case.assertTrue(call.is_served)
        case.assertEqual((500, b'whole'), (reply.status, reply.body))

    clocks.run(run())


def test_response_to_another_request_is_not_delivered(
    case: support.Case,
) -> None:
    """A response with another request id or without a stamp is a failure."""

    async def run() -> None:
        for wrong in (respond(request_id='other'), respond(stamp='')):
            fixture = create_plain_fixture()
            call, reply = await fixture.serve('/once/', [wrong])
            assert call.refusal is not None
            case.assertEqual(502, call.refusal.status)
            case.assertFalse(reply.is_begun())
            case.assertTrue(wrong.is_aborted)

    clocks.run(run())


def test_late_copy_of_a_response_closes_its_connection(
    case: support.Case,
) -> None:
    """The copy is complete, and the call's own response may still come.

    On the same connection it would meet the next call, and so on.
    """

    async def run() -> None:
        fixture = create_plain_fixture()
        copy = respond(request_id='earlier')
        copy.is_ended = True
        await fixture.serve('/once/', [copy])
        case.assertTrue(copy.is_aborted)

    clocks.run(run())


def test_late_copy_of_a_rejection_does_not_show_that_a_call_did_not_run(
    case: support.Case,
) -> None:
    """Guards against TWICE and REFUSED: the target may run the call."""

    async def run() -> None:
        for status in (421, 429, 503):
            for request_id in ('earlier', ''):
                fixture = create_plain_fixture()
                copy = respond(status, is_not_run=True, request_id=request_id)
                copy.is_ended = True
                call, _ = await fixture.serve('/once/', [copy], [respond()])
                assert call.refusal is not None
                case.assertEqual(502, call.refusal.status)
                case.assertIs(refusals.Outcome.UNKNOWN, call.refusal.outcome)
                case.assertEqual(1, len(fixture.targets.sent))
                case.assertTrue(copy.is_aborted)

    clocks.run(run())


def test_head_of_two_responses_shows_nothing(case: support.Case) -> None:
    """Guards against TWICE: its proof may belong to the other response."""

    async def run() -> None:
        for status in (421, 503, 200):
            fixture = create_plain_fixture()
            merged = respond(status, is_not_run=True, is_ambiguous=True)
            call, _ = await fixture.serve('/once/', [merged], [respond()])
            assert call.refusal is not None
            case.assertEqual(502, call.refusal.status)
            case.assertEqual(1, len(fixture.targets.sent))
            case.assertTrue(merged.is_aborted)

    clocks.run(run())


def test_refusal_that_no_target_has_proved_is_not_passed_on(
    case: support.Case,
) -> None:
    """Guards against REFUSED: a target's own 503 does not say `not run`.

    Calls that may run again get the target's response unchanged.
    """

    async def run() -> None:
        for status in (408, 429, 503):
            for path in ('/once/', '/stream/'):
                fixture = create_plain_fixture()
                if path == '/stream/':
                    fixture = create_engine_fixture()
                call, reply = await fixture.serve(path, [respond(status)])
                assert call.refusal is not None, (status, path)
                case.assertEqual(502, call.refusal.status)
                case.assertIs(refusals.Outcome.UNKNOWN, call.refusal.outcome)
                case.assertFalse(reply.is_begun())
            fixture = create_plain_fixture()
            responses = [[respond(status)] for _ in range(3)]
            call, reply = await fixture.serve('/safe/', *responses)
            case.assertEqual(status, reply.status)

    clocks.run(run())


def test_second_attempt_at_a_target_gets_a_new_connection(
    case: support.Case,
) -> None:
    """Guards against TWICE: a late copy of the rejection bears the same id."""

    async def run() -> None:
        for prefix in ('/once/', '/safe/'):
            fixture = call_fakes.RouterFixture([call_fakes.create_target(1)])
            call, _ = await fixture.serve(
                prefix, [respond(503, is_not_run=True)], [respond()]
            )
            case.assertTrue(call.is_served)
            first, second = [sent for _, sent in fixture.targets.sent]
            case.assertFalse(first.needs_new_connection)
            case.assertTrue(second.needs_new_connection)

    clocks.run(run())


def test_response_to_another_request_tells_no_weights_version(
    case: support.Case,
) -> None:
    """A late copy of a 421 may be about weights that were loaded since."""

    async def run() -> None:
        target = call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)
        fixture = call_fakes.RouterFixture([target])
        fixture.set_state(None, {call_fakes.MODEL: 3})
        fixture.router.weights.record(target, call_fakes.MODEL, 2)
        prompt = prompts.Prompt(
            model=call_fakes.MODEL,
            prompt_tokens=10,
            output_tokens=5,
            parts=(prompts.Part('p', 10),),
        )
        copy = respond(421, is_not_run=True, request_id='earlier')
        await fixture.serve('/stream/', [copy], [respond()], prompt=prompt)
        case.assertEqual(
            2, fixture.router.weights.get(target, call_fakes.MODEL)
        )

    clocks.run(run())


def test_incomplete_body_is_not_delivered(case: support.Case) -> None:
    """Nothing is sent to the caller if the connection breaks in the body."""

    async def run() -> None:
        fixture = create_plain_fixture()
        incomplete = respond(chunks=(b'half', create_failure(Kind.BROKEN)))
        call, reply = await fixture.serve('/once/', [incomplete])
        assert call.refusal is not None
        case.assertFalse(reply.is_begun())

    clocks.run(run())


def test_call_without_response_ends_at_the_deadline(
    case: support.Case,
) -> None:
    """The caller gets 504 after the timeout of the route."""

    async def run() -> None:
        fixture = create_plain_fixture()
        started = fixture.runtime.now()
        call, _ = await fixture.serve('/once/', [60.0, respond()])
        assert call.refusal is not None
        case.assertEqual(504, call.refusal.status)
        elapsed = fixture.runtime.now() - started
        case.assertAlmostEqual(call_fakes.TIMEOUT_SECONDS, elapsed, places=2)

    clocks.run(run())


def test_caller_shortens_the_deadline(case: support.Case) -> None:
    """A shorter timeout of the caller counts and is sent to targets."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, _ = await fixture.serve(
            '/once/', [60.0, respond()], timeout_seconds=1.5
        )
        case.assertIsNotNone(call.refusal)
        case.assertAlmostEqual(1.5, fixture.targets.sent[0][1].seconds_left, 2)

    clocks.run(run())


def test_unreachable_targets_cost_no_budget(case: support.Case) -> None:
    """A failure to connect spends nothing of the retry budget."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, reply = await fixture.serve(
            '/once/', [create_failure(Kind.NOT_SENT)], [respond()]
        )
        case.assertTrue(call.is_served)
        case.assertEqual(200, reply.status)
        now = fixture.runtime.now()
        spent = fixture.router.budget.count_retries(
            call_fakes.PLAIN_SERVICE, now
        )
        case.assertEqual(0, spent)

    clocks.run(run())


def test_broken_resumable_stream_continues_at_another_target(
    case: support.Case,
) -> None:
    """Events of two targets are delivered complete, once and in order."""

    async def run() -> None:
        fixture = create_engine_fixture()
        first = respond(
            chunks=(
                event(1),
                event(2) + b'id: 3\nda',
                create_failure(Kind.BROKEN),
            )
        )
        second = respond(chunks=(event(2) + event(3), event(4)))
        call, reply = await fixture.serve('/resumable/', [first], [second])
        case.assertTrue(call.is_served)
        expected = b''.join(event(number) for number in (1, 2, 3, 4))
        case.assertEqual(expected, reply.body)
        case.assertEqual('2', fixture.targets.sent[1][1].after_event)

    clocks.run(run())


def test_resumed_stream_with_a_gap_is_aborted(case: support.Case) -> None:
    """A missing event ends the response instead of being skipped."""

    async def run() -> None:
        fixture = create_engine_fixture()
        first = respond(chunks=(event(1), create_failure(Kind.BROKEN)))
        second = respond(chunks=(event(3),))
        call, reply = await fixture.serve('/resumable/', [first], [second])
        case.assertFalse(call.is_served)
        case.assertIsNotNone(call.refusal)
        case.assertEqual(event(1), reply.body)

    clocks.run(run())


def test_refusals_and_broken_streams_have_separate_events(
    case: support.Case,
) -> None:
    """Only a response that had begun is logged as a broken stream."""

    async def run() -> None:
        for script, expected in (
            (
                [create_failure(Kind.NOT_SENT)] * 9,
                events.Event.REQUEST_REFUSED,
            ),
            (
                [respond(chunks=(event(1), create_failure(Kind.BROKEN)))],
                events.Event.STREAM_FAILED,
            ),
        ):
            fixture = create_engine_fixture()
            call, reply = await fixture.serve(
                '/stream/', *[[step] for step in script]
            )
            if not reply.is_begun():
                await reply.begin(503, ())
            delivery.emit_call_end(
                call, fixture.router, has_caller_disconnected=False
            )
            case.assertIs(expected, fixture.sink.list_kinds()[-1])

    clocks.run(run())


def test_decision_is_logged_with_its_inputs(case: support.Case) -> None:
    """The log line of a placed call has costs, configuration and its age."""

    async def run() -> None:
        fixture = create_plain_fixture()
        await fixture.serve('/once/', [respond()])
        placed = [
            fields
            for kind, fields in fixture.sink.events
            if kind is events.Event.CALL_PLACED
        ]
        for name in ('request_id', 'target', 'costs', 'configuration', 'age'):
            case.assertIn(name, placed[0])
        case.assertEqual(0.0, placed[0]['weights_lag'])

    clocks.run(run())


def test_stream_that_ends_inside_an_event_is_not_complete(
    case: support.Case,
) -> None:
    """A body that ends regularly, but inside an event, is a failure."""

    async def run() -> None:
        fixture = create_engine_fixture()
        truncated = respond(chunks=(event(1), b'id: 2\nda'))
        call, reply = await fixture.serve('/stream/', [truncated])
        case.assertFalse(call.is_served)
        case.assertEqual(event(1), reply.body)

    clocks.run(run())


def test_disconnect_of_the_caller_cancels_the_call(case: support.Case) -> None:
    """The connection to the target is closed and its load removed."""

    async def run() -> None:
        fixture = create_engine_fixture()
        endless = respond(chunks=(event(1), 60.0, event(2)))
        fixture.targets.script = [[endless]]
        call = fixture.create_call('/stream/')
        work = asyncio.ensure_future(routers.run_filters(call, fixture.router))
        await asyncio.sleep(0.5)
        case.assertTrue(call.is_cancelled_on_disconnect())
        work.cancel()
        await asyncio.wait([work])
        case.assertTrue(endless.is_aborted)
        case.assertEqual({}, fixture.router.loads.get_own_loads())

    clocks.run(run())


def test_once_call_that_was_sent_survives_a_disconnect(
    case: support.Case,
) -> None:
    """A disconnect cancels it only before its first byte is sent."""

    async def run() -> None:
        fixture = create_plain_fixture()
        fixture.targets.script = [[60.0, respond()]]
        call = fixture.create_call('/once/')
        case.assertTrue(call.is_cancelled_on_disconnect())
        work = asyncio.ensure_future(routers.run_filters(call, fixture.router))
        await asyncio.sleep(0.5)
        case.assertFalse(call.is_cancelled_on_disconnect())
        work.cancel()

    clocks.run(run())


def test_key_must_be_known_and_fresh(case: support.Case) -> None:
    """Unknown keys get 401; a stale state neither accepts nor rejects one."""

    async def run() -> None:
        fixture = create_plain_fixture()
        account = desired.Account(
            name='a', keys=('key',), priority=0, is_isolated=False
        )
        fixture.set_state(call_fakes.create_state(2, (account,)))
        call, _ = await fixture.serve('/once/', key='wrong')
        case.assertEqual(401, call.refusal and call.refusal.status)
        call, _ = await fixture.serve('/once/', [respond()], key='key')
        case.assertTrue(call.is_served)
        case.assertEqual('a', fixture.targets.sent[-1][1].account)
        await asyncio.sleep(4.7)
        for key in ('wrong', 'key'):
            call, _ = await fixture.serve('/once/', key=key)
            case.assertEqual(503, call.refusal and call.refusal.status)
        case.assertEqual(1, len(fixture.targets.sent))

    clocks.run(run())


def test_key_is_checked_again_before_each_send(case: support.Case) -> None:
    """A call is not retried once its key may have been revoked."""

    async def run() -> None:
        fixture = create_plain_fixture()
        account = desired.Account(
            name='a', keys=('key',), priority=0, is_isolated=False
        )
        fixture.set_state(call_fakes.create_state(2, (account,)))
        await asyncio.sleep(4.0)
        call, _ = await fixture.serve(
            '/once/', [0.9, create_failure(Kind.NOT_SENT)], key='key'
        )
        case.assertEqual(503, call.refusal and call.refusal.status)
        case.assertEqual(1, len(fixture.targets.sent))

    clocks.run(run())


def test_unknown_route_is_404_only_while_state_is_fresh(
    case: support.Case,
) -> None:
    """A stale desired state may lack a new route, so the caller gets 503."""

    async def run() -> None:
        fixture = create_plain_fixture()
        call, _ = await fixture.serve('/none/')
        case.assertEqual(404, call.refusal and call.refusal.status)
        await asyncio.sleep(2.5)
        call, _ = await fixture.serve('/none/')
        case.assertEqual(503, call.refusal and call.refusal.status)

    clocks.run(run())


def test_salt_separates_versions_and_isolated_accounts(
    case: support.Case,
) -> None:
    """Cache entries are shared only by equal model, version and isolation."""
    salts = {
        prompts.compute_salt('m', 1, ''),
        prompts.compute_salt('m', 2, ''),
        prompts.compute_salt('n', 1, ''),
        prompts.compute_salt('m', 1, 'a'),
        prompts.compute_salt('m', 1, 'b'),
    }
    case.assertEqual(5, len(salts))


def test_call_is_retried_with_the_new_weights_version(
    case: support.Case,
) -> None:
    """A 421 without an incarnation means that the weights were replaced."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture(
            [call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)]
        )
        fixture.set_state(None, {call_fakes.MODEL: 2})
        prompt = prompts.Prompt(
            model=call_fakes.MODEL,
            prompt_tokens=10,
            output_tokens=5,
            parts=(prompts.Part('p', 10),),
        )
        call, reply = await fixture.serve(
            '/stream/',
            [respond(421, is_not_run=True)],
            [respond(chunks=(event(1),))],
            prompt=prompt,
        )
        case.assertTrue(call.is_served)
        case.assertEqual(event(1), reply.body)
        sent = [outgoing for _, outgoing in fixture.targets.sent]
        case.assertEqual([1, 2], [s.weights_version for s in sent])
        case.assertNotEqual(sent[0].cache_salt, sent[1].cache_salt)

    clocks.run(run())


def test_engine_that_rejects_a_version_is_not_taken_for_up_to_date(
    case: support.Case,
) -> None:
    """It may run a version in between, and must then still be loaded."""

    async def run() -> None:
        target = call_fakes.create_target(1, call_fakes.ENGINE_SERVICE)
        fixture = call_fakes.RouterFixture([target])
        fixture.set_state(None, {call_fakes.MODEL: 3})
        prompt = prompts.Prompt(
            model=call_fakes.MODEL,
            prompt_tokens=10,
            output_tokens=5,
            parts=(prompts.Part('p', 10),),
        )
        for instance in ('', target.name):
            rejection = respond(
                421, is_not_run=True, other_incarnation=instance
            )
            await fixture.serve(
                '/stream/',
                [rejection],
                [rejection],
                [rejection],
                [rejection],
                prompt=prompt,
            )
            sent = [o.weights_version for _, o in fixture.targets.sent]
            case.assertIn(3, sent, instance)
            case.assertEqual(
                [target],
                [o.target for o in rollouts.list_outdated(fixture.router)],
            )
            case.assertEqual((), fixture.router.weights.list_recent())
            await asyncio.sleep(2.0)
            fixture.targets.sent.clear()

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
