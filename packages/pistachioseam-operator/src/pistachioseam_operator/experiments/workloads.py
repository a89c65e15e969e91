"""Requests of a scenario, from one seed for all policies."""

from collections import abc
import random

import attrs

from pistachioseam.placement import prefixes
from pistachioseam_operator.experiments import scenarios


@attrs.frozen(kw_only=True)
class Request:
    """One request of the workload."""

    number: int
    at: float
    account: str
    host: int
    chain: tuple[int, ...]
    pieces: float
    tokens: int


def compute_cold_seconds(scenario: scenarios.Scenario) -> float:
    """Return the mean prefill seconds of a request that finds no cache."""
    total = sum(shape.share for shape in scenario.shapes)
    pieces = sum(
        shape.share / total * (sum(shape.shared_pieces) + shape.tail_pieces)
        for shape in scenario.shapes
    )
    return pieces * scenario.engines.prefill_seconds_per_piece


def create_requests(
    scenario: scenarios.Scenario, rate: float, seed: int
) -> abc.Iterator[Request]:
    """Yield requests with exponential gaps until the scenario's end."""
    random_ = random.Random(f'{seed}:{rate}')
    at = 0.0
    number = 0
    shift_at = scenario.faults.hot_shift_at * scenario.seconds
    names = [f'account{i}' for i in range(len(scenario.accounts))]
    shares = [shape.share for shape in scenario.shapes]
    while True:
        at += random_.expovariate(rate)
        if at > scenario.seconds:
            return
        account = random_.choices(names, scenario.accounts)[0]
        shape = random_.choices(scenario.shapes, shares)[0]
        epoch = int(at > shift_at)
        chain = _create_chain(scenario, shape, account, epoch, random_, number)
        pieces = sum(shape.shared_pieces) + shape.tail_pieces
        host = random_.randrange(scenario.hosts)
        yield Request(
            number=number,
            at=at,
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
    epoch: int,
    random_: random.Random,
    number: int,
) -> tuple[int, ...]:
    """Return the chain of nested levels, some of them very hot."""
    owner = account if shape.is_per_account else 'all'
    text = b''
    for level, size in enumerate(shape.shared_pieces):
        variants = shape.variants[level]
        variant = random_.randrange(variants)
        if random_.random() < scenario.hot_share:
            variant = epoch * (variants // 2)
        for piece in range(size):
            text += f'{shape.name}{level}.{variant}.{piece}'.encode().ljust(32)
    for piece in range(int(shape.tail_pieces)):
        text += f'tail {number}.{piece}'.encode().ljust(32)
    seed = prefixes.create_seed(owner, 'model', '1')
    return prefixes.create_chain(seed, text, 32)
