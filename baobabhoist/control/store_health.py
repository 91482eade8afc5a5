"""Watch a store's answers: whether it can be reached, and how long it takes."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import attrs

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.store.rows import (
    HistoryLostError,
    Rows,
    RowsCommitted,
    RowsConflict,
    RowStore,
    RowsTxn,
    StoreError,
    StoreRefusedError,
)

T = TypeVar("T")


@attrs.define
class StoreHealth:
    """Hold when the store last answered and last failed to, on the local clock in ms."""

    last_answer_ms: float = -1e12
    last_failure_ms: float = -1e12

    def is_unreachable(self) -> bool:
        """Tell whether the last call had no use: the next one would most likely fail too."""
        return self.last_failure_ms > self.last_answer_ms

    def is_unreachable_for(self, ms: float) -> bool:
        """Tell whether the store has been out of reach for a time."""
        return self.is_unreachable() and monotonic_ms() - self.last_answer_ms > ms


class MonitoredStore:
    """Pass calls to a store, and note how each one went."""

    def __init__(self, store: RowStore, metrics: NodeMetrics) -> None:
        self.health = StoreHealth()
        self._store = store
        self._metrics = metrics

    async def read(self, table: str, part: str = "", *, first: str = "", last: str = "") -> Rows:
        """Return the rows of a part in a range of keys."""
        return await self._watch("read", self._store.read(table, part, first=first, last=last))

    async def follow(self, table: str, after_version: int, wait_ms: int) -> Rows:
        """Return what changed after a version."""
        return await self._watch("follow", self._store.follow(table, after_version, wait_ms))

    async def commit(self, txn: RowsTxn) -> RowsCommitted | RowsConflict:
        """Apply a transaction."""
        return await self._watch("commit", self._store.commit(txn))

    async def _watch(self, call: str, answer: Awaitable[T]) -> T:
        began_ms = monotonic_ms()
        outcome = "ok"
        try:
            result = await answer
        except HistoryLostError:
            outcome = "history_lost"
            self.health.last_answer_ms = monotonic_ms()
            raise
        except StoreError as exc:
            outcome = "refused" if isinstance(exc, StoreRefusedError) else "unanswered"
            # A call that was answered since this one was sent says more about the store.
            if self.health.last_answer_ms < began_ms:
                self.health.last_failure_ms = monotonic_ms()
            raise
        else:
            self.health.last_answer_ms = monotonic_ms()
            return result
        finally:
            self._metrics.observe_store_call(call, outcome, (monotonic_ms() - began_ms) / 1000)
