"""Rows of the two operators' tables: routes and pools.

Source: the `routes` and `pools` tables of the platform's table service.
"""

import enum
import ipaddress
import typing

import attrs

ROUTES = 'routes'
POOLS = 'pools'
DEFAULT_DEADLINE_SECONDS = 60.0


class Kind(enum.Enum):
    """What the targets of a pool are."""

    MODEL = 'model'
    SERVICE = 'service'


def _check_name(_: object, field: typing.Any, value: str) -> None:
    if not value or not all(c.isalnum() or c in '-_.' for c in value):
        raise ValueError('letters, digits, "-", "_" and "." only')


def _check_address(_: object, field: typing.Any, value: str) -> None:
    host, _sep, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        raise ValueError('expected IP-number:port') from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError('expected a port from 1 to 65535')


def _check_positive(_: object, field: typing.Any, value: float) -> None:
    if not value > 0:
        raise ValueError('must be greater than 0')


def _check_path(_: object, field: typing.Any, value: str) -> None:
    if value and not value.startswith('/'):
        raise ValueError('must start with "/"')


def _check_unique(_: object, field: typing.Any, value: typing.Any) -> None:
    names = [target.name for target in value]
    if len(names) != len(set(names)):
        raise ValueError('target names must differ')


@attrs.frozen(kw_only=True)
class Target:
    """Back end of a pool.

    `teams` holds the approved teams; `leaving` stops new work.
    `checks_fences` tells that it refuses old fencing numbers.
    """

    name: str = attrs.field(validator=_check_name)
    address: str = attrs.field(validator=_check_address)
    domain: str = attrs.field(validator=_check_name)
    teams: tuple[str, ...] = ()
    leaving: bool = False
    checks_fences: bool = False


@attrs.frozen(kw_only=True)
class Pool:
    """Targets that serve one model at one weights version, or a service."""

    name: str = attrs.field(validator=_check_name)
    kind: Kind
    targets: tuple[Target, ...] = attrs.field(validator=_check_unique)
    model: str = ''
    weights_version: str = ''


@attrs.frozen(kw_only=True)
class Route:
    """Assignment of a team's requests to a pool.

    Model routes match by the pool's model, service routes by `path_prefix`.
    `idempotent` allows service calls of any method to be repeated;
    `single_attempts` allows non-idempotent calls without a key.
    """

    name: str = attrs.field(validator=_check_name)
    team: str = attrs.field(validator=_check_name)
    pool: str = attrs.field(validator=_check_name)
    path_prefix: str = attrs.field(default='', validator=_check_path)
    idempotent: bool = False
    single_attempts: bool = False
    deadline_seconds: float = attrs.field(
        default=DEFAULT_DEADLINE_SECONDS, validator=_check_positive
    )
