"""No two engines work on one call for long (TWICE).

Engines go on for a while with a request whose channel has closed.
"""

import pathlib
import time

import fixtures

from pistachioseam_standins import fleet
from tests.soak import callers
from tests.soak import faults
from tests import support

RUN_SECONDS = 2.0
LINGER_SECONDS = 1.5
IN_TOUCH_SECONDS = 4.5
"""Time after the start for which hosts count as out of touch, and a little."""


def test_stream_with_a_gap_goes_on_at_the_engine_that_works_on_it(
    case: support.Case,
) -> None:
    """The engine does not know that its host has given the stream up."""
    spec = fleet.FleetSpec(
        hosts=1,
        engines=2,
        plain=1,
        engine_options=('--slots=6', f'--run_seconds={RUN_SECONDS}'),
        lingers=(LINGER_SECONDS,),
    )
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    with faults.SoakFleet(spec, folder) as running:
        time.sleep(IN_TOUCH_SECONDS)
        result = callers.call(running.entries[0].address, '/resumable/', 'gap')
        time.sleep(LINGER_SECONDS)
        works = running.list_works()
        violations = running.find_violations([result])
    case.assertEqual(200, result.status)
    case.assertEqual(2, len(works))
    case.assertEqual([], violations)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
