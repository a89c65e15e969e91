"""A request that crashes its targets is stopped; others are not blamed."""

import asyncio

from pistachioseam import refusals
from tests import call_fakes
from tests import clocks
from tests import support

Kind = call_fakes.Kind
CRASHES = 3


def create_fleet() -> call_fakes.Fleet:
    """Return a fleet with four plain targets."""
    return call_fakes.Fleet([call_fakes.create_target(n) for n in range(4)])


async def break_once(fleet: call_fakes.Fleet, is_crash: bool) -> None:
    """Let one call break at its target, which then is gone or not."""
    fleet.link.refusing = (
        {target.address for target in fleet.router.catalog.list_all()}
        if is_crash
        else set()
    )
    call, _ = await fleet.serve('/once/', [call_fakes.fail(Kind.BROKEN)])
    assert call.refusal is not None
    await asyncio.sleep(0.2)


def test_third_crash_ends_the_retries(case: support.Case) -> None:
    """The request is refused as not run, and reaches no more targets."""

    async def run() -> None:
        fleet = create_fleet()
        for _ in range(CRASHES):
            await break_once(fleet, is_crash=True)
        sent = len(fleet.link.sent)
        call, _ = await fleet.serve('/once/')
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertIs(refusals.Reason.QUARANTINED, call.refusal.reason)
        case.assertEqual(sent, len(fleet.link.sent))

    clocks.run(run())


def test_broken_channel_alone_blames_nobody(case: support.Case) -> None:
    """A target that still takes channels has not crashed."""

    async def run() -> None:
        fleet = create_fleet()
        for _ in range(3 * CRASHES):
            await break_once(fleet, is_crash=False)
        call, _ = await fleet.serve('/once/', [call_fakes.answer()])
        case.assertTrue(call.is_served)

    clocks.run(run())


def test_served_request_is_cleared(case: support.Case) -> None:
    """One whole answer ends the suspicion against a request."""

    async def run() -> None:
        fleet = create_fleet()
        for _ in range(CRASHES):
            await break_once(fleet, is_crash=True)
            if fleet.router.quarantine.list_quarantined():
                break
            call, _ = await fleet.serve('/once/', [call_fakes.answer()])
            case.assertTrue(call.is_served)
        case.assertEqual((), fleet.router.quarantine.list_quarantined())

    clocks.run(run())


def test_peer_knows_of_crashes_too(case: support.Case) -> None:
    """What one host has seen counts at another."""

    async def run() -> None:
        first, second = create_fleet(), create_fleet()
        for fleet in (first, second, first):
            await break_once(fleet, is_crash=True)
            for suspect in fleet.router.quarantine.list_suspects():
                first.router.quarantine.merge(suspect)
                second.router.quarantine.merge(suspect)
        call, _ = await second.serve('/once/')
        assert call.refusal is not None
        case.assertIs(refusals.Reason.QUARANTINED, call.refusal.reason)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
