"""A short rehearsal breaks no promise; a build that does is found out."""

import pathlib

import attrs
import fixtures

from tests.rehearsals import rehearsal
from tests.soak import checks
from tests import support

PLAN = rehearsal.Plan(
    seconds=6.0, hosts=3, engines=3, plain=2, callers=8, unproven=0.05
)


def check_plan(case: support.Case, plan: rehearsal.Plan) -> None:
    """Rehearse; check that calls are served and break no promise."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    outcome = rehearsal.rehearse(plan, folder)
    case.assertEqual((), outcome.violations)
    case.assertGreater(outcome.statuses.get(200, 0), 0)


def test_short_rehearsal_breaks_no_promise(case: support.Case) -> None:
    """Hosts are frozen and killed before adversarial servers."""
    check_plan(case, attrs.evolve(PLAN, faults=('freeze_host', 'kill_host')))


def test_short_rehearsal_of_small_services_breaks_no_promise(
    case: support.Case,
) -> None:
    """Each request that is sent again meets the server that rejected it."""
    plan = attrs.evolve(PLAN, seconds=4.0, engines=1, plain=1, callers=12)
    check_plan(case, attrs.evolve(plan, rejected=0.4, copied=0.5))


def test_table_counts_violations_by_rule(case: support.Case) -> None:
    """Each rule has a row, also without a violation."""
    outcome = rehearsal.Outcome(
        plan=PLAN,
        calls=2,
        statuses={200: 2},
        open_fraction=0.0,
        resets=0,
        retries=0,
        violations=(checks.Violation('TWICE', 'ran 2 times', 'id-1'),),
        stories={},
    )
    counts = outcome.count_by_rule()
    case.assertEqual(set(rehearsal.RULES), set(counts))
    case.assertEqual(1, counts['TWICE'])
    case.assertEqual(0, counts['REFUSED'])


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
