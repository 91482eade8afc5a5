"""Keep the records up to date: pull the change log, push to peers and load from them."""

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
    LOG_HEAD,
    LOG_PREFIX,
    RECORD_PREFIX,
    log_key,
    record_of,
)
from baobabhoist.records.view import Record, RecordView
from baobabhoist.store.table import Table

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5
# An instance that does not poll for its data centre still looks now and then, in case the
# one that does has failed in a way that its heartbeats do not show.
LAZY_POLL_INTERVAL_S = 5.0
PAGE = 1000
KEPT_ENTRIES = 2000
PEER_CALL_S = 2.0


class Peers(Protocol):
    """Send to the other instances."""

    async def call(self, instance_id: str, message: Any, timeout_s: float) -> Any:
        """Call a peer; raises LinkClosedError or TimeoutError."""

    async def broadcast(self, message: Any, data_centre: str | None = None) -> None:
        """Send a message to every connected peer, or to those of one data centre."""


def encode(record: Record) -> bytes:
    """Return a record as JSON, the form in which the table has it."""
    return orjson.dumps(attrs.asdict(record))


def decode(data: bytes) -> Record:
    """Return the record in JSON, without fields that only a later release knows."""
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
        self._recent: deque[Record] = deque(maxlen=KEPT_ENTRIES)
        self._wake = asyncio.Event()
        self._pulling = False

    async def run(self) -> None:
        """Poll the change log until cancelled."""
        while True:
            try:
                await self.pull()
            except PlatformError as exc:
                emit(log, Event.PLATFORM_DOWN, detail=exc)
            self._wake.clear()
            lazy = self.loaded.is_set() and not self.is_poller()
            try:
                async with asyncio.timeout(LAZY_POLL_INTERVAL_S if lazy else POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def cut_off_s(self) -> float:
        """Return for how many seconds no answer of the platform confirmed the records."""
        return max(0.0, self._clock() - self._confirmed_at)

    def pull_soon(self) -> None:
        """Pull now, because a change was accepted."""
        self._wake.set()

    async def pull(self) -> None:
        """Apply the entries of the change log behind the revision in force."""
        if self._view.revision == 0:
            await self._load()
        applied: list[Record] = []
        while True:
            rows = await self._table.scan(LOG_PREFIX, log_key(self._view.revision), PAGE)
            applied += self._apply([record_of(row) for row in rows])
            if len(rows) < PAGE:
                break
        self._confirm(self._clock())
        self._set_loaded()
        if applied:
            await self._push(applied)

    async def _load(self) -> None:
        """Load the rows of all records as of the head of the log, not its whole history."""
        head = int((await self._table.read(LOG_HEAD)).value or 0)
        records: list[Record] = []
        after = ""
        while head:
            rows = await self._table.scan(RECORD_PREFIX, after, PAGE)
            records += [record_of(row) for row in rows]
            if len(rows) < PAGE:
                break
            after = rows[-1].key
        # Later versions come with the log, in order.
        kept = [record for record in records if record.revision <= head]
        if head and self._view.restore([r for r in kept if r.body is not None], head):
            emit(log, Event.RECORDS_LOADED, revision=head)
            self._announce()

    async def heard(self, instance_id: str, revision: int, platform_age_s: float) -> None:
        """Take a peer's revision and for how long it has been cut off from the platform."""
        self._confirm(self._clock() - platform_age_s, revision)
        if revision <= self._view.revision or self._pulling or self.peers is None:
            return
        self._pulling = True
        try:
            reply = await self.peers.call(
                instance_id, RecordEntriesRequest(self._view.revision), PEER_CALL_S
            )
            await self.receive(reply)
        except (LinkClosedError, TimeoutError):
            log.info("instance %s did not send its records", instance_id)
        finally:
            self._pulling = False

    async def receive(self, message: Any) -> RecordEntries | RecordSnapshot | None:
        """Take a message about records and return the reply to a pull."""
        match message:
            case RecordEntriesRequest(after):
                return self._reply(after)
            case RecordEntries(_, entries):
                applied = self._apply([decode(entry) for entry in entries])
                if applied:
                    self._set_loaded()
            case RecordSnapshot(revision, records):
                if self._view.restore([decode(record) for record in records], revision):
                    emit(log, Event.RECORDS_LOADED, revision=revision)
                    self._recent.clear()
                    self._set_loaded()
                    self._announce()
        return None

    def _apply(self, records: list[Record]) -> list[Record]:
        """Apply the records that continue the log without a gap, and return them.

        An entry behind a gap would hide the missing one for good; the next pull brings both.
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
            self._announce()
        return applied

    def _announce(self) -> None:
        self.changed.set()

    def _set_loaded(self) -> None:
        if not self.loaded.is_set():
            emit(log, Event.DAEMON_READY)
            self.loaded.set()

    def _confirm(self, at: float, revision: int | None = None) -> None:
        """Note that the platform had no later record at a time."""
        if revision is None or revision <= self._view.revision:
            self._confirmed_at = max(self._confirmed_at, at)

    def _reply(self, after: int) -> RecordEntries | RecordSnapshot:
        entries = [record for record in self._recent if record.revision > after]
        if entries and entries[0].revision == after + 1:
            return RecordEntries(self._instance_id, tuple(map(encode, entries)))
        records = tuple(encode(record) for record in self._view.snapshot())
        return RecordSnapshot(self._view.revision, records)

    async def _push(self, records: list[Record]) -> None:
        if self.peers is not None:
            message = RecordEntries(self._instance_id, tuple(map(encode, records)))
            await self.peers.broadcast(message, self._data_centre)
