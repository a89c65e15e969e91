"""Contradictions in a desired state, found before operators submit it.

Hosts serve a state with any of these as far as it goes; they reject none.
"""

import collections
from collections import abc
import typing

from pistachioseam import findings
from pistachioseam.forwarding import desired

State: typing.TypeAlias = desired.DesiredState
Found: typing.TypeAlias = abc.Iterator[findings.Finding]
Check: typing.TypeAlias = abc.Callable[[State, str], Found]

CHECKS: list[Check] = []
"""All checks; each is called with a state and the name of its source."""


def register(check: Check) -> Check:
    """Add a check to `CHECKS`."""
    CHECKS.append(check)
    return check


def check_state(state: State, source: str) -> tuple[findings.Finding, ...]:
    """Return what all checks find."""
    return tuple(
        finding for check in CHECKS for finding in check(state, source)
    )


def _find(
    source: str,
    row: str,
    field: str,
    reason: str,
    severity: findings.Severity = findings.Severity.ERROR,
) -> findings.Finding:
    location = findings.Location(source, row, field)
    return findings.Finding(location, reason, severity)


@register
def check_route_matches(state: State, source: str) -> Found:
    """Find routes that no call ever matches."""
    seen: dict[tuple[str, str], str] = {}
    for route in state.routes:
        row = f'routes:{route.name}'
        first = seen.setdefault((route.host, route.path_prefix), route.name)
        if first != route.name:
            yield _find(
                source,
                row,
                'path_prefix',
                f'never matches: route "{first}" has the same host and prefix',
            )
        if not route.path_prefix.startswith('/'):
            yield _find(
                source,
                row,
                'path_prefix',
                'never matches: each path begins with "/"',
            )
        if not route.host or set(route.host) & set(':/ '):
            yield _find(
                source,
                row,
                'host',
                'never matches: not a host name without a port',
            )


@register
def check_route_times(state: State, source: str) -> Found:
    """Find objectives that a time limit contradicts."""
    for route in state.routes:
        row = f'routes:{route.name}'
        if route.timeout_seconds <= 0:
            yield _find(source, row, 'timeout', 'is not above 0')
            continue
        for field, seconds in (
            ('objective', route.objective_seconds),
            ('max_gap', route.max_gap_seconds),
        ):
            if not 0 <= seconds <= route.timeout_seconds:
                yield _find(
                    source,
                    row,
                    field,
                    f'{seconds:g} s is not from 0 to the time limit, '
                    f'{route.timeout_seconds:g} s',
                )


@register
def check_route_services(state: State, source: str) -> Found:
    """Find routes to services that cannot serve them."""
    for route in state.routes:
        row = f'routes:{route.name}'
        for part in route.services:
            service = state.find_service(part.name)
            if service is None:
                yield _find(
                    source, row, 'services', f'no service "{part.name}"'
                )
            elif route.has_prompt and service.engine is None:
                yield _find(
                    source,
                    row,
                    'services',
                    f'service "{part.name}" has no engines for prompts',
                    findings.Severity.WARNING,
                )
            if part.weight < 0:
                yield _find(
                    source,
                    row,
                    'services',
                    f'service "{part.name}" has a weight below 0',
                )
        if sum(part.weight for part in route.services) <= 0:
            yield _find(
                source,
                row,
                'services',
                'no weight is above 0: the first service gets all calls',
                findings.Severity.WARNING,
            )


@register
def check_names(state: State, source: str) -> Found:
    """Find names that two rows of one kind share."""
    for kind, rows in (
        ('routes', state.routes),
        ('services', state.services),
        ('accounts', state.accounts or ()),
    ):
        counts = collections.Counter(row.name for row in rows)
        for name, count in counts.items():
            if count > 1:
                yield _find(
                    source, f'{kind}:{name}', 'name', f'{count} rows have it'
                )


@register
def check_account_keys(state: State, source: str) -> Found:
    """Find accounts that no caller can use, and keys of two accounts."""
    owners: dict[str, str] = {}
    for account in state.accounts or ():
        row = f'accounts:{account.name}'
        if not account.keys:
            yield _find(
                source,
                row,
                'keys',
                'there is none: no caller can use the account',
                findings.Severity.WARNING,
            )
        for number, key in enumerate(account.keys):
            owner = owners.setdefault(key, account.name)
            if owner != account.name:
                yield _find(
                    source,
                    row,
                    f'keys[{number}]',
                    f'account "{owner}" has the same key',
                )
