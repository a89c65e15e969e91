"""Configuration snapshots, and the validation of tables into them."""

from collections import abc
import typing

import attrs
from returns import pipeline
from returns import result

from pistachioseam import conversion
from pistachioseam import findings
from pistachioseam import tables

RowContents: typing.TypeAlias = abc.Mapping[str, object]


@attrs.frozen(kw_only=True)
class Snapshot:
    """One accepted configuration.

    `number` increases with every acceptance; `source_revision` is the
    revision of the tables that were accepted.
    """

    number: int = 0
    source_revision: int = 0
    routes: tuple[tables.Route, ...] = ()
    pools: tuple[tables.Pool, ...] = ()

    def find_pool(self, name: str) -> tables.Pool | None:
        """Return the pool of that name, or None."""
        for pool in self.pools:
            if pool.name == name:
                return pool
        return None

    def find_model_route(self, team: str, model: str) -> tables.Route | None:
        """Return the team's route to a pool that serves the model, or None."""
        for route in self.routes:
            pool = self.find_pool(route.pool)
            if pool is None or pool.kind is not tables.PoolKind.MODEL:
                continue
            if route.team == team and pool.model == model:
                return route
        return None

    def find_service_route(self, team: str, path: str) -> tables.Route | None:
        """Return the team's route with the longest matching path prefix."""
        matching = [
            route
            for route in self.routes
            if route.team == team and _matches_prefix(path, route.path_prefix)
        ]
        return max(matching, key=lambda r: len(r.path_prefix), default=None)


@attrs.frozen
class ValidationResult:
    """Routes and pools that can come into force, and all findings."""

    routes: tuple[tables.Route, ...]
    pools: tuple[tables.Pool, ...]
    findings: tuple[findings.Finding, ...]


def _matches_prefix(path: str, prefix: str) -> bool:
    """Return whether `prefix` matches whole segments of the path."""
    if not prefix:
        return False
    return path == prefix or path.startswith(prefix.rstrip('/') + '/')


def validate_tables(
    routes: RowContents, pools: RowContents, previous: Snapshot
) -> ValidationResult:
    """Validate both tables; a row with errors keeps its `previous` content.

    The mappings hold row contents by row key.
    """
    found: list[findings.Finding] = []
    previous_pools = {pool.name: pool for pool in previous.pools}
    previous_routes = {route.name: route for route in previous.routes}
    new_pools = _parse_rows(tables.POOLS, pools, tables.Pool, found)
    new_routes = _parse_rows(tables.ROUTES, routes, tables.Route, found)
    _remove_invalid_pools(new_pools, found)
    _restore_pools(pools, new_pools, previous_pools, found)
    _remove_invalid_routes(new_routes, new_pools, previous_pools, found)
    _restore_routes(routes, new_routes, previous_routes, new_pools, found)
    _retain_used_pools(new_routes, new_pools, previous_pools, found)
    _warn_of_unapproved_routes(new_routes, new_pools, found)
    return ValidationResult(
        tuple(new_routes[name] for name in sorted(new_routes)),
        tuple(new_pools[name] for name in sorted(new_pools)),
        tuple(found),
    )


RowT = typing.TypeVar('RowT', tables.Pool, tables.Route)


def _parse_rows(
    table: str,
    rows: RowContents,
    row_class: type[RowT],
    found: list[findings.Finding],
) -> dict[str, RowT]:
    """Return the rows by key; add findings for rejected ones to `found`."""
    parsed: dict[str, RowT] = {}
    for key in sorted(rows):
        location = findings.Location(table, key)
        structured = conversion.structure(rows[key], row_class, location)
        if not pipeline.is_successful(structured):
            found.extend(structured.failure())
            continue
        row = structured.unwrap()
        if row.name != key:
            reason = f'name is "{row.name}" but the row key is "{key}"'
            name_location = attrs.evolve(location, field='name')
            found.append(findings.Finding(name_location, reason))
            continue
        parsed[key] = row
    return parsed


def _remove_invalid_pools(
    pools: dict[str, tables.Pool], found: list[findings.Finding]
) -> None:
    """Remove pools with defects, and add a finding for each defect."""
    for name, pool in list(pools.items()):
        for field, reason in _list_pool_defects(pool):
            location = findings.Location(tables.POOLS, name, field)
            found.append(findings.Finding(location, reason))
            pools.pop(name, None)


def _list_pool_defects(pool: tables.Pool) -> abc.Iterator[tuple[str, str]]:
    if pool.kind is tables.PoolKind.MODEL and not pool.model:
        yield 'model', 'a model pool needs a model'
    if pool.kind is tables.PoolKind.MODEL and not pool.weights_version:
        yield 'weights_version', 'a model pool needs a weights version'
    addresses = [target.address for target in pool.targets]
    if len(addresses) != len(set(addresses)):
        yield 'targets', 'target addresses must differ'


