"""What a caller gets that sends a call again under its request id."""

import asyncio

from pistachioseam.forwarding import call_refusals
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import desired
from pistachioseam.forwarding import notices
from pistachioseam.forwarding import repeats
from pistachioseam.forwarding import router as routers
from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests import support

Kind = call_fakes.Kind
respond = call_fakes.respond
event = call_fakes.event

ONCE_PREFIXES = ('/once/', '/stream/')
REPEATABLE_PREFIXES = ('/safe/', '/resumable/')
RUN_SECONDS = 1.0
PAUSE_SECONDS = 0.1
"""Pause of a target that is short enough for a call to wait."""


def create_fixture(
    targets: call_fakes.ScriptedTargets | None = None,
) -> call_fakes.RouterFixture:
    """Return a router with two targets of each service."""
    return call_fakes.RouterFixture(
        [
            call_fakes.create_target(number, service)
            for number in range(2)
            for service in (
                call_fakes.PLAIN_SERVICE,
                call_fakes.ENGINE_SERVICE,
            )
        ],
        targets,
    )


def set_accounts(fixture: call_fakes.RouterFixture, *names: str) -> None:
    """Require a key of one of these accounts."""
    accounts = tuple(
        desired.Account(
            name=name, keys=(f'key-{name}',), priority=None, is_isolated=False
        )
        for name in names
    )
    fixture.set_state(call_fakes.create_state(2, accounts))


def answer() -> call_fakes.FakeResponse:
    """Return a whole response that fits all routes."""
    return respond(chunks=(event(1),))


def start(
    fixture: call_fakes.RouterFixture, call: calls.Call
) -> asyncio.Task[None]:
    """Start to serve a call."""
    return asyncio.create_task(routers.run_filters(call, fixture.router))


async def start_first(
    fixture: call_fakes.RouterFixture, prefix: str
) -> tuple[calls.Call, asyncio.Task[None]]:
    """Return a call that is in progress for RUN_SECONDS, and its task."""
    fixture.targets.script = [[RUN_SECONDS, answer()], [answer()], [answer()]]
    first = fixture.create_call(prefix)
    task = start(fixture, first)
    await asyncio.sleep(RUN_SECONDS / 2)
    return first, task


def test_call_in_progress_is_not_sent_again_under_its_id(
    case: support.Case,
) -> None:
    """Guards against TWICE; the first call is served as if alone."""

    async def run(prefix: str) -> None:
        fixture = create_fixture()
        first, task = await start_first(fixture, prefix)
        again = fixture.create_call(prefix)
        sent_at = fixture.runtime.now()
        await routers.run_filters(again, fixture.router)
        case.assertEqual(1, len(fixture.targets.sent), prefix)
        assert again.refusal is not None
        case.assertEqual(502, again.refusal.status)
        case.assertIs(refusals.Reason.IN_PROGRESS, again.refusal.reason)
        case.assertIs(refusals.Outcome.UNKNOWN, again.refusal.outcome)
        case.assertEqual(sent_at, fixture.runtime.now())
        await task
        case.assertTrue(first.is_served)
        assert isinstance(first.reply, call_fakes.Reply)
        case.assertEqual((200, event(1)), (first.status, first.reply.body))

    for prefix in ONCE_PREFIXES:
        clocks.run(run(prefix))


def test_call_that_waits_is_not_sent_under_its_id_beside(
    case: support.Case,
) -> None:
    """The first call may be sent at any time, so the second gets 502 too."""

    async def run() -> None:
        fixture = create_fixture()
        for target in fixture.router.catalog.list_all():
            fixture.router.notices.record(
                target.get_incarnation(),
                notices.Notice(retry_after_seconds=PAUSE_SECONDS),
                fixture.runtime.now(),
            )
        fixture.targets.script = [[answer()]]
        first = fixture.create_call('/once/')
        task = start(fixture, first)
        await asyncio.sleep(0.01)
        case.assertEqual([], fixture.targets.sent)
        again = fixture.create_call('/once/')
        await routers.run_filters(again, fixture.router)
        assert again.refusal is not None
        case.assertIs(refusals.Reason.IN_PROGRESS, again.refusal.reason)
        await task
        case.assertTrue(first.is_served)
        case.assertEqual(1, len(fixture.targets.sent))

    clocks.run(run())


def test_safe_and_resumable_calls_run_beside_themselves(
    case: support.Case,
) -> None:
    """They may run more than once."""

    async def run(prefix: str) -> None:
        fixture = create_fixture()
        _, task = await start_first(fixture, prefix)
        again = fixture.create_call(prefix)
        await routers.run_filters(again, fixture.router)
        case.assertTrue(again.is_served, prefix)
        await task
        case.assertEqual(2, len(fixture.targets.sent))

    for prefix in REPEATABLE_PREFIXES:
        clocks.run(run(prefix))


def test_calls_of_other_ids_and_accounts_are_unaffected(
    case: support.Case,
) -> None:
    """Only the account and the id together name a call."""

    async def run() -> None:
        fixture = create_fixture()
        set_accounts(fixture, 'a', 'b')
        fixture.targets.script = [
            [RUN_SECONDS, respond(request_id=request_id)]
            for request_id in ('1', '1', '2')
        ]
        same = [
            fixture.create_call('/once/', key=key, request_id=request_id)
            for key, request_id in (
                ('key-a', '1'),
                ('key-b', '1'),
                ('key-a', '2'),
                ('key-a', '1'),
            )
        ]
        await asyncio.gather(*(start(fixture, call) for call in same))
        case.assertEqual(
            [True, True, True, False], [call.is_served for call in same]
        )

    clocks.run(run())


