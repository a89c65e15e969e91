"""Settings of an entry host, read from one YAML file.

Every defect is reported with its file, key and reason, all at once.
"""

import pathlib
import typing

import attrs
from returns import result
import yaml

from pistachioseam import conversion
from pistachioseam import findings
from pistachioseam import identity
from pistachioseam import limits
from pistachioseam import links
from pistachioseam.placement import placer
from pistachioseam import validators

AccountLimits: typing.TypeAlias = limits.Settings
T = typing.TypeVar('T')
LOG_FORMATS = ('json', 'text')
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@attrs.frozen(kw_only=True)
class Host:
    """Place and addresses of this host, as `IP-number:port`."""

    name: str
    domain: str
    listen_address: str = attrs.field(validator=validators.check_address)
    admin_address: str = attrs.field(validator=validators.check_address)


@attrs.frozen(kw_only=True)
class Platform:
    """Access to the platform's service."""

    address: str = attrs.field(validator=validators.check_address)
    poll_seconds: float = attrs.field(
        default=1.0, validator=validators.check_positive
    )
    timeout_seconds: float = attrs.field(
        default=2.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Requests:
    """Bounds of callers' requests and of answers held in memory."""

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
    """This host's part of the link between regions."""

    bytes_per_second: float = attrs.field(
        default=200_000.0, validator=validators.check_positive
    )
    burst_bytes: float = attrs.field(
        default=400_000.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Peers:
    """Links to the other entry hosts.

    `secret_file` holds the key that authenticates messages; `seeds` are peer
    addresses to greet at a start, this host's own among them or not.
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
    """Graceful shutdown: notice to the balancer, and its longest wait."""

    notice_seconds: float = 2.0
    limit_seconds: float = attrs.field(
        default=60.0, validator=validators.check_positive
    )


@attrs.frozen(kw_only=True)
class Logs:
    """Level and format of the log on standard error."""

    level: str = attrs.field(
        default='INFO', validator=attrs.validators.in_(LOG_LEVELS)
    )
    format: str = attrs.field(
        default='json', validator=attrs.validators.in_(LOG_FORMATS)
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
    logs: Logs = attrs.field(factory=Logs)


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, tuple[findings.Finding, ...]]:
    """Return the settings of a file, or every defect in it."""
    return load_file(path, Settings)


def load_file(
    path: pathlib.Path, kind: type[T]
) -> result.Result[T, tuple[findings.Finding, ...]]:
    """Return the content of a YAML file as `kind`, or every defect in it."""
    place = findings.Location(str(path))
    try:
        content = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        reason = ' '.join(str(error).split())
        return result.Failure((findings.Finding(place, reason),))
    return conversion.structure(content, kind, place)