def _restore_pools(
    contents: RowContents,
    pools: dict[str, tables.Pool],
    previous: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    """Restore the previous content of rejected pools."""
    for name in contents:
        if name not in pools and name in previous:
            pools[name] = _apply_withdrawn_approvals(
                previous[name], contents[name]
            )


def _apply_withdrawn_approvals(
    pool: tables.Pool, content: object
) -> tables.Pool:
    """Return the pool without the approvals that a rejected row withdraws.

    A team whose approval was withdrawn must lose access at once, although the
    row's errors keep the rest of its previous content in force.
    """
    listed = content.get('targets') if isinstance(content, dict) else None
    if not isinstance(listed, list):
        return pool
    approved: dict[object, object] = {}
    for target in listed:
        if isinstance(target, dict):
            approved[target.get('name')] = target.get('teams', [])
    targets = tuple(
        _restrict_teams(target, approved.get(target.name))
        for target in pool.targets
    )
    return attrs.evolve(pool, targets=targets)


def _restrict_teams(target: tables.Target, teams: object) -> tables.Target:
    if not isinstance(teams, list):
        return target
    remaining = tuple(team for team in target.teams if team in teams)
    return attrs.evolve(target, teams=remaining)


def _remove_invalid_routes(
    routes: dict[str, tables.Route],
    pools: abc.Mapping[str, tables.Pool],
    previous_pools: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    """Remove routes that contradict their pool or duplicate another route."""
    seen: dict[tuple[str, str], str] = {}
    for name, route in list(routes.items()):
        pool = pools.get(route.pool) or previous_pools.get(route.pool)
        defects = list(_list_route_defects(route, pool))
        match_key = route.path_prefix
        if pool is not None and pool.kind is tables.PoolKind.MODEL:
            match_key = pool.model
        other = seen.setdefault((route.team, match_key), name)
        if other != name:
            defects.append(
                ('team', f'route "{other}" matches the same requests')
            )
        for field, reason in defects:
            location = findings.Location(tables.ROUTES, name, field)
            found.append(findings.Finding(location, reason))
            routes.pop(name, None)


def _list_route_defects(
    route: tables.Route, pool: tables.Pool | None
) -> abc.Iterator[tuple[str, str]]:
    if pool is None:
        yield 'pool', f'there is no pool "{route.pool}"'
        return
    is_service = pool.kind is tables.PoolKind.SERVICE
    if is_service and not route.path_prefix:
        yield 'path_prefix', 'a route to a service pool needs a path prefix'
    if not is_service and route.path_prefix:
        yield 'path_prefix', 'a route to a model pool has no path prefix'


def _restore_routes(
    contents: RowContents,
    routes: dict[str, tables.Route],
    previous: abc.Mapping[str, tables.Route],
    pools: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    """Restore the previous content of rejected routes."""
    for name in contents:
        if name not in routes and name in previous:
            routes[name] = previous[name]


def _retain_used_pools(
    routes: dict[str, tables.Route],
    pools: dict[str, tables.Pool],
    previous: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    """Keep deleted pools that a route still uses."""
    for route in routes.values():
        if route.pool in pools or route.pool not in previous:
            continue
        location = findings.Location(tables.POOLS, route.pool)
        reason = f'deleted, but route "{route.name}" uses it; the pool is kept'
        found.append(findings.Finding(location, reason))
        pools[route.pool] = previous[route.pool]


def _warn_of_unapproved_routes(
    routes: abc.Mapping[str, tables.Route],
    pools: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    """Add warnings for routes whose team no target of the pool approves."""
    for name, route in sorted(routes.items()):
        targets = pools[route.pool].targets
        if any(route.team in target.teams for target in targets):
            continue
        location = findings.Location(tables.ROUTES, name, 'team')
        reason = f'no target of pool "{route.pool}" approves the team'
        warning = findings.Severity.WARNING
        found.append(findings.Finding(location, reason, warning))


def encode_snapshot(snapshot: Snapshot) -> dict[str, typing.Any]:
    """Return the snapshot as plain data for a table row or a peer message."""
    content: dict[str, typing.Any] = conversion.unstructure(snapshot)
    return content


def decode_snapshot(
    content: object,
) -> result.Result[Snapshot, tuple[findings.Finding, ...]]:
    """Return the snapshot of a table row or a peer message."""
    location = findings.Location('accepted')
    return conversion.structure(content, Snapshot, location)
