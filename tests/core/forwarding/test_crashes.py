"""Requests that crash their targets are quarantined, others are not."""

import asyncio

from pistachioseam import events
from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests import support

Kind = call_fakes.Kind
CRASHES = 3


def create_fixture() -> call_fakes.RouterFixture:
    """Return a router with four plain targets."""
    return call_fakes.RouterFixture(
        [call_fakes.create_target(n) for n in range(4)]
    )


async def break_once(
    fixture: call_fakes.RouterFixture, is_crash: bool
) -> None:
    """Break the connection of one call, with a target crash or without.

    Targets that have crashed come back as new incarnations.
    """
    fixture.targets.crashed_addresses = (
        {target.address for target in fixture.router.catalog.list_all()}
        if is_crash
        else set()
    )
    call, _ = await fixture.serve(
        '/once/', [call_fakes.create_failure(Kind.BROKEN)]
    )
    assert call.refusal is not None
    await asyncio.sleep(0.2)
    if is_crash:
        restart_targets(fixture)


def restart_targets(fixture: call_fakes.RouterFixture) -> None:
    """Register the next incarnations of all targets."""
    for number in range(len(fixture.router.catalog.list_all())):
        fixture.restart_target(number)


def test_request_is_quarantined_after_three_crashes(
    case: support.Case,
) -> None:
    """The request is refused and no longer sent to targets."""

    async def run() -> None:
        fixture = create_fixture()
        for _ in range(CRASHES):
            await break_once(fixture, is_crash=True)
        sent = len(fixture.targets.sent)
        call, _ = await fixture.serve('/once/')
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertIs(refusals.Reason.QUARANTINED, call.refusal.reason)
        case.assertEqual(sent, len(fixture.targets.sent))

    clocks.run(run())


def test_broken_connection_alone_is_no_crash(case: support.Case) -> None:
    """A target that still accepts connections has not crashed."""

    async def run() -> None:
        fixture = create_fixture()
        for _ in range(3 * CRASHES):
            await break_once(fixture, is_crash=False)
        call, _ = await fixture.serve('/once/', [call_fakes.respond()])
        case.assertTrue(call.is_served)

    clocks.run(run())


def test_served_request_is_no_longer_suspected(case: support.Case) -> None:
    """A complete response resets the crash count of a request."""

    async def run() -> None:
        fixture = create_fixture()
        for _ in range(CRASHES):
            await break_once(fixture, is_crash=True)
            if fixture.router.quarantine.list_quarantined():
                break
            call, _ = await fixture.serve('/once/', [call_fakes.respond()])
            case.assertTrue(call.is_served)
        case.assertEqual((), fixture.router.quarantine.list_quarantined())

    clocks.run(run())


def test_crashes_seen_by_peers_count(case: support.Case) -> None:
    """Crashes at two hosts add up to a quarantine."""

    async def run() -> None:
        first, second = create_fixture(), create_fixture()
        for fixture, other in (
            (first, second),
            (second, first),
            (first, second),
        ):
            await break_once(fixture, is_crash=True)
            restart_targets(other)
            for suspect in fixture.router.quarantine.list_suspects():
                first.router.quarantine.merge(suspect)
                second.router.quarantine.merge(suspect)
        call, _ = await second.serve('/once/')
        assert call.refusal is not None
        case.assertIs(refusals.Reason.QUARANTINED, call.refusal.reason)

    clocks.run(run())


def test_calls_in_flight_at_one_crash_count_once(case: support.Case) -> None:
    """A lookup of a hot key was refused for two minutes after one crash."""

    async def run() -> None:
        first, second = create_fixture(), create_fixture()
        fixtures = (first, second)
        target = first.router.catalog.list_all()[0].get_incarnation()
        for _ in range(2 * CRASHES):
            for fixture in fixtures:
                fixture.router.quarantine.record_crash('digest', target)
            for fixture in fixtures:
                for suspect in first.router.quarantine.list_suspects():
                    fixture.router.quarantine.merge(suspect)
        for fixture in fixtures:
            quarantine = fixture.router.quarantine
            case.assertEqual(1, quarantine.count_crashes('digest'))
        await asyncio.sleep(2.0)
        first.router.quarantine.record_crash('digest', target)
        case.assertEqual(2, first.router.quarantine.count_crashes('digest'))

    clocks.run(run())


def test_crashes_of_different_targets_add_up(case: support.Case) -> None:
    """Two hosts see one crash each, before they hear of each other."""

    async def run() -> None:
        first, second = create_fixture(), create_fixture()
        targets = [
            t.get_incarnation() for t in first.router.catalog.list_all()
        ]
        first.router.quarantine.record_crash('digest', targets[0])
        for target in targets[1:3]:
            second.router.quarantine.record_crash('digest', target)
        for suspect in first.router.quarantine.list_suspects():
            second.router.quarantine.merge(suspect)
        case.assertTrue(second.router.quarantine.is_quarantined('digest'))

    clocks.run(run())


def test_crashes_are_logged(case: support.Case) -> None:
    """Crashes, broken calls without one and a quarantine are logged."""

    async def run() -> None:
        fixture = create_fixture()
        await break_once(fixture, is_crash=False)
        for _ in range(CRASHES):
            await break_once(fixture, is_crash=True)
        kinds = fixture.sink.list_kinds()
        case.assertEqual(1, kinds.count(events.Event.CRASH_NOT_CONFIRMED))
        case.assertEqual(CRASHES, kinds.count(events.Event.TARGET_CRASHED))
        case.assertEqual(1, kinds.count(events.Event.REQUEST_FOUND_CRASHING))

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
