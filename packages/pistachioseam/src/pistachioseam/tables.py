"""Rows of the tables that operators edit: routes and pools.

Both tables are in the platform's table service.
"""

import enum
import typing

import attrs

from pistachioseam import validators

ROUTES = 'routes'
POOLS = 'pools'
DEFAULT_DEADLINE_SECONDS = 60.0


class PoolKind(enum.Enum):
    """Kind of a pool's targets."""

    MODEL = 'model'
    """Engines that serve one model at one weights version."""
    SERVICE = 'service'
    """Instances of a plain HTTP service."""


def _check_target_names(
    _: object, field: typing.Any, value: typing.Any
) -> None:
    names = [target.name for target in value]
    if len(names) != len(set(names)):
        raise ValueError('target names must differ')


@attrs.frozen(kw_only=True)
class Target:
    """Backend of a pool.

    Only requests of the approved `teams` are sent to it, and no new ones while
    it is `leaving`. `checks_fences` states that it rejects requests with an
    outdated fencing number (header `fencing-number`): the number of the
    configuration with which the host handles the request.
    """

    name: str = attrs.field(validator=validators.check_name)
    address: str = attrs.field(validator=validators.check_address)
    domain: str = attrs.field(validator=validators.check_name)
    teams: tuple[str, ...] = ()
    leaving: bool = False
    checks_fences: bool = False


@attrs.frozen(kw_only=True)
class Pool:
    """Targets that serve one model at one weights version, or one service."""

    name: str = attrs.field(validator=validators.check_name)
    kind: PoolKind
    targets: tuple[Target, ...] = attrs.field(validator=_check_target_names)
    model: str = ''
    weights_version: str = ''


@attrs.frozen(kw_only=True)
class Route:
    """Rule that sends matching requests of a team to a pool.

    Model routes match by the pool's model, service routes by `path_prefix`.
    `idempotent` allows retries of service calls of any method;
    `single_attempts` allows non-idempotent calls without an idempotency key;
    these are never retried after they may have run.
    """

    name: str = attrs.field(validator=validators.check_name)
    team: str = attrs.field(validator=validators.check_name)
    pool: str = attrs.field(validator=validators.check_name)
    path_prefix: str = attrs.field(default='', validator=validators.check_path)
    idempotent: bool = False
    single_attempts: bool = False
    deadline_seconds: float = attrs.field(
        default=DEFAULT_DEADLINE_SECONDS, validator=validators.check_positive
    )
