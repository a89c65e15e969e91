"""Long responses are passed on in parts, within the budget of responses."""

import asyncio

from pistachioseam.forwarding import delivery
from pistachioseam import response_budgets
from tests import call_fakes
from tests import clocks
from tests.core.forwarding import test_forward
from tests import support

Kind = call_fakes.Kind
PART = bytes(65_536)
LONG_PARTS = 40
"""Together longer than what is held of a body without a declared length."""


class WaitingReply(call_fakes.Reply):
    """Response to a caller that reads nothing until its deadline."""

    async def write(self, data: bytes) -> None:
        """Wait for the caller after the first part."""
        if self.body:
            await asyncio.sleep(2 * call_fakes.TIMEOUT_SECONDS)
        await super().write(data)


def create_fixture() -> call_fakes.RouterFixture:
    """Return a router with three plain targets."""
    return test_forward.create_plain_fixture()


def test_long_response_is_passed_on_whole(case: support.Case) -> None:
    """A body beyond what may be held reaches the caller nevertheless."""

    async def run() -> None:
        fixture = create_fixture()
        response = call_fakes.respond(chunks=[PART] * LONG_PARTS)
        call, reply = await fixture.serve('/once/', [response])
        case.assertTrue(call.is_served)
        case.assertTrue(call.has_partial_body)
        case.assertEqual(LONG_PARTS * len(PART), len(reply.body))
        names = {name for name, _ in reply.headers}
        case.assertNotIn(b'Content-Length', names)
        case.assertEqual(0, fixture.router.response_budget.held_bytes)

    clocks.run(run())


def test_declared_length_is_passed_on(case: support.Case) -> None:
    """The caller learns the length before the body is complete."""

    async def run() -> None:
        fixture = create_fixture()
        fixture.router.response_budget.limit_bytes = 0
        response = call_fakes.respond(chunks=[PART] * 3)
        response.declared_bytes = 3 * len(PART)
        _, reply = await fixture.serve('/safe/', [response])
        case.assertEqual(3 * len(PART), len(reply.body))
        length = b'%d' % (3 * len(PART))
        case.assertIn((b'Content-Length', length), reply.headers)

    clocks.run(run())


def test_broken_part_is_not_sent_again(case: support.Case) -> None:
    """A body that breaks after its first part stays truncated.

    Guards against a second attempt whose body would follow the first part.
    """

    async def run() -> None:
        fixture = create_fixture()
        broken = call_fakes.create_failure(Kind.BROKEN)
        response = call_fakes.respond(chunks=[PART] * LONG_PARTS + [broken])
        call, reply = await fixture.serve(
            '/safe/', [response], [call_fakes.respond()]
        )
        case.assertFalse(call.is_served)
        case.assertIsNotNone(call.refusal)
        case.assertEqual(1, len(fixture.targets.sent))
        case.assertEqual(b'', reply.body.strip(b'\0'))
        case.assertEqual(0, fixture.router.response_budget.held_bytes)

    clocks.run(run())


def test_body_that_breaks_while_it_is_held_is_tried_again(
    case: support.Case,
) -> None:
    """Until the first part is sent, another target may serve the call."""

    async def run() -> None:
        fixture = create_fixture()
        broken = call_fakes.create_failure(Kind.BROKEN)
        response = call_fakes.respond(chunks=[PART, PART, broken])
        call, reply = await fixture.serve(
            '/safe/', [response], [call_fakes.respond()]
        )
        case.assertTrue(call.is_served)
        case.assertEqual(b'whole', reply.body)
        case.assertEqual(0, fixture.router.response_budget.held_bytes)

    clocks.run(run())


def test_used_up_budget_shortens_what_is_held(case: support.Case) -> None:
    """Without room a body is passed on from its first part."""
    budget = response_budgets.ResponseBudget()
    budget.limit_bytes = 10 * len(PART)
    with response_budgets.HeldParts(budget) as first:
        while not first.is_full(response_budgets.MAX_HELD_BYTES):
            first.add(PART)
        case.assertEqual(11 * len(PART), first.held_bytes)
        with response_budgets.HeldParts(budget) as second:
            case.assertFalse(second.is_full(response_budgets.MAX_HELD_BYTES))
            second.add(PART)
            case.assertTrue(second.is_full(response_budgets.MAX_HELD_BYTES))
        case.assertEqual(11 * len(PART), budget.held_bytes)
    case.assertEqual(0, budget.held_bytes)


