"""Table files: rows of the routes and pools tables in YAML.

A file holds `routes` and `pools` as lists of rows, `delete` with the names of
rows to delete by table, and `base_revision`, the store's revision that the
edit is based on.
"""

import pathlib
import typing

import attrs
from returns import pipeline
from returns import result
import yaml

from pistachioseam import findings
from pistachioseam import snapshots
from pistachioseam import tables

TABLES = (tables.ROUTES, tables.POOLS)
KNOWN_KEYS = (*TABLES, 'delete', 'base_revision')

Rows: typing.TypeAlias = dict[str, dict[str, typing.Any]]


@attrs.frozen
class TableFile:
    """Merged content of table files; rows by table and name.

    `deleted` holds names of rows by table.
    """

    rows: Rows
    deleted: dict[str, tuple[str, ...]]
    base_revision: int | None


ReadResult: typing.TypeAlias = result.Result[
    TableFile, tuple[findings.Finding, ...]
]


def read_files(paths: typing.Sequence[pathlib.Path]) -> ReadResult:
    """Return the merged content of files, or findings for format errors.

    The base revision is that of the last file that has one.
    """
    found: list[findings.Finding] = []
    rows: Rows = {table: {} for table in TABLES}
    deleted: dict[str, tuple[str, ...]] = {}
    base_revision: int | None = None
    for path in paths:
        content = _read_file(path, found)
        for table in TABLES:
            _collect_rows(path, table, content, rows[table], found)
        for table, names in (content.get('delete') or {}).items():
            deleted[table] = (*deleted.get(table, ()), *names)
        base_revision = content.get('base_revision', base_revision)
    if found:
        return result.Failure(tuple(found))
    return result.Success(TableFile(rows, deleted, base_revision))


def _read_file(
    path: pathlib.Path, found: list[findings.Finding]
) -> dict[str, typing.Any]:
    """Return the content of a file; add format errors to `found`."""
    location = findings.Location(str(path))
    try:
        content = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        reason = ' '.join(str(error).split())
        found.append(findings.Finding(location, reason))
        return {}
    if not isinstance(content, dict):
        found.append(findings.Finding(location, 'expected a mapping'))
        return {}
    for key in content:
        if key not in KNOWN_KEYS:
            field = attrs.evolve(location, field=str(key))
            found.append(findings.Finding(field, 'unknown key'))
    return content


def _collect_rows(
    path: pathlib.Path,
    table: str,
    content: dict[str, typing.Any],
    rows: dict[str, typing.Any],
    found: list[findings.Finding],
) -> None:
    """Add the rows of one table to `rows`, or findings to `found`."""
    listed = content.get(table) or []
    if not isinstance(listed, list):
        location = findings.Location(str(path), field=table)
        found.append(findings.Finding(location, 'expected a list of rows'))
        return
    for number, row in enumerate(listed):
        name = row.get('name') if isinstance(row, dict) else None
        location = findings.Location(str(path), f'{table}[{number}]', 'name')
        if not isinstance(name, str):
            found.append(findings.Finding(location, 'each row needs a name'))
        elif name in rows:
            found.append(
                findings.Finding(location, f'duplicate name "{name}"')
            )
        else:
            rows[name] = row


def check_files(
    paths: typing.Sequence[pathlib.Path],
) -> tuple[findings.Finding, ...]:
    """Return all findings for files that together hold both tables."""
    read = read_files(paths)
    if not pipeline.is_successful(read):
        return read.failure()
    rows = read.unwrap().rows
    validation = snapshots.validate_tables(
        rows[tables.ROUTES], rows[tables.POOLS], snapshots.Snapshot()
    )
    return validation.findings
