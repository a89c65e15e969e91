"""Hosts of an earlier build and of this one serve side by side."""

from concurrent import futures
import pathlib
import time
import typing

import fixtures

from pistachioseam_standins import deployment
from pistachioseam_standins import fleet
from tests import builds
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests import support

EARLIER_BUILDS = (
    '385b8a8',
    'a5f422d',
    '1c093af',
    'df0f13b',
    'e7a9c85',
    '9a7b9aa',
    '7866fca',
)
"""Commits of the builds that hosts are upgraded from."""
HOST_COUNT = 3
CALLER_COUNT = 4
SIDE_BY_SIDE_SECONDS = 1.0
PARTITION_SECONDS = 1.0
BEGUN_SECONDS = 0.5
"""Time after which a dragging stream has begun and not ended."""
TAKE_UP_SECONDS = 0.2
BEHAVIOURS = {
    '/safe/': ('whole', 'slow', 'fail', 'shed', 'cut'),
    '/once/': ('whole', 'slow', 'fail', 'shed', 'cut'),
    '/stream/': ('whole', 'whole', 'tear'),
    '/resumable/': ('whole', 'tear', 'drag', 'drag'),
}
"""Behaviours without the faults that only this build bears."""


def partition(running: builds.MixedFleet, number: int) -> None:
    """Cut one host off all servers for a while, so that others relay."""
    running.paths[number].set_mode('cut')
    time.sleep(PARTITION_SECONDS)
    running.paths[number].set_mode('pass')
    time.sleep(SIDE_BY_SIDE_SECONDS)


def stop_host(running: builds.MixedFleet, number: int) -> None:
    """Stop a host as planned and start it with the current build path."""
    with running.replace_host(number) as host:
        host.process.terminate()
        host.process.wait(deployment.TIMEOUT_SECONDS)


def take_up_after_kill(
    running: builds.MixedFleet, number: int
) -> list[callers.CallResult]:
    """Kill a host under a stream; take that up at the next host."""
    with futures.ThreadPoolExecutor() as executor:
        host = running.entries[number]
        begun = executor.submit(
            callers.call, host.address, '/resumable/', 'drag'
        )
        time.sleep(BEGUN_SECONDS)
        with running.replace_host(number):
            running.kill(host)
    results = [begun.result()]
    running.wait_ready(running.entries[number])
    other = running.entries[(number + 1) % HOST_COUNT]
    for _ in range(callers.MAX_TAKE_UPS):
        with callers.HostConnection(other.address) as connection:
            result = connection.call('/resumable/', 'drag', results[0])
        results.append(result)
        if result.status == 200:
            break
        time.sleep(TAKE_UP_SECONDS)
    return results


def test_hosts_of_two_builds_break_no_promise(case: support.Case) -> None:
    """Beside each of the earlier builds."""
    for build in EARLIER_BUILDS:
        check_two_builds(case, build)


def check_two_builds(case: support.Case, earlier_build: str) -> None:
    """All hosts are replaced one by one, there and back, under calls.

    Weights are published, the desired state changes, streams are taken up at
    hosts of either build, and cut-off hosts relay through either build.
    """
    python_path = case.useFixture(
        builds.EarlierBuild(earlier_build)
    ).python_path
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    spec = fleet.FleetSpec(
        hosts=HOST_COUNT,
        engines=4,
        software_versions=callers.SOFTWARE_VERSIONS,
    )
    with builds.MixedFleet(spec, folder, python_path) as running:
        running_callers = [
            callers.Caller(running, number, BEHAVIOURS)
            for number in range(CALLER_COUNT)
        ]
        context = faults.FaultContext(running, typing.cast(typing.Any, None))
        taken_up: list[callers.CallResult] = []
        for caller in running_callers:
            caller.__enter__()
        for build in ('', python_path):
            running.python_path = build
            for number in range(HOST_COUNT):
                if number == HOST_COUNT - 1:
                    # The others run the other build already.
                    taken_up += take_up_after_kill(running, number)
                else:
                    stop_host(running, number)
                running.wait_ready(running.entries[number])
                case.assertEqual(bool(build), running.is_earlier_build(number))
                faults.publish_weights(context)
                running.write_next_state()
                partition(running, number)
                partition(running, (number + 1) % HOST_COUNT)
        for caller in running_callers:
            caller.__exit__()
        results = [r for c in running_callers for r in c.results] + taken_up
        violations = checks.find_violations(
            results, running.list_logged_request_ids(), running.kills
        )
        case.assertEqual([], violations)
        relaying = running.list_relaying_hosts()
        case.assertEqual(HOST_COUNT, len(relaying))
    for prefix in BEHAVIOURS:
        sent = [result for result in results if result.prefix == prefix]
        served = sum(result.status == 200 for result in sent)
        case.assertGreater(served, 0, prefix)
    gone_on = [r for r in taken_up if r.received and r.status == 200]
    case.assertEqual(2, len(gone_on), taken_up)


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
