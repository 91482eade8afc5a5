"""Serve the record endpoints of the admin API."""

from __future__ import annotations

import logging
import re
from typing import Any

import attrs

from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.gateway.admin_handler import AdminHandler
from baobabhoist.gateway.bodies import parse_json
from baobabhoist.gateway.pending_limits import PendingLimit, read_pending_limit
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
# The base revision of a change that creates the record, which must not exist yet.
ABSENT_REVISION = 0
HTTP_CREATED = 201


class RecordApiHandler(AdminHandler):
    """Provide the base of the record handlers."""

    def record_store(self) -> RecordStore:
        """Return a record store on the table and the current view of the records."""
        return RecordStore(self.backend.table, self.backend.view, self._check_no_jobs)

    def parse_base_revision(self) -> int | Refusal:
        """Return the revision that the change is based on, or 0 if it creates the record."""
        if self.request.headers.get("If-None-Match") == "*":
            return ABSENT_REVISION
        value = self.request.headers.get("If-Match")
        if value is None:
            return Refusal(
                ErrorKind.PRECONDITION_MISSING,
                "the change has neither the header If-Match nor If-None-Match: *",
                remedy="send If-Match with the revision that the change is based on, or "
                "If-None-Match: * to create the record",
            )
        match = ETAG_PATTERN.fullmatch(value)
        if match is None:
            problem = Problem("If-Match", "the value is not a revision", 'send it as "17"')
            return refusal_for_problems([problem], "the request")
        return int(match[2])

    def parse_query_integer(
        self, name: str, low: int, high: int, default: int | None
    ) -> int | Refusal:
        """Return an integer query argument, its default if it is absent, or a refusal."""
        value = self.get_query_argument(name, None)
        if value is None and default is not None:
            return default
        problems: Problems = []
        parsed = int(value) if value and INTEGER_PATTERN.fullmatch(value) else value
        checked = integer(low, high)(parsed, name, problems)
        return refusal_for_problems(problems, "the query") if checked is ABSENT else int(checked)

    def send_record(
        self,
        record: Record,
        schema_version: int = 0,
        status_code: int = 200,
        pending_limit: PendingLimit | None = None,
    ) -> None:
        """Respond with a record, its revision as the entity tag, and its pending limit."""
        body = render_record(record, schema_version or None)
        if isinstance(body, Refusal):
            self.refuse(body)
            return
        self.set_status(status_code)
        self.set_header("ETag", f'"{record.revision}"')
        if pending_limit is not None:
            body = {**body, "pending_limit": attrs.asdict(pending_limit)}
        self.send_json(body)

    def refuse_change(self, kind: str, name: str, refusal: Refusal) -> None:
        """Respond with the refusal of a change; conflicts between operators are logged."""
        if refusal.kind is ErrorKind.CONFLICT:
            emit(log, Event.RECORD_CONFLICT, kind=kind, name=name, operator=self.operator)
        self.refuse(refusal)

    async def _check_no_jobs(self, kind: str, name: str) -> Refusal | None:
        if kind != RecordKind.QUEUE or self.options.jobs is None:
            return None
        job_ids = await self.options.jobs.unfinished_job_ids(name)
        if isinstance(job_ids, Refusal):
            return job_ids
        remedy = "cancel these jobs or wait until they have ended"
        return in_use_refusal(kind, name, "jobs", list(job_ids), remedy) if job_ids else None


class RecordListHandler(RecordApiHandler):
    """List records: GET /v1/records and /v1/records/KIND."""

    def get(self, kind: str | None = None) -> None:
        """Return the records that are in force on this instance."""
        if self.receive_body() is None:
            return
        if kind is not None and kind not in set(RecordKind):
            self.refuse(
                check_record_name(kind, "any") or Refusal(ErrorKind.NOT_FOUND, "no such kind")
            )
            return
        view = self.backend.view
        records = [
            render_record(record)
            for record_kind in ([kind] if kind else list(RecordKind))
            for record in view.records_of_kind(record_kind)
        ]
        bodies = [body for body in records if not isinstance(body, Refusal)]
        self.send_json({"revision": view.revision, "records": bodies})


