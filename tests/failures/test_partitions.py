"""Callers of a host without a path to the servers are served as others are.

The store, the other hosts and the callers reach it.
"""

import collections
import pathlib
import threading
import time
import uuid

import fixtures

from pistachioseam_standins import fleet
from tests import deployments
from tests import partitions
from tests import support

STABLE_SECONDS = 4.0
"""Time after the start of a partition from which its hosts must serve."""
MEASURED_SECONDS = 6.0
MIN_RATIO = 2 / 3
"""Least share of first attempts that are served at partitioned hosts, relative
to the others."""
ALLOWED_FAILURES = 10
ALLOWED_FAILED_SHARE = 1 / 50
"""First attempts that may fail at partitioned hosts: that many, and a share of
all first attempts."""
PATHS = ('/safe/whole', '/once/whole', '/stream/whole', '/resumable/whole')
SINGLE_RUN_PREFIXES = ('/once/', '/stream/')
"""Prefixes of the routes whose calls may run only once."""
SPEC = fleet.FleetSpec(hosts=4, engines=3, plain=3)
CALLERS_PER_HOST = 3
CALL_INTERVAL_SECONDS = 0.05


class PartitionedFleet(fixtures.Fixture):
    """Run a fleet with proxies between each host and the servers."""

    def __init__(self, spec: fleet.FleetSpec = SPEC) -> None:
        super().__init__()
        self._spec = spec

    def _setUp(self) -> None:  # noqa: N802
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        running = partitions.PartitionedFleet(self._spec, folder)
        self.fleet = running.__enter__()
        self.addCleanup(running.__exit__)


class Callers:
    """Callers of all hosts; `results` holds time, host and outcome.

    `single_run_ids` are the ids of the calls that may run only once.
    """

    def __init__(self, running: fleet.Fleet) -> None:
        self.results: list[tuple[float, int, str, bool]] = []
        self.single_run_ids: set[str] = set()
        self._running = running
        self._end = threading.Event()
        self._threads = [
            threading.Thread(target=self._call_repeatedly, args=(host, number))
            for host in range(len(running.entries))
            for number in range(CALLERS_PER_HOST)
        ]

    def __enter__(self) -> 'Callers':
        """Start to call."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop calling."""
        self._end.set()
        for thread in self._threads:
            thread.join()

    def _call_repeatedly(self, host: int, number: int) -> None:
        address = self._running.entries[host].address
        while not self._end.is_set():
            path = PATHS[number % len(PATHS)]
            number += 1
            sent_at = time.monotonic()
            request_id = uuid.uuid4().hex
            if path.startswith(SINGLE_RUN_PREFIXES):
                self.single_run_ids.add(request_id)
            is_served = call(address, path, request_id) == 200
            self.results.append((sent_at, host, path, is_served))
            time.sleep(CALL_INTERVAL_SECONDS)

    def count(
        self, hosts: set[int], since: float, until: float = float('inf')
    ) -> tuple[int, int]:
        """Return how many first attempts at hosts were served, and of all."""
        served = [
            is_served
            for sent_at, host, _, is_served in self.results
            if host in hosts and since <= sent_at < until
        ]
        return sum(served), len(served)


def call(address: str, path: str, request_id: str) -> int:
    """Return the status of a call, 0 if its connection broke."""
    headers = {
        'host': fleet.ROUTE_HOST,
        'authorization': 'Bearer key-1',
        'x-pistachioseam-request-id': request_id,
        'x-pistachioseam-deadline-ms': '3000',
    }
    try:
        return deployments.send(
            address, 'POST', path, b'content', headers
        ).status
    except deployments.CONNECTION_ERRORS:
        return 0


def check_partition(case: support.Case, mode: str) -> None:
    """Partition two of four hosts, later heal them; check who is served."""
    running = case.useFixture(PartitionedFleet()).fleet
    cut, others = {0, 1}, {2, 3}
    with Callers(running) as callers:
        time.sleep(1.0)
        for host in cut:
            running.paths[host].set_mode(mode)
        cut_at = time.monotonic()
        time.sleep(STABLE_SECONDS + MEASURED_SECONDS)
        for host in cut:
            running.paths[host].set_mode('pass')
        healed_at = time.monotonic()
        time.sleep(STABLE_SECONDS)
    since = cut_at + STABLE_SECONDS
    served, sent = callers.count(cut, since, healed_at)
    others_served, others_sent = callers.count(others, since, healed_at)
    healed_served, healed_sent = callers.count(cut, healed_at + 2.0)
    figures = (
        f'{mode}: {served} of {sent}, others {others_served} of {others_sent},'
        f' healed {healed_served} of {healed_sent}'
    )
    print(figures)
    case.assertGreater(sent, 0, figures)
    case.assertGreaterEqual(
        served / sent, MIN_RATIO * others_served / others_sent, figures
    )
    allowed = ALLOWED_FAILURES + ALLOWED_FAILED_SHARE * (sent + others_sent)
    case.assertLessEqual(sent - served, allowed, figures)
    case.assertEqual(healed_sent, healed_served, figures)
    runs = collections.Counter(running.list_logged_request_ids())
    repeated = [each for each in callers.single_run_ids if runs[each] > 1]
    case.assertEqual([], repeated, 'a call ran twice')


def test_callers_of_a_host_whose_channels_hang_are_served(
    case: support.Case,
) -> None:
    """Nothing passes, and new connections hang."""
    check_partition(case, 'hang')


def test_callers_of_a_host_whose_channels_are_reset_are_served(
    case: support.Case,
) -> None:
    """Open connections are reset and new ones refused."""
    check_partition(case, 'cut')


def test_callers_of_a_host_whose_connects_are_refused_are_served(
    case: support.Case,
) -> None:
    """Open connections live on."""
    check_partition(case, 'refuse')


def load_tests(*_: object) -> object:
    """Load the functions of this module."""
    return support.load_functions(globals())
