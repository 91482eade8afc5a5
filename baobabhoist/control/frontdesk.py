"""Answer callers: take jobs in, show and cancel them, count what waits."""

from __future__ import annotations

import logging
import re
from typing import Any

import attrs

from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import FINAL_PHASES, JobPhase, JobSpec
from baobabhoist.control.accept import Acceptor, Stored
from baobabhoist.control.clock import SharedClock, boot_ms
from baobabhoist.control.config import CellConfig, ConfigInForce, Route
from baobabhoist.control.interfaces import Decoder
from baobabhoist.control.messages import (
    CancelNotice,
    JobNotice,
    PendingQuery,
    PendingReply,
    StateQuery,
    StateReply,
)
from baobabhoist.control.owners import OwnerCalls
from baobabhoist.control.rowmap import (
    JOBS_TABLE,
    PROGRESS_TABLE,
    JobRow,
    cancel_row,
    decode_job,
    encode_job,
    job_row,
)
from baobabhoist.errors import ErrorKind, LinkClosedError, Refusal
from baobabhoist.model import Outcome
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.rows import RowStore, StoreError

log = logging.getLogger(__name__)

JOB_ID = re.compile(r"[0-9a-f]{16}")
RETRY_AFTER_S = 1.0
# Another instance can most likely take the call now.
ELSEWHERE_S = 0.0
QUERY_TIMEOUT_S = 0.5
# Time kept back from a caller's deadline for the way of the answer.
ANSWER_RESERVE_MS = 150.0
# A key is accepted while the configuration is known to be at most this part of the bound old.
KEY_AGE_PART = 0.85


@attrs.frozen
class Call:
    """Hold what every call carries; `give_up_ms` is on the local clock."""

    host: str
    path: str
    key: str
    give_up_ms: float


@attrs.frozen
class Admitted:
    """Hold a call that its route and key allow; `job_id` is empty for the queue itself."""

    cfg: CellConfig
    route: Route
    team: str
    job_id: str


def not_ready(message: str, retry_after_s: float = RETRY_AFTER_S) -> Refusal:
    """Return the refusal of work that this instance cannot take now."""
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        message,
        remedy="send it again after the time given",
        retry_after_s=retry_after_s,
    )


def unknown_outcome(message: str) -> Refusal:
    """Return the answer for a call whose effect is not known."""
    return Refusal(
        ErrorKind.OUTCOME_UNKNOWN,
        message,
        Outcome.UNKNOWN,
        remedy="send it again with the same id; it is taken once",
    )


def _no_job(job_id: str) -> Refusal:
    return Refusal(ErrorKind.NOT_FOUND, f"there is no job {job_id}", remedy="check the id")


