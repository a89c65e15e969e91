"""Promises hold while faults come in series and overlap.

By hand: `SOAK_SEEDS=50 SOAK_SECONDS=20 SOAK_FIRST=1000 scripts/tests soak`.
Seeds that ever failed stay in REGRESSIONS, each with its cause.
"""

import contextlib
import os
import pathlib
import random
import tempfile
import time

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests import support

SEEDS = int(os.environ.get('SOAK_SEEDS', '1'))
FIRST_SEED = int(os.environ.get('SOAK_FIRST', '1'))
SECONDS = float(os.environ.get('SOAK_SECONDS', '8'))
CALLERS = 4
LEAST_PAUSE_SECONDS = 0.1
MOST_PAUSE_SECONDS = 0.8
REGRESSIONS: dict[int, str] = {
    20: 'SIGHUP ended a host that was still importing its libraries',
}
"""Cause by seed."""


def soak(case: support.Case, seed: int) -> None:
    """Run one seed and check what callers and servers saw."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        running = faults.SoakFleet(fleet.FleetSpec(), pathlib.Path(folder))
        stack.enter_context(running)
        world = faults.World(running, random.Random(seed))
        told = _call_under_faults(world, seed)
        faults.heal(world)
        told += _wait_served(world)
        found = checks.find_violations(told, running.list_logged_run_ids())
        case.assertEqual([], found, f'seed {seed}')
        served = sum(answer.status == 200 for answer in told)
        case.assertGreater(served, 0, f'seed {seed}')


def _call_under_faults(world: faults.World, seed: int) -> list[callers.Told]:
    """Bring about faults while callers go on; return what they were told."""
    with contextlib.ExitStack() as stack:
        active = [
            stack.enter_context(callers.Caller(world.fleet, seed * 100 + n))
            for n in range(CALLERS)
        ]
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            name = world.random.choice(sorted(faults.REGISTRY))
            faults.REGISTRY[name](world)
            pause = world.random.uniform(
                LEAST_PAUSE_SECONDS, MOST_PAUSE_SECONDS
            )
            time.sleep(pause)
    return [answer for caller in active for answer in caller.told]


def _wait_served(world: faults.World) -> list[callers.Told]:
    """Return once every host serves again, with what was told meanwhile."""
    told: list[callers.Told] = []
    for member in world.fleet.entries:

        def is_served(address: str = member.address) -> bool:
            told.append(callers.call(address, '/stream/', 'whole'))
            return told[-1].status == 200

        deployment.wait_until(is_served, f'{member.name} does not serve')
    return told


def test_promises_hold_under_faults(case: support.Case) -> None:
    """Fixed seeds in CI, others by the environment."""
    for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
        soak(case, seed)


def test_regressions(case: support.Case) -> None:
    """Seeds that failed once hold now."""
    for seed in REGRESSIONS:
        soak(case, seed)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
