"""Store accepted jobs and cancellations, and find out what became of lost answers."""

from __future__ import annotations

import asyncio
import enum
import logging

import attrs

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.row_schema import cancel_row_key, job_row_key
from baobabhoist.control.store_health import StoreHealth
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.rows import (
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowStore,
    RowsTxn,
    StoreError,
    StoreRefusedError,
    StoreUnansweredError,
)

log = logging.getLogger(__name__)

RETRY_S = 0.06
# A write that is refused is tried again for this long before its caller is told.
REFUSED_MAX_MS = 150.0
# A write without an answer is tried again for this long while the store answers nothing else.
SILENT_MAX_MS = 700.0


class WriteStatus(enum.Enum):
    """Name what became of a row that was to be stored."""

    NEW = "new"
    # The row was there already, from an earlier try.
    ALREADY_STORED = "known"
    # Nothing was written, and nothing will be.
    REFUSED = "refused"
    # It is not known whether the row was written, or will be.
    UNKNOWN = "unknown"


@attrs.frozen
class WriteResult:
    """Hold what became of a write and the row's version if it is there."""

    status: WriteStatus
    version: int = 0


class JobWriter:
    """Write rows that must not exist yet; a repeated write reads back a lost answer."""

    def __init__(self, store: RowStore, store_health: StoreHealth) -> None:
        self._store = store
        self._store_health = store_health

    async def store_job(self, job_id: str, value: bytes, deadline_ms: float) -> WriteResult:
        """Store a job unless it is there already."""
        return await self._put_new(job_row_key(job_id), value, deadline_ms)

    async def store_cancel(self, job_id: str, deadline_ms: float) -> WriteResult:
        """Store that a job is cancelled."""
        return await self._put_new(cancel_row_key(job_id), b"{}", deadline_ms)

    async def _put_new(self, key: RowKey, value: bytes, deadline_ms: float) -> WriteResult:
        """Store a row that must not be there yet."""
        txn = RowsTxn({key: 0}, {key: value})
        begun_ms = monotonic_ms()
        doubtful = False
        while True:
            try:
                outcome = await self._store.commit(txn)
            except StoreRefusedError as exc:
                out_of_reach = self._store_health.is_unreachable()
                tried_long = monotonic_ms() - begun_ms > REFUSED_MAX_MS
                if not doubtful and (out_of_reach or tried_long):
                    emit(log, Event.WRITE_REFUSED, row=key.key, detail=exc)
                    return WriteResult(WriteStatus.REFUSED)
            except StoreUnansweredError as exc:
                # The same write again tells what became of this one.
                doubtful = True
                emit(log, Event.WRITE_UNANSWERED, row=key.key, detail=exc)
                if self._silent_since(begun_ms):
                    return WriteResult(WriteStatus.UNKNOWN)
            except StoreError as exc:
                emit(log, Event.WRITE_REFUSED, row=key.key, detail=exc)
                return WriteResult(WriteStatus.UNKNOWN if doubtful else WriteStatus.REFUSED)
            else:
                return _outcome(outcome, key, doubtful)
            if monotonic_ms() + RETRY_S * 1000 >= deadline_ms:
                return WriteResult(WriteStatus.UNKNOWN if doubtful else WriteStatus.REFUSED)
            await asyncio.sleep(RETRY_S)

    def _silent_since(self, begun_ms: float) -> bool:
        """Tell whether the store has answered nothing since a write, for long enough."""
        silent = self._store_health.last_answer_ms < begun_ms
        return silent and monotonic_ms() - begun_ms > SILENT_MAX_MS


def _outcome(outcome: RowsCommitted | RowsConflict, key: RowKey, doubtful: bool) -> WriteResult:
    if isinstance(outcome, RowsCommitted):
        return WriteResult(WriteStatus.NEW, outcome.version)
    return WriteResult(
        WriteStatus.NEW if doubtful else WriteStatus.ALREADY_STORED, outcome.version_of(key)
    )
