"""Serve callers: accept, query and cancel jobs, and count the pending ones."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from typing import Any

import attrs

from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import FINAL_PHASES, JobPhase, JobSpec
from baobabhoist.control.clock import StoreClock, monotonic_ms, unix_ms
from baobabhoist.control.config import ActiveConfig, CellConfig, Route
from baobabhoist.control.interfaces import Decoder
from baobabhoist.control.job_admission import JobAdmission, never_starts_refusal
from baobabhoist.control.job_writer import JobWriter
from baobabhoist.control.messages import (
    CancelNotice,
    JobNotice,
    PendingQuery,
    PendingReply,
    StateQuery,
    StateReply,
)
from baobabhoist.control.owner_router import OwnerRouter
from baobabhoist.control.row_inserts import JobInsert, WriteResult, WriteStatus
from baobabhoist.control.row_schema import (
    ID_RETENTION_FACTOR,
    JobRow,
    cancel_row_key,
    decode_job,
    encode_job,
    job_row_key,
    progress_row_key,
)
from baobabhoist.control.tombstone_limits import TombstoneLimits
from baobabhoist.errors import ErrorKind, LinkClosedError, Refusal
from baobabhoist.model import Outcome
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    RowKey,
    RowStore,
    StoredRow,
    StoreError,
    StoreUnansweredError,
)

log = logging.getLogger(__name__)

JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_DUE_TASKS = 10_000
RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 5.0
# Sent when another instance can probably serve the call now.
RETRY_ELSEWHERE_S = 0.0
QUERY_TIMEOUT_S = 0.5
# Part of a caller's deadline that is reserved for sending the answer.
ANSWER_RESERVE_MS = 150.0
# Keys are checked only while the configuration is younger than this fraction of revoke_ms, the
# time within which a withdrawn key must stop working.
MAX_KEY_AGE_FRACTION = 0.85
DEFAULT_JOB_KEPT_MS = 120_000.0


@attrs.frozen
class ApiCall:
    """Hold the fields common to all calls; `deadline_ms` is on the local clock."""

    host: str
    path: str
    key: str
    deadline_ms: float


@attrs.frozen
class AdmittedCall:
    """Hold a call admitted by its route and key; `job_id` is empty for a call to the queue.

    `team` is empty on a public queue, whose jobs belong to no team; `key_team` is the team of the
    key also there, if it is known.
    """

    cfg: CellConfig
    route: Route
    team: str
    job_id: str
    key_team: str = attrs.field(default=attrs.Factory(lambda call: call.team, takes_self=True))


def unavailable_refusal(message: str, retry_after_s: float = RETRY_AFTER_S) -> Refusal:
    """Return the refusal of a call that this instance cannot serve now."""
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        message,
        remedy="retry after the given time",
        retry_after_s=retry_after_s,
    )


def unknown_outcome_refusal(message: str) -> Refusal:
    """Return the refusal of a call whose outcome is unknown."""
    return Refusal(
        ErrorKind.OUTCOME_UNKNOWN,
        message,
        Outcome.UNKNOWN,
        remedy="retry with the same id; a repeated call has no further effect",
    )


def due_tasks_refusal(spec: JobSpec) -> Refusal | None:
    """Return the refusal of a job with too many due tasks, which every owner holds in memory."""
    due_tasks = spec.count_due_tasks(max(unix_ms(), spec.first_due_ms))
    if due_tasks <= MAX_DUE_TASKS:
        return None
    message = f"{due_tasks} tasks would be due at once; at most {MAX_DUE_TASKS} may be"
    return Refusal(ErrorKind.BAD_REQUEST, message, remedy="repeat the steps less often")


def overload_refusal(refuse_ms: float) -> Refusal | None:
    """Return the refusal of all jobs while the owner asks for it, for `refuse_ms` from now."""
    if refuse_ms <= 0.0:
        return None
    retry_after_s = min(MAX_RETRY_AFTER_S, math.ceil(refuse_ms / 1000))
    return unavailable_refusal("too many jobs wait for their start", retry_after_s)


def _unknown_job_refusal(job_id: str) -> Refusal:
    return Refusal(ErrorKind.NOT_FOUND, f"there is no job {job_id}", remedy="check the id")


def _unknown_state_refusal(job_id: str, exc: Exception) -> Refusal:
    emit(log, Event.STATE_UNKNOWN, job=job_id, detail=exc)
    return unavailable_refusal("neither the owner nor the store returned the state of the job")


def _own_state(admitted: AdmittedCall, reply: StateReply | Refusal) -> StateReply | Refusal:
    """Return the state of an existing job of the caller's team, or the refusal."""
    if isinstance(reply, Refusal):
        return reply
    if not reply.state:
        return _unknown_job_refusal(admitted.job_id)
    if reply.team and reply.team != admitted.team:
        message = "the job belongs to another team"
        return Refusal(ErrorKind.FORBIDDEN, message, remedy="use its key")
    return reply


