"""The operators' table: rows with increasing versions, and edits of single cells.

A row's version is that of its object in the platform. An entry host applies a row only if its
version is higher than the one that it has, so neither a restart nor a stale peer can revert a
change.
"""

from collections.abc import Iterator, Mapping, Sequence

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from result import Err, Ok, Result

from yewloom.hashing import hash64
from yewloom.ids import AttemptId, CustomerId, ModelName, PolicyName, RowName, ServiceName
from yewloom.schema.peer_pb2 import RowVersion
from yewloom.schema.table_pb2 import (
    CustomerRow,
    ExperimentRow,
    PolicyRow,
    Row,
    RowChange,
    ServiceRow,
    VersionedRow,
)
from yewloom.states import RowKind
from yewloom.validation import apply_defaults, check_message, fields_of, parse_value
from yewloom.values import value_class

HISTORY_LENGTH = 16
"""Number of latest edits recorded in a row, so that a client that got no answer can find its own
edit."""

BUCKET_COUNT = 64
"""Number of parts of the table that are compared separately when two tables differ."""

TABLE_PREFIX = "table/"
"""Prefix of the platform keys of rows."""


@value_class
class TableError:
    """Why an edit is rejected and how to fix it, in one sentence."""

    message: str

    def __str__(self) -> str:
        return self.message


