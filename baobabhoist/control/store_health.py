"""Track whether the store can be reached, and measure how long its calls take."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import attrs

from baobabhoist.control.clock import monotonic_ms
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
    StoreRejectedError,
)

T = TypeVar("T")

# The store counts as stable if no call failed for this long.
STABLE_AFTER_MS = 3_000.0
# Longest write of a store that is fast enough for a takeover.
MAX_STABLE_COMMIT_MS = 500.0


@attrs.define
class StoreHealth:
    """Hold when the store last answered and when a call last failed, on the local clock.

    `last_commit_took_ms` is the duration of the last write that was answered, at `last_commit_ms`.
    """

    last_answer_ms: float = -1e12
    last_failure_ms: float = -1e12
    last_commit_ms: float = -1e12
    last_commit_took_ms: float = 0.0

    def is_unreachable(self) -> bool:
        """Return whether the last call failed, in which case the next will probably fail too."""
        return self.last_failure_ms > self.last_answer_ms

    def is_unreachable_for(self, ms: float) -> bool:
        """Return whether the store has been unreachable for more than a number of ms."""
        return self.is_unreachable() and monotonic_ms() - self.last_answer_ms > ms

    def is_stable(self) -> bool:
        """Return whether the store answers quickly and no call has failed for some time."""
        since_ms = monotonic_ms() - STABLE_AFTER_MS
        is_answering = self.last_answer_ms > since_ms and self.last_failure_ms < since_ms
        is_slow = self.last_commit_took_ms >= MAX_STABLE_COMMIT_MS
        return is_answering and not (is_slow and self.last_commit_ms > since_ms)


class MonitoredStore:
    """Forward calls to a store, and record the outcome and duration of each."""

    def __init__(self, store: RowStore, metrics: NodeMetrics) -> None:
        self.health = StoreHealth()
        self._store = store
        self._metrics = metrics

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Return the rows of a partition in a range of keys."""
        answer = self._store.read(table, part, start=start, end=end)
        return self._count_bytes(table, await self._measure("read", answer))

    async def poll_changes(
        self, table: str, after_version: int, wait_ms: int, max_bytes: int = 0
    ) -> RowSet:
        """Return the rows of a table that changed after a version."""
        answer = self._store.poll_changes(table, after_version, wait_ms, max_bytes)
        return self._count_bytes(table, await self._measure("follow", answer))

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction."""
        start_ms = monotonic_ms()
        outcome = await self._measure("commit", self._store.commit(txn))
        self.health.last_commit_ms = monotonic_ms()
        self.health.last_commit_took_ms = self.health.last_commit_ms - start_ms
        return outcome

    def _count_bytes(self, table: str, rows: RowSet) -> RowSet:
        self._metrics.count_read_bytes(table, rows.size_bytes)
        return rows

    async def _measure(self, call: str, answer: Awaitable[T]) -> T:
        start_ms = monotonic_ms()
        outcome = "cancelled"
        try:
            result = await answer
        except (HistoryLostError, StoreRejectedError) as exc:
            # The call fails, but the store answers.
            outcome = "history_lost" if isinstance(exc, HistoryLostError) else "rejected"
            self.health.last_answer_ms = monotonic_ms()
            raise
        except StoreError as exc:
            outcome = "refused" if isinstance(exc, StoreRefusedError) else "unanswered"
            # An answer that arrived after this call was sent says more about the store.
            if self.health.last_answer_ms < start_ms:
                self.health.last_failure_ms = monotonic_ms()
            raise
        else:
            outcome = "ok"
            self.health.last_answer_ms = monotonic_ms()
            return result
        finally:
            self._metrics.observe_store_call(call, outcome, (monotonic_ms() - start_ms) / 1000)
