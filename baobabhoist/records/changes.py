"""Map changes of records to transactions on the table."""

from __future__ import annotations

from typing import Any

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.records.view import Record
from baobabhoist.store.table import Row, Transaction

LOG_HEAD_KEY = "log_head"
LOG_PREFIX = "log/"
RECORD_PREFIX = "record/"
SEQUENCE_DIGITS = 12
# Fields that a later release adds to a row are ignored.
_RECORD_FIELDS = frozenset(field.name for field in attrs.fields(Record))


def log_key(sequence: int) -> str:
    """Return the row key of an entry of the change log."""
    return f"{LOG_PREFIX}{sequence:0{SEQUENCE_DIGITS}d}"


def record_key(kind: str, name: str) -> str:
    """Return the row key of a record."""
    return f"{RECORD_PREFIX}{kind}/{name}"


def build_transaction(
    kind: str,
    name: str,
    schema_version: int,
    body: dict[str, Any] | None,
    current_row: Row,
    head_row: Row,
    changed_by: str = "",
    changed_at: float = 0.0,
) -> Transaction:
    """Return the transaction that writes a record and appends it to the change log.

    A body of None deletes the record. The row remains as a tombstone, so that the history
    continues when the name is used again.
    """
    sequence = (head_row.value or 0) + 1
    previous = record_from_row(current_row).revision if current_row.value else 0
    entry = attrs.asdict(
        Record(kind, name, schema_version, sequence, body, previous, changed_by, changed_at)
    )
    return Transaction(
        checks={current_row.key: current_row.revision, head_row.key: head_row.revision},
        writes={current_row.key: entry, LOG_HEAD_KEY: sequence, log_key(sequence): entry},
    )


def record_from_row(row: Row) -> Record:
    """Return the record in a row of the table or of the change log."""
    return Record(**{name: value for name, value in row.value.items() if name in _RECORD_FIELDS})


def current_revision(current: Record | None) -> int:
    """Return the revision that a change must be based on; 0 for an absent record."""
    return current.revision if current is not None and current.body is not None else 0


def revision_conflict(
    kind: str, name: str, base_revision: int, current: Record | None
) -> Refusal | None:
    """Return a conflict if a change is not based on the current revision, else None."""
    expected_revision = current_revision(current)
    if base_revision == expected_revision:
        return None
    if expected_revision == 0:
        return Refusal(
            ErrorKind.CONFLICT,
            f"the {kind} {name} does not exist; the change is based on revision {base_revision}",
            remedy="create it with the header If-None-Match: *",
        )
    reason = f"is based on revision {base_revision}" if base_revision else "creates it"
    return Refusal(
        ErrorKind.CONFLICT,
        f"the {kind} {name} is at revision {expected_revision}; the change {reason}",
        remedy="read the record again, apply the change to it and send it with the header "
        f'If-Match: "{expected_revision}"',
    )
