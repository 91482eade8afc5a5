"""Stand in for the platform's row store in one process, with outages and lost answers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import attrs

from baobabhoist.store.row_store import (
    HistoryLostError,
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowSet,
    RowTransaction,
    StoredRow,
    StoreRefusedError,
    StoreUnansweredError,
)


@attrs.define
class MemoryRows:
    """Keep rows in memory; `fail` decides for each transaction how it goes wrong, if at all."""

    rows: dict[RowKey, StoredRow] = attrs.Factory(dict)
    version: int = 1
    now_ms: int = 0
    down: bool = False
    history_from: int = 0
    log: list[StoredRow] = attrs.Factory(list)
    # Returns "", "refused", "lost" (done, not answered) or "late" (done by `deliver_late`).
    fail: Callable[[RowTransaction], str] = lambda txn: ""
    # Transactions wait for ever while this is set.
    hangs: bool = False
    late: list[RowTransaction] = attrs.Factory(list)
    commits: int = 0
    _ticks: itertools.count[int] = attrs.Factory(lambda: itertools.count(1))

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Return the rows of a part in a range of keys."""
        self._check_up()
        found = [
            row
            for key, row in self.rows.items()
            if (key.table, key.part) == (table, part)
            and key.key >= start
            and (not end or key.key < end)
        ]
        found.sort(key=lambda row: row.key.key)
        return RowSet(tuple(found), self.version, self._clock())

    async def poll_changes(self, table: str, after_version: int, wait_ms: int) -> RowSet:
        """Return what changed after a version, at once."""
        self._check_up()
        if after_version < self.history_from:
            raise HistoryLostError("the history was dropped")
        await asyncio.sleep(0)
        found = [r for r in self.log if r.key.table == table and r.version > after_version]
        return RowSet(tuple(found), self.version, self._clock())

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction, or fail in the way that was asked for."""
        self._check_up()
        self.commits += 1
        if self.hangs:
            await asyncio.Event().wait()
        how = self.fail(txn)
        if how == "refused":
            raise StoreRefusedError("the store is busy")
        if how == "late":
            self.late.append(txn)
            raise StoreUnansweredError("no answer")
        outcome = self.apply(txn)
        if how == "lost":
            raise StoreUnansweredError("no answer")
        return outcome

    def deliver_late(self) -> None:
        """Carry out what was held up."""
        held, self.late = self.late, []
        for txn in held:
            self.apply(txn)

    def apply(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction whole or not at all."""
        for key, expected in txn.expected_versions.items():
            held = self.rows.get(key)
            if (held.version if held is not None else 0) != expected:
                known = [self.rows[k] for k in txn.expected_versions if k in self.rows]
                return RowsConflict(tuple(known))
        self.version += 1
        for key, value in txn.puts.items():
            self._put(StoredRow(key, value, self.version))
        for key in txn.removes:
            self.rows.pop(key, None)
            self.log.append(StoredRow(key, None, self.version))
        return RowsCommitted(self.version, self._clock())

    def _put(self, row: StoredRow) -> None:
        self.rows[row.key] = row
        self.log.append(row)

    def _check_up(self) -> None:
        if self.down:
            raise StoreUnansweredError("the store is down")

    def _clock(self) -> int:
        return self.now_ms + next(self._ticks)