def _decode_state(job_id: str, result: WriteResult) -> StateReply | Refusal:
    """Return the state of a job that was stored just before, or the refusal if unreadable."""
    try:
        job = decode_job(job_id, result.value, result.version)
    except ValueError as exc:
        return _unknown_state_refusal(job_id, exc)
    return StateReply(JobPhase.QUEUED.value, job.queue, job.team)


def _cancelled_id_refusal(job_id: str) -> Refusal:
    message = f"the id {job_id} was cancelled before a job of it was stored"
    return Refusal(ErrorKind.CANCELLED, message, remedy="choose another id")


def _is_of_another_team(admitted: AdmittedCall, result: WriteResult) -> bool:
    """Return whether the stored job belongs to a team other than the caller's."""
    try:
        stored = decode_job(admitted.job_id, result.value, result.version)
    except ValueError:
        return False
    return bool(stored.team) and bool(admitted.team) and stored.team != admitted.team


@attrs.define
class JobApi:
    """Answer calls using the configuration, the owner and the store; keeps no state of its own."""

    config: ActiveConfig
    store: RowStore
    job_writer: JobWriter
    decoder: Decoder
    clock: StoreClock
    owner_router: OwnerRouter
    revoke_ms: float
    row_max_bytes: int
    # Set if jobs that cannot end in time are refused.
    admission: JobAdmission | None = None
    # Least time for which a finished job can be queried.
    job_kept_ms: float = DEFAULT_JOB_KEPT_MS
    # Time within which a new configuration must come into force.
    config_apply_ms: float = math.inf
    tombstone_limits: TombstoneLimits = attrs.Factory(TombstoneLimits)

    def admit(self, call: ApiCall) -> AdmittedCall | Refusal:
        """Return the admitted call with its route and team, or the refusal."""
        cfg = self.config.current
        if cfg is None:
            return unavailable_refusal("no configuration has been loaded yet")
        if self._is_config_lagging():
            message = "a newer configuration may not have arrived yet"
            return unavailable_refusal(message, RETRY_ELSEWHERE_S)
        route = cfg.find_route(call.host, call.path)
        if route is None:
            return Refusal(
                ErrorKind.NOT_FOUND, f"no queue at {call.path}", remedy="check host and path"
            )
        key_team = cfg.team_by_key.get(call.key, "")
        if not route.queue.is_public:
            if self.config.age_ms(monotonic_ms()) > MAX_KEY_AGE_FRACTION * self.revoke_ms:
                return self._stale_keys_refusal()
            if call.key not in cfg.team_by_key:
                kind = ErrorKind.KEY_REJECTED if call.key else ErrorKind.KEY_MISSING
                emit(log, Event.KEY_REFUSED, queue=route.queue.name, version=cfg.version)
                return Refusal(kind, "the key is not valid", remedy="send a key of the team")
        team = "" if route.queue.is_public else key_team
        job_id = call.path[len(route.prefix) :].partition("?")[0]
        return AdmittedCall(cfg, route, team, job_id, key_team)

    async def submit(self, call: ApiCall, admitted: AdmittedCall, body: bytes) -> Refusal | None:
        """Store a job; return None once it is accepted."""
        if JOB_ID.fullmatch(admitted.job_id) is None:
            message = f"{admitted.job_id!r} is not a job id"
            return Refusal(ErrorKind.BAD_REQUEST, message, remedy="give 16 hex digits")
        if len(body) > admitted.cfg.body_max_bytes:
            message = f"a body may have at most {admitted.cfg.body_max_bytes} bytes"
            return Refusal(ErrorKind.BODY_TOO_LARGE, message, remedy="send a smaller job")
        spec = self.decoder.decode_job(body)
        if isinstance(spec, Refusal):
            return spec
        too_many = due_tasks_refusal(spec)
        if too_many is not None:
            return too_many
        overload = overload_refusal(self.owner_router.refuse_jobs_ms())
        if overload is not None and not await self._is_stored(call, admitted.job_id):
            return overload
        refusal = await self._refuse_hopeless(call, admitted, spec)
        return refusal or await self._store_job(call, admitted, spec)

    async def _refuse_hopeless(
        self, call: ApiCall, admitted: AdmittedCall, spec: JobSpec
    ) -> Refusal | None:
        """Return the refusal of a job that cannot end in time, unless it may be stored already."""
        if self.admission is None:
            return None
        queue, team = admitted.route.queue, admitted.team
        never_starts = never_starts_refusal(spec, admitted.cfg.rules.teams.get(team))
        hopeless = self.admission.find_hopeless(spec, queue, team, monotonic_ms())
        if never_starts is None and hopeless is None:
            return None
        if await self._is_stored(call, admitted.job_id):
            return None
        if never_starts is not None:
            return never_starts
        return self.admission.refuse(hopeless, team, monotonic_ms()) if hopeless else None

    async def _is_stored(self, call: ApiCall, job_id: str) -> bool:
        """Return whether a job may be stored already; a repeated call must not be refused."""
        key = job_row_key(job_id)
        try:
            return key in await self._read_rows(call, key)
        except StoreError as exc:
            log.debug("whether job %s is stored is not known: %s", job_id, exc)
            return True

    async def _store_job(
        self, call: ApiCall, admitted: AdmittedCall, spec: JobSpec
    ) -> Refusal | None:
        queue = admitted.route.queue
        row = JobRow(
            queue.name,
            queue.service,
            admitted.team,
            self.clock.now_ms(),
            spec,
            queue.max_attempts,
        )
        value = encode_job(row)
        if len(value) > self.row_max_bytes:
            message = f"the job would take {len(value)} bytes in the store"
            remedy = f"send a job of at most {self.row_max_bytes} bytes"
            return Refusal(ErrorKind.BODY_TOO_LARGE, message, remedy=remedy)
        start_ms = monotonic_ms()
        insert = JobInsert(admitted.job_id, admitted.key_team, queue.is_public, value)
        result = await self.job_writer.store_job(insert, call.deadline_ms - ANSWER_RESERVE_MS)
        emit(
            log,
            Event.JOB_STORED,
            job=admitted.job_id,
            queue=queue.name,
            team=admitted.team,
            config=admitted.cfg.version,
            config_age_ms=round(self.config.age_ms(monotonic_ms())),
            outcome=result.status.value,
            version=result.version,
            took_ms=round(monotonic_ms() - start_ms),
        )
        if result.status is WriteStatus.REFUSED:
            return self._store_refusal("the store cannot accept jobs now")
        if result.status is WriteStatus.UNKNOWN:
            return unknown_outcome_refusal("the store did not confirm whether the job was stored")
        if result.status is WriteStatus.CANCELLED:
            return _cancelled_id_refusal(admitted.job_id)
        if _is_of_another_team(admitted, result):
            return Refusal(ErrorKind.CONFLICT, "the id is in use", remedy="choose another id")
        if result.status is WriteStatus.NEW:
            self.owner_router.notify(JobNotice(admitted.job_id, result.value, result.version))
        return None

    async def job_state(self, call: ApiCall, admitted: AdmittedCall) -> str | Refusal:
        """Return the state of a job."""
        reply = _own_state(admitted, await self._find_state(call, admitted.job_id))
        return reply if isinstance(reply, Refusal) else reply.state

    async def cancel(self, call: ApiCall, admitted: AdmittedCall) -> Refusal | None:
        """Cancel a job; return None once the cancellation is stored.

        A refusal of the kind NOT_FOUND acknowledges it as well: no job of the id is stored later.
        """
        deadline_ms = call.deadline_ms - ANSWER_RESERVE_MS
        found = await self._find_state(call, admitted.job_id)
        if isinstance(found, StateReply) and not found.state:
            found = await self._cancel_unknown_id(admitted, deadline_ms)
        reply = _own_state(admitted, found)
        if isinstance(reply, Refusal):
            return reply
        if reply.state in FINAL_PHASES:
            return None
        result = await self.job_writer.store_cancellation(admitted.job_id, deadline_ms)
        emit(log, Event.CANCEL_STORED, job=admitted.job_id, outcome=result.status.value)
        refusal = self._unstored_cancellation_refusal(result)
        if refusal is None:
            self.owner_router.notify(CancelNotice(admitted.job_id))
        return refusal

    async def _cancel_unknown_id(
        self, admitted: AdmittedCall, deadline_ms: float
    ) -> StateReply | Refusal:
        """Keep jobs of an id from being stored later; return the state of one stored meanwhile."""
        job_id, team = admitted.job_id, admitted.key_team
        if JOB_ID.fullmatch(job_id) is None:
            return StateReply()
        if not self.tombstone_limits.take(team, monotonic_ms()):
            return unavailable_refusal("too many ids without a job were cancelled")
        expires_ms = self.clock.now_ms() + int(ID_RETENTION_FACTOR * self.job_kept_ms)
        result = await self.job_writer.store_tombstone(job_id, team, expires_ms, deadline_ms)
        emit(log, Event.TOMBSTONE_STORED, job=job_id, team=team, outcome=result.status.value)
        if result.status is WriteStatus.HAS_JOB:
            return _decode_state(job_id, result)
        return self._unstored_cancellation_refusal(result) or StateReply()

    def _unstored_cancellation_refusal(self, result: WriteResult) -> Refusal | None:
        """Return the refusal of a cancellation that may not be stored, or None if it is."""
        if result.status is WriteStatus.REFUSED:
            return self._store_refusal("the store cannot accept cancellations now")
        if result.status is WriteStatus.UNKNOWN:
            message = "the store did not confirm whether the job was cancelled"
            return attrs.evolve(unknown_outcome_refusal(message), retry_after_s=RETRY_AFTER_S)
        return None

    async def count_pending_jobs(self, admitted: AdmittedCall) -> int | Refusal:
        """Return the number of jobs of a queue that have not started."""
        queue = admitted.route.queue.name
        reply = await self._ask_owner(PendingQuery(queue))
        if isinstance(reply, PendingReply):
            return reply.jobs
        return unavailable_refusal("the owner of the queue cannot be reached")

    def _is_config_lagging(self) -> bool:
        """Return whether a newer configuration may have been arriving for longer than allowed.

        While the store can't be reached, the last known one stays in force.
        """
        is_old = self.config.age_ms(monotonic_ms()) > self.config_apply_ms
        return is_old and not self.job_writer.is_store_unreachable

    def _stale_keys_refusal(self) -> Refusal:
        """Return the refusal of a call whose key can't be checked.

        If the linked owner could not relay the table either, no other instance can check it.
        """
        message = "the active keys may be out of date"
        if self.job_writer.is_store_unreachable:
            return self._store_refusal(message)
        return unavailable_refusal(message, RETRY_ELSEWHERE_S)

    def _store_refusal(self, message: str) -> Refusal:
        """Return the refusal of a write; callers of a cut-off instance retry elsewhere at once."""
        return unavailable_refusal(
            message, RETRY_AFTER_S if self.owner_router.is_owner_reachable else RETRY_ELSEWHERE_S
        )

    async def _find_state(self, call: ApiCall, job_id: str) -> StateReply | Refusal:
        if JOB_ID.fullmatch(job_id) is None:
            return StateReply()
        reply = await self._ask_owner(StateQuery(job_id))
        if isinstance(reply, StateReply) and reply.state:
            return reply
        try:
            return await self._read_state(call, job_id)
        except (StoreError, ValueError) as exc:
            return _unknown_state_refusal(job_id, exc)

    async def _read_state(self, call: ApiCall, job_id: str) -> StateReply:
        """Read the state of a job from the store; raises StoreError or ValueError."""
        key = job_row_key(job_id)
        rows = await self._read_rows(call, key)
        stored = rows.get(key)
        if stored is None or stored.value is None:
            return StateReply()
        job = decode_job(job_id, stored.value, stored.version)
        phase = await self._read_phase(call, job_id)
        if phase not in FINAL_PHASES and cancel_row_key(job_id) in rows:
            phase = JobPhase.CANCELLED
        return StateReply(phase.value, job.queue, job.team)

    async def _read_phase(self, call: ApiCall, job_id: str) -> JobPhase:
        """Read the phase in the progress of a job; raises StoreError or ValueError."""
        main_key = progress_row_key(job_id)
        rows = await self._read_rows(call, main_key)
        parts = {k: progress_rows.decode(r.value) for k, r in rows.items() if r.value is not None}
        if not parts:
            return JobPhase.QUEUED
        main = parts.pop(main_key, None)
        return progress_rows.merge_progress(main, parts.values()).phase

    async def _read_rows(self, call: ApiCall, key: RowKey) -> dict[RowKey, StoredRow]:
        """Read the row of a job and those that belong to it; raises StoreError.

        A read over a slow link ends when the answer to the call is due.
        """
        timeout_s = (call.deadline_ms - ANSWER_RESERVE_MS - monotonic_ms()) / 1000
        try:
            async with asyncio.timeout(timeout_s):
                rows = await self.store.read(key.table, key.part, start=key.key, end=key.key + "0")
        except TimeoutError as exc:
            raise StoreUnansweredError("the store did not answer in time for the call") from exc
        return {row.key: row for row in rows.rows}

    async def _ask_owner(self, query: Any) -> Any:
        try:
            return await self.owner_router.call(query, QUERY_TIMEOUT_S)
        except (LinkClosedError, TimeoutError) as exc:
            log.debug("the owner did not answer: %s", exc)
            return None