def test_interrupted_part_comes_again(case: support.Case) -> None:
    """A part whose use is interrupted is neither lost nor repeated."""
    budget = response_budgets.ResponseBudget()
    held = response_budgets.HeldParts(budget)
    for part in (b'one', b'two', b'three'):
        held.add(part)
    used = []
    for part in held:
        if part == b'two':
            break
        used.append(part)
    used.extend(held)
    case.assertEqual([b'one', b'two', b'three'], used)
    case.assertEqual(0, budget.held_bytes)


def test_complete_response_is_delivered_after_the_deadline(
    case: support.Case,
) -> None:
    """A slow caller gets all of a response that has arrived whole."""

    async def run() -> None:
        fixture = create_fixture()
        reply = WaitingReply()
        call, _ = await fixture.serve(
            '/once/',
            [call_fakes.respond(chunks=[PART] * 4)],
            reply=reply,
        )
        case.assertTrue(call.is_served)
        case.assertEqual(4 * len(PART), len(reply.body))
        case.assertEqual(0, fixture.router.response_budget.held_bytes)

    clocks.run(run())


class SlowReply(call_fakes.Reply):
    """Response to a caller that takes a second for each part."""

    async def write(self, data: bytes) -> None:
        """Wait for the caller."""
        await asyncio.sleep(1.0)
        await super().write(data)


def test_body_that_advances_is_delivered_after_the_deadline(
    case: support.Case,
) -> None:
    """A caller that reads slowly gets a long response of known length."""

    async def run() -> None:
        fixture = create_fixture()
        fixture.router.response_budget.limit_bytes = 0
        parts = 2 * int(call_fakes.TIMEOUT_SECONDS)
        response = call_fakes.respond(chunks=[PART] * parts)
        response.declared_bytes = parts * len(PART)
        call, reply = await fixture.serve(
            '/safe/', [response], reply=SlowReply()
        )
        case.assertTrue(call.is_served)
        case.assertEqual(parts * len(PART), len(reply.body))

    clocks.run(run())


def test_body_without_length_ends_with_the_deadline(
    case: support.Case,
) -> None:
    """Guards against bodies without an end."""

    async def run() -> None:
        fixture = create_fixture()
        fixture.router.response_budget.limit_bytes = 0
        chunks = [PART, 1.0] * 2 * int(call_fakes.TIMEOUT_SECONDS)
        call, reply = await fixture.serve(
            '/safe/', [call_fakes.respond(chunks=chunks)]
        )
        case.assertFalse(call.is_served)
        case.assertLessEqual(
            len(reply.body), (call_fakes.TIMEOUT_SECONDS + 1) * len(PART)
        )

    clocks.run(run())


def test_body_that_stalls_ends_after_the_deadline(case: support.Case) -> None:
    """A caller that stops reading does not keep a call for ever."""

    async def run() -> None:
        fixture = create_fixture()
        fixture.router.response_budget.limit_bytes = 0
        response = call_fakes.respond(chunks=[PART] * 3)
        response.declared_bytes = 3 * len(PART)
        call, reply = await fixture.serve(
            '/safe/', [response], reply=WaitingReply()
        )
        case.assertFalse(call.is_served)
        case.assertEqual(len(PART), len(reply.body))

    clocks.run(run())


def test_broken_stream_is_not_completed_at_the_deadline(
    case: support.Case,
) -> None:
    """Guards against MIXED: a whole other response came in between.

    The stream has begun and its next target responds 404; the deadline passes
    while a further one is waited for.
    """

    async def run() -> None:
        fixture = create_fixture()
        call = fixture.create_call('/resumable/')
        state = fixture.router.desired.state
        assert state is not None
        (call.route,) = [r for r in state.routes if r.name == 'resumable']
        await call.reply.begin(200, ())
        await call.reply.write(call_fakes.event(1))
        with delivery.Delivery(call, fixture.router) as resumed:
            failure = await resumed._deliver_body(call_fakes.respond(404))
            assert failure is not None
            case.assertIs(Kind.BROKEN, failure.kind)
            case.assertFalse(resumed.deliver_late())

    clocks.run(run())


def test_long_error_is_tried_again_then_passed_on(case: support.Case) -> None:
    """A 5xx response of any length is delivered if no target succeeds."""

    async def run() -> None:
        fixture = create_fixture()
        call, reply = await fixture.serve(
            '/safe/',
            [call_fakes.respond(500, chunks=[PART] * LONG_PARTS)],
            [call_fakes.respond(500, chunks=[PART] * LONG_PARTS)],
        )
        case.assertTrue(call.is_served)
        case.assertEqual(500, reply.status)
        case.assertEqual(LONG_PARTS * len(PART), len(reply.body))
        case.assertEqual(2, len(fixture.targets.sent))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
