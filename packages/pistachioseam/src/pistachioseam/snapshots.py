"""Validated, joined and numbered configuration."""

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

    `number` only grows; `source_revision` is the revision of the tables it
    was made from.
    """

    number: int = 0
    source_revision: int = 0
    routes: tuple[tables.Route, ...] = ()
    pools: tuple[tables.Pool, ...] = ()

    def find_pool(self, name: str) -> tables.Pool | None:
        """Return the pool of that name."""
        for pool in self.pools:
            if pool.name == name:
                return pool
        return None

    def find_model_route(self, team: str, model: str) -> tables.Route | None:
        """Return the team's route to a pool that serves the model."""
        for route in self.routes:
            pool = self.find_pool(route.pool)
            if pool is None or pool.kind is not tables.Kind.MODEL:
                continue
            if route.team == team and pool.model == model:
                return route
        return None

    def find_service_route(self, team: str, path: str) -> tables.Route | None:
        """Return the team's service route with the longest matching path."""
        matching = [
            route
            for route in self.routes
            if route.team == team and _is_below(path, route.path_prefix)
        ]
        return max(matching, key=lambda r: len(r.path_prefix), default=None)


@attrs.frozen
class Draft:
    """Result of a validation: what would be in force, and all findings."""

    routes: tuple[tables.Route, ...]
    pools: tuple[tables.Pool, ...]
    findings: tuple[findings.Finding, ...]


def _is_below(path: str, prefix: str) -> bool:
    if not prefix:
        return False
    return path == prefix or path.startswith(prefix.rstrip('/') + '/')


def validate_tables(
    routes: RowContents, pools: RowContents, last: Snapshot
) -> Draft:
    """Join both tables; a row with errors keeps its form from `last`.

    The mappings hold row contents by row key.
    """
    found: list[findings.Finding] = []
    kept_pools = {pool.name: pool for pool in last.pools}
    kept_routes = {route.name: route for route in last.routes}
    new_pools = _read_rows(tables.POOLS, pools, tables.Pool, found)
    new_routes = _read_rows(tables.ROUTES, routes, tables.Route, found)
    _check_pools(new_pools, found)
    _restore_pools(pools, new_pools, kept_pools, found)
    _check_routes(new_routes, new_pools, kept_pools, found)
    _restore_routes(routes, new_routes, kept_routes, new_pools, found)
    _retain_used_pools(new_routes, new_pools, kept_pools, found)
    _check_approvals(new_routes, new_pools, found)
    return Draft(
        tuple(new_routes[name] for name in sorted(new_routes)),
        tuple(new_pools[name] for name in sorted(new_pools)),
        tuple(found),
    )


RowT = typing.TypeVar('RowT', tables.Pool, tables.Route)


def _read_rows(
    table: str,
    rows: RowContents,
    kind: type[RowT],
    found: list[findings.Finding],
) -> dict[str, RowT]:
    accepted: dict[str, RowT] = {}
    for key in sorted(rows):
        place = findings.Place(table, key)
        read = conversion.structure(rows[key], kind, place)
        if not pipeline.is_successful(read):
            found.extend(read.failure())
            continue
        row = read.unwrap()
        if row.name != key:
            reason = f'name is "{row.name}" but the row key is "{key}"'
            field = attrs.evolve(place, field='name')
            found.append(findings.Finding(field, reason))
            continue
        accepted[key] = row
    return accepted


def _check_pools(
    pools: dict[str, tables.Pool], found: list[findings.Finding]
) -> None:
    for name, pool in list(pools.items()):
        for field, reason in _list_pool_defects(pool):
            place = findings.Place(tables.POOLS, name, field)
            found.append(findings.Finding(place, reason))
            pools.pop(name, None)


def _list_pool_defects(pool: tables.Pool) -> abc.Iterator[tuple[str, str]]:
    if pool.kind is tables.Kind.MODEL and not pool.model:
        yield 'model', 'a model pool names its model'
    if pool.kind is tables.Kind.MODEL and not pool.weights_version:
        yield 'weights_version', 'a model pool names its weights version'
    addresses = [target.address for target in pool.targets]
    if len(addresses) != len(set(addresses)):
        yield 'targets', 'target addresses must differ'


def _restore_pools(
    contents: RowContents,
    pools: dict[str, tables.Pool],
    kept: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    for name in contents:
        if name not in pools and name in kept:
            pools[name] = _withdraw_approvals(kept[name], contents[name])


def _withdraw_approvals(pool: tables.Pool, content: object) -> tables.Pool:
    """Honour withdrawn approvals even where the new row is not accepted."""
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


def _check_routes(
    routes: dict[str, tables.Route],
    pools: abc.Mapping[str, tables.Pool],
    kept_pools: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    seen: dict[tuple[str, str], str] = {}
    for name, route in list(routes.items()):
        pool = pools.get(route.pool) or kept_pools.get(route.pool)
        defects = list(_list_route_defects(route, pool))
        matched = route.path_prefix
        if pool is not None and pool.kind is tables.Kind.MODEL:
            matched = pool.model
        other = seen.setdefault((route.team, matched), name)
        if other != name:
            defects.append(('team', f'route "{other}" matches the same'))
        for field, reason in defects:
            place = findings.Place(tables.ROUTES, name, field)
            found.append(findings.Finding(place, reason))
            routes.pop(name, None)


def _list_route_defects(
    route: tables.Route, pool: tables.Pool | None
) -> abc.Iterator[tuple[str, str]]:
    if pool is None:
        yield 'pool', f'there is no pool "{route.pool}"'
        return
    is_service = pool.kind is tables.Kind.SERVICE
    if is_service and not route.path_prefix:
        yield 'path_prefix', 'a route to a service pool needs a path prefix'
    if not is_service and route.path_prefix:
        yield 'path_prefix', 'a route to a model pool has no path prefix'


def _restore_routes(
    contents: RowContents,
    routes: dict[str, tables.Route],
    kept: abc.Mapping[str, tables.Route],
    pools: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    for name in contents:
        if name not in routes and name in kept:
            routes[name] = kept[name]


def _retain_used_pools(
    routes: dict[str, tables.Route],
    pools: dict[str, tables.Pool],
    kept: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    for route in routes.values():
        if route.pool in pools or route.pool not in kept:
            continue
        place = findings.Place(tables.POOLS, route.pool)
        reason = f'deleted, but route "{route.name}" uses it'
        found.append(findings.Finding(place, reason))
        pools[route.pool] = kept[route.pool]


def _check_approvals(
    routes: abc.Mapping[str, tables.Route],
    pools: abc.Mapping[str, tables.Pool],
    found: list[findings.Finding],
) -> None:
    for name, route in sorted(routes.items()):
        targets = pools[route.pool].targets
        if any(route.team in target.teams for target in targets):
            continue
        place = findings.Place(tables.ROUTES, name, 'team')
        reason = f'no target of pool "{route.pool}" approves the team'
        warning = findings.Severity.WARNING
        found.append(findings.Finding(place, reason, warning))


def encode_snapshot(snapshot: Snapshot) -> dict[str, typing.Any]:
    """Return the snapshot as plain data for a row or a message."""
    content: dict[str, typing.Any] = conversion.unstructure(snapshot)
    return content


def decode_snapshot(
    content: object,
) -> result.Result[Snapshot, tuple[findings.Finding, ...]]:
    """Return the snapshot held by a row or a message."""
    place = findings.Place('accepted')
    return conversion.structure(content, Snapshot, place)
