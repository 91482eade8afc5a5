"""Relay store calls through another instance while this one cannot reach the store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any
from weakref import ReferenceType, WeakKeyDictionary, ref

import attrs

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.messages import (
    RelayCommit,
    RelayedCommit,
    RelayedRows,
    RelayFailed,
    RelayFollow,
    RelayRead,
    WireRow,
)
from baobabhoist.control.store_health import MonitoredStore
from baobabhoist.errors import LinkClosedError, MessageNotSentError
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import create_logged_task
from baobabhoist.peer.link import Link
from baobabhoist.store.row_store import (
    HistoryLostError,
    RowKey,
    RowsCommitted,
    RowsConflict,
    RowSet,
    RowTransaction,
    StoredRow,
    StoreError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnansweredError,
)

log = logging.getLogger(__name__)

# Number of instances that are tried before a call fails.
MAX_PEERS_TRIED = 5
CALL_TIMEOUT_S = 0.6
# Interval of the direct probes of an unreachable store.
PROBE_INTERVAL_S = 0.25
# A table with few rows, so that a probe is cheap.
PROBE_TABLE = "cell"
# A peer that did not answer, or cannot reach the store either, is not tried for this long.
PEER_BACKOFF_MS = 1_500.0
# A relayed call may be forwarded once more: by the owner, if it cannot reach the store either.
MAX_HOPS = 1

_ERROR_TYPES: dict[str, type[StoreError]] = {
    "refused": StoreRefusedError,
    "rejected": StoreRejectedError,
    "unanswered": StoreUnansweredError,
    "history_lost": HistoryLostError,
}


class RelayPeers:
    """Choose links for relayed calls: the last successful one first, failed ones after a pause."""

    def __init__(self, links: Callable[[], list[Link]]) -> None:
        self._links = links
        self._unusable_until_ms: WeakKeyDictionary[Link, float] = WeakKeyDictionary()
        self._last_served: ReferenceType[Link] | None = None

    def usable_links(self) -> list[Link]:
        """Return the links to try, in order."""
        now = monotonic_ms()
        usable = [k for k in self._links() if self._unusable_until_ms.get(k, 0.0) < now]
        last_served = self._last_served() if self._last_served is not None else None
        usable.sort(key=lambda link: link is not last_served)
        return usable[:MAX_PEERS_TRIED]

    def mark_served(self, link: Link) -> None:
        """Prefer this peer from now on."""
        self._last_served = ref(link)

    def mark_unusable(self, link: Link) -> None:
        """Skip this peer for PEER_BACKOFF_MS."""
        self._unusable_until_ms[link] = monotonic_ms() + PEER_BACKOFF_MS


class FailoverStore:
    """Forward calls to the store while it answers, and otherwise to a peer that reaches it."""

    def __init__(self, direct: MonitoredStore, peers: RelayPeers) -> None:
        self.direct = direct
        self._peers = peers
        self._is_probing = False
        self._probe_tasks: set[asyncio.Task[None]] = set()

    async def read(self, table: str, part: str = "", *, start: str = "", end: str = "") -> RowSet:
        """Return the rows of a partition in a range of keys."""
        if self._use_direct():
            return await self.direct.read(table, part, start=start, end=end)
        message = RelayRead(table, part, start, end)
        return _to_rows(await self._relay(message, _reply_timeout_s(message)))

    async def poll_changes(
        self, table: str, after_version: int, wait_ms: int, max_bytes: int = 0
    ) -> RowSet:
        """Return the rows of a table that changed after a version."""
        if self._use_direct():
            return await self.direct.poll_changes(table, after_version, wait_ms, max_bytes)
        message = RelayFollow(table, after_version, wait_ms, max_bytes=max_bytes)
        return _to_rows(await self._relay(message, _reply_timeout_s(message)))

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction."""
        if not self.direct.health.is_unreachable():
            try:
                return await self.direct.commit(txn)
            except StoreRefusedError:
                if not self.direct.health.is_unreachable():
                    raise
        self._probe()
        message = _to_relay_commit(txn)
        return _to_commit_outcome(await self._relay(message, _reply_timeout_s(message)))

    async def serve(self, message: Any) -> Any:
        """Execute a call that another instance relayed."""
        try:
            if not self.direct.health.is_unreachable():
                return await self._serve_directly(message)
            self._probe()
            if message.hops >= MAX_HOPS:
                raise StoreRefusedError("this instance cannot reach the store")
            forwarded = attrs.evolve(message, hops=message.hops + 1)
            return await self._relay(forwarded, _reply_timeout_s(forwarded))
        except StoreError as exc:
            kind = next((k for k, v in _ERROR_TYPES.items() if isinstance(exc, v)), "refused")
            return RelayFailed(kind, str(exc))

    async def _serve_directly(self, message: Any) -> Any:
        if isinstance(message, RelayCommit):
            return _to_relayed_commit(await self.direct.commit(_to_txn(message)))
        try:
            async with asyncio.timeout(_reply_timeout_s(message)):
                rows = await self._read_directly(message)
        except TimeoutError as exc:
            raise StoreUnansweredError("the caller waits no longer for the rows") from exc
        return RelayedRows(tuple(map(_to_wire_row, rows.rows)), rows.version, rows.now_ms)

    async def _read_directly(self, message: RelayRead | RelayFollow) -> RowSet:
        if isinstance(message, RelayRead):
            return await self.direct.read(
                message.table, message.part, start=message.first, end=message.last
            )
        return await self.direct.poll_changes(
            message.table, message.after, message.wait_ms, message.max_bytes
        )

    def _use_direct(self) -> bool:
        """Return whether to call the store directly: while it answers, or if no peer is usable."""
        if not self.direct.health.is_unreachable():
            return True
        self._probe()
        return not self._peers.usable_links()

    def _probe(self) -> None:
        """Probe in the background, now and at intervals, until the store answers again."""
        if self._is_probing:
            return
        self._is_probing = True
        # A new probe does not wait for earlier ones, whose connections may be dead.
        task = create_logged_task(self._probe_once())
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)
        asyncio.get_running_loop().call_later(PROBE_INTERVAL_S, self._probe_again)

    def _probe_again(self) -> None:
        self._is_probing = False
        if self.direct.health.is_unreachable():
            self._probe()

    async def _probe_once(self) -> None:
        try:
            await self.direct.read(PROBE_TABLE)
        except StoreError as exc:
            log.debug("the store is still unreachable: %s", exc)

    async def _relay(self, message: Any, timeout_s: float) -> Any:
        """Return the answer of the first peer that serves a call; raises StoreError."""
        timed_out = False
        for link in self._peers.usable_links():
            try:
                reply = await link.call(message, timeout_s)
            except MessageNotSentError:
                continue
            except (LinkClosedError, TimeoutError) as exc:
                timed_out = timed_out or isinstance(exc, TimeoutError)
                self._peers.mark_unusable(link)
                if isinstance(message, RelayCommit):
                    raise StoreUnansweredError(f"the relaying peer did not answer: {exc}") from exc
                continue
            if not isinstance(reply, RelayFailed):
                self._peers.mark_served(link)
                return reply
            if reply.kind != "refused":
                # A kind of a later release leaves open what was done.
                raise _ERROR_TYPES.get(reply.kind, StoreUnansweredError)(reply.detail)
            self._peers.mark_unusable(link)
            emit(log, Event.RELAY_REFUSED, detail=reply.detail)
        if timed_out:
            raise StoreUnansweredError("no relaying peer answered in time")
        raise StoreRefusedError("neither the store nor any peer that can reach it answered")


