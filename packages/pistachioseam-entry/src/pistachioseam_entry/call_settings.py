"""Settings file of a host that forwards calls to self-registering targets."""

import pathlib

import attrs
from returns import result

from pistachioseam import findings
from pistachioseam.forwarding import budgets
from pistachioseam.forwarding import quotas as account_quotas
from pistachioseam import links
from pistachioseam import validators
from pistachioseam_entry import capacities
from pistachioseam_entry import setting_files


@attrs.frozen(kw_only=True)
class CallHost:
    """Name, failure domain and listening addresses (`IP:port`) of this host.

    Callers connect to `listen_address`, the load balancer's readiness probe to
    `ready_address`, operators to `admin_address` and peers to `peer_address`.
    """

    name: str
    domain: str
    listen_address: str = attrs.field(validator=validators.check_address)
    ready_address: str = attrs.field(validator=validators.check_address)
    admin_address: str = attrs.field(validator=validators.check_address)
    peer_address: str = attrs.field(validator=validators.check_address)


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits that the deployment guarantees.

    `revocation_ms` bounds the time for which a revoked key is accepted,
    `weights_ms` that for which weights are used after newer ones have been
    named. `lease_ms` is the minimum time between orders by two hosts to load
    weights, `shutdown_seconds` the time from a planned stop to its forced end,
    `drain_ms` the time for which a target accepts calls after it has said that
    it leaves.
    """

    revocation_ms: float = attrs.field(validator=validators.check_positive)
    weights_ms: float = attrs.field(validator=validators.check_positive)
    lease_ms: float = attrs.field(validator=validators.check_positive)
    shutdown_seconds: float = attrs.field(validator=validators.check_positive)
    drain_ms: float = attrs.field(
        default=3000.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class CallSettings:
    """All settings of a host that forwards calls."""

    host: CallHost
    store_address: str = attrs.field(validator=validators.check_address)
    regions: tuple[links.Region, ...]
    bounds: Bounds
    retries: budgets.BudgetTerms = attrs.field(factory=budgets.BudgetTerms)
    quotas: account_quotas.QuotaTerms = attrs.field(
        factory=account_quotas.QuotaTerms
    )
    logs: setting_files.Logs = attrs.field(factory=setting_files.Logs)
    capacity: capacities.Capacity = attrs.field(factory=capacities.Capacity)


def load_call_settings(
    path: pathlib.Path,
) -> result.Result[CallSettings, tuple[findings.Finding, ...]]:
    """Return the settings of a file, or all of its errors."""
    return setting_files.load_file(path, CallSettings)
