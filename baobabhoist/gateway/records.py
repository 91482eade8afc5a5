"""Serve the records to operators."""

from __future__ import annotations

import logging
import re
from typing import Any

import attrs

from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.gateway.bodies import read_json
from baobabhoist.gateway.limits import PendingLimit, pending_limit
from baobabhoist.gateway.operators import AdminHandler
from baobabhoist.observability.events import Event, emit
from baobabhoist.records.diff import diff_bodies
from baobabhoist.records.kinds import RecordKind, Team
from baobabhoist.records.references import in_use_refusal
from baobabhoist.records.schema import check_record_name, refusal_for_problems, to_typed_record
from baobabhoist.records.store import (
    DEFAULT_HISTORY_LIMIT,
    MAX_HISTORY_LIMIT,
    RecordChange,
    RecordStore,
    render_record,
)
from baobabhoist.records.validators import ABSENT, Problems, integer
from baobabhoist.records.view import Record

log = logging.getLogger(__name__)

ETAG_PATTERN = re.compile(r'(W/)?"?([0-9]{1,15})"?')
INTEGER_PATTERN = re.compile(r"[0-9]{1,15}")
MAX_REVISION = 10**15
# The row of a record that does not exist has this revision.
ABSENT_REVISION = 0
HTTP_CREATED = 201


class RecordsHandler(AdminHandler):
    """Share what the handlers for records need."""

    def store(self) -> RecordStore:
        """Return the store over the table and the view in force."""
        return RecordStore(self.backend.table, self.backend.view, self._jobs_in)

    def based_on(self) -> int | Refusal:
        """Return the revision that the change is based on, 0 for a record to create."""
        if self.request.headers.get("If-None-Match") == "*":
            return ABSENT_REVISION
        value = self.request.headers.get("If-Match")
        if value is None:
            return Refusal(
                ErrorKind.PRECONDITION_MISSING,
                "the change does not say which revision it is based on",
                remedy="send the header If-Match with the revision that you have read, or "
                "If-None-Match: * to create the record",
            )
        match = ETAG_PATTERN.fullmatch(value)
        if match is None:
            problem = Problem("If-Match", "the value is no revision", 'send it as "17"')
            return refusal_for_problems([problem], "the request")
        return int(match[2])

    def number(self, name: str, low: int, high: int, default: int | None) -> int | Refusal:
        """Return a query argument that is a whole number."""
        value = self.get_query_argument(name, None)
        if value is None and default is not None:
            return default
        problems: Problems = []
        parsed = int(value) if value and INTEGER_PATTERN.fullmatch(value) else value
        found = integer(low, high)(parsed, name, problems)
        return refusal_for_problems(problems, "the query") if found is ABSENT else int(found)

    def answer_record(
        self,
        record: Record,
        version: int = 0,
        status: int = 200,
        pending: PendingLimit | None = None,
    ) -> None:
        """Answer with a record, its revision as the entity tag, and its pending limit."""
        body = render_record(record, version or None)
        if isinstance(body, Refusal):
            self.refuse(body)
            return
        self.set_status(status)
        self.set_header("ETag", f'"{record.revision}"')
        if pending is not None:
            body = {**body, "pending_limit": attrs.asdict(pending)}
        self.answer_json(body)

    def refuse_change(self, kind: str, name: str, refusal: Refusal) -> None:
        """Answer with the refusal of a change; conflicts between operators are logged."""
        if refusal.kind is ErrorKind.CONFLICT:
            emit(log, Event.RECORD_CONFLICT, kind=kind, name=name, operator=self.operator)
        self.refuse(refusal)

    async def _jobs_in(self, kind: str, name: str) -> Refusal | None:
        if kind != RecordKind.QUEUE or self.options.jobs is None:
            return None
        users = await self.options.jobs.unfinished(name)
        if isinstance(users, Refusal):
            return users
        remedy = "cancel these jobs or wait for their end"
        return in_use_refusal(kind, name, "jobs", list(users), remedy) if users else None


class RecordListHandler(RecordsHandler):
    """List records: GET /v1/records and /v1/records/KIND."""

    def get(self, kind: str | None = None) -> None:
        """Return the records in force on this instance."""
        if self.receive() is None:
            return
        if kind is not None and kind not in set(RecordKind):
            self.refuse(
                check_record_name(kind, "any") or Refusal(ErrorKind.NOT_FOUND, "no such kind")
            )
            return
        view = self.backend.view
        records = [
            render_record(record)
            for each in ([kind] if kind else list(RecordKind))
            for record in view.records_of_kind(each)
        ]
        found = [body for body in records if not isinstance(body, Refusal)]
        self.answer_json({"revision": view.revision, "records": found})