class Table:
    """The rows known to an entry host, each in its newest version.

    ``digest`` is an 8-byte hash of all names and versions; equal digests mean equal tables. If the
    digests of two tables differ, those of their buckets show which rows to send.
    """

    def __init__(self) -> None:
        self._rows: dict[RowName, VersionedRow] = {}
        self._buckets: list[set[RowName]] = [set() for _ in range(BUCKET_COUNT)]
        self._bucket_digests = [0] * BUCKET_COUNT
        self._digest = 0
        # Cached, since requests look up rows by kind far more often than rows change.
        self._by_kind: dict[RowKind, list[tuple[str, Row]]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def digest(self) -> bytes:
        """Hash of the names and versions of all rows, deleted ones included."""
        return self._digest.to_bytes(8, "big")

    def apply(self, row: VersionedRow) -> bool:
        """Apply a row if it is newer than the current one; return whether it was applied."""
        name = RowName(row.name)
        current = self._rows.get(name)
        if current is not None and current.version >= row.version:
            return False
        change = _row_hash(name, row.version)
        if current is not None:
            change ^= _row_hash(name, current.version)
        bucket = hash64(name) % BUCKET_COUNT
        self._digest ^= change
        self._bucket_digests[bucket] ^= change
        self._buckets[bucket].add(name)
        self._rows[name] = row
        self._by_kind.clear()
        return True

    def versions(self) -> list[RowVersion]:
        """Return the name and version of every row, deleted ones included."""
        return [RowVersion(name=row.name, version=row.version) for row in self._rows.values()]

    @property
    def bucket_digests(self) -> list[int]:
        """The digest of each bucket."""
        return list(self._bucket_digests)

    def rows_in_differing_buckets(self, bucket_digests: Sequence[int]) -> list[VersionedRow]:
        """Return the rows of all buckets whose digests differ from the given ones."""
        return [
            self._rows[name]
            for theirs, ours, names in zip(
                bucket_digests, self._bucket_digests, self._buckets, strict=True
            )
            if theirs != ours
            for name in sorted(names)
        ]

    def get(self, name: RowName) -> VersionedRow | None:
        """Return a row; None if it is unknown or deleted."""
        row = self._rows.get(name)
        return None if row is None or row.row.deleted else row

    def rows(self) -> Iterator[VersionedRow]:
        """Yield the rows that are not deleted, sorted by name."""
        return (row for _, row in sorted(self._rows.items()) if not row.row.deleted)

    def policies(self) -> dict[PolicyName, PolicyRow]:
        """Return the policies, sorted by name."""
        return {PolicyName(n): row.policy for n, row in self._named(RowKind.POLICY)}

    def policies_for(self, model: ModelName) -> dict[PolicyName, PolicyRow]:
        """Return the policies for a model, sorted by name."""
        return {name: row for name, row in self.policies().items() if row.model == model}

    def customers(self) -> dict[CustomerId, CustomerRow]:
        """Return the customers, sorted by name."""
        return {CustomerId(n): row.customer for n, row in self._named(RowKind.CUSTOMER)}

    def services(self) -> dict[ServiceName, ServiceRow]:
        """Return the plain services, sorted by name."""
        return {ServiceName(n): row.service for n, row in self._named(RowKind.SERVICE)}

    def experiments(self) -> dict[str, ExperimentRow]:
        """Return the experiments, sorted by name."""
        return {n: row.experiment for n, row in self._named(RowKind.EXPERIMENT)}

    def _named(self, kind: RowKind) -> list[tuple[str, Row]]:
        """Return the rows of a kind with their names without the kind, sorted by name."""
        if kind not in self._by_kind:
            prefix = f"{kind.value}/"
            self._by_kind[kind] = [
                (row.name.removeprefix(prefix), row.row)
                for row in self.rows()
                if row.name.startswith(prefix) and row.row.WhichOneof("cells") == kind.value
            ]
        return self._by_kind[kind]


def _row_hash(name: str, version: int) -> int:
    return hash64(f"{name}@{version}")


def parse_row_name(text: str) -> Result[RowName, TableError]:
    """Return a row name after checking that it has the form ``kind/name``."""
    kind, _, name = text.partition("/")
    kinds = [kind.value for kind in RowKind]
    if kind not in kinds or not name or "/" in name or name != name.strip():
        choice = ", ".join(f"{kind_name}/NAME" for kind_name in kinds)
        return Err(TableError(f"{text!r} does not name a row; use one of {choice}."))
    return Ok(RowName(text))


def edit_row(
    name: RowName, current: Row | None, cells: Mapping[str, str], change: RowChange
) -> Result[Row, TableError]:
    """Return a row with cells set by their dotted names.

    A row that does not exist yet starts from the schema's defaults.
    """
    edited = _new_version(current, change)
    kind = name.partition("/")[0]
    target = getattr(edited, kind)
    if current is None or current.deleted or not edited.HasField(kind):
        apply_defaults(target)
        target.SetInParent()
    for path, text in cells.items():
        error = _set_cell(target, path, text)
        if error is not None:
            return Err(TableError(f"{name}: {error}."))
    for violation in check_message(target):
        return Err(TableError(f"{name}: {violation}."))
    return Ok(edited)


def delete_row(current: Row, change: RowChange) -> Row:
    """Return the row marked as deleted; its record stays in the platform."""
    edited = _new_version(current, change)
    edited.deleted = True
    return edited


def contains_attempt(row: Row, attempt: AttemptId) -> bool:
    """Return whether a write attempt is among the latest edits recorded in a row."""
    return any(change.attempt_id == attempt for change in row.history)


def _new_version(current: Row | None, change: RowChange) -> Row:
    edited = Row()
    if current is not None:
        edited.CopyFrom(current)
    edited.history.append(change)
    del edited.history[:-HISTORY_LENGTH]
    edited.deleted = False
    return edited


def _set_cell(target: Message, path: str, text: str) -> str | None:
    """Set one cell in place; return an error message if the path or value is invalid."""
    head, _, rest = path.partition(".")
    fields = fields_of(target)
    field = fields.get(head)
    if field is None:
        known = ", ".join(sorted(fields))
        return f"{path} is not a known cell; use one of {known}"
    if field.message_type is None:
        return _set_scalar(target, field, text)
    nested = getattr(target, head)
    if not target.HasField(head):
        apply_defaults(nested)
        nested.SetInParent()
    return _set_cell(nested, rest, text) if rest else None


def _set_scalar(target: Message, field: FieldDescriptor, text: str) -> str | None:
    match parse_value(field, text):
        case Err(error):
            return str(error)
        case Ok(value):
            setattr(target, field.name, value)
    return None