class RecordHandler(RecordApiHandler):
    """Read and change a record: /v1/records/KIND/NAME."""

    async def get(self, kind: str, name: str) -> None:
        """Return the record in the table, or the one in force if the platform is unavailable."""
        if self.receive_body() is None:
            return
        schema_version = self.parse_query_integer("schema_version", 1, 1000, 0)
        if isinstance(schema_version, Refusal):
            self.refuse(schema_version)
            return
        record = await self.record_store().read(kind, name)
        if isinstance(record, Refusal) and record.kind is ErrorKind.PLATFORM_UNAVAILABLE:
            record = self.backend.view.get(kind, name) or record
        if isinstance(record, Refusal):
            self.refuse(record)
            return
        self.send_record(
            record, schema_version, pending_limit=await self._read_pending_limit(record)
        )

    async def _read_pending_limit(self, record: Record) -> PendingLimit | None:
        if record.kind != RecordKind.TEAM or record.body is None:
            return None
        try:
            team = to_typed_record(record.kind, record.body)
        except (ValueError, TypeError, KeyError):
            # A later release may have written the record in a format unknown to this one, which
            # cannot compare its limit then.
            return None
        if not isinstance(team, Team):
            return None
        return await read_pending_limit(self.backend.table, record.name, team)

    async def put(self, kind: str, name: str) -> None:
        """Create or replace a record."""
        body = self.receive_body()
        if body is None:
            return
        change = self._parse_change(kind, name, body)
        if isinstance(change, Refusal):
            self.refuse(change)
            return
        record = await self.record_store().put(change, self.now())
        if isinstance(record, Refusal):
            self.refuse_change(kind, name, record)
            return
        status_code = 200 if change.base_revision else HTTP_CREATED
        self.send_record(
            record, status_code=status_code, pending_limit=await self._read_pending_limit(record)
        )

    async def delete(self, kind: str, name: str) -> None:
        """Delete a record."""
        if self.receive_body() is None:
            return
        base_revision = self.parse_base_revision()
        if isinstance(base_revision, Refusal):
            self.refuse(base_revision)
            return
        change = RecordChange(kind, name, 0, None, base_revision, self.operator)
        record = await self.record_store().delete(change, self.now())
        if isinstance(record, Refusal):
            self.refuse_change(kind, name, record)
            return
        self.send_record(record)

    def _parse_change(self, kind: str, name: str, body: bytes) -> RecordChange | Refusal:
        envelope = parse_json(body)
        if isinstance(envelope, Refusal):
            return envelope
        problems = _find_envelope_problems(envelope)
        if problems:
            return refusal_for_problems(problems, "the change")
        base_revision = self.parse_base_revision()
        if isinstance(base_revision, Refusal):
            return base_revision
        return RecordChange(
            kind,
            name,
            envelope["schema_version"],
            envelope["body"],
            base_revision,
            self.operator,
        )


def _find_envelope_problems(envelope: Any) -> Problems:
    remedy = "give an object with the fields schema_version and body"
    if not isinstance(envelope, dict):
        return [Problem("change", "the change is not an object", remedy)]
    missing = [
        Problem(name, "the field is missing", remedy)
        for name in ("schema_version", "body")
        if name not in envelope
    ]
    unknown = [
        Problem(name[:64], "the field is unknown", remedy)
        for name in envelope
        if name not in ("schema_version", "body")
    ]
    return missing + unknown


class HistoryHandler(RecordApiHandler):
    """Show the versions of a record: GET /v1/records/KIND/NAME/history."""

    async def get(self, kind: str, name: str) -> None:
        """Return the latest versions, newest first."""
        if self.receive_body() is None:
            return
        limit = self.parse_query_integer("limit", 1, MAX_HISTORY_LIMIT, DEFAULT_HISTORY_LIMIT)
        if isinstance(limit, Refusal):
            self.refuse(limit)
            return
        versions = await self.record_store().read_history(kind, name, limit)
        if isinstance(versions, Refusal):
            self.refuse(versions)
            return
        bodies = [render_record(record) for record in versions]
        self.send_json({"versions": [body for body in bodies if not isinstance(body, Refusal)]})


class DiffHandler(RecordApiHandler):
    """Compare two versions of a record: GET /v1/records/KIND/NAME/diff?from=&to=."""

    async def get(self, kind: str, name: str) -> None:
        """Return the values that differ; `to` defaults to the latest version."""
        if self.receive_body() is None:
            return
        old = await self._read_version(
            kind, name, self.parse_query_integer("from", 1, MAX_REVISION, None)
        )
        if isinstance(old, Refusal):
            self.refuse(old)
            return
        new = await self._read_version(
            kind, name, self.parse_query_integer("to", 0, MAX_REVISION, 0)
        )
        if isinstance(new, Refusal):
            self.refuse(new)
            return
        before, after = _convert_for_comparison(old, new)
        self.send_json(
            {
                "from": old.revision,
                "to": new.revision,
                "differences": [
                    {"path": item.path, "present": item.present, "old": item.old, "new": item.new}
                    for item in diff_bodies(before, after)
                ],
            }
        )

    async def _read_version(
        self, kind: str, name: str, revision: int | Refusal
    ) -> Record | Refusal:
        if isinstance(revision, Refusal):
            return revision
        if revision:
            return await self.record_store().read_version(kind, name, revision)
        latest = await self.record_store().read_history(kind, name, 1)
        return latest if isinstance(latest, Refusal) else latest[0]


def _convert_for_comparison(old: Record, new: Record) -> tuple[Any, Any]:
    """Return both bodies in the newer one's schema version, or in canonical form if that fails."""
    bodies = [render_record(record, new.schema_version) for record in (old, new)]
    if any(isinstance(body, Refusal) for body in bodies):
        return old.body, new.body
    return tuple(body["body"] for body in bodies)  # type: ignore[index]
