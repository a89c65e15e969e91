"""CPU time, memory and message size of placement, gossip and configurations.

Source of the rows marked `benchmarks/slopes.py` in docs/CAPACITY.md.

Run: `.venv/bin/python -m benchmarks.slopes`
"""

import collections
from collections import abc
import json
import random
import time
import tracemalloc

from pistachioseam.placement import loads
from pistachioseam.placement import placer
from pistachioseam import snapshots
from pistachioseam import tables
from pistachioseam_peer import envelopes
from pistachioseam_peer.generated import messages_pb2

TARGET_COUNTS = (6, 94, 1500)
DECISIONS = 2000
CHAIN_PIECES = 12
PREFIXES = 20_000
MESSAGES = 500
SECRET = b'benchmark'


class SeededRandom:
    """Random source with a fixed seed."""

    def __init__(self) -> None:
        self._random = random.Random(1)

    def random(self) -> float:
        """Return a float in [0, 1)."""
        return self._random.random()

    def token(self) -> str:
        """Return the same token each time; no measurement depends on it."""
        return 'token'


def measure_micros(
    function: abc.Callable[[], object], call_count: int
) -> float:
    """Return microseconds of CPU per call, the median of five runs."""
    runs = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(call_count):
            function()
        runs.append((time.process_time() - started) / call_count * 1e6)
    return sorted(runs)[2]


def create_chain(number: int) -> tuple[int, ...]:
    """Return a chain: one of 40 shared prefixes, then a unique piece."""
    return (
        *(number % 40 * 1000 + piece for piece in range(CHAIN_PIECES - 1)),
        1_000_000 + number,
    )


def measure_decisions() -> None:
    """Print the CPU time of a placement decision by number of targets."""
    for target_count in TARGET_COUNTS:
        host_placer = placer.Placer(placer.Settings(), SeededRandom())
        eligible = [
            placer.EligibleTarget(name=f't{n}') for n in range(target_count)
        ]
        numbers = iter(range(10**9))

        def decide(
            host_placer: placer.Placer = host_placer,
            eligible: list[placer.EligibleTarget] = eligible,
            numbers: abc.Iterator[int] = numbers,
        ) -> None:
            number = next(numbers)
            now = number / 100
            query = placer.Query(
                chain=create_chain(number), pieces=CHAIN_PIECES + 0.5
            )
            decision = host_placer.place(query, eligible, now)
            assert decision is not None
            host_placer.record_sent(decision, now)
            host_placer.record_prefilled(decision, CHAIN_PIECES - 1, now)

        print(
            f'decision, {target_count} targets: '
            f'{measure_micros(decide, DECISIONS):.0f} us'
        )


def measure_prefix_index() -> None:
    """Print memory per tracked prefix and CPU time per recorded use."""
    tracemalloc.start()
    host_placer = placer.Placer(placer.Settings(), SeededRandom())
    before, _ = tracemalloc.get_traced_memory()
    for number in range(PREFIXES):
        host_placer.prefix_index.record_use(f't{number % 94}', (number,), 1.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f'tracked prefix: {(after - before) / PREFIXES:.0f} bytes')
    numbers = iter(range(10**9))

    def record_use() -> None:
        number = next(numbers)
        host_placer.prefix_index.record_use('t1', (number % 50_000,), 1.0)

    print(f'cache event: {measure_micros(record_use, 20_000):.2f} us')


def measure_gossip() -> None:
    """Print size and CPU time of a gossip message by number of targets.

    It holds a prefix use (`Sighting`) and a share of each target; the output
    calls the two an entry.
    """
    for target_count in (0, 4, 16):
        message = messages_pb2.Message()
        message.sender.name = 'entry-100'
        message.sender.incarnation = 'entry-100:0123456789abcdef01234567'
        message.sender.domain = 'pohja-1'
        message.sender.address = '10.0.0.1:9000'
        message.gossip.configuration_number = 1000
        for number in range(target_count):
            message.gossip.sightings.add(
                target=f'engine-{number}', chain=create_chain(number)
            )
            message.gossip.shares.add(target=f'engine-{number}', seconds=1.0)
        sample_envelope = envelopes.create_envelope(SECRET, message, 1)
        size = len(sample_envelope.SerializeToString())

        def exchange(message: messages_pb2.Message = message) -> None:
            envelope = envelopes.create_envelope(SECRET, message, 1)
            opened = envelopes.open_envelope(SECRET, envelope, 1).unwrap()
            for sighting in opened.gossip.sightings:
                tuple(sighting.chain)

        micros = measure_micros(exchange, MESSAGES)
        print(f'gossip, {target_count} entries: {size} bytes, {micros:.0f} us')
    tracker = loads.LoadTracker()
    shares = [loads.Share(f't{n}', 1.0) for n in range(10)]
    micros = measure_micros(
        lambda: tracker.set_peer_shares('p', shares, 1.0), MESSAGES
    )
    print(f'applying the 10 shares of a peer: {micros:.0f} us')


def measure_configuration() -> None:
    """Print size, CPU time and memory of configurations by their size."""
    for team_count, target_count in ((8, 12), (275, 375), (1100, 1500)):
        rows = create_tables(team_count, target_count)
        started = time.process_time()
        validation = snapshots.validate_tables(
            rows[tables.ROUTES], rows[tables.POOLS], snapshots.Snapshot()
        )
        cpu_seconds = time.process_time() - started
        snapshot = snapshots.Snapshot(
            number=1, routes=validation.routes, pools=validation.pools
        )
        size = len(json.dumps(snapshots.encode_snapshot(snapshot)))
        tracemalloc.start()
        decoded = snapshots.decode_snapshot(
            snapshots.encode_snapshot(snapshot)
        )
        decoded_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert decoded
        print(
            f'configuration, {team_count} teams, {target_count} targets: '
            f'{size} bytes, {cpu_seconds * 1e3:.0f} ms, '
            f'{decoded_bytes / 1e6:.1f} MB'
        )


def create_tables(
    team_count: int, target_count: int
) -> dict[str, dict[str, dict[str, object]]]:
    """Return tables with four models and all teams approved for each."""
    rows: dict[str, dict[str, dict[str, object]]] = collections.defaultdict(
        dict
    )
    teams = [f'team-{number}' for number in range(team_count)]
    for model in range(4):
        listed = [
            {
                'name': f'engine-{model}-{number}',
                'address': f'10.{model}.{number // 250}.{number % 250}:8000',
                'domain': f'domain-{number % 16}',
                'teams': teams,
            }
            for number in range(target_count // 4)
        ]
        rows[tables.POOLS][f'pool-{model}'] = {
            'name': f'pool-{model}',
            'kind': 'model',
            'model': f'model-{model}',
            'weights_version': '1',
            'targets': listed,
        }
        for team in teams:
            name = f'{team}-{model}'
            rows[tables.ROUTES][name] = {
                'name': name,
                'team': team,
                'pool': f'pool-{model}',
            }
    return rows


def main() -> None:
    """Run all measurements."""
    measure_decisions()
    measure_prefix_index()
    measure_gossip()
    measure_configuration()


if __name__ == '__main__':
    main()
