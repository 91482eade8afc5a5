"""Define the versioned rows that instances share, whichever service keeps them."""

from __future__ import annotations

from typing import Protocol

import attrs

from baobabhoist.errors import BaobabhoistError


class StoreError(BaobabhoistError):
    """Report that the store gave no usable answer."""


class StoreRefusedError(StoreError):
    """Report a call that the store refused; nothing was done."""


class StoreUnansweredError(StoreError):
    """Report a call without an answer: it may have been done, or may be done later."""


class HistoryLostError(StoreError):
    """Report that the changes since a version are no longer known; read the table again."""


@attrs.frozen
class RowKey:
    """Name a row; rows of one `part` can change in one transaction."""

    table: str
    part: str
    key: str


@attrs.frozen
class StoredRow:
    """Hold a row as of a version; `value` is None for a removed row."""

    key: RowKey
    value: bytes | None
    version: int


@attrs.frozen
class RowSet:
    """Hold rows read at one moment; `now_ms` is the store's steady clock."""

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: int


@attrs.frozen
class RowTransaction:
    """Change rows of one part if every expected row still has its version; 0 means absent."""

    expected_versions: dict[RowKey, int] = attrs.Factory(dict)
    puts: dict[RowKey, bytes] = attrs.Factory(dict)
    removes: tuple[RowKey, ...] = ()


@attrs.frozen
class RowsCommitted:
    """Report the version that the written rows have now."""

    version: int
    now_ms: int


@attrs.frozen
class RowsConflict:
    """Report that nothing was written; `rows` are the expected rows as they are now."""

    rows: tuple[StoredRow, ...]

    def version_of(self, key: RowKey) -> int:
        """Return the version of a row, or 0 if it is absent."""
        return next((row.version for row in self.rows if row.key == key), 0)


class RowStore(Protocol):
    """Read, follow and change rows; every method may raise StoreError."""

    async def read(self, table: str, part: str = "", *, first: str = "", last: str = "") -> RowSet:
        """Return the rows of a part with keys from `first` up to, not including, `last`."""

    async def poll_changes(self, table: str, after_version: int, wait_ms: int) -> RowSet:
        """Return what changed after a version, waiting for a change if there is none yet."""

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction whole or not at all."""
