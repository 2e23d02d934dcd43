"""Operations of the command-line tool: edit the table and read the status of entry hosts."""

import uuid
from collections.abc import Mapping, Sequence
from typing import Any

from google.protobuf import json_format
from result import Err, Ok, Result

from yewloom.http_calls import HttpCallError, HttpClient
from yewloom.ids import AttemptId, RowName
from yewloom.platforms import Platform, StoredObject
from yewloom.schema.table_pb2 import Row, RowChange, VersionedRow
from yewloom.tables import TABLE_PREFIX, TableError, contains_attempt, delete_row, edit_row
from yewloom.values import value_class
from yewloom.watchers import parse_row
from yewloom.writes import RecordError, WriteConflict, WriteError, write_until_settled

_WRITE_TIMEOUT_S = 10.0


@value_class
class OperationError:
    """Why an operation failed; with ``is_conflict``, because another edit has changed the row."""

    message: str
    is_conflict: bool = False

    def __str__(self) -> str:
        return self.message


@value_class
class Edit:
    """One edit of a row by an operator.

    ``expected_version`` is the version on which the edit is based; None means the current one.
    """

    name: RowName
    editor: str
    edited_unix_ms: int
    cells: Mapping[str, str]
    expected_version: int | None = None
    is_deletion: bool = False


async def list_rows(platform: Platform) -> Result[Sequence[VersionedRow], OperationError]:
    """Read all rows except deleted ones."""
    match await platform.list(TABLE_PREFIX):
        case Ok(listing):
            return _read_rows(listing.objects)
        case Err(error):
            return Err(OperationError(f"The platform did not answer ({error}); try again later."))


async def get_row(platform: Platform, name: RowName) -> Result[VersionedRow | None, OperationError]:
    """Read one row, even if it is deleted; return None if it does not exist."""
    match await platform.get(f"{TABLE_PREFIX}{name}"):
        case Ok(stored):
            return Ok(None) if stored is None else _read_row(stored)
        case Err(error):
            return Err(OperationError(f"The platform did not answer ({error}); try again later."))


def _read_rows(objects: Sequence[StoredObject]) -> Result[Sequence[VersionedRow], OperationError]:
    try:
        rows = [parse_row(stored) for stored in objects]
    except RecordError as error:
        return Err(OperationError(f"The table contains an invalid row ({error}); write it again."))
    return Ok([row for row in rows if not row.row.deleted])


def _read_row(stored: StoredObject) -> Result[VersionedRow | None, OperationError]:
    try:
        return Ok(parse_row(stored))
    except RecordError as error:
        return Err(OperationError(f"The row is invalid ({error}); write it again."))


async def apply_edit(platform: Platform, edit: Edit) -> Result[VersionedRow, OperationError]:
    """Write an edit; of two concurrent edits of a row, one fails with a conflict."""
    match await get_row(platform, edit.name):
        case Err(error):
            return Err(error)
        case Ok(current):
            pass
    version = current.version if current is not None else 0
    if edit.expected_version is not None and edit.expected_version != version:
        return Err(_conflict_error(edit.name, current))
    change = RowChange(
        attempt_id=uuid.uuid4().hex,
        editor=edit.editor,
        edited_unix_ms=edit.edited_unix_ms,
        summary=" ".join(f"{c}={v}" for c, v in edit.cells.items()) or "deleted",
    )
    match _edited_row(edit, current, change):
        case Err(table_error):
            return Err(OperationError(table_error.message))
        case Ok(row):
            return await _write(platform, edit.name, row, version)


def _edited_row(
    edit: Edit, current: VersionedRow | None, change: RowChange
) -> Result[Row, TableError]:
    if not edit.is_deletion:
        return edit_row(edit.name, current.row if current else None, edit.cells, change)
    if current is None or current.row.deleted:
        return Err(TableError(f"There is no row {edit.name}."))
    return Ok(delete_row(current.row, change))


async def _write(
    platform: Platform, name: RowName, row: Row, version: int
) -> Result[VersionedRow, OperationError]:
    attempt = AttemptId(row.history[-1].attempt_id)
    written = await write_until_settled(
        platform,
        f"{TABLE_PREFIX}{name}",
        row,
        version,
        lambda stored: contains_attempt(parse_row(stored).row, attempt),
        _WRITE_TIMEOUT_S,
    )
    match written:
        case Ok(stored):
            return Ok(parse_row(stored))
        case Err(error):
            return Err(_write_error(name, error))


def _write_error(name: RowName, error: WriteError) -> OperationError:
    if isinstance(error, WriteConflict):
        return _conflict_error(
            name, parse_row(error.current) if error.current is not None else None
        )
    return OperationError(
        f"The write of {name} was not confirmed ({error.detail}); read the row before trying again."
    )


def _conflict_error(name: RowName, current: VersionedRow | None) -> OperationError:
    if current is None:
        return OperationError(f"{name} no longer exists; read the table again.", True)
    last = current.row.history[-1] if current.row.history else RowChange()
    cells = format_cells(current)
    return OperationError(
        f"{name} was changed by {last.editor or 'someone'}, to version {current.version} "
        f"({cells}); check it and edit again.",
        True,
    )


def format_cells(row: VersionedRow) -> str:
    """Format the cells of a row as ``cell=value`` pairs."""
    if row.row.deleted:
        return "deleted"
    return " ".join(f"{name}={value}" for name, value in cells_by_path(row).items())


def cells_by_path(row: VersionedRow) -> dict[str, Any]:
    """Return the cells of a row by dotted name, for example ``downtime.spare_hosts``."""
    kind = row.row.WhichOneof("cells")
    if kind is None:
        return {}
    fields = json_format.MessageToDict(
        getattr(row.row, kind),
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return dict(_flatten(fields, ""))


def _flatten(fields: Mapping[str, Any], prefix: str) -> "list[tuple[str, Any]]":
    cells: list[tuple[str, Any]] = []
    for name, value in fields.items():
        if isinstance(value, dict):
            cells += _flatten(value, f"{prefix}{name}.") or [(f"{prefix}{name}", "")]
        else:
            cells.append((f"{prefix}{name}", value))
    return cells


async def read_entry_host(
    client: HttpClient, url: str, path: str = "/status"
) -> Result[dict[str, Any], OperationError]:
    """Read the status of one entry host, or another of its JSON pages."""
    try:
        response = await client.call("GET", f"{url.rstrip('/')}{path}", 3.0)
        return Ok(dict(response.json()))
    except (HttpCallError, ValueError) as error:
        return Err(OperationError(f"The entry host at {url} did not answer ({error})."))
