"""Read and change records in the platform's table."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from baobabhoist.errors import ErrorKind, PlatformError, Refusal
from baobabhoist.model import Outcome
from baobabhoist.records.changes import (
    LOG_HEAD_KEY,
    LOG_PREFIX,
    build_transaction,
    log_key,
    record_from_row,
    record_key,
    revision_conflict,
)
from baobabhoist.records.kinds import RecordKind, TypedRecord
from baobabhoist.records.references import check_references, check_unreferenced
from baobabhoist.records.schema import (
    check_record_name,
    convert_to_version,
    parse_body,
    to_canonical_body,
)
from baobabhoist.records.view import Record, RecordView
from baobabhoist.store.table import Committed, Row, Table

# Every change writes the head of the log, so a change can conflict with a change of another
# record. Each failed attempt means that at least one other change was accepted meanwhile.
MAX_ATTEMPTS = 12
SCAN_PAGE_ROWS = 1000
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 200


@attrs.frozen
class RecordChange:
    """Describe one requested change; a body of None deletes the record.

    `base_revision` is the revision that the operator has seen, or 0 if the record must not exist.
    """

    kind: str
    name: str
    schema_version: Any
    body: Any
    base_revision: int
    changed_by: str = ""


@attrs.define
class RecordStore:
    """Change records in transactions; the view is used only to check references."""

    table: Table
    view: RecordView
    # Returns a refusal if a record is in use by other data, such as a queue by unfinished jobs.
    check_in_use: Callable[[str, str], Awaitable[Refusal | None]] | None = None

    async def read(self, kind: str, name: str) -> Record | Refusal:
        """Return a record from the table."""
        refusal = check_record_name(kind, name)
        if refusal is not None:
            return refusal
        try:
            row = await self.table.read(record_key(kind, name))
        except PlatformError as exc:
            return _unavailable(exc)
        if not row.value or row.value.get("body") is None:
            return _not_found(kind, name)
        return record_from_row(row)

    async def put(self, change: RecordChange, now: float) -> Record | Refusal:
        """Create or replace a record and return the new version."""
        return await self._commit_with_retries(change, now, self._prepare_put)

    async def delete(self, change: RecordChange, now: float) -> Record | Refusal:
        """Delete a record and return the entry of the change log."""
        if change.kind == RecordKind.QUEUE and self.check_in_use is not None:
            refusal = check_record_name(change.kind, change.name)
            if refusal is None:
                refusal = await self.check_in_use(change.kind, change.name)
            if refusal is not None:
                return refusal
        return await self._commit_with_retries(change, now, self._prepare_delete)

    async def read_history(
        self, kind: str, name: str, limit: int = DEFAULT_HISTORY_LIMIT
    ) -> list[Record] | Refusal:
        """Return the latest versions of a record, newest first."""
        refusal = check_record_name(kind, name)
        if refusal is not None:
            return refusal
        versions: list[Record] = []
        try:
            row = await self.table.read(record_key(kind, name))
            while row.value and len(versions) < min(limit, MAX_HISTORY_LIMIT):
                versions.append(record_from_row(row))
                if not versions[-1].previous:
                    break
                row = await self.table.read(log_key(versions[-1].previous))
        except PlatformError as exc:
            return _unavailable(exc)
        return versions or _not_found(kind, name)

    async def read_version(self, kind: str, name: str, revision: int) -> Record | Refusal:
        """Return the version of a record that was written at a revision."""
        refusal = check_record_name(kind, name)
        if refusal is not None:
            return refusal
        try:
            row = await self.table.read(log_key(revision))
        except PlatformError as exc:
            return _unavailable(exc)
        record = record_from_row(row) if row.value else None
        if record is None or (record.kind, record.name) != (kind, name):
            return Refusal(
                ErrorKind.NOT_FOUND,
                f"revision {revision} is not a change of the {kind} {name}",
                remedy="choose a revision from the history of the record",
            )
        return record

    async def _commit_with_retries(
        self,
        change: RecordChange,
        now: float,
        prepare: Callable[[RecordChange, Record | None, RecordView], Record | Refusal],
    ) -> Record | Refusal:
        refusal = check_record_name(change.kind, change.name)
        if refusal is not None:
            return refusal
        for _ in range(MAX_ATTEMPTS):
            try:
                # The head is read first, so that a change between the reads fails the commit.
                head_row = await self.table.read(LOG_HEAD_KEY)
                current_row = await self.table.read(record_key(change.kind, change.name))
                view = await self._view_at(head_row)
            except PlatformError as exc:
                return _unavailable(exc)
            record = record_from_row(current_row) if current_row.value else None
            conflict = revision_conflict(change.kind, change.name, change.base_revision, record)
            if conflict is not None:
                return conflict
            new_record = prepare(change, record, view)
            if isinstance(new_record, Refusal):
                return new_record
            outcome = await self._commit(new_record, current_row, head_row, change, now)
            if outcome is not None:
                return outcome
        return Refusal(
            ErrorKind.CONFLICT,
            "other records changed during each of the attempts",
            remedy="send the change again",
            retry_after_s=1.0,
        )

    async def _commit(
        self, new_record: Record, current_row: Row, head_row: Row, change: RecordChange, now: float
    ) -> Record | Refusal | None:
        txn = build_transaction(
            new_record.kind,
            new_record.name,
            new_record.schema_version,
            new_record.body,
            current_row,
            head_row,
            change.changed_by,
            now,
        )
        try:
            outcome = await self.table.commit(txn)
        except PlatformError as exc:
            return Refusal(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"it is not known whether the change was accepted: {exc}",
                Outcome.UNKNOWN,
                "read the record and compare it before sending the change again",
                retry_after_s=2.0,
            )
        if isinstance(outcome, Committed):
            return record_from_row(Row(current_row.key, 1, txn.writes[current_row.key]))
        return None if outcome.kind is ErrorKind.CONFLICT else outcome

    async def _view_at(self, head_row: Row) -> RecordView:
        """Return a view of the records at the head of the log; raises PlatformError."""
        head_revision = head_row.value or 0
        if self.view.revision >= head_revision:
            return self.view
        # Applied to a copy, because only the sync may change the shared view and announce changes.
        view = self.view.copy()
        while view.revision < head_revision:
            rows = await self.table.scan(LOG_PREFIX, log_key(view.revision), SCAN_PAGE_ROWS)
            if not rows:
                raise PlatformError(f"the change log ends before its head {head_revision}")
            for row in rows:
                view.apply(record_from_row(row))
        return view

    def _prepare_put(
        self, change: RecordChange, record: Record | None, view: RecordView
    ) -> Record | Refusal:
        body = record.body if record is not None else None
        parsed = parse_body(RecordKind(change.kind), change.schema_version, change.body, body)
        if isinstance(parsed, Refusal):
            return parsed
        refusal = check_references(view, parsed, change.name)
        if refusal is not None:
            return refusal
        return _new_record(change, change.schema_version, parsed)

    def _prepare_delete(
        self, change: RecordChange, record: Record | None, view: RecordView
    ) -> Record | Refusal:
        if record is None or record.body is None:
            return _not_found(change.kind, change.name)
        refusal = check_unreferenced(view, change.kind, change.name)
        return refusal or _new_record(change, record.schema_version, None)


def _new_record(change: RecordChange, schema_version: int, parsed: TypedRecord | None) -> Record:
    body = to_canonical_body(parsed) if parsed is not None else None
    return Record(change.kind, change.name, schema_version, 0, body)


def render_record(record: Record, schema_version: int | None = None) -> dict[str, Any] | Refusal:
    """Return a record as JSON, by default in the schema version it was written in."""
    version = schema_version or record.schema_version
    body = None
    if record.body is not None:
        converted = convert_to_version(record.kind, version, record.body)
        if isinstance(converted, Refusal):
            return converted
        body = converted
    return {**attrs.asdict(record), "schema_version": version, "body": body}


def _not_found(kind: str, name: str) -> Refusal:
    return Refusal(
        ErrorKind.NOT_FOUND,
        f"there is no {kind} {name}",
        remedy="list the records to see their names",
    )


def _unavailable(exc: PlatformError) -> Refusal:
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f"records cannot be read or changed now: {exc}",
        remedy="try again when the platform responds",
        retry_after_s=2.0,
    )
