"""Edits of the platform's tables, committed by compare-and-set."""

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
    """Other edits changed rows first; each row is `table:name`.

    If the store reports a conflict at the commit, `rows` holds all rows of
    the edit, as the store does not say which have changed.
    """

    rows: tuple[str, ...]


@attrs.frozen
class Rejected:
    """The edited tables would be invalid; `findings` says why."""

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
    """Validate and commit an edit; return the new revision.

    If the edit has a base revision, rows changed since then are not
    overwritten; without one, only changes made while the edit is applied are
    detected.
    """
    scanned = await fetch_tables(store)
    if not pipeline.is_successful(scanned):
        return result.Failure(scanned.failure())
    view = scanned.unwrap()
    changed_rows = _list_changed_rows(view, edit)
    if changed_rows:
        return result.Failure(LostRace(changed_rows))
    found = _validate_edited_tables(view, edit)
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
    """Return the writes of all rows; a deletion writes None."""
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


def _list_changed_rows(
    view: interfaces.TablesView, edit: files.TableFile
) -> tuple[str, ...]:
    """Return the rows to write that are newer than the base revision."""
    if edit.base_revision is None:
        return ()
    written_keys = {write.key for write in _create_writes(edit)}
    return tuple(
        f'{row.key.table}:{row.key.key}'
        for row in view.rows
        if row.key in written_keys and row.version > edit.base_revision
    )


def _validate_edited_tables(
    view: interfaces.TablesView, edit: files.TableFile
) -> tuple[findings.Finding, ...]:
    """Return the findings for the tables with the edit applied."""
    rows: dict[str, dict[str, object]] = {t: {} for t in files.TABLES}
    for row in view.rows:
        rows[row.key.table][row.key.key] = row.value
    for write in _create_writes(edit):
        if write.value is None:
            rows[write.key.table].pop(write.key.key, None)
        else:
            rows[write.key.table][write.key.key] = write.value
    validation = snapshots.validate_tables(
        rows[tables.ROUTES], rows[tables.POOLS], snapshots.Snapshot()
    )
    return validation.findings
