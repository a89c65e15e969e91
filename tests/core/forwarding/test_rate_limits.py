"""Limits that targets state for the whole fleet are known to each host."""

import asyncio
import math

import attrs

from pistachioseam import events
from pistachioseam.forwarding import catalog
from pistachioseam.forwarding import ports
from pistachioseam.forwarding import rate_limits
from pistachioseam.forwarding import rate_permits
from pistachioseam.forwarding import store_versions
from tests import call_fakes
from tests import clocks
from tests import support

TARGET = ('i-1', 1)


def receive(
    rate: float | None, sent_at: float, is_own: bool = True
) -> ports.ReceivedHead:
    """Return a response with a limit, or without one."""
    return ports.ReceivedHead(
        address='10.0.0.1:80',
        incarnation=TARGET[0],
        sent_at=sent_at,
        is_own=is_own,
        head=ports.ResponseHead(status=200, headers=(), max_request_rate=rate),
    )


def test_limit_is_lifted_only_by_a_later_request(case: support.Case) -> None:
    """Responses overtake each other; a late copy belongs to no request."""
    limits = rate_limits.RateLimits(call_fakes.Sink())
    limits.record_response(TARGET, receive(1.5, 9.0), 10.0)
    limits.record_response(TARGET, receive(None, 9.5), 10.5)
    case.assertEqual(1.5, limits.get(TARGET))
    limits.record_response(TARGET, receive(None, 11.0, is_own=False), 11.5)
    case.assertEqual(1.5, limits.get(TARGET))
    limits.record_response(TARGET, receive(None, 11.0), 11.5)
    case.assertIsNone(limits.get(TARGET))


def test_copy_of_a_response_states_no_limit(case: support.Case) -> None:
    """A limit that was lowered since would be exceeded."""

    async def run() -> None:
        target = call_fakes.create_target(1)
        router = call_fakes.RouterFixture([target]).router
        stated = (('a', 'a', 50.0), ('b', 'b', 20.0), ('a', 'c', 50.0))
        for response_id, awaited_id, rate in stated:
            head = call_fakes.respond(max_request_rate=rate).head
            router.record_response(
                ports.ReceivedHead(
                    address=target.address,
                    incarnation=target.name,
                    sent_at=router.runtime.now(),
                    is_own=response_id == awaited_id,
                    head=attrs.evolve(head, request_id=response_id),
                    awaited_request_id=awaited_id,
                )
            )
            await asyncio.sleep(1.0)
        limits = router.rate_limits
        case.assertEqual(20.0, limits.get(target.get_incarnation()))

    clocks.run(run())


def test_newest_observation_of_the_fleet_counts(case: support.Case) -> None:
    """A lifted limit of a peer must be clearly newer than a stated one."""
    limits = rate_limits.RateLimits(call_fakes.Sink())
    limits.record_response(TARGET, receive(1.5, 9.0), 10.0)

    def merge(rate: float | None, age: float, now: float) -> None:
        report = rate_limits.LimitReport(
            incarnation=TARGET, rate=rate, age_seconds=age
        )
        limits.merge(report, now)

    merge(2.0, 1.0, 10.5)
    case.assertEqual(1.5, limits.get(TARGET))
    merge(2.0, 0.2, 10.5)
    case.assertEqual(2.0, limits.get(TARGET))
    merge(None, 0.0, 10.8)
    case.assertEqual(2.0, limits.get(TARGET))
    merge(None, 0.0, 11.8)
    case.assertIsNone(limits.get(TARGET))


def test_change_of_a_limit_is_logged_once(case: support.Case) -> None:
    """The log says when a target stated a limit; odd values are ignored."""
    sink = call_fakes.Sink()
    limits = rate_limits.RateLimits(sink)
    for second in range(3):
        limits.record_response(TARGET, receive(math.nan, second), second)
    case.assertIsNone(limits.get(TARGET))
    for second in range(3, 6):
        limits.record_response(TARGET, receive(1.5, second), second)
    case.assertEqual(
        [events.Event.TARGET_LIMIT_ODD, events.Event.TARGET_LIMIT_CHANGED],
        sink.list_kinds(),
    )
    case.assertEqual(1, limits.count_limited())


def test_next_incarnation_has_no_limit(case: support.Case) -> None:
    """A target that has restarted under its name starts without a limit."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture([call_fakes.create_target(0)])
        target = fixture.router.catalog.list_all()[0]
        limited = call_fakes.respond(max_request_rate=1.5)
        await fixture.serve('/safe/', [limited])
        incarnation = target.get_incarnation()
        case.assertEqual(1.5, fixture.router.rate_limits.get(incarnation))
        fixture.restart_target(0)
        case.assertIsNone(fixture.router.rate_limits.get(incarnation))
        await asyncio.sleep(0)

    clocks.run(run())


def test_target_that_departs_while_a_permit_is_awaited_gets_no_call(
    case: support.Case,
) -> None:
    """The call was sent on the permit, though the target had left."""

    async def run() -> None:
        fixture = call_fakes.RouterFixture(
            [call_fakes.create_target(n) for n in range(2)]
        )
        router = fixture.router
        limited = router.catalog.list_all()[0].get_incarnation()
        router.rate_limits.record_response(
            limited, receive(9.0, router.runtime.now()), router.runtime.now()
        )

        async def grant(
            request: rate_permits.PermitRequest,
        ) -> rate_permits.PermitDecision:
            departure = catalog.Departure(
                limited, store_versions.StoreVersion(0, 2)
            )
            router.catalog.record_departure(departure, router.runtime.now())
            return rate_permits.PermitDecision(True)

        router.permits = rate_permits.PermitClient(
            'host', fixture.runtime, grant
        )
        other = router.catalog.list_all()[1]
        router.busy_until[other.name] = router.runtime.now() + 0.1
        await fixture.serve('/safe/', [call_fakes.respond()])
        case.assertEqual(
            [other.address], [address for address, _ in fixture.targets.sent]
        )

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