def test_call_in_progress_is_never_refused_as_not_run(
    case: support.Case,
) -> None:
    """Guards against REFUSED: the key of the second try is in doubt."""

    async def run(prefix: str) -> None:
        fixture = create_fixture()
        set_accounts(fixture, 'a')
        fixture.targets.script = [[RUN_SECONDS, answer()]]
        first = fixture.create_call(prefix, key='key-a')
        task = start(fixture, first)
        await asyncio.sleep(RUN_SECONDS / 2)
        fixture.router.freshness.bound_seconds = 0.0
        again = fixture.create_call(prefix, key='key-a')
        await routers.run_filters(again, fixture.router)
        assert again.refusal is not None
        case.assertEqual(503, again.refusal.status)
        refusal = call_refusals.restate_refusal(again, fixture.router)
        assert refusal is not None
        case.assertIs(refusals.Reason.IN_PROGRESS, refusal.reason)
        other = fixture.create_call(prefix, key='key-a', request_id='other')
        await routers.run_filters(other, fixture.router)
        refusal = call_refusals.restate_refusal(other, fixture.router)
        assert refusal is not None
        case.assertEqual(503, refusal.status)
        await task
        case.assertTrue(first.is_served)
        refusal = call_refusals.restate_refusal(again, fixture.router)
        assert refusal is not None
        case.assertEqual(503, refusal.status)

    for prefix in ONCE_PREFIXES:
        clocks.run(run(prefix))


def send_again(
    case: support.Case, *script: call_fakes.Step, status: int
) -> None:
    """Check that a call with some end is sent again, by any host."""

    async def run(prefix: str, is_same: bool) -> None:
        targets = call_fakes.ScriptedTargets()
        hosts = [create_fixture(targets) for _ in range(2)]
        call, _ = await hosts[0].serve(prefix, script, script, script, script)
        found = call.refusal.status if call.refusal else call.status
        case.assertEqual(status, found)
        sent = len(targets.sent)
        again, _ = await hosts[not is_same].serve(prefix, [answer()])
        case.assertTrue(again.is_served)
        case.assertEqual(sent + 1, len(targets.sent))

    for prefix in ONCE_PREFIXES:
        for is_same in (True, False):
            clocks.run(run(prefix, is_same))


def test_call_runs_again_after_its_answer(case: support.Case) -> None:
    """Line 200 of the table in `http.md`."""
    send_again(case, answer(), status=200)


def test_call_is_sent_again_after_an_unknown_outcome(
    case: support.Case,
) -> None:
    """Line 502 of the table in `http.md`."""
    send_again(case, call_fakes.create_failure(Kind.BROKEN), status=502)


def test_call_is_sent_again_after_a_refusal_as_not_run(
    case: support.Case,
) -> None:
    """Line 503 of the table in `http.md`."""
    send_again(case, respond(503, is_not_run=True), status=503)


def test_call_is_sent_again_after_its_deadline(case: support.Case) -> None:
    """Line 504 of the table in `http.md`."""
    send_again(case, 60.0, answer(), status=504)


def test_other_host_sends_a_call_under_the_same_id(
    case: support.Case,
) -> None:
    """Hosts do not tell each other the ids of their calls."""

    async def run(prefix: str) -> None:
        targets = call_fakes.ScriptedTargets()
        hosts = [create_fixture(targets) for _ in range(2)]
        first, task = await start_first(hosts[0], prefix)
        again = hosts[1].create_call(prefix)
        await routers.run_filters(again, hosts[1].router)
        await task
        later = hosts[1].create_call(prefix)
        await routers.run_filters(later, hosts[1].router)
        case.assertEqual(
            [True] * 3, [call.is_served for call in (first, again, later)]
        )
        case.assertEqual(3, len(targets.sent))

    for prefix in ONCE_PREFIXES:
        clocks.run(run(prefix))


def test_only_calls_in_progress_are_remembered(case: support.Case) -> None:
    """Also when a call is cancelled, and one without an id is exempt."""

    async def run() -> None:
        in_progress = repeats.CallsInProgress()
        fixture = create_fixture()
        state = fixture.router.desired.state
        assert state is not None
        first, again, anonymous = (
            fixture.create_call('/once/', request_id=request_id)
            for request_id in ('1', '1', '')
        )
        for call in (first, again, anonymous):
            call.route = state.find_route(call.head.host, call.get_path())
        with (
            case.assertRaises(asyncio.CancelledError),
            in_progress.hold(first) as is_alone,
        ):
            case.assertTrue(is_alone)
            with in_progress.hold(again) as is_again_alone:
                case.assertFalse(is_again_alone)
            case.assertEqual(1, len(in_progress))
            with in_progress.hold(anonymous) as is_anonymous_alone:
                case.assertTrue(is_anonymous_alone)
                case.assertEqual(1, len(in_progress))
            raise asyncio.CancelledError
        case.assertEqual(0, len(in_progress))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
