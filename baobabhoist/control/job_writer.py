"""Store accepted jobs and cancellations, and resolve the outcome of unanswered writes."""

from __future__ import annotations

import asyncio
import logging

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.row_inserts import (
    CancellationInsert,
    JobInsert,
    RowInsert,
    TombstoneInsert,
    WriteResult,
    WriteStatus,
)
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.control.tombstone_row import Tombstone
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    RowsCommitted,
    RowStore,
    StoreError,
    StoreRefusedError,
    StoreUnansweredError,
)

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.06
# A refused write is retried for this long before the refusal is reported.
REFUSED_RETRY_MS = 150.0
# An unanswered write is retried for this long while the store answers no other call either.
UNANSWERED_RETRY_MS = 700.0


class JobWriter:
    """Insert rows idempotently; repeating a write tells the outcome of an unanswered one."""

    def __init__(self, store: RowStore, store_health: StoreHealth) -> None:
        self._store = store
        self._store_health = store_health

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the last direct call to the store failed."""
        return self._store_health.is_unreachable()

    async def store_job(self, insert: JobInsert, deadline_ms: float) -> WriteResult:
        """Store a job unless it is already stored, or its team cancelled the id before."""
        return await self._insert(insert, deadline_ms)

    async def store_cancellation(self, job_id: str, deadline_ms: float) -> WriteResult:
        """Store the cancellation of a job."""
        return await self._insert(CancellationInsert(job_id), deadline_ms)

    async def store_tombstone(
        self, job_id: str, team: str, expires_ms: int, deadline_ms: float
    ) -> WriteResult:
        """Store that a team cancelled an id, unless a job of the id is stored."""
        tombstone = Tombstone((team,), expires_ms)
        return await self._insert(TombstoneInsert(job_id, team, tombstone), deadline_ms)

    async def _insert(self, insert: RowInsert, deadline_ms: float) -> WriteResult:
        """Insert a row, and retry until the outcome is known or the time is up."""
        start_ms = monotonic_ms()
        may_be_written = False
        while True:
            # The first attempt may end late: its answer is of use even then.
            timeout_s = (deadline_ms - monotonic_ms()) / 1000 if may_be_written else None
            try:
                async with asyncio.timeout(timeout_s):
                    result = await self._try_insert(insert, may_be_written)
            except TimeoutError:
                return WriteResult(WriteStatus.UNKNOWN)
            except StoreRefusedError as exc:
                is_unreachable = self._store_health.is_unreachable()
                retried_too_long = monotonic_ms() - start_ms > REFUSED_RETRY_MS
                if not may_be_written and (is_unreachable or retried_too_long):
                    emit(log, Event.WRITE_REFUSED, row=insert.key.key, detail=exc)
                    return WriteResult(WriteStatus.REFUSED)
            except StoreUnansweredError as exc:
                # Repeating the same write tells whether this one was applied.
                may_be_written = True
                emit(log, Event.WRITE_UNANSWERED, row=insert.key.key, detail=exc)
                if self._is_silent_since(start_ms):
                    return WriteResult(WriteStatus.UNKNOWN)
            except StoreError as exc:
                emit(log, Event.WRITE_REFUSED, row=insert.key.key, detail=exc)
                return WriteResult(WriteStatus.UNKNOWN if may_be_written else WriteStatus.REFUSED)
            else:
                if result is not None:
                    return result
            if monotonic_ms() + RETRY_INTERVAL_S * 1000 >= deadline_ms:
                return WriteResult(WriteStatus.UNKNOWN if may_be_written else WriteStatus.REFUSED)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _try_insert(self, insert: RowInsert, may_be_written: bool) -> WriteResult | None:
        """Commit an insert; return None if a conflict calls for another try; raises StoreError."""
        outcome = await self._store.commit(insert.transaction())
        if isinstance(outcome, RowsCommitted):
            return WriteResult(WriteStatus.NEW, outcome.version, insert.value)
        return insert.resolve(outcome, may_be_written)

    def _is_silent_since(self, start_ms: float) -> bool:
        """Return whether the store has been silent since `start_ms`, for too long."""
        is_silent = self._store_health.last_answer_ms < start_ms
        return is_silent and monotonic_ms() - start_ms > UNANSWERED_RETRY_MS
