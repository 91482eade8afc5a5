"""Pull the change log and apply records."""

from __future__ import annotations

import asyncio
import logging

from baobabhoist.errors import PlatformError
from baobabhoist.platform.table import Table
from baobabhoist.records.changes import LOG_PREFIX, log_key, record_of
from baobabhoist.records.view import RecordView

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5


class RecordSync:
    """Keep the view of records up to date."""

    def __init__(self, view: RecordView, table: Table) -> None:
        self._view = view
        self._table = table
        self.loaded = asyncio.Event()

    async def run(self) -> None:
        """Poll the change log until cancelled."""
        while True:
            try:
                await self.pull()
                self.loaded.set()
            except PlatformError as exc:
                log.warning("cannot read the change log: %s", exc)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def pull(self) -> None:
        """Apply the entries of the change log behind the revision in force."""
        rows = await self._table.scan(LOG_PREFIX, after=log_key(self._view.revision))
        for row in rows:
            self._view.apply(record_of(row))