class RecordHandler(RecordsHandler):
    """Read and change a record: /v1/records/KIND/NAME."""

    async def get(self, kind: str, name: str) -> None:
        """Return the record in the table, or the one in force while the platform is down."""
        if self.receive() is None:
            return
        version = self.number("schema_version", 1, 1000, 0)
        if isinstance(version, Refusal):
            self.refuse(version)
            return
        record = await self.store().read(kind, name)
        if isinstance(record, Refusal) and record.kind is ErrorKind.PLATFORM_UNAVAILABLE:
            record = self.backend.view.get(kind, name) or record
        if isinstance(record, Refusal):
            self.refuse(record)
            return
        self.answer_record(record, version, pending=await self._pending(record))

    async def _pending(self, record: Record) -> PendingLimit | None:
        if record.kind != RecordKind.TEAM or record.body is None:
            return None
        try:
            team = to_typed_record(record.kind, record.body)
        except (ValueError, TypeError, KeyError):
            # A later release can have written it; this one cannot compare its limit.
            return None
        if not isinstance(team, Team):
            return None
        return await pending_limit(self.backend.table, record.name, team)

    async def put(self, kind: str, name: str) -> None:
        """Create or replace a record."""
        body = self.receive()
        if body is None:
            return
        wanted = self._wanted(kind, name, body)
        if isinstance(wanted, Refusal):
            self.refuse(wanted)
            return
        record = await self.store().put(wanted, self.now())
        if isinstance(record, Refusal):
            self.refuse_change(kind, name, record)
            return
        status = 200 if wanted.base_revision else HTTP_CREATED
        self.answer_record(record, status=status, pending=await self._pending(record))

    async def delete(self, kind: str, name: str) -> None:
        """Delete a record."""
        if self.receive() is None:
            return
        based_on = self.based_on()
        if isinstance(based_on, Refusal):
            self.refuse(based_on)
            return
        wanted = RecordChange(kind, name, 0, None, based_on, self.operator)
        record = await self.store().delete(wanted, self.now())
        if isinstance(record, Refusal):
            self.refuse_change(kind, name, record)
            return
        self.answer_record(record)

    def _wanted(self, kind: str, name: str, body: bytes) -> RecordChange | Refusal:
        raw = read_json(body)
        if isinstance(raw, Refusal):
            return raw
        problems = _envelope_problems(raw)
        if problems:
            return refusal_for_problems(problems, "the change")
        based_on = self.based_on()
        if isinstance(based_on, Refusal):
            return based_on
        return RecordChange(
            kind, name, raw["schema_version"], raw["body"], based_on, self.operator
        )


def _envelope_problems(raw: Any) -> Problems:
    remedy = "give an object with the fields schema_version and body"
    if not isinstance(raw, dict):
        return [Problem("change", "the change is not an object", remedy)]
    missing = [
        Problem(name, "the field is missing", remedy)
        for name in ("schema_version", "body")
        if name not in raw
    ]
    unknown = [
        Problem(name[:64], "the field is unknown", remedy)
        for name in raw
        if name not in ("schema_version", "body")
    ]
    return missing + unknown


class HistoryHandler(RecordsHandler):
    """Show the versions of a record: GET /v1/records/KIND/NAME/history."""

    async def get(self, kind: str, name: str) -> None:
        """Return the latest versions, the newest first."""
        if self.receive() is None:
            return
        limit = self.number("limit", 1, MAX_HISTORY_LIMIT, DEFAULT_HISTORY_LIMIT)
        if isinstance(limit, Refusal):
            self.refuse(limit)
            return
        found = await self.store().read_history(kind, name, limit)
        if isinstance(found, Refusal):
            self.refuse(found)
            return
        bodies = [render_record(record) for record in found]
        self.answer_json({"versions": [body for body in bodies if not isinstance(body, Refusal)]})


class DiffHandler(RecordsHandler):
    """Compare two versions of a record: GET /v1/records/KIND/NAME/diff?from=&to=."""

    async def get(self, kind: str, name: str) -> None:
        """Return the values that differ; without `to`, compare with the latest version."""
        if self.receive() is None:
            return
        old = await self._version(kind, name, self.number("from", 1, MAX_REVISION, None))
        if isinstance(old, Refusal):
            self.refuse(old)
            return
        new = await self._version(kind, name, self.number("to", 0, MAX_REVISION, 0))
        if isinstance(new, Refusal):
            self.refuse(new)
            return
        before, after = _comparable(old, new)
        self.answer_json(
            {
                "from": old.revision,
                "to": new.revision,
                "differences": [
                    {"path": item.path, "present": item.present, "old": item.old, "new": item.new}
                    for item in diff_bodies(before, after)
                ],
            }
        )

    async def _version(self, kind: str, name: str, revision: int | Refusal) -> Record | Refusal:
        if isinstance(revision, Refusal):
            return revision
        if revision:
            return await self.store().read_version(kind, name, revision)
        latest = await self.store().read_history(kind, name, 1)
        return latest if isinstance(latest, Refusal) else latest[0]


def _comparable(old: Record, new: Record) -> tuple[Any, Any]:
    """Return both bodies in the newer one's schema version; canonical where that fails."""
    bodies = [render_record(record, new.schema_version) for record in (old, new)]
    if any(isinstance(body, Refusal) for body in bodies):
        return old.body, new.body
    return tuple(body["body"] for body in bodies)  # type: ignore[index]
