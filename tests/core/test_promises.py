"""Promises of the core under any interleaving of faults.

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
from tests import support
from tests import worlds

HOSTS = ('h1', 'h2', 'h3')
NO_FAULT = 0
STEPS = 60
MUTATION_EXAMPLES = 300
assert history

faults = strategies.sampled_from((NO_FAULT,) * 5 + (1, 2, 3, 4, 5))
hosts = strategies.sampled_from(HOSTS)


class BrokenPromiseError(AssertionError):
    """A checker found a violation."""


class Promises(stateful.RuleBasedStateMachine):
    """Callers, operators and faults acting in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = worlds.World(HOSTS)

    @stateful.rule(
        host=hosts,
        key=strategies.sampled_from(('k1', 'k1', 'k2')),
        body=strategies.sampled_from(('b', 'b', 'other')),
    )
    def book(self, host: str, key: str, body: str) -> None:
        """Send a booking, perhaps again."""
        self.world.book(host, key, body)

    @stateful.rule(host=hosts, prompt=strategies.sampled_from(('p', 'q')))
    def ask_model(self, host: str, prompt: str) -> None:
        """Send a streamed prompt."""
        self.world.ask_model(host, prompt * 40)

    @stateful.rule(
        endings=strategies.lists(
            strategies.tuples(strategies.integers(0, 7), faults),
            min_size=1,
            max_size=12,
        )
    )
    def step(self, endings: list[tuple[int, int]]) -> None:
        """End some calls in any order, some of them badly."""
        for pick, ending in endings:
            self.world.step(pick, ending)

    @stateful.rule()
    def pass_time(self) -> None:
        """Let the next timer fire."""
        self.world.pass_time()

    @stateful.rule(pick=strategies.integers(0, 3))
    def deliver_late(self, pick: int) -> None:
        """Let a write or call that seemed lost take effect."""
        if self.world.late:
            self.world.late.pop(pick % len(self.world.late))()

    @stateful.rule(host=hosts)
    def crash_host(self, host: str) -> None:
        """Lose a host and start it anew."""
        self.world.crash(host)

    @stateful.rule(number=strategies.sampled_from((0, 1)))
    def crash_target(self, number: int) -> None:
        """Restart a target with empty memory."""
        addresses = sorted(self.world.incarnations)
        self.world.incarnations[addresses[number]] += 1

    @stateful.rule(host=hosts, team=strategies.sampled_from(('t', 'x', '!')))
    def edit_and_refresh(self, host: str, team: str) -> None:
        """Edit a row, perhaps badly, while a host reads the tables."""
        row = {'name': 'm2', 'team': team, 'pool': 'm'}
        self.world.edit('routes/m2', row)
        owner = self.world.hosts[host]
        self.world.start(owner, owner.router.acceptor.refresh())

    def teardown(self) -> None:
        """Let everything end, then check the whole history."""
        self.world.settle()
        violations = checkers.check_history(self.world.history)
        if violations:
            raise BrokenPromiseError(violations[0])
        assert not self.world.list_unanswered()


def test_promises_hold_under_any_interleaving(case: support.Case) -> None:
    """No checker finds a violation in any run."""
    options = hypothesis.settings(stateful_step_count=STEPS)
    stateful.run_state_machine_as_test(Promises, settings=options)


async def _ignore_claims(
    keeper: claims.ClaimManager,
    key: interfaces.RowKey,
    digest: str,
    number: int,
    deadline: float,
) -> claims.AcquireResult:
    record = claim_records.Record(
        state=claim_records.State.CLAIMED,
        token=keeper._random.token(),
        holder='h',
        digest=digest,
        configuration_number=number,
    )
    return result.Success(claims.Claim(key, 1, record))


def _accept_anything(
    assembly: streams.Assembly, piece: interfaces.Piece
) -> streams.Verdict:
    if piece.is_end:
        return streams.Verdict.END
    return streams.Verdict.DELIVER


def _report_dropped(
    keeper: claims.ClaimManager, token: str
) -> claims.HolderReport:
    return claims.HolderReport.DROPPED


async def _trust_death(
    keeper: claims.ClaimManager,
    key: interfaces.RowKey,
    record: claim_records.Record,
) -> claims.HolderReport:
    return claims.HolderReport.DROPPED


def _refuse_wrongly() -> refusals.Refusal:
    return refusals.Refusal(502, refusals.Reason.OUTCOME_UNKNOWN, 'mutation')


REFRESH = acceptance.Acceptor.refresh


async def _follow_blindly(acceptor: acceptance.Acceptor) -> bool:
    scanned = await acceptor._store.scan(acceptance.SCANNED_TABLES)
    for row in scanned.unwrap().rows if scanned.value_or(None) else ():
        if row.key == acceptance.ACCEPTED_KEY:
            decoded = snapshots.decode_snapshot(row.value['snapshot'])
            acceptor.snapshot = decoded.unwrap()
            for listener in acceptor._listeners:
                listener(acceptor.snapshot)
    return await REFRESH(acceptor)


@attrs.frozen
class Mutation:
    """Broken variant of one attribute of the core."""

    owner: object
    name: str
    replacement: object
    promise: str


MUTATIONS = (
    Mutation(claims.ClaimManager, 'acquire', _ignore_claims, 'at_most_once'),
    Mutation(claims.ClaimManager, 'report', _report_dropped, 'at_most_once'),
    Mutation(
        claims.ClaimManager, '_query_holder', _trust_death, 'at_most_once'
    ),
    Mutation(
        claims, 'refuse_unknown_outcome', _refuse_wrongly, 'true_refusals'
    ),
    Mutation(streams.Assembly, 'accept', _accept_anything, 'whole_streams'),
    Mutation(acceptance.Acceptor, 'refresh', _follow_blindly, 'configuration'),
)


def test_broken_variants_are_caught(case: support.Case) -> None:
    """The same machine fails on each broken variant of the core."""
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
