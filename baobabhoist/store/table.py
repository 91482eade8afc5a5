"""Define the interface of the platform's transactional table."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

import attrs

from baobabhoist.errors import Refusal

T = TypeVar("T")


@attrs.frozen
class Row:
    """Hold one row; revision 0 means that the row is absent."""

    key: str
    revision: int
    value: Any


@attrs.frozen
class Transaction:
    """Write several rows atomically if all checked rows have their expected revisions."""

    checks: dict[str, int]
    writes: dict[str, Any]
    txn_id: str = attrs.Factory(lambda: uuid.uuid4().hex)


@attrs.frozen
class Committed:
    """Report the new revisions of the written rows."""

    revisions: dict[str, int]


async def call_with_timeout(timeout_s: float, call: Coroutine[Any, Any, T]) -> T:
    """Return the result of a call to the platform; raises TimeoutError after `timeout_s`.

    After a timeout the call continues in the background, because it cannot be undone.
    """
    task = asyncio.create_task(call)
    done, _ = await asyncio.wait((task,), timeout=max(0.0, timeout_s))
    if done:
        return task.result()
    # Retrieves a late exception, which asyncio would otherwise log as never retrieved.
    task.add_done_callback(lambda finished: finished.cancelled() or finished.exception())
    raise TimeoutError("the platform did not answer in time")


class Table(Protocol):
    """Read and write rows; every method raises PlatformError when the table is unavailable."""

    async def read(self, key: str) -> Row:
        """Return a row; its revision is 0 if it is absent."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return the rows with a prefix in key order, starting after the key `after`."""

    async def commit(self, txn: Transaction) -> Committed | Refusal:
        """Commit a transaction or return a conflict; a lost response is looked up by id."""


class CommitNotifyingTable:
    """Call back after each commit through this table that writes a certain row."""

    def __init__(self, table: Table, key: str, on_commit: Callable[[], None]) -> None:
        self._table = table
        self._key = key
        self._on_commit = on_commit

    async def read(self, key: str) -> Row:
        """Return a row; its revision is 0 if it is absent."""
        return await self._table.read(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return the rows with a prefix in key order, starting after the key `after`."""
        return await self._table.scan(prefix, after, limit)

    async def commit(self, txn: Transaction) -> Committed | Refusal:
        """Commit a transaction, or return a conflict."""
        outcome = await self._table.commit(txn)
        if isinstance(outcome, Committed) and self._key in txn.writes:
            self._on_commit()
        return outcome