def _reply_timeout_s(message: RelayRead | RelayFollow | RelayCommit) -> float:
    """Return how long the caller waits for the reply."""
    wait_ms = message.wait_ms if isinstance(message, RelayFollow) else 0
    return wait_ms / 1000 + CALL_TIMEOUT_S


def _to_wire_row(row: StoredRow) -> WireRow:
    return WireRow(row.key.table, row.key.part, row.key.key, row.value, row.version)


def _to_stored_row(row: WireRow) -> StoredRow:
    return StoredRow(RowKey(row.table, row.part, row.key), row.value, row.version)


def _to_relay_commit(txn: RowTransaction) -> RelayCommit:
    return RelayCommit(
        tuple(WireRow(k.table, k.part, k.key, None, v) for k, v in txn.expected_versions.items()),
        tuple(WireRow(k.table, k.part, k.key, v, 0) for k, v in txn.puts.items()),
        tuple(WireRow(k.table, k.part, k.key, None, 0) for k in txn.removes),
    )


def _to_txn(message: RelayCommit) -> RowTransaction:
    return RowTransaction(
        {_to_stored_row(row).key: row.version for row in message.expected},
        {_to_stored_row(row).key: row.value or b"" for row in message.puts},
        tuple(_to_stored_row(row).key for row in message.removes),
    )


def _to_relayed_commit(outcome: RowsCommitted | RowsConflict) -> RelayedCommit:
    if isinstance(outcome, RowsConflict):
        return RelayedCommit(False, 0, 0, tuple(map(_to_wire_row, outcome.rows)))
    return RelayedCommit(True, outcome.version, outcome.now_ms, ())


def _to_commit_outcome(reply: Any) -> RowsCommitted | RowsConflict:
    if not isinstance(reply, RelayedCommit):
        raise StoreUnansweredError("the relaying peer sent an unexpected reply")
    if reply.committed:
        return RowsCommitted(reply.version, reply.now_ms)
    return RowsConflict(tuple(map(_to_stored_row, reply.rows)))


def _to_rows(reply: Any) -> RowSet:
    if not isinstance(reply, RelayedRows):
        raise StoreUnansweredError("the relaying peer sent an unexpected reply")
    return RowSet(tuple(map(_to_stored_row, reply.rows)), reply.version, reply.now_ms)
