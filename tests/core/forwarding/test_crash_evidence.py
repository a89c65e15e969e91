"""The prompt part that crashes targets is found, and no other one."""

import asyncio
import itertools
import types
import typing

from pistachioseam import events
from pistachioseam.forwarding import calls
from pistachioseam.forwarding import crash_evidence
from pistachioseam.forwarding import crashes
from pistachioseam.forwarding import prompts
from pistachioseam.forwarding import router as routers
from pistachioseam import refusals
from pistachioseam_entry import status_messages
from tests import call_fakes
from tests import clocks
from tests import support

CRASHES = 3
ENGINES = 4
RESTART_SECONDS = 4.0
"""Time from a crash until the target is back."""


def create_statuses(
    fixture: call_fakes.RouterFixture,
) -> status_messages.StatusMessages:
    """Return the statuses of a host that loads no weights."""
    rollout: typing.Any = types.SimpleNamespace(loading=set())
    return status_messages.StatusMessages(fixture.router, rollout, list)


class Fleet:
    """Hosts that exchange statuses, with the same engines."""

    def __init__(self, engines: int = ENGINES) -> None:
        self.hosts = [
            call_fakes.RouterFixture(
                [
                    call_fakes.create_target(n, call_fakes.ENGINE_SERVICE)
                    for n in range(engines)
                ]
            )
            for _ in range(2)
        ]
        self._statuses = [create_statuses(host) for host in self.hosts]
        self._calls = 0

    def exchange(self) -> None:
        """Send each host's status to the other."""
        sent = [s.create_host_status() for s in self._statuses]
        for status, receiver in zip(sent, self._statuses[::-1], strict=True):
            receiver.apply_host_status('peer', status)

    def _create_call(
        self, host: call_fakes.RouterFixture, names: tuple[str, ...]
    ) -> calls.Call:
        """Return a call unlike all others, with the given shared parts."""
        self._calls += 1
        own = f'own-{self._calls}'
        prompt = prompts.Prompt(
            model=call_fakes.MODEL,
            prompt_tokens=10,
            output_tokens=5,
            parts=tuple(prompts.Part(name, 5) for name in (*names, own)),
        )
        return host.create_call(
            '/stream/', prompt, body=own.encode(), request_id=own
        )

    async def serve(self, number: int, *names: str) -> calls.Call:
        """Run a call with the given shared parts; its target serves it."""
        host = self.hosts[number]
        call = self._create_call(host, names)
        answer = call_fakes.respond(
            chunks=(call_fakes.event(1),), request_id=call.request_id
        )
        host.targets.script = [[answer]]
        await routers.run_filters(call, host.router)
        self.exchange()
        return call

    async def crash(
        self, number: int, *parts: tuple[str, ...], answered: float = 0.0
    ) -> list[calls.Call]:
        """Crash the targets of calls that have the given shared parts.

        With `answered`, the answers had gone on for that long.
        """
        host = self.hosts[number]
        failure = call_fakes.create_failure(call_fakes.Kind.BROKEN)
        crashing = [self._create_call(host, names) for names in parts]
        host.targets.script = [
            [0.02, failure]
            if not answered
            else [
                call_fakes.respond(
                    chunks=(call_fakes.event(1), answered, failure),
                    request_id=call.request_id,
                )
            ]
            for call in crashing
        ]
        host.targets.crashed_addresses = {
            target.address for target in host.router.catalog.list_all()
        }
        await asyncio.gather(
            *(routers.run_filters(call, host.router) for call in crashing)
        )
        await asyncio.sleep(crashes.CRASH_CHECK_DELAY_SECONDS + 0.01)
        host.targets.crashed_addresses = set()
        self.exchange()
        self._restart({c.attempts[-1].target.name for c in crashing})
        return crashing

    def _restart(self, names: set[str]) -> None:
        for host in self.hosts:
            listed = host.router.catalog.list_all()
            for number, target in enumerate(listed):
                if target.name in names:
                    host.restart_target(number)


def check_refused(case: support.Case, call: calls.Call) -> None:
    """Check that a call is refused as not run and was not sent."""
    assert call.refusal is not None
    case.assertEqual(503, call.refusal.status)
    case.assertIs(refusals.Reason.QUARANTINED, call.refusal.reason)
    case.assertIs(refusals.Outcome.NOT_RUN, call.refusal.outcome)
    case.assertEqual([], call.attempts)


