"""Provide an in-memory row store that can inject outages, lost replies and late commits."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import attrs

from baobabhoist.store.row_store import (
    BacklogTooLargeError,
    HistoryLostError,
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowSet,
    RowTransaction,
    StoredRow,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnansweredError,
)


@attrs.define
class MemoryRowStore:
    """Keep rows in memory; `choose_failure` may inject a failure into each transaction."""

    rows: dict[RowKey, StoredRow] = attrs.Factory(dict)
    version: int = 1
    now_ms: int = 0
    is_down: bool = False
    history_start_version: int = 0
    history: list[StoredRow] = attrs.Factory(list)
    # Returns "" for no failure, "refused", "rejected", "lost" (applied, but the reply is lost) or
    # "late" (the reply is lost, and `apply_delayed` applies the transaction).
    choose_failure: Callable[[RowTransaction], str] = lambda txn: ""
    # The longest value of a row, and the longest values of a call together.
    row_max_bytes: int = 65_536
    call_max_bytes: int = 750_000
    # While this is set, commits never return.
    commits_hang: bool = False
    delayed: list[RowTransaction] = attrs.Factory(list)
    commit_count: int = 0
    _ticks: itertools.count[int] = attrs.Factory(lambda: itertools.count(1))

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Return the rows of a part with keys from `start` up to, not including, `end`."""
        self._raise_if_down()
        matching = [
            row
            for key, row in self.rows.items()
            if (key.table, key.part) == (table, part)
            and key.key >= start
            and (not end or key.key < end)
        ]
        matching.sort(key=lambda row: row.key.key)
        return RowSet(tuple(matching), self.version, self._advance_clock())

    async def poll_changes(
        self, table: str, after_version: int, wait_ms: int, max_bytes: int = 0
    ) -> RowSet:
        """Return what changed after a version, without waiting for a change."""
        self._raise_if_down()
        if after_version < self.history_start_version:
            raise HistoryLostError("the change history was truncated")
        await asyncio.sleep(0)
        matching = [r for r in self.history if r.key.table == table and r.version > after_version]
        changes = RowSet(tuple(matching), self.version, self._advance_clock())
        if max_bytes and changes.size_bytes > max_bytes:
            raise BacklogTooLargeError("the changes are too large")
        return changes

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction, or fail as `choose_failure` decides."""
        self._raise_if_down()
        self.commit_count += 1
        if self.commits_hang:
            await asyncio.Event().wait()
        sizes = [len(value) for value in txn.puts.values()]
        if max(sizes, default=0) > self.row_max_bytes or sum(sizes) > self.call_max_bytes:
            raise StoreRejectedError("the values are too large")
        failure = self.choose_failure(txn)
        if failure == "rejected":
            raise StoreRejectedError("the store does not accept the row")
        if failure == "refused":
            raise StoreRefusedError("the store is busy")
        if failure == "late":
            self.delayed.append(txn)
            raise StoreUnansweredError("the store did not answer")
        outcome = self.apply(txn)
        if failure == "lost":
            raise StoreUnansweredError("the store did not answer")
        return outcome

    def apply_delayed(self) -> None:
        """Apply the delayed transactions."""
        delayed, self.delayed = self.delayed, []
        for txn in delayed:
            self.apply(txn)

    def apply(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction atomically."""
        for key, expected_version in txn.expected_versions.items():
            row = self.rows.get(key)
            if (row.version if row is not None else 0) != expected_version:
                current = [self.rows[k] for k in txn.expected_versions if k in self.rows]
                return RowsConflict(tuple(current))
        self.version += 1
        for key, value in txn.puts.items():
            self._put_row(StoredRow(key, value, self.version))
        for key in txn.removes:
            self.rows.pop(key, None)
            self.history.append(StoredRow(key, None, self.version))
        return RowsCommitted(self.version, self._advance_clock())

    def _put_row(self, row: StoredRow) -> None:
        self.rows[row.key] = row
        self.history.append(row)

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise StoreUnansweredError("the store is unavailable")

    def _advance_clock(self) -> int:
        return self.now_ms + next(self._ticks)
