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
    parse,
    to_canonical_body,
)
from baobabhoist.records.view import Record, RecordView
from baobabhoist.store.table import Committed, Row, Table

# All changes meet on the head of the log, so a change of another record can win the race. Each
# attempt means that at least one other change was accepted meanwhile.
MAX_ATTEMPTS = 12
SCAN_LIMIT = 1000
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 200


@attrs.frozen
class RecordChange:
    """Describe one requested change; no body deletes the record.

    `based_on` is the revision that the operator has seen, 0 when the record must not exist.
    """

    kind: str
    name: str
    schema_version: Any
    body: Any
    base_revision: int
    changed_by: str = ""


@attrs.define
class RecordStore:
    """Change records in transactions; the view only serves to check references."""

    table: Table
    view: RecordView
    # Says why a record without references is in use still, such as a queue with unfinished jobs.
    check_in_use: Callable[[str, str], Awaitable[Refusal | None]] | None = None

    async def read(self, kind: str, name: str) -> Record | Refusal:
        """Return the record in the table."""
        refusal = check_record_name(kind, name)
        if refusal is not None:
            return refusal
        try:
            row = await self.table.read(record_key(kind, name))
        except PlatformError as exc:
            return _unavailable(exc)
        if not row.value or row.value.get("body") is None:
            return _absent(kind, name)
        return record_from_row(row)

    async def put(self, wanted: RecordChange, now: float) -> Record | Refusal:
        """Create or replace a record and return it as accepted."""
        return await self._attempt(wanted, now, self._prepare_put)

    async def delete(self, wanted: RecordChange, now: float) -> Record | Refusal:
        """Delete a record and return the entry of the log."""
        if wanted.kind == RecordKind.QUEUE and self.check_in_use is not None:
            refusal = check_record_name(wanted.kind, wanted.name)
            if refusal is None:
                refusal = await self.check_in_use(wanted.kind, wanted.name)
            if refusal is not None:
                return refusal
        return await self._attempt(wanted, now, self._prepare_delete)

    async def history(
        self, kind: str, name: str, limit: int = DEFAULT_HISTORY_LIMIT
    ) -> list[Record] | Refusal:
        """Return the latest versions of a record, the newest first."""
        refusal = check_record_name(kind, name)
        if refusal is not None:
            return refusal
        found: list[Record] = []
        try:
            row = await self.table.read(record_key(kind, name))
            while row.value and len(found) < min(limit, MAX_HISTORY_LIMIT):
                found.append(record_from_row(row))
                if not found[-1].previous:
                    break
                row = await self.table.read(log_key(found[-1].previous))
        except PlatformError as exc:
            return _unavailable(exc)
        return found or _absent(kind, name)

    async def version(self, kind: str, name: str, revision: int) -> Record | Refusal:
        """Return the version of a record that one revision brought."""
        refusal = check_record_name(kind, name)
        if refusal is not None:
            return refusal
        try:
            row = await self.table.read(log_key(revision))
        except PlatformError as exc:
            return _unavailable(exc)
        found = record_from_row(row) if row.value else None
        if found is None or (found.kind, found.name) != (kind, name):
            return Refusal(
                ErrorKind.NOT_FOUND,
                f"revision {revision} is not a change of the {kind} {name}",
                remedy="choose a revision from the history of the record",
            )
        return found

    async def _attempt(
        self,
        wanted: RecordChange,
        now: float,
        prepare: Callable[[RecordChange, Record | None, RecordView], Record | Refusal],
    ) -> Record | Refusal:
        refusal = check_record_name(wanted.kind, wanted.name)
        if refusal is not None:
            return refusal
        for _ in range(MAX_ATTEMPTS):
            try:
                # The head is read first: a change between the reads makes the commit fail.
                head = await self.table.read(LOG_HEAD_KEY)
                current = await self.table.read(record_key(wanted.kind, wanted.name))
                view = await self._view_at(head)
            except PlatformError as exc:
                return _unavailable(exc)
            record = record_from_row(current) if current.value else None
            prepared = revision_conflict(wanted.kind, wanted.name, wanted.base_revision, record)
            if prepared is not None:
                return prepared
            ready = prepare(wanted, record, view)
            if isinstance(ready, Refusal):
                return ready
            outcome = await self._commit(ready, current, head, wanted, now)
            if outcome is not None:
                return outcome
        return Refusal(
            ErrorKind.CONFLICT,
            "other records changed during every attempt",
            remedy="send the change again",
            retry_after_s=1.0,
        )

    async def _commit(
        self, ready: Record, current: Row, head: Row, wanted: RecordChange, now: float
    ) -> Record | Refusal | None:
        txn = build_transaction(
            ready.kind,
            ready.name,
            ready.schema_version,
            ready.body,
            current,
            head,
            wanted.changed_by,
            now,
        )
        try:
            outcome = await self.table.commit(txn)
        except PlatformError as exc:
            return Refusal(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"it is not known whether the change was accepted: {exc}",
                Outcome.UNKNOWN,
                "read the record and compare it before you send the change again",
                retry_after_s=2.0,
            )
        if isinstance(outcome, Committed):
            return record_from_row(Row(current.key, 1, txn.writes[current.key]))
        return None if outcome.kind is ErrorKind.CONFLICT else outcome

    async def _view_at(self, head: Row) -> RecordView:
        """Return the records as of the head of the log; raises PlatformError."""
        wanted = head.value or 0
        if self.view.revision >= wanted:
            return self.view
        # A copy: only the sync applies to the view in force, and it tells others what changed.
        view = self.view.copy()
        while view.revision < wanted:
            rows = await self.table.scan(LOG_PREFIX, log_key(view.revision), SCAN_LIMIT)
            if not rows:
                raise PlatformError(f"the change log ends before its head {wanted}")
            for row in rows:
                view.apply(record_from_row(row))
        return view

    def _prepare_put(
        self, wanted: RecordChange, record: Record | None, view: RecordView
    ) -> Record | Refusal:
        body = record.body if record is not None else None
        parsed = parse(RecordKind(wanted.kind), wanted.schema_version, wanted.body, body)
        if isinstance(parsed, Refusal):
            return parsed
        refusal = check_references(view, parsed, wanted.name)
        if refusal is not None:
            return refusal
        return _ready(wanted, wanted.schema_version, parsed)

    def _prepare_delete(
        self, wanted: RecordChange, record: Record | None, view: RecordView
    ) -> Record | Refusal:
        if record is None or record.body is None:
            return _absent(wanted.kind, wanted.name)
        refusal = check_unreferenced(view, wanted.kind, wanted.name)
        return refusal or _ready(wanted, record.schema_version, None)


def _ready(wanted: RecordChange, schema_version: int, parsed: TypedRecord | None) -> Record:
    body = to_canonical_body(parsed) if parsed is not None else None
    return Record(wanted.kind, wanted.name, schema_version, 0, body)


def render_record(record: Record, schema_version: int | None = None) -> dict[str, Any] | Refusal:
    """Return a record for operators, in the version it was written in unless told otherwise."""
    version = schema_version or record.schema_version
    body = None
    if record.body is not None:
        expressed = convert_to_version(record.kind, version, record.body)
        if isinstance(expressed, Refusal):
            return expressed
        body = expressed
    return {**attrs.asdict(record), "schema_version": version, "body": body}


def _absent(kind: str, name: str) -> Refusal:
    return Refusal(
        ErrorKind.NOT_FOUND,
        f"there is no {kind} {name}",
        remedy="list the records to see their names",
    )


def _unavailable(exc: PlatformError) -> Refusal:
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f"records cannot be read or changed now: {exc}",
        remedy="try again once the platform answers",
        retry_after_s=2.0,
    )