def test_unlike_calls_with_a_crashing_part_reach_all_targets(
    case: support.Case,
) -> None:
    """One part crashed engine after engine, as no two calls were equal."""

    async def run() -> None:
        fleet = Fleet()
        for number in range(CRASHES):
            await fleet.crash(number % 2, ('base', f'x{number}', 'bad'))
            await asyncio.sleep(1.0)
            await fleet.serve(number % 2, 'base', 'good')
        for number in range(2):
            check_refused(case, await fleet.serve(number, 'base', 'bad'))
            check_refused(case, await fleet.serve(number, 'bad', 'other'))
            call = await fleet.serve(number, 'base', 'good')
            case.assertTrue(call.is_served)

    clocks.run(run())


def test_parts_in_flight_at_crashes_are_served(case: support.Case) -> None:
    """Parts that share crashed engines but are served elsewhere stay usable.

    Their calls are in flight at each crash; the shared first part is that of
    the crashing calls too.
    """

    async def run() -> None:
        fleet = Fleet(engines=1)
        for number in range(2 * CRASHES):
            await fleet.crash(
                number % 2, ('base', f'bad{number}'), ('base', 'good')
            )
            await asyncio.sleep(RESTART_SECONDS)
            call = await fleet.serve((number + 1) % 2, 'base', 'good')
            case.assertTrue(call.is_served)

    clocks.run(run())


def test_long_answers_at_crashes_are_served(case: support.Case) -> None:
    """A part whose answers had long begun at each crash stays usable."""

    async def run() -> None:
        fleet = Fleet(engines=1)
        for number in range(2 * CRASHES):
            await fleet.crash(number % 2, ('base', 'good'), answered=2.0)
            await asyncio.sleep(RESTART_SECONDS)
        call = await fleet.serve(0, 'base', 'good')
        case.assertTrue(call.is_served)

    clocks.run(run())


def test_rack_that_crashes_quarantines_no_part(case: support.Case) -> None:
    """Engines that crash at one moment prove nothing about their calls."""

    async def run() -> None:
        fleet = Fleet()
        crashed: list[calls.Call] = []
        for number in range(ENGINES):
            crashed += await fleet.crash(number % 2, ('base', 'good'))
        targets = {c.attempts[-1].target.get_incarnation() for c in crashed}
        case.assertLessEqual(CRASHES, len(targets))
        await asyncio.sleep(RESTART_SECONDS)
        for number in range(2):
            call = await fleet.serve(number, 'base', 'good')
            case.assertTrue(call.is_served)

    clocks.run(run())


def create_prompt(*names: str) -> prompts.Prompt:
    """Return a prompt with the given shared parts and its own."""
    return prompts.Prompt(
        model=call_fakes.MODEL,
        prompt_tokens=10,
        output_tokens=5,
        parts=tuple(prompts.Part(name, 5) for name in (*names, 'own')),
    )


def create_evidence() -> crash_evidence.CrashEvidence:
    """Return evidence without any crash."""
    return crash_evidence.CrashEvidence(call_fakes.Sink())


def list_names(
    evidence: crash_evidence.CrashEvidence, now: float
) -> list[str]:
    """Return the names of the quarantined parts."""
    return [name for _, name in evidence.list_quarantined(now)]


def test_part_explained_by_another_is_served(case: support.Case) -> None:
    """A part in flight at some crashes of the crashing part stays usable."""
    evidence = create_evidence()
    for number in range(5):
        names = ('bad', 'rare') if number > 1 else ('bad',)
        evidence.record_crash(
            create_prompt(*names), ('engine', number), float(number)
        )
    case.assertEqual(['bad'], list_names(evidence, 5.0))
    evidence.record_crash(create_prompt('rare'), ('engine', 9), 6.0)
    case.assertEqual(['bad', 'rare'], list_names(evidence, 6.0))


def test_answered_part_of_all_crashing_calls_is_served(
    case: support.Case,
) -> None:
    """No call was answered between the crashes, as all targets were down.

    The first part of the crashing calls had been answered before.
    """
    sink = call_fakes.Sink()
    evidence = crash_evidence.CrashEvidence(sink)
    evidence.record_survival(create_prompt('base'), 0.0)
    for number in range(1, CRASHES + 1):
        evidence.record_crash(
            create_prompt('base', 'bad'), ('engine', number), float(number)
        )
    case.assertEqual(['bad'], list_names(evidence, 4.0))
    case.assertEqual(
        ['bad'],
        [
            fields['part']
            for event, fields in sink.events
            if event is events.Event.PART_QUARANTINED
        ],
    )


