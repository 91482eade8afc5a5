"""Define the interface of the store of versioned rows that all instances share."""

from __future__ import annotations

from typing import Protocol

import attrs

from baobabhoist.errors import BaobabhoistError


class StoreError(BaobabhoistError):
    """Report that a call to the store failed."""


class StoreRefusedError(StoreError):
    """Report that the store refused a call, which had no effect."""


class StoreRejectedError(StoreError):
    """Report that the store will never accept a call, for example because a row is too large."""


class StoreUnansweredError(StoreError):
    """Report that a call got no response: it may have taken effect or may do so later."""


class HistoryLostError(StoreError):
    """Report that the store no longer has the changes since a version; read the table again."""


class BacklogTooLargeError(HistoryLostError):
    """Report that the changes since a version are too large; read the table again instead."""


@attrs.frozen
class RowKey:
    """Identify a row; only rows of the same `part` can change in one transaction."""

    table: str
    part: str
    key: str


@attrs.frozen
class StoredRow:
    """Hold a row at a version; `value` is None for a removed row."""

    key: RowKey
    value: bytes | None
    version: int


@attrs.frozen
class RowSet:
    """Hold the rows that one call returned; `now_ms` is the store's monotonic clock."""

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: int

    @property
    def size_bytes(self) -> int:
        """Return the size of all values."""
        return sum(len(row.value or b"") for row in self.rows)


@attrs.frozen
class RowTransaction:
    """Change rows of one part if all rows have their expected versions; 0 means absent."""

    expected_versions: dict[RowKey, int] = attrs.Factory(dict)
    puts: dict[RowKey, bytes] = attrs.Factory(dict)
    removes: tuple[RowKey, ...] = ()


@attrs.frozen
class RowsCommitted:
    """Report the new version of the written rows."""

    version: int
    now_ms: int


@attrs.frozen
class RowsConflict:
    """Report that nothing was written; `rows` holds the current state of the expected rows."""

    rows: tuple[StoredRow, ...]

    def version_of(self, key: RowKey) -> int:
        """Return the version of a row, or 0 if it is absent."""
        row = self._find(key)
        return row.version if row is not None and row.value is not None else 0

    def value_of(self, key: RowKey) -> bytes:
        """Return the value of a row, or an empty one if it is absent."""
        row = self._find(key)
        return (row.value if row is not None else None) or b""

    def _find(self, key: RowKey) -> StoredRow | None:
        return next((row for row in self.rows if row.key == key), None)


class RowStore(Protocol):
    """Read, poll and change rows; every method may raise StoreError."""

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Return the rows of a part with keys from `start` up to, not including, `end`."""

    async def poll_changes(
        self, table: str, after_version: int, wait_ms: int, max_bytes: int = 0
    ) -> RowSet:
        """Return the rows changed after a version, waiting up to `wait_ms` for a change.

        Raises BacklogTooLargeError if the values are much larger than `max_bytes`, unless that is
        0, and HistoryLostError if the store no longer has the changes.
        """

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction atomically."""
