"""Queues of many hosts' calls at the last engines with outdated weights."""

import asyncio
import collections
import random

import attrs

from pistachioseam.forwarding import admission
from pistachioseam.forwarding import loads
from pistachioseam.forwarding import router as routers
from tests import call_fakes
from tests import clocks
from tests.core.forwarding import test_begin_limits
from tests import queueing_engines
from tests import support

HOSTS = 91
PEERS = 3
ENGINES = 3
CALLS_PER_SECOND = 250.0
BOUND_SECONDS = 10.0
FIRST_SECONDS = 5.0
LAST_SECONDS = 7.5
"""Ages of the weights between which calls arrive."""


@attrs.frozen
class Outcome:
    """What engines did, and the statuses that callers got."""

    engines: queueing_engines.Record
    latest_begin_seconds: float
    statuses: collections.Counter[int]


async def play(terms: queueing_engines.EngineTerms) -> Outcome:
    """Send calls through hosts that do not know of each other's."""
    loop = asyncio.get_running_loop()
    engines = queueing_engines.QueueingEngines(terms)
    hosts = [
        test_begin_limits.create_fixture(
            int(BOUND_SECONDS * 1000), (1,) * ENGINES, engines
        )
        for _ in range(HOSTS)
    ]
    for host in hosts:
        host.set_state(None, {call_fakes.MODEL: 2})
    named_at = loop.time()
    draw = random.Random(1)
    statuses: collections.Counter[int] = collections.Counter()

    async def send(request_id: str) -> None:
        host = draw.choice(hosts)
        call = host.create_call(
            '/stream/', test_begin_limits.PROMPT, request_id=request_id
        )
        await routers.run_filters(call, host.router)
        refusal = call.refusal
        statuses[refusal.status if refusal else call.status] += 1

    await asyncio.sleep(FIRST_SECONDS)
    sends = []
    while loop.time() - named_at < LAST_SECONDS:
        await asyncio.sleep(draw.expovariate(CALLS_PER_SECOND))
        sends.append(asyncio.ensure_future(send(f'request-{len(sends)}')))
    await asyncio.gather(*sends)
    await asyncio.sleep(BOUND_SECONDS)
    return Outcome(
        engines=engines.record,
        latest_begin_seconds=max(engines.record.begun_at) - named_at,
        statuses=statuses,
    )


def test_engines_that_notice_closes_late_begin_no_call_too_late(
    case: support.Case,
) -> None:
    """The hosts' own limits reach an engine only with the close."""
    terms = queueing_engines.EngineTerms(linger_seconds=2.0)
    outcome = clocks.run(play(terms))
    case.assertLess(outcome.latest_begin_seconds, BOUND_SECONDS)


def test_calls_that_reach_engines_late_begin_in_time(
    case: support.Case,
) -> None:
    """An engine counts its time limit from when a call arrives."""
    terms = queueing_engines.EngineTerms(linger_seconds=0.0, way_seconds=1.3)
    outcome = clocks.run(play(terms))
    case.assertLess(outcome.latest_begin_seconds, BOUND_SECONDS)


def test_queued_calls_are_refused_as_not_run(case: support.Case) -> None:
    """Callers may send them again; only runs that were cut are unknown."""
    outcome = clocks.run(play(queueing_engines.EngineTerms()))
    case.assertGreater(outcome.engines.rejected, 0)
    case.assertEqual(outcome.engines.cut, outcome.statuses[502])
    case.assertEqual(outcome.engines.finished, outcome.statuses[200])


async def create_loaded_fixture(
    seconds: float, versions: tuple[int, ...], peer_tokens: tuple[int, ...]
) -> call_fakes.RouterFixture:
    """Return a router some seconds after newer weights were named.

    Each of its peers has sent prompts of `peer_tokens` to the engines.
    """
    fixture = test_begin_limits.create_fixture(3_000, versions)
    fixture.set_state(None, {call_fakes.MODEL: 2})
    await asyncio.sleep(seconds)
    reports = {
        target.name: loads.Load(prefill_tokens=tokens)
        for target, tokens in zip(
            fixture.router.catalog.list_all(), peer_tokens, strict=True
        )
    }
    now = fixture.runtime.now()
    for number in range(PEERS):
        fixture.router.loads.record_peer_loads(f'peer-{number}', reports, now)
    return fixture


def test_call_that_would_begin_too_late_is_refused_at_once(
    case: support.Case,
) -> None:
    """It would be stopped in the engine's queue when its time is spent."""

    async def run() -> None:
        for wait_seconds, is_sent in ((1.0, True), (1.9, False)):
            fixture = await create_loaded_fixture(
                wait_seconds, (1,), (10_000,)
            )
            started_at = fixture.runtime.now()
            call, _ = await fixture.serve(
                '/stream/',
                [call_fakes.respond(chunks=(call_fakes.event(1),))],
                prompt=test_begin_limits.PROMPT,
            )
            case.assertEqual(is_sent, call.is_served)
            case.assertEqual(int(is_sent), len(fixture.targets.sent))
        assert call.refusal is not None
        case.assertEqual(503, call.refusal.status)
        case.assertIsNotNone(call.refusal.retry_after_seconds)
        max_hold_seconds = admission.MAX_HOLD_FRACTION
        case.assertLess(fixture.runtime.now() - started_at, max_hold_seconds)

    clocks.run(run())


def test_call_is_sent_where_it_begins_in_time(case: support.Case) -> None:
    """The engine with newer weights has the longer queue."""

    async def run() -> None:
        fixture = await create_loaded_fixture(1.9, (1, 2), (10_000, 14_000))
        call, _ = await fixture.serve(
            '/stream/',
            [call_fakes.respond(chunks=(call_fakes.event(1),))],
            prompt=test_begin_limits.PROMPT,
        )
        case.assertTrue(call.is_served)
        _, outgoing = fixture.targets.sent[0]
        case.assertEqual(2, outgoing.weights_version)

    clocks.run(run())


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
