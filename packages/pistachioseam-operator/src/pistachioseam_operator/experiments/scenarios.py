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

AccountLimitSettings: typing.TypeAlias = limits.Settings


@attrs.frozen(kw_only=True)
class Shape:
    """One kind of request; `share` is its weight among all kinds.

    The prompt starts with nested shared levels: level i has
    `shared_pieces[i]` pieces and is drawn from `variants[i]` variants. It ends
    with `tail_pieces` (fractional) that no other request shares. Accounts
    share prefixes only if `is_per_account` is false. `tokens` is the length
    of the response.
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
    """Simulated engines: number, cache size, speed and load reports.

    Each engine caches `capacity_pieces`. Every request takes
    `batch_seconds_per_request` on top of its prefill. An engine measures its
    load every `load_interval_seconds`; hosts receive the report
    `load_lag_seconds` later.
    """

    count: int
    capacity_pieces: int
    prefill_seconds_per_piece: float = 0.1
    batch_seconds_per_request: float = 0.0
    load_lag_seconds: float = 0.5
    load_interval_seconds: float = 0.25
    honours_priorities: bool = True


@attrs.frozen(kw_only=True)
class Faults:
    """Faults of a run; times are fractions of its duration.

    One engine crashes at `crash_at`, and at `hot_shift_at` other prefixes
    become the hot ones. `lost_digests` is the probability that a digest
    (`placer.Digest`) from one host to another is lost.
    """

    crash_at: float = 0.4
    hot_shift_at: float = 0.6
    lost_digests: float = 0.2


@attrs.frozen(kw_only=True)
class Scenario:
    """Deployment, workload and loads to simulate.

    `accounts` holds the weight of each account in the traffic. With
    probability `hot_share` a request uses the hot variant of a prefix level,
    otherwise a random one of all variants. `loads` are fractions of the
    engines' capacity. Requests that arrive before `warm_seconds` do not count.
    Hosts exchange digests every `digest_seconds`. A digest (`placer.Digest`)
    holds a host's new prefix uses and its shares of the targets' loads.
    `compared` names the policies to run; empty means all. `remote_engines` has
    no effect.
    """

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
    limits: AccountLimitSettings = attrs.field(factory=AccountLimitSettings)


@attrs.frozen(kw_only=True)
class Experiment:
    """Content of an experiment file."""

    scenarios: tuple[Scenario, ...]


def load_experiment(
    path: pathlib.Path,
) -> result.Result[Experiment, tuple[findings.Finding, ...]]:
    """Return the scenarios of a file, or all findings for its content."""
    content = yaml.safe_load(path.read_text())
    location = findings.Location(str(path))
    return conversion.structure(content, Experiment, location)
