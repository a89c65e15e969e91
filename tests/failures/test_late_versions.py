"""No call begins on weights replaced for too long (VERSION).

The last engines with replaced weights queue calls and take no order. Callers
send many calls at once, before hosts know how slow the engines are.
"""

from collections import abc
from concurrent import futures
import contextlib
import pathlib
import time

import attrs
import fixtures

from pistachioseam.forwarding import contacts
from pistachioseam.placement import rendezvous
from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests import fleets
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests import support

HOST_COUNT = 3
ENGINE_COUNT = 2
SPEC = fleet.FleetSpec(
    hosts=HOST_COUNT,
    engines=ENGINE_COUNT,
    plain=1,
    weights_ms=3000,
)
LINGER_SECONDS = 1.5
CONFIRMED_SECONDS = 1.0
"""Age of a host's configuration shortly after a long poll of the store."""
IN_TOUCH_SECONDS = 4.5
"""Time after the start for which hosts count as out of touch, and a little."""
LATE_CALLS_SECONDS = 2.1
"""Time after the naming at which calls come to hosts that learned late; those
that wait then begin after the bound."""
WAITING_CALLS_SECONDS = 0.5
"""Time after the naming at which more calls come than begin within the bound.
"""


def find_leader() -> int:
    """Return the number of the host that the others follow, from 0."""
    numbers = {f'host-{n + 1}': n for n in range(HOST_COUNT)}
    peers = [
        attrs.evolve(peer, name=name)
        for peer, name in zip(
            fleets.create_peers(HOST_COUNT, ['zone-1']), numbers, strict=True
        )
    ]
    ranked = contacts.rank_peers(peers, rendezvous.RendezvousHash())
    return numbers[ranked[0].name]


def send_at_once(
    hosts: abc.Sequence[deployment.ServerProcess], calls_per_host: int
) -> list[callers.CallResult]:
    """Send streams to all hosts at the same time; return their results."""
    addresses = [host.address for host in hosts] * calls_per_host
    with futures.ThreadPoolExecutor(len(addresses)) as executor:
        sent = [
            executor.submit(callers.call, address, '/stream/', 'whole')
            for address in addresses
        ]
        return [future.result() for future in sent]


@contextlib.contextmanager
def run_outdated(
    folder: pathlib.Path,
    run_seconds: float,
    linger_seconds: float,
) -> abc.Iterator[faults.SoakFleet]:
    """Yield hosts in touch; their engines keep their weights."""
    spec = attrs.evolve(
        SPEC,
        engine_options=('--slots=1', f'--run_seconds={run_seconds}'),
        lingers=(linger_seconds,),
    )
    with faults.SoakFleet(spec, folder) as running:
        running.set_weights_version(1)
        faults.set_order_acceptance(running, range(ENGINE_COUNT), False)
        time.sleep(IN_TOUCH_SECONDS)
        yield running


def name_as_leader_is_frozen(
    folder: pathlib.Path,
) -> tuple[list[checks.Begin], list[checks.Violation]]:
    """Name a version that the followers learn late.

    Return the begins and the violations. Calls are sent before they know of
    it, and shortly before the bound.
    """
    with run_outdated(folder, 0.5, 0.0) as running:
        leader = running.entries[find_leader()]
        followers = [host for host in running.entries if host is not leader]
        with (
            faults.freeze(running, leader),
            futures.ThreadPoolExecutor(1) as executor,
        ):
            running.set_weights_version(2)
            first = executor.submit(send_at_once, followers, 1)
            time.sleep(LATE_CALLS_SECONDS)
            results = send_at_once(followers, 5)
            results += first.result()
        return running.list_begins(), running.find_violations(results)


def name_as_engines_linger(
    folder: pathlib.Path,
) -> tuple[list[checks.Begin], list[checks.Violation]]:
    """Name a version; send calls within the bound that wait beyond it.

    Return the begins and the violations.
    """
    with run_outdated(folder, 0.3, LINGER_SECONDS) as running:
        deployment.wait_until(
            lambda: all(
                running.dump(host)['configuration_age_seconds']
                < CONFIRMED_SECONDS
                for host in running.entries
            ),
            'the hosts never confirm their caches at the same time',
        )
        running.set_weights_version(2)
        time.sleep(WAITING_CALLS_SECONDS)
        results = send_at_once(running.entries, 12)
        # Engines go on after the hosts have given the calls up.
        time.sleep(LINGER_SECONDS)
        return running.list_begins(), running.find_violations(results)


def test_no_call_begins_late_as_followers_learn_late(
    case: support.Case,
) -> None:
    """Hosts dated a version by when they learned of it, seconds late."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    begins, violations = name_as_leader_is_frozen(folder)
    case.assertGreater(len(begins), 0)
    case.assertEqual([], violations)


def test_no_call_begins_late_on_lingering_engines(
    case: support.Case,
) -> None:
    """Calls that were given up began at engines that went on with them."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    begins, violations = name_as_engines_linger(folder)
    case.assertGreater(len(begins), 0)
    case.assertEqual([], violations)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
