"""Validators of attrs fields in tables and settings.

Each raises ValueError if the value is invalid.
"""

import ipaddress
import typing

PORT_LIMIT = 65536


def check_name(_: object, field: typing.Any, value: str) -> None:
    """Allow names that are safe in logs, paths and row keys."""
    if not value or not all(c.isalnum() or c in '-_.' for c in value):
        raise ValueError('expected only letters, digits, "-", "_" and "."')


def check_address(_: object, field: typing.Any, value: str) -> None:
    """Allow an IP address with a port."""
    host, _sep, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        raise ValueError('expected IP-address:port') from None
    if not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise ValueError('expected a port from 1 to 65535')


def check_addresses(
    owner: object, field: typing.Any, value: tuple[str, ...]
) -> None:
    """Allow a list of IP addresses with ports."""
    for address in value:
        check_address(owner, field, address)


def check_positive(_: object, field: typing.Any, value: float) -> None:
    """Allow numbers above 0."""
    if not value > 0:
        raise ValueError('must be greater than 0')


def check_path(_: object, field: typing.Any, value: str) -> None:
    """Allow an absolute path, or an empty string."""
    if value and not value.startswith('/'):
        raise ValueError('must start with "/"')