def test_crash_after_the_quarantine_renews_it(case: support.Case) -> None:
    """Calls with the part are tried again; one crash is then enough."""
    evidence = create_evidence()
    for number in range(CRASHES):
        evidence.record_crash(
            create_prompt('bad'), ('engine', number), float(number)
        )
    end = CRASHES - 1 + crash_evidence.QUARANTINE_SECONDS
    case.assertEqual(['bad'], list_names(evidence, end - 0.1))
    case.assertEqual([], list_names(evidence, end))
    evidence.record_crash(create_prompt('bad'), ('engine', 9), end + 60.0)
    case.assertEqual(['bad'], list_names(evidence, end + 61.0))
    evidence.record_survival(create_prompt('bad'), end + 62.0)
    case.assertEqual([], list_names(evidence, end + 62.0))


def test_reports_merge_in_any_order(case: support.Case) -> None:
    """Hosts agree after reports that come repeatedly, late and unordered."""
    hosts = [create_evidence() for _ in range(4)]
    for number in range(4):
        hosts[number].record_crash(
            create_prompt('bad', 'good'), ('engine', number), float(number)
        )
    hosts[0].record_survival(create_prompt('good'), 2.8)
    now = 4.0
    reports = [
        report
        for host in hosts
        for report in host.list_reports(now, float('inf'), 10)
    ]
    expected = None
    for order in itertools.permutations(reports):
        evidence = create_evidence()
        evidence.merge(order[:3], now)
        evidence.merge((*order[3:], order[0]), now)
        case.assertEqual(['bad'], list_names(evidence, now))
        merged = {
            (report.name, frozenset(report.crash_ages), report.survival_age)
            for report in evidence.list_reports(now, float('inf'), 10)
        }
        expected = expected or merged
        case.assertEqual(expected, merged)


def test_many_parts_drop_no_crashing_one(case: support.Case) -> None:
    """Records are bounded; those with the least evidence are dropped."""
    evidence = create_evidence()
    for number in range(CRASHES):
        evidence.record_crash(
            create_prompt('bad'), ('engine', number), float(number)
        )
    for number in range(crash_evidence.MAX_PARTS + 10):
        evidence.record_crash(create_prompt(f'p{number}'), ('engine', 9), 3.0)
    case.assertEqual(['bad'], list_names(evidence, 4.0))
    limit = 2 * crash_evidence.MAX_PARTS
    listed = evidence.list_reports(4.0, float('inf'), limit)
    case.assertEqual(crash_evidence.MAX_PARTS, len(listed))
    case.assertEqual(
        ['bad'], [r.name for r in evidence.list_reports(4.0, 10.0, 1)]
    )


def test_dense_crashes_quarantine_a_part_on_the_second_occasion(
    case: support.Case,
) -> None:
    """All engines end at once, are back after seconds, and end again."""
    evidence = crash_evidence.CrashEvidence(call_fakes.Sink())
    prompt = prompts.Prompt(
        model=call_fakes.MODEL,
        prompt_tokens=10,
        output_tokens=5,
        parts=(prompts.Part('shared', 5), prompts.Part('own', 5)),
    )
    for occasion in range(2):
        at = occasion * RESTART_SECONDS
        case.assertEqual('', evidence.find_quarantined(prompt, at))
        for number in range(3):
            incarnation = (f'engine-{number}', occasion)
            evidence.record_crash(prompt, incarnation, at + number / 10)
    case.assertEqual('shared', evidence.find_quarantined(prompt, at + 1))


def test_crashing_part_is_found_among_hundreds_of_suspects(
    case: support.Case,
) -> None:
    """Targets also crash for another reason, with hundreds of parts."""
    evidence = crash_evidence.CrashEvidence(call_fakes.Sink())

    def create_prompt(name: str) -> prompts.Prompt:
        return prompts.Prompt(
            model=call_fakes.MODEL,
            prompt_tokens=10,
            output_tokens=5,
            parts=(prompts.Part(name, 5), prompts.Part('own', 5)),
        )

    names = ['bad', *(f'part-{number}' for number in range(300))]
    for occasion in range(5):
        # The last two crashes are due to the bad part alone.
        for name in names if occasion < CRASHES else names[:1]:
            incarnation = ('engine', occasion)
            evidence.record_crash(
                create_prompt(name), incarnation, float(occasion)
            )
    case.assertEqual(
        ((call_fakes.MODEL, 'bad'),), evidence.list_quarantined(5.0)
    )
    innocent = create_prompt('part-7')
    case.assertEqual('', evidence.find_quarantined(innocent, 5.0))


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
