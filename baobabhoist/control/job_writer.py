"""Store accepted jobs and cancellations, and resolve the outcome of unanswered writes."""

from __future__ import annotations

import asyncio
import enum
import logging

import attrs

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.row_schema import cancel_row_key, job_row_key
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import (
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowStore,
    RowTransaction,
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


class WriteStatus(enum.Enum):
    """Describe the outcome of storing a row."""

    NEW = "new"
    # An earlier call had already stored the row.
    ALREADY_STORED = "known"
    # The row was not written, and no late write is pending.
    REFUSED = "refused"
    # The row may have been written, or may be written late.
    UNKNOWN = "unknown"


@attrs.frozen
class WriteResult:
    """Hold the outcome of a write, and the row's version and value if it is stored."""

    status: WriteStatus
    version: int = 0
    value: bytes = b""


class JobWriter:
    """Insert rows idempotently; repeating a write tells the outcome of an unanswered one."""

    def __init__(self, store: RowStore, store_health: StoreHealth) -> None:
        self._store = store
        self._store_health = store_health

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the last direct call to the store failed."""
        return self._store_health.is_unreachable()

    async def store_job(self, job_id: str, value: bytes, deadline_ms: float) -> WriteResult:
        """Store a job unless it is already stored."""
        return await self._insert(job_row_key(job_id), value, deadline_ms)

    async def store_cancellation(self, job_id: str, deadline_ms: float) -> WriteResult:
        """Store the cancellation of a job."""
        return await self._insert(cancel_row_key(job_id), b"{}", deadline_ms)

    async def _insert(self, key: RowKey, value: bytes, deadline_ms: float) -> WriteResult:
        """Insert a row, and retry until the outcome is known or the time is up."""
        txn = RowTransaction({key: 0}, {key: value})
        start_ms = monotonic_ms()
        may_be_written = False
        while True:
            # The first attempt may end late: its answer is of use even then.
            timeout_s = (deadline_ms - monotonic_ms()) / 1000 if may_be_written else None
            try:
                async with asyncio.timeout(timeout_s):
                    outcome = await self._commit_insert(txn, key)
            except TimeoutError:
                return WriteResult(WriteStatus.UNKNOWN)
            except StoreRefusedError as exc:
                is_unreachable = self._store_health.is_unreachable()
                retried_too_long = monotonic_ms() - start_ms > REFUSED_RETRY_MS
                if not may_be_written and (is_unreachable or retried_too_long):
                    emit(log, Event.WRITE_REFUSED, row=key.key, detail=exc)
                    return WriteResult(WriteStatus.REFUSED)
            except StoreUnansweredError as exc:
                # Repeating the same write tells whether this one was applied.
                may_be_written = True
                emit(log, Event.WRITE_UNANSWERED, row=key.key, detail=exc)
                if self._is_silent_since(start_ms):
                    return WriteResult(WriteStatus.UNKNOWN)
            except StoreError as exc:
                emit(log, Event.WRITE_REFUSED, row=key.key, detail=exc)
                return WriteResult(WriteStatus.UNKNOWN if may_be_written else WriteStatus.REFUSED)
            else:
                return _write_result(outcome, key, value, may_be_written)
            if monotonic_ms() + RETRY_INTERVAL_S * 1000 >= deadline_ms:
                return WriteResult(WriteStatus.UNKNOWN if may_be_written else WriteStatus.REFUSED)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _commit_insert(
        self, txn: RowTransaction, key: RowKey
    ) -> RowsCommitted | RowsConflict:
        """Commit an insert; raises StoreError, also for a conflict that does not show the row."""
        outcome = await self._store.commit(txn)
        if isinstance(outcome, RowsConflict) and not outcome.version_of(key):
            raise StoreUnansweredError("the store's answer does not show the row in conflict")
        return outcome

    def _is_silent_since(self, start_ms: float) -> bool:
        """Return whether the store has been silent since `start_ms`, for too long."""
        is_silent = self._store_health.last_answer_ms < start_ms
        return is_silent and monotonic_ms() - start_ms > UNANSWERED_RETRY_MS


def _write_result(
    outcome: RowsCommitted | RowsConflict, key: RowKey, value: bytes, may_be_written: bool
) -> WriteResult:
    if isinstance(outcome, RowsCommitted):
        return WriteResult(WriteStatus.NEW, outcome.version, value)
    status = WriteStatus.NEW if may_be_written else WriteStatus.ALREADY_STORED
    return WriteResult(status, outcome.version_of(key), outcome.value_of(key))
