"""Synchronise the records: pull the change log, push changes to peers and pull from peers."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import orjson

from baobabhoist.errors import LinkClosedError, PlatformError
from baobabhoist.observability.events import Event, emit
from baobabhoist.peer.messages import RecordEntries, RecordEntriesRequest, RecordSnapshot
from baobabhoist.records.changes import (
    LOG_HEAD_KEY,
    LOG_PREFIX,
    RECORD_PREFIX,
    log_key,
    record_from_row,
)
from baobabhoist.records.view import Record, RecordView
from baobabhoist.store.table import Table

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5
# Instances other than the poller of a data centre poll at this interval, in case the poller has
# failed in a way that its heartbeats do not show.
STANDBY_POLL_INTERVAL_S = 5.0
SCAN_PAGE_ROWS = 1000
MAX_RECENT_ENTRIES = 2000
PEER_CALL_TIMEOUT_S = 2.0


class Peers(Protocol):
    """Send messages to the other instances."""

    async def call(self, instance_id: str, message: Any, timeout_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""

    async def broadcast(self, message: Any, data_centre: str | None = None) -> None:
        """Send a message to every connected peer, or to those of one data centre."""


def encode_record(record: Record) -> bytes:
    """Encode a record as JSON, as it is stored in the table."""
    return orjson.dumps(attrs.asdict(record))


def decode_record(data: bytes) -> Record:
    """Decode a record from JSON, and ignore unknown fields, which later releases may add."""
    known = {field.name for field in attrs.fields(Record)}
    return Record(**{name: value for name, value in orjson.loads(data).items() if name in known})


class RecordSync:
    """Keep the view of records up to date."""

    def __init__(
        self,
        view: RecordView,
        table: Table,
        instance_id: str = "",
        data_centre: str = "",
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.loaded = asyncio.Event()
        self.changed = asyncio.Event()
        self.peers: Peers | None = None
        self.is_poller: Callable[[], bool] = lambda: True
        self._view = view
        self._table = table
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._clock = clock
        self._confirmed_at = clock()
        self._recent: deque[Record] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._wake = asyncio.Event()
        self._is_pulling = False

    async def run(self) -> None:
        """Poll the change log until cancelled."""
        while True:
            try:
                await self.pull()
            except PlatformError as exc:
                emit(log, Event.PLATFORM_DOWN, detail=exc)
            self._wake.clear()
            is_standby = self.loaded.is_set() and not self.is_poller()
            try:
                async with asyncio.timeout(
                    STANDBY_POLL_INTERVAL_S if is_standby else POLL_INTERVAL_S
                ):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def cut_off_s(self) -> float:
        """Return the seconds since the platform last confirmed that the records are current."""
        return max(0.0, self._clock() - self._confirmed_at)

    def request_pull(self) -> None:
        """Pull at once instead of at the next interval, because a change was committed."""
        self._wake.set()

    async def pull(self) -> None:
        """Apply the entries of the change log that follow the current revision."""
        if self._view.revision == 0:
            await self._load()
        applied: list[Record] = []
        while True:
            rows = await self._table.scan(LOG_PREFIX, log_key(self._view.revision), SCAN_PAGE_ROWS)
            applied += self._apply([record_from_row(row) for row in rows])
            if len(rows) < SCAN_PAGE_ROWS:
                break
        self._note_confirmed(self._clock())
        self._set_loaded()
        if applied:
            await self._push_to_peers(applied)

    async def _load(self) -> None:
        """Load the rows of all records as of the head of the log, instead of its whole history."""
        head = int((await self._table.read(LOG_HEAD_KEY)).value or 0)
        records: list[Record] = []
        after = ""
        while head:
            rows = await self._table.scan(RECORD_PREFIX, after, SCAN_PAGE_ROWS)
            records += [record_from_row(row) for row in rows]
            if len(rows) < SCAN_PAGE_ROWS:
                break
            after = rows[-1].key
        # Versions after the head follow with the log, in order.
        up_to_head = [record for record in records if record.revision <= head]
        if head and self._view.restore([r for r in up_to_head if r.body is not None], head):
            emit(log, Event.RECORDS_LOADED, revision=head)
            self._notify_changed()

    async def on_peer_revision(
        self, instance_id: str, revision: int, platform_age_s: float
    ) -> None:
        """Handle a peer's revision and the time for which it has been cut off from the platform.

        A newer revision is pulled from the peer.
        """
        self._note_confirmed(self._clock() - platform_age_s, revision)
        if revision <= self._view.revision or self._is_pulling or self.peers is None:
            return
        self._is_pulling = True
        try:
            reply = await self.peers.call(
                instance_id, RecordEntriesRequest(self._view.revision), PEER_CALL_TIMEOUT_S
            )
            await self.receive(reply)
        except (LinkClosedError, TimeoutError):
            log.info("instance %s did not answer the pull of its records", instance_id)
        finally:
            self._is_pulling = False

    async def receive(self, message: Any) -> RecordEntries | RecordSnapshot | None:
        """Handle a message about records, and return the reply to a pull."""
        match message:
            case RecordEntriesRequest(after):
                return self._build_pull_reply(after)
            case RecordEntries(_, entries):
                applied = self._apply([decode_record(entry) for entry in entries])
                if applied:
                    self._set_loaded()
            case RecordSnapshot(revision, records):
                if self._view.restore([decode_record(record) for record in records], revision):
                    emit(log, Event.RECORDS_LOADED, revision=revision)
                    self._recent.clear()
                    self._set_loaded()
                    self._notify_changed()
        return None

    def _apply(self, records: list[Record]) -> list[Record]:
        """Apply the records that continue the log without a gap, and return them.

        An entry after a gap would hide the missing ones for good. The next pull fetches them all.
        """
        applied = []
        for record in records:
            if record.revision == self._view.revision + 1 and self._view.apply(record):
                applied.append(record)
                self._recent.append(record)
                emit(
                    log,
                    Event.RECORD_APPLIED,
                    kind=record.kind,
                    name=record.name,
                    revision=record.revision,
                )
        if applied:
            self._notify_changed()
        return applied

    def _notify_changed(self) -> None:
        self.changed.set()

    def _set_loaded(self) -> None:
        if not self.loaded.is_set():
            emit(log, Event.DAEMON_READY)
            self.loaded.set()

    def _note_confirmed(self, at: float, revision: int | None = None) -> None:
        """Record a time at which the platform had no later record than a revision.

        Without `revision`, that is the one in force here, which the table itself confirmed.
        """
        if revision is None or revision <= self._view.revision:
            self._confirmed_at = max(self._confirmed_at, at)

    def _build_pull_reply(self, after: int) -> RecordEntries | RecordSnapshot:
        entries = [record for record in self._recent if record.revision > after]
        if entries and entries[0].revision == after + 1:
            return RecordEntries(self._instance_id, tuple(map(encode_record, entries)))
        records = tuple(encode_record(record) for record in self._view.snapshot())
        return RecordSnapshot(self._view.revision, records)

    async def _push_to_peers(self, records: list[Record]) -> None:
        if self.peers is not None:
            message = RecordEntries(self._instance_id, tuple(map(encode_record, records)))
            await self.peers.broadcast(message, self._data_centre)
