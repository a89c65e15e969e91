"""Edits of the platform's tables by compare-and-set."""

import attrs
from returns import pipeline
from returns import result

from pistachioseam import findings
from pistachioseam import interfaces
from pistachioseam import snapshots
from pistachioseam import tables
from pistachioseam_operator import files


@attrs.frozen
class LostRace:
    """Rows that somebody else has changed since the base revision."""

    rows: tuple[str, ...]


@attrs.frozen
class Rejected:
    """Findings that the edit would bring about."""

    findings: tuple[findings.Finding, ...]


EditError = LostRace | Rejected | interfaces.StoreError


async def fetch_tables(
    store: interfaces.TableStore,
) -> interfaces.ScanResult:
    """Return all rows of both tables at one revision."""
    return await store.scan(files.TABLES)


async def apply_edit(
    store: interfaces.TableStore, edit: files.TableFile
) -> result.Result[int, EditError]:
    """Write the rows of an edit unless it is bad or has lost a race."""
    scanned = await fetch_tables(store)
    if not pipeline.is_successful(scanned):
        return result.Failure(scanned.failure())
    view = scanned.unwrap()
    lost = _list_lost(view, edit)
    if lost:
        return result.Failure(LostRace(lost))
    found = _check_result(view, edit)
    if findings.has_errors(found):
        return result.Failure(Rejected(found))
    versions = {row.key: row.version for row in view.rows}
    writes = _create_writes(edit)
    conditions = [
        interfaces.Condition(write.key, versions.get(write.key, 0))
        for write in writes
    ]
    committed = await store.commit(conditions, writes)
    if pipeline.is_successful(committed):
        return result.Success(committed.unwrap())
    error = committed.failure()
    if error is interfaces.StoreError.CONFLICT:
        names = tuple(f'{w.key.table}:{w.key.key}' for w in writes)
        return result.Failure(LostRace(names))
    return result.Failure(error)


def _create_writes(edit: files.TableFile) -> list[interfaces.Write]:
    writes = [
        interfaces.Write(interfaces.RowKey(table, name), row)
        for table in files.TABLES
        for name, row in edit.rows[table].items()
    ]
    for table, names in edit.deleted.items():
        for name in names:
            key = interfaces.RowKey(table, name)
            writes.append(interfaces.Write(key, None))
    return writes


def _list_lost(
    view: interfaces.TablesView, edit: files.TableFile
) -> tuple[str, ...]:
    if edit.base_revision is None:
        return ()
    touched = {write.key for write in _create_writes(edit)}
    return tuple(
        f'{row.key.table}:{row.key.key}'
        for row in view.rows
        if row.key in touched and row.version > edit.base_revision
    )


def _check_result(
    view: interfaces.TablesView, edit: files.TableFile
) -> tuple[findings.Finding, ...]:
    """Return the findings of the tables as they would be after the edit."""
    rows: dict[str, dict[str, object]] = {t: {} for t in files.TABLES}
    for row in view.rows:
        rows[row.key.table][row.key.key] = row.value
    for write in _create_writes(edit):
        if write.value is None:
            rows[write.key.table].pop(write.key.key, None)
        else:
            rows[write.key.table][write.key.key] = write.value
    draft = snapshots.validate_tables(
        rows[tables.ROUTES], rows[tables.POOLS], snapshots.Snapshot()
    )
    return draft.findings
