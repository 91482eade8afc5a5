"""Turn a change of a record into one transaction on the table."""

from __future__ import annotations

from typing import Any

from baobabhoist.platform.table import Row, Transaction
from baobabhoist.records.view import Record

LOG_HEAD = "log_head"
LOG_PREFIX = "log/"
SEQUENCE_DIGITS = 12


def log_key(sequence: int) -> str:
    """Return the row key of an entry of the change log."""
    return f"{LOG_PREFIX}{sequence:0{SEQUENCE_DIGITS}d}"


def change(
    kind: str,
    name: str,
    schema_version: int,
    body: dict[str, Any] | None,
    current: Row,
    head: Row,
) -> Transaction:
    """Return the transaction that writes a record and appends it to the change log."""
    sequence = (head.value or 0) + 1
    entry = {
        "kind": kind,
        "name": name,
        "schema_version": schema_version,
        "revision": sequence,
        "body": body,
    }
    return Transaction(
        checks={current.key: current.revision, head.key: head.revision},
        writes={current.key: entry, LOG_HEAD: sequence, log_key(sequence): entry},
    )


def record_of(row: Row) -> Record:
    """Return the record in a row of the table or of the change log."""
    return Record(**row.value)