@attrs.define
class FrontDesk:
    """Own no state: each call is answered from the configuration, the owner and the store."""

    config: ConfigInForce
    store: RowStore
    acceptor: Acceptor
    decoder: Decoder
    clock: SharedClock
    owner: OwnerCalls
    revoke_ms: float
    row_max_bytes: int

    def admit(self, call: Call) -> Admitted | Refusal:
        """Return the route and team of a call, or why it is refused."""
        cfg = self.config.current
        if cfg is None:
            return not_ready("no configuration has been loaded yet")
        route = cfg.route_for(call.host, call.path)
        if route is None:
            return Refusal(
                ErrorKind.NOT_FOUND, f"no queue at {call.path}", remedy="check host and path"
            )
        team = ""
        if not route.queue.is_public:
            if self.config.age_ms(boot_ms()) > KEY_AGE_PART * self.revoke_ms:
                return not_ready("the keys in force are not known to be current", ELSEWHERE_S)
            if call.key not in cfg.keys:
                kind = ErrorKind.KEY_REJECTED if call.key else ErrorKind.KEY_MISSING
                emit(log, Event.KEY_REFUSED, queue=route.queue.name, version=cfg.version)
                return Refusal(kind, "the key is not valid", remedy="send a key of the team")
            team = cfg.keys[call.key]
        job_id = call.path[len(route.prefix) :].partition("?")[0]
        return Admitted(cfg, route, team, job_id)

    async def submit(self, call: Call, admitted: Admitted, body: bytes) -> Refusal | None:
        """Store a job; returns None once it is accepted."""
        if JOB_ID.fullmatch(admitted.job_id) is None:
            message = f"{admitted.job_id!r} is not a job id"
            return Refusal(ErrorKind.BAD_REQUEST, message, remedy="give 16 hex digits")
        if len(body) > admitted.cfg.body_max_bytes:
            message = f"a body has at most {admitted.cfg.body_max_bytes} bytes"
            return Refusal(ErrorKind.BODY_TOO_LARGE, message, remedy="send a smaller job")
        spec = self.decoder.job(body)
        if isinstance(spec, Refusal):
            return spec
        return await self._store_job(call, admitted, spec)

    async def _store_job(self, call: Call, admitted: Admitted, spec: JobSpec) -> Refusal | None:
        queue = admitted.route.queue
        row = JobRow(queue.name, queue.service, admitted.team, self.clock.now_ms(), spec)
        value = encode_job(row)
        if len(value) > self.row_max_bytes:
            message = f"the job takes {len(value)} bytes as it is stored"
            remedy = f"send a job of at most {self.row_max_bytes} bytes"
            return Refusal(ErrorKind.BODY_TOO_LARGE, message, remedy=remedy)
        began_ms = boot_ms()
        outcome = await self.acceptor.store_job(
            admitted.job_id, value, call.give_up_ms - ANSWER_RESERVE_MS
        )
        emit(
            log,
            Event.JOB_STORED,
            job=admitted.job_id,
            queue=queue.name,
            team=admitted.team,
            config=admitted.cfg.version,
            config_age_ms=round(self.config.age_ms(boot_ms())),
            outcome=outcome.stored.value,
            version=outcome.version,
            took_ms=round(boot_ms() - began_ms),
        )
        if outcome.stored is Stored.REFUSED:
            return self._no_store("the store takes no jobs now")
        if outcome.stored is Stored.UNKNOWN:
            return unknown_outcome("the store did not say whether the job was stored")
        if outcome.stored is Stored.NEW:
            self.owner.notify(JobNotice(admitted.job_id, value, outcome.version))
        return None

    async def state(self, admitted: Admitted) -> str | Refusal:
        """Return the state of a job."""
        found = await self._find(admitted.job_id)
        if isinstance(found, Refusal):
            return found
        if not found.state:
            return _no_job(admitted.job_id)
        if found.team and found.team != admitted.team:
            return Refusal(
                ErrorKind.FORBIDDEN, "the job belongs to another team", remedy="use its key"
            )
        return found.state

    async def cancel(self, call: Call, admitted: Admitted) -> Refusal | None:
        """Cancel a job; returns None once that is stored."""
        found = await self._find(admitted.job_id)
        if isinstance(found, Refusal):
            return found
        if not found.state:
            return _no_job(admitted.job_id)
        if found.state in FINAL_PHASES:
            return None
        outcome = await self.acceptor.store_cancel(
            admitted.job_id, call.give_up_ms - ANSWER_RESERVE_MS
        )
        emit(log, Event.CANCEL_STORED, job=admitted.job_id, outcome=outcome.stored.value)
        if outcome.stored is Stored.REFUSED:
            return self._no_store("the store takes no cancellations now")
        if outcome.stored is Stored.UNKNOWN:
            return unknown_outcome("the store did not say whether the job was cancelled")
        self.owner.notify(CancelNotice(admitted.job_id))
        return None

    async def pending(self, admitted: Admitted) -> int | Refusal:
        """Return how many jobs of a queue have not begun."""
        queue = admitted.route.queue.name
        reply = await self._ask_owner(PendingQuery(queue))
        if isinstance(reply, PendingReply):
            return reply.jobs
        return not_ready("the owner of the queue cannot be reached")

    def _no_store(self, message: str) -> Refusal:
        """Refuse a write; an instance that is cut off sends its callers elsewhere at once."""
        return not_ready(message, RETRY_AFTER_S if self.owner.reachable else ELSEWHERE_S)

    async def _find(self, job_id: str) -> StateReply | Refusal:
        if JOB_ID.fullmatch(job_id) is None:
            return StateReply()
        reply = await self._ask_owner(StateQuery(job_id))
        if isinstance(reply, StateReply) and reply.state:
            return reply
        try:
            return await self._read_state(job_id)
        except (StoreError, ValueError) as exc:
            emit(log, Event.STATE_UNKNOWN, job=job_id, detail=exc)
            return not_ready("neither the owner nor the store can be asked")

    async def _read_state(self, job_id: str) -> StateReply:
        """Return a job's state from the store; raises StoreError or ValueError."""
        key = job_row(job_id)
        rows = await self.store.read(JOBS_TABLE, key.part, first=job_id, last=job_id + "0")
        by_key = {row.key: row for row in rows.rows}
        stored = by_key.get(key)
        if stored is None or stored.value is None:
            return StateReply()
        job = decode_job(job_id, stored.value, stored.version)
        phase = JobPhase.CANCELLED if cancel_row(job_id) in by_key else JobPhase.QUEUED
        found = await self.store.read(PROGRESS_TABLE, "", first=job_id, last=job_id + "0")
        for row in found.rows:
            if row.value is not None:
                written = progress_rows.decode(row.value).phase
                phase = written if written in FINAL_PHASES else phase
        return StateReply(phase.value, job.queue, job.team)

    async def _ask_owner(self, question: Any) -> Any:
        try:
            return await self.owner.call(question, QUERY_TIMEOUT_S)
        except (LinkClosedError, TimeoutError) as exc:
            log.debug("the owner did not answer: %s", exc)
            return None
