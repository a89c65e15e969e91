"""Settings of a host that forwards calls to self-registering targets."""

import pathlib

import attrs
from returns import result

from pistachioseam import findings
from pistachioseam.forwarding import budgets
from pistachioseam import links
from pistachioseam import validators
from pistachioseam_entry import settings


@attrs.frozen(kw_only=True)
class CallHost:
    """Place and addresses of this host, as `IP-number:port`.

    `ready_address` answers the balancer, `admin_address` the operators.
    """

    name: str
    domain: str
    listen_address: str = attrs.field(validator=validators.check_address)
    ready_address: str = attrs.field(validator=validators.check_address)
    admin_address: str = attrs.field(validator=validators.check_address)
    peer_address: str = attrs.field(validator=validators.check_address)


@attrs.frozen(kw_only=True)
class Bounds:
    """What the deployment promises.

    `revocation_ms` bounds the use of a revoked key, `weights_ms` that of
    weights for which newer ones are named. `lease_ms` is the least distance
    between orders of two hosts, `shutdown_seconds` the time from a planned
    stop to its forced end.
    """

    revocation_ms: float = attrs.field(validator=validators.check_positive)
    weights_ms: float = attrs.field(validator=validators.check_positive)
    lease_ms: float = attrs.field(validator=validators.check_positive)
    shutdown_seconds: float = attrs.field(validator=validators.check_positive)


@attrs.frozen(kw_only=True)
class CallSettings:
    """All settings of a host that forwards calls."""

    host: CallHost
    store_address: str = attrs.field(validator=validators.check_address)
    regions: tuple[links.Region, ...]
    bounds: Bounds
    retries: budgets.BudgetTerms = attrs.field(factory=budgets.BudgetTerms)
    logs: settings.Logs = attrs.field(factory=settings.Logs)


def load_call_settings(
    path: pathlib.Path,
) -> result.Result[CallSettings, tuple[findings.Finding, ...]]:
    """Return the settings of a file, or every defect in it."""
    return settings.load_file(path, CallSettings)
