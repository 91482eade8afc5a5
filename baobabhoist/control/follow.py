"""Follow a table: read it once, then take its changes as they come."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence

from baobabhoist.control.clock import SharedClock, boot_ms
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.row_store import HistoryLostError, RowSet, RowStore, StoredRow, StoreError

log = logging.getLogger(__name__)

RETRY_S = 0.15
# Long polls are this short, so that each answer shows that the last reading is still current.
WAIT_MS = 1_000

OnRows = Callable[[Sequence[StoredRow], bool], None]


class TableFollower:
    """Own the reading of one table.

    `on_rows` gets rows and whether they are the whole table. `confirmed_ms` is when the last
    answered question was asked, on the local clock. The table is not read where its rows up to
    `known_version` are known already.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        on_rows: OnRows,
        clock: SharedClock,
        *,
        parts: Iterable[str] = ("",),
        pause_s: Callable[[], float] = lambda: 0.0,
        on_confirmed: Callable[[float], None] | None = None,
        known_version: int = 0,
    ) -> None:
        self.confirmed_ms = -1e12
        self.version = known_version
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._clock = clock
        self._parts = tuple(parts)
        self._pause_s = pause_s
        self._on_confirmed = on_confirmed
        self._connected = False
        self._hurry = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        loaded = self.version > 0
        while True:
            try:
                if not loaded:
                    await self.load()
                    loaded = True
                await self._poll()
            except HistoryLostError:
                emit(log, Event.HISTORY_LOST, table=self._table, version=self.version)
                loaded = False
            except StoreError as exc:
                self._note_lost(exc)
                await asyncio.sleep(RETRY_S)

    async def load(self) -> None:
        """Read the whole table; raises StoreError."""
        asked_ms = boot_ms()
        read = (self._store.read(self._table, part) for part in self._parts)
        found: list[RowSet] = await asyncio.gather(*read)
        # Changes after the oldest reading are read again by the first poll.
        self.version = min(rows.version for rows in found)
        self._on_rows([row for rows in found for row in rows.rows], True)
        self._confirm(found[-1], asked_ms)

    async def _poll(self) -> None:
        asked_ms = boot_ms()
        changes = await self._store.poll_changes(self._table, self.version, WAIT_MS)
        self.version = max(self.version, changes.version)
        if changes.rows:
            self._on_rows(changes.rows, False)
        self._confirm(changes, asked_ms)
        await self._pause()

    async def _pause(self) -> None:
        """Wait between two polls, unless somebody is in a hurry."""
        pause_s = self._pause_s()
        if pause_s <= 0.0:
            return
        try:
            async with asyncio.timeout(pause_s):
                await self._hurry.wait()
        except TimeoutError:
            return
        self._hurry.clear()

    def hurry(self) -> None:
        """Ask again now instead of after the pause."""
        self._hurry.set()

    def _confirm(self, rows: RowSet, asked_ms: float) -> None:
        self._clock.heard(rows.now_ms)
        self.confirmed_ms = asked_ms
        if not self._connected:
            self._connected = True
            emit(log, Event.TABLE_FOLLOWED, table=self._table, version=self.version)
        if self._on_confirmed is not None:
            self._on_confirmed(asked_ms)

    def _note_lost(self, exc: StoreError) -> None:
        if self._connected:
            self._connected = False
            emit(log, Event.TABLE_LOST, table=self._table, version=self.version, detail=exc)
