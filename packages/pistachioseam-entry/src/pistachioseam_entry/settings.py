"""Settings of an entry host, read from one YAML file.

All errors of a file are reported together, each with file, key and reason.
"""

import pathlib
import typing

import attrs
from returns import result

from pistachioseam import findings
from pistachioseam import identity
from pistachioseam import limits
from pistachioseam import links
from pistachioseam.placement import placer
from pistachioseam import validators
from pistachioseam_entry import capacities
from pistachioseam_entry import setting_files

AccountLimits: typing.TypeAlias = limits.Settings


@attrs.frozen(kw_only=True)
class Host:
    """Name, failure domain and addresses (`IP-address:port`) of this host."""

    name: str
    domain: str
    listen_address: str = attrs.field(validator=validators.check_address)
    admin_address: str = attrs.field(validator=validators.check_address)


@attrs.frozen(kw_only=True)
class Platform:
    """Address of the platform's table service, polling and timeout."""

    address: str = attrs.field(validator=validators.check_address)
    poll_seconds: float = attrs.field(
        default=1.0, validator=validators.check_positive
    )
    timeout_seconds: float = attrs.field(
        default=2.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Requests:
    """Limits on callers' requests, and on calls to targets and the responses.

    `max_answer_bytes` bounds the buffered bytes of a response;
    `piece_timeout_seconds` bounds the wait for the next data of a target.
    """

    max_body_bytes: int = attrs.field(
        default=4_000_000, validator=validators.check_positive
    )
    max_header_bytes: int = attrs.field(
        default=16_384, validator=validators.check_positive
    )
    max_answer_bytes: int = attrs.field(
        default=4_000_000, validator=validators.check_positive
    )
    idle_timeout_seconds: float = attrs.field(
        default=60.0, validator=validators.check_positive
    )
    connect_timeout_seconds: float = attrs.field(
        default=1.0, validator=validators.check_positive
    )
    piece_timeout_seconds: float = attrs.field(
        default=10.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Link:
    """This host's share of the bandwidth of the link between regions."""

    bytes_per_second: float = attrs.field(
        default=200_000.0, validator=validators.check_positive
    )
    burst_bytes: float = attrs.field(
        default=400_000.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Peers:
    """Gossip with the other entry hosts.

    `secret_file` holds the key that authenticates messages; `seeds` are the
    peer addresses contacted at startup and may include this host's own.
    """

    listen_address: str = attrs.field(validator=validators.check_address)
    secret_file: str
    seeds: tuple[str, ...] = attrs.field(
        default=(), validator=validators.check_addresses
    )
    gossip_seconds: float = attrs.field(
        default=0.5, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Shutdown:
    """Graceful shutdown.

    For `notice_seconds` the host reports that it is not ready and still
    accepts connections, so that the load balancer stops sending to it;
    `limit_seconds` bounds the whole shutdown.
    """

    notice_seconds: float = 2.0
    limit_seconds: float = attrs.field(
        default=60.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of `pistachioseamd`."""

    host: Host
    platform: Platform
    callers: tuple[identity.Caller, ...]
    regions: tuple[links.Region, ...] = ()
    requests: Requests = attrs.field(factory=Requests)
    limits: AccountLimits = attrs.field(factory=AccountLimits)
    placement: placer.Settings = attrs.field(factory=placer.Settings)
    link: Link = attrs.field(factory=Link)
    peers: Peers | None = None
    shutdown: Shutdown = attrs.field(factory=Shutdown)
    capacity: capacities.Capacity = attrs.field(factory=capacities.Capacity)
    logs: setting_files.Logs = attrs.field(factory=setting_files.Logs)


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, tuple[findings.Finding, ...]]:
    """Return the settings of a file, or a finding for every error."""
    return setting_files.load_file(path, Settings)
