"""Requests of a scenario, equal for all policies at the same seed and rate."""

from collections import abc
import random

import attrs

from pistachioseam.placement import prefixes
from pistachioseam_operator.experiments import scenarios


@attrs.frozen(kw_only=True)
class Request:
    """One request.

    `host` is the index of the host at which it arrives, `arrived_at` the time
    in virtual seconds. `chain` holds the prefix hashes of the whole pieces,
    `pieces` the prompt's size in pieces (fractional), `tokens` the length of
    the response.
    """

    number: int
    arrived_at: float
    account: str
    host: int
    chain: tuple[int, ...]
    pieces: float
    tokens: int


def compute_mean_cold_prefill_seconds(scenario: scenarios.Scenario) -> float:
    """Return the mean prefill seconds of a request on a cold cache."""
    total = sum(shape.share for shape in scenario.shapes)
    pieces = sum(
        shape.share / total * (sum(shape.shared_pieces) + shape.tail_pieces)
        for shape in scenario.shapes
    )
    return pieces * scenario.engines.prefill_seconds_per_piece


def create_requests(
    scenario: scenarios.Scenario, rate: float, seed: int
) -> abc.Iterator[Request]:
    """Yield Poisson arrivals until the scenario ends.

    `rate` is in requests per second.
    """
    random_ = random.Random(f'{seed}:{rate}')
    arrived_at = 0.0
    number = 0
    hot_shift_at = scenario.faults.hot_shift_at * scenario.seconds
    names = [f'account{i}' for i in range(len(scenario.accounts))]
    shares = [shape.share for shape in scenario.shapes]
    while True:
        arrived_at += random_.expovariate(rate)
        if arrived_at > scenario.seconds:
            return
        account = random_.choices(names, scenario.accounts)[0]
        shape = random_.choices(scenario.shapes, shares)[0]
        hot_phase = int(arrived_at > hot_shift_at)
        chain = _create_chain(
            scenario, shape, account, hot_phase, random_, number
        )
        pieces = sum(shape.shared_pieces) + shape.tail_pieces
        host = random_.randrange(scenario.hosts)
        yield Request(
            number=number,
            arrived_at=arrived_at,
            account=account,
            host=host,
            chain=chain,
            pieces=pieces,
            tokens=shape.tokens,
        )
        number += 1


def _create_chain(
    scenario: scenarios.Scenario,
    shape: scenarios.Shape,
    account: str,
    hot_phase: int,
    random_: random.Random,
    number: int,
) -> tuple[int, ...]:
    """Return the prefix hashes of a prompt of nested levels and a tail.

    With probability `hot_share` a request uses the hot variant of a prefix
    level, otherwise a random one of all variants. The hot variant differs
    between hot phase 0, before the hot shift, and 1, after it.
    """
    seed_account = account if shape.is_per_account else 'all'
    text = b''
    for level, size in enumerate(shape.shared_pieces):
        variants = shape.variants[level]
        variant = random_.randrange(variants)
        if random_.random() < scenario.hot_share:
            variant = hot_phase * (variants // 2)
        for piece in range(size):
            text += f'{shape.name}{level}.{variant}.{piece}'.encode().ljust(32)
    for piece in range(int(shape.tail_pieces)):
        text += f'tail {number}.{piece}'.encode().ljust(32)
    seed = prefixes.create_seed(seed_account, 'model', '1')
    return prefixes.create_chain(seed, text, 32)
