"""Watch a store's answers: whether it can be reached, and how long it takes."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import attrs

from baobabhoist.control.clock import boot_ms
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.store.row_store import (
    HistoryLostError,
    RowsCommitted,
    RowsConflict,
    RowSet,
    RowStore,
    RowTransaction,
    StoreError,
    StoreRefusedError,
)

T = TypeVar("T")


@attrs.define
class Contact:
    """Hold when the store last answered and last failed to, on the local clock in ms."""

    answered_ms: float = -1e12
    failed_ms: float = -1e12

    def lost(self) -> bool:
        """Tell whether the last call had no use: the next one would most likely fail too."""
        return self.failed_ms > self.answered_ms

    def lost_for(self, ms: float) -> bool:
        """Tell whether the store has been out of reach for a time."""
        return self.lost() and boot_ms() - self.answered_ms > ms


class WatchedStore:
    """Pass calls to a store, and note how each one went."""

    def __init__(self, store: RowStore, metrics: NodeMetrics) -> None:
        self.contact = Contact()
        self._store = store
        self._metrics = metrics

    async def read(self, table: str, part: str = "", *, first: str = "", last: str = "") -> RowSet:
        """Return the rows of a part in a range of keys."""
        return await self._watch("read", self._store.read(table, part, first=first, last=last))

    async def poll_changes(self, table: str, after_version: int, wait_ms: int) -> RowSet:
        """Return what changed after a version."""
        return await self._watch("follow", self._store.poll_changes(table, after_version, wait_ms))

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction."""
        return await self._watch("commit", self._store.commit(txn))

    async def _watch(self, call: str, answer: Awaitable[T]) -> T:
        began_ms = boot_ms()
        outcome = "ok"
        try:
            result = await answer
        except HistoryLostError:
            outcome = "history_lost"
            self.contact.answered_ms = boot_ms()
            raise
        except StoreError as exc:
            outcome = "refused" if isinstance(exc, StoreRefusedError) else "unanswered"
            # A call that was answered since this one was sent says more about the store.
            if self.contact.answered_ms < began_ms:
                self.contact.failed_ms = boot_ms()
            raise
        else:
            self.contact.answered_ms = boot_ms()
            return result
        finally:
            self._metrics.store_called(call, outcome, (boot_ms() - began_ms) / 1000)
