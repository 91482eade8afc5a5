"""Store accepted jobs and cancellations, and find out what became of lost answers."""

from __future__ import annotations

import asyncio
import enum
import logging

import attrs

from baobabhoist.control.clock import boot_ms
from baobabhoist.control.contact import Contact
from baobabhoist.control.rowmap import cancel_row, job_row
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

RETRY_S = 0.06
# A write that is refused is tried again for this long before its caller is told.
REFUSED_MAX_MS = 150.0
# A write without an answer is tried again for this long while the store answers nothing else.
SILENT_MAX_MS = 700.0


class Stored(enum.Enum):
    """Name what became of a row that was to be stored."""

    NEW = "new"
    # The row was there already, from an earlier try.
    KNOWN = "known"
    # Nothing was written, and nothing will be.
    REFUSED = "refused"
    # It is not known whether the row was written, or will be.
    UNKNOWN = "unknown"


@attrs.frozen
class StoreOutcome:
    """Hold what became of a write and the row's version if it is there."""

    stored: Stored
    version: int = 0


class Acceptor:
    """Write rows that must not exist yet; a repeated write reads back a lost answer."""

    def __init__(self, store: RowStore, contact: Contact) -> None:
        self._store = store
        self._contact = contact

    async def store_job(self, job_id: str, value: bytes, give_up_ms: float) -> StoreOutcome:
        """Store a job unless it is there already."""
        return await self._put_new(job_row(job_id), value, give_up_ms)

    async def store_cancel(self, job_id: str, give_up_ms: float) -> StoreOutcome:
        """Store that a job is cancelled."""
        return await self._put_new(cancel_row(job_id), b"{}", give_up_ms)

    async def _put_new(self, key: RowKey, value: bytes, give_up_ms: float) -> StoreOutcome:
        """Store a row that must not be there yet."""
        txn = RowTransaction({key: 0}, {key: value})
        begun_ms = boot_ms()
        doubtful = False
        while True:
            try:
                outcome = await self._store.commit(txn)
            except StoreRefusedError as exc:
                out_of_reach = self._contact.lost()
                tried_long = boot_ms() - begun_ms > REFUSED_MAX_MS
                if not doubtful and (out_of_reach or tried_long):
                    emit(log, Event.WRITE_REFUSED, row=key.key, detail=exc)
                    return StoreOutcome(Stored.REFUSED)
            except StoreUnansweredError as exc:
                # The same write again tells what became of this one.
                doubtful = True
                emit(log, Event.WRITE_UNANSWERED, row=key.key, detail=exc)
                if self._silent_since(begun_ms):
                    return StoreOutcome(Stored.UNKNOWN)
            except StoreError as exc:
                emit(log, Event.WRITE_REFUSED, row=key.key, detail=exc)
                return StoreOutcome(Stored.UNKNOWN if doubtful else Stored.REFUSED)
            else:
                return _outcome(outcome, key, doubtful)
            if boot_ms() + RETRY_S * 1000 >= give_up_ms:
                return StoreOutcome(Stored.UNKNOWN if doubtful else Stored.REFUSED)
            await asyncio.sleep(RETRY_S)

    def _silent_since(self, begun_ms: float) -> bool:
        """Tell whether the store has answered nothing since a write, for long enough."""
        silent = self._contact.answered_ms < begun_ms
        return silent and boot_ms() - begun_ms > SILENT_MAX_MS


def _outcome(outcome: RowsCommitted | RowsConflict, key: RowKey, doubtful: bool) -> StoreOutcome:
    if isinstance(outcome, RowsCommitted):
        return StoreOutcome(Stored.NEW, outcome.version)
    return StoreOutcome(Stored.NEW if doubtful else Stored.KNOWN, outcome.version_of(key))
