"""What operators do from the command line: edit the table and read the state of entry hosts."""

import uuid
from collections.abc import Mapping, Sequence
from typing import Any

from google.protobuf import json_format
from result import Err, Ok, Result

from yewloom.http_calls import HttpCaller, HttpCallError
from yewloom.ids import AttemptId, RowName
from yewloom.platforms import Platform, StoredObject
from yewloom.schema.table_pb2 import Row, RowChange, VersionedRow
from yewloom.tables import TABLE_PREFIX, TableError, contains_attempt, delete_row, edit_row
from yewloom.values import value_class
from yewloom.watchers import parse_row
from yewloom.writes import RecordError, WriteConflict, WriteError, write_settled

_WRITE_TIMEOUT_S = 10.0


@value_class
class OperationError:
    """Why an operation failed, in one sentence; ``is_conflict`` if another edit came first."""

    sentence: str
    is_conflict: bool = False

    def __str__(self) -> str:
        return self.sentence


@value_class
class Edit:
    """One edit of a row by an operator.

    ``expected_version`` is the version that the operator has seen; None takes the current one.
    """

    name: RowName
    editor: str
    edited_unix_ms: int
    cells: Mapping[str, str]
    expected_version: int | None = None
    is_deletion: bool = False


async def list_rows(platform: Platform) -> Result[Sequence[VersionedRow], OperationError]:
    """Read all rows that are not deleted."""
    match await platform.list(TABLE_PREFIX):
        case Ok(listing):
            return _read_rows(listing.objects)
        case Err(error):
            return Err(OperationError(f"The platform did not answer ({error}); try again later."))


async def get_row(platform: Platform, name: RowName) -> Result[VersionedRow | None, OperationError]:
    """Read one row, deleted or not."""
    match await platform.get(f"{TABLE_PREFIX}{name}"):
        case Ok(stored):
            return Ok(None) if stored is None else _read_row(stored)
        case Err(error):
            return Err(OperationError(f"The platform did not answer ({error}); try again later."))


def _read_rows(objects: Sequence[StoredObject]) -> Result[Sequence[VersionedRow], OperationError]:
    try:
        rows = [parse_row(stored) for stored in objects]
    except RecordError as error:
        return Err(OperationError(f"A row can't be read ({error}); write it again."))
    return Ok([row for row in rows if not row.row.deleted])


def _read_row(stored: StoredObject) -> Result[VersionedRow | None, OperationError]:
    try:
        return Ok(parse_row(stored))
    except RecordError as error:
        return Err(OperationError(f"The row can't be read ({error}); write it again."))


async def apply_edit(platform: Platform, edit: Edit) -> Result[VersionedRow, OperationError]:
    """Write an edit; of two edits of one row at the same time, one is told of the conflict."""
    match await get_row(platform, edit.name):
        case Err(error):
            return Err(error)
        case Ok(current):
            pass
    version = current.version if current is not None else 0
    if edit.expected_version is not None and edit.expected_version != version:
        return Err(_conflict(edit.name, current))
    change = RowChange(
        attempt_id=uuid.uuid4().hex,
        editor=edit.editor,
        edited_unix_ms=edit.edited_unix_ms,
        summary=" ".join(f"{c}={v}" for c, v in edit.cells.items()) or "deleted",
    )
    match _edited(edit, current, change):
        case Err(table_error):
            return Err(OperationError(table_error.sentence))
        case Ok(row):
            return await _write(platform, edit.name, row, version)


def _edited(edit: Edit, current: VersionedRow | None, change: RowChange) -> Result[Row, TableError]:
    if not edit.is_deletion:
        return edit_row(edit.name, current.row if current else None, edit.cells, change)
    if current is None or current.row.deleted:
        return Err(TableError(f"There is no row {edit.name}."))
    return Ok(delete_row(current.row, change))


async def _write(
    platform: Platform, name: RowName, row: Row, version: int
) -> Result[VersionedRow, OperationError]:
    attempt = AttemptId(row.history[-1].attempt_id)
    written = await write_settled(
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
            return Err(_write_failed(name, error))


def _write_failed(name: RowName, error: WriteError) -> OperationError:
    if isinstance(error, WriteConflict):
        return _conflict(name, parse_row(error.current) if error.current is not None else None)
    return OperationError(f"{name} was not confirmed ({error.detail}); read it before a retry.")


def _conflict(name: RowName, current: VersionedRow | None) -> OperationError:
    if current is None:
        return OperationError(f"{name} does not exist any more; read the table again.", True)
    last = current.row.history[-1] if current.row.history else RowChange()
    cells = cells_text(current)
    return OperationError(
        f"{name} was changed by {last.editor or 'someone'} to version {current.version} "
        f"({cells}); look at it and edit again.",
        True,
    )


def cells_text(row: VersionedRow) -> str:
    """Return a row's cells as words of the form cell=value."""
    if row.row.deleted:
        return "deleted"
    return " ".join(f"{name}={value}" for name, value in flat_cells(row).items())


def flat_cells(row: VersionedRow) -> dict[str, Any]:
    """Return a row's cells by their dotted names."""
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
    flat: list[tuple[str, Any]] = []
    for name, value in fields.items():
        if isinstance(value, dict):
            flat += _flatten(value, f"{prefix}{name}.") or [(f"{prefix}{name}", "")]
        else:
            flat.append((f"{prefix}{name}", value))
    return flat


async def read_entry_host(
    caller: HttpCaller, url: str, path: str = "/status"
) -> Result[dict[str, Any], OperationError]:
    """Read the state of one entry host, or another of its JSON pages."""
    try:
        answer = await caller.call("GET", f"{url.rstrip('/')}{path}", 3.0)
        return Ok(dict(answer.json()))
    except (HttpCallError, ValueError) as error:
        return Err(OperationError(f"The entry host at {url} did not answer ({error})."))
