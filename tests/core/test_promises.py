"""Stateful tests of the core's guarantees under interleaved faults.

More seeds: `SEEDS=more EXAMPLES=2000 scripts/tests test_promises`.
"""

from unittest import mock

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from returns import result

from pistachioseam import acceptance
from pistachioseam import claim_records
from pistachioseam import claims
from pistachioseam import history
from pistachioseam.history import checkers
from pistachioseam import interfaces
from pistachioseam import refusals
from pistachioseam import snapshots
from pistachioseam import streams
from tests import simulations
from tests import support

HOSTS = ('h1', 'h2', 'h3')
NO_FAULT = 0
STEPS = 60
MUTATION_EXAMPLES = 300
assert history

faults = strategies.sampled_from((NO_FAULT,) * 5 + (1, 2, 3, 4, 5))
hosts = strategies.sampled_from(HOSTS)


class BrokenPromiseError(AssertionError):
    """A history checker found a violation."""


class Promises(stateful.RuleBasedStateMachine):
    """Callers, operators and faults that act in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = simulations.Simulation(HOSTS)

    @stateful.rule(
        host=hosts,
        key=strategies.sampled_from(('k1', 'k1', 'k2')),
        body=strategies.sampled_from(('b', 'b', 'other')),
    )
    def book(self, host: str, key: str, body: str) -> None:
        """Send a booking; keys repeat, so it may be a retry."""
        self.simulation.send_booking(host, key, body)

    @stateful.rule(host=hosts, prompt=strategies.sampled_from(('p', 'q')))
    def ask_model(self, host: str, prompt: str) -> None:
        """Send a streamed prompt."""
        self.simulation.send_chat(host, prompt * 40)

    @stateful.rule(
        endings=strategies.lists(
            strategies.tuples(strategies.integers(0, 7), faults),
            min_size=1,
            max_size=12,
        )
    )
    def step(self, endings: list[tuple[int, int]]) -> None:
        """End some pending calls in any order, some with faults."""
        for pick, ending in endings:
            self.simulation.step(pick, ending)

    @stateful.rule()
    def pass_time(self) -> None:
        """Advance the clock to the next timer."""
        self.simulation.advance_clock()

    @stateful.rule(pick=strategies.integers(0, 3))
    def deliver_late(self, pick: int) -> None:
        """Apply a write or call whose answer was lost."""
        if self.simulation.delayed_effects:
            self.simulation.delayed_effects.pop(
                pick % len(self.simulation.delayed_effects)
            )()

    @stateful.rule(host=hosts)
    def crash_host(self, host: str) -> None:
        """Crash a host and restart it."""
        self.simulation.crash_host(host)

    @stateful.rule(number=strategies.sampled_from((0, 1)))
    def crash_target(self, number: int) -> None:
        """Restart a target with an empty cache."""
        addresses = sorted(self.simulation.incarnations)
        self.simulation.incarnations[addresses[number]] += 1

    @stateful.rule(host=hosts, team=strategies.sampled_from(('t', 'x', '!')))
    def edit_and_refresh(self, host: str, team: str) -> None:
        """Edit a row, some with an invalid team, while a host refreshes."""
        row = {'name': 'm2', 'team': team, 'pool': 'm'}
        self.simulation.edit_row('routes/m2', row)
        owner = self.simulation.hosts[host]
        self.simulation.start(owner, owner.router.acceptor.refresh())

    def teardown(self) -> None:
        """Complete all calls, then check the whole history."""
        self.simulation.run_to_completion()
        violations = checkers.check_history(self.simulation.history)
        if violations:
            raise BrokenPromiseError(violations[0])
        assert not self.simulation.list_unanswered()


def test_promises_hold_under_any_interleaving(case: support.Case) -> None:
    """No checker finds a violation in any run."""
    options = hypothesis.settings(stateful_step_count=STEPS)
    stateful.run_state_machine_as_test(Promises, settings=options)


async def _grant_any_claim(
    manager: claims.ClaimManager,
    key: interfaces.RowKey,
    digest: str,
    number: int,
    deadline: float,
) -> claims.AcquireResult:
    record = claim_records.Record(
        state=claim_records.State.CLAIMED,
        token=manager._random.token(),
        holder='h',
        digest=digest,
        configuration_number=number,
    )
    return result.Success(claims.Claim(key, 1, record))


def _accept_any_piece(
    tracker: streams.SequenceTracker, piece: interfaces.Piece
) -> streams.PieceStatus:
    if piece.is_end:
        return streams.PieceStatus.END
    return streams.PieceStatus.DELIVER


def _report_dropped(
    manager: claims.ClaimManager, token: str
) -> claims.HolderReport:
    return claims.HolderReport.DROPPED


async def _assume_dropped(
    manager: claims.ClaimManager,
    key: interfaces.RowKey,
    record: claim_records.Record,
) -> claims.HolderReport:
    return claims.HolderReport.DROPPED


def _refuse_as_not_run() -> refusals.Refusal:
    return refusals.Refusal(502, refusals.Reason.OUTCOME_UNKNOWN, 'mutation')


ORIGINAL_REFRESH = acceptance.Acceptor.refresh


async def _apply_unchecked(acceptor: acceptance.Acceptor) -> bool:
    scanned = await acceptor._store.scan(acceptance.SCANNED_TABLES)
    for row in scanned.unwrap().rows if scanned.value_or(None) else ():
        if row.key == acceptance.ACCEPTED_KEY:
            decoded = snapshots.decode_snapshot(row.value['snapshot'])
            acceptor.snapshot = decoded.unwrap()
            for listener in acceptor._listeners:
                listener(acceptor.snapshot)
    return await ORIGINAL_REFRESH(acceptor)


@attrs.frozen
class Mutation:
    """Fault injected into one attribute, and the promise it breaks."""

    owner: object
    name: str
    replacement: object
    promise: str


MUTATIONS = (
    Mutation(claims.ClaimManager, 'acquire', _grant_any_claim, 'at_most_once'),
    Mutation(
        claims.ClaimManager, 'report_state', _report_dropped, 'at_most_once'
    ),
    Mutation(
        claims.ClaimManager, '_query_holder', _assume_dropped, 'at_most_once'
    ),
    Mutation(
        claims, 'refuse_unknown_outcome', _refuse_as_not_run, 'true_refusals'
    ),
    Mutation(
        streams.SequenceTracker, 'accept', _accept_any_piece, 'whole_streams'
    ),
    Mutation(
        acceptance.Acceptor, 'refresh', _apply_unchecked, 'configuration'
    ),
)


def test_broken_variants_are_caught(case: support.Case) -> None:
    """The state machine finds each injected fault of the core."""
    options = hypothesis.settings(
        stateful_step_count=STEPS,
        max_examples=MUTATION_EXAMPLES,
        phases=(hypothesis.Phase.generate,),
        print_blob=False,
    )
    for mutation in MUTATIONS:
        broken = mock.patch.object(
            mutation.owner, mutation.name, mutation.replacement
        )
        with broken, case.assertRaises(BrokenPromiseError) as caught:
            stateful.run_state_machine_as_test(Promises, settings=options)
        violation = caught.exception.args[0]
        case.assertEqual(mutation.promise, violation.promise)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
