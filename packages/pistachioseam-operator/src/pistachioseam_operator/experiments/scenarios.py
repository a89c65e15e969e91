"""Scenarios of an experiment, read from a YAML file."""

import pathlib
import typing

import attrs
from returns import result
import yaml

from pistachioseam import conversion
from pistachioseam import findings
from pistachioseam import limits
from pistachioseam.placement import policies

AccountLimits: typing.TypeAlias = limits.Settings


@attrs.frozen(kw_only=True)
class Shape:
    """One kind of request; sizes in cached pieces.

    `shared_pieces` lists the levels of the prefix: each level is chosen from
    as many variants as `variants` gives at the same place. `tail_pieces` is
    the part that no other request shares.
    """

    name: str
    share: float
    shared_pieces: tuple[int, ...]
    variants: tuple[int, ...]
    tail_pieces: float
    tokens: int
    is_per_account: bool = True


@attrs.frozen(kw_only=True)
class Engines:
    """Speed and memory of the fake engines, and the lag of their reports."""

    count: int
    capacity_pieces: int
    prefill_seconds_per_piece: float = 0.1
    batch_seconds_per_request: float = 0.0
    load_lag_seconds: float = 0.5
    load_interval_seconds: float = 0.25
    honours_priorities: bool = True


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of a run, at shares of its duration."""

    crash_at: float = 0.4
    hot_shift_at: float = 0.6
    lost_digests: float = 0.2


@attrs.frozen(kw_only=True)
class Scenario:
    """Deployment, workload and loads of one experiment."""

    name: str
    engines: Engines
    shapes: tuple[Shape, ...]
    accounts: tuple[float, ...]
    hot_share: float = 0.3
    hosts: int = 9
    remote_engines: int = 0
    seconds: float = 120.0
    warm_seconds: float = 20.0
    loads: tuple[float, ...] = (0.5, 0.8, 0.95, 1.2)
    seeds: tuple[int, ...] = (1, 2)
    digest_seconds: float = 0.25
    compared: tuple[str, ...] = ()
    faults: Faults = attrs.field(factory=Faults)
    weights: policies.Weights = attrs.field(factory=policies.Weights)
    limits: AccountLimits = attrs.field(factory=AccountLimits)


@attrs.frozen(kw_only=True)
class Experiment:
    """All scenarios of a file."""

    scenarios: tuple[Scenario, ...]


def load_experiment(
    path: pathlib.Path,
) -> result.Result[Experiment, tuple[findings.Finding, ...]]:
    """Return the scenarios of a file, or every defect in it."""
    content = yaml.safe_load(path.read_text())
    place = findings.Location(str(path))
    return conversion.structure(content, Experiment, place)
