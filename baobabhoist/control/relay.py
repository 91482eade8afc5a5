"""Use the store through another instance while it can't be reached from this one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import attrs

from baobabhoist.control.clock import boot_ms
from baobabhoist.control.contact import WatchedStore
from baobabhoist.control.messages import (
    RelayCommit,
    RelayedCommit,
    RelayedRows,
    RelayFailed,
    RelayFollow,
    RelayRead,
    WireRow,
)
from baobabhoist.errors import LinkClosedError, MessageNotSentError
from baobabhoist.observability.events import Event, emit
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
    StoreUnansweredError,
)

log = logging.getLogger(__name__)

# Instances that are asked before a call is given up.
PEERS_ASKED = 5
CALL_TIMEOUT_S = 0.6
# While the store is out of reach it is tried again this often.
PROBE_INTERVAL_MS = 400.0
# A table of few rows.
PROBED_TABLE = "cell"
# A peer that gave no answer, or has no way to the store either, is not asked for this long.
PEER_REST_MS = 1_500.0
# A relayed call may pass one more instance: the owner, if it is cut off from the store too.
HOPS_MAX = 1

_ERRORS: dict[str, type[StoreError]] = {
    "refused": StoreRefusedError,
    "unanswered": StoreUnansweredError,
    "history_lost": HistoryLostError,
}


@attrs.define
class Peers:
    """Choose links for relayed calls: the one that served last first, useless ones rest."""

    links: Callable[[], list[Link]]
    resting_until: dict[int, float] = attrs.Factory(dict)
    served_last: int = 0

    def usable(self) -> list[Link]:
        """Return the links to try, best first."""
        now = boot_ms()
        found = [k for k in self.links() if self.resting_until.get(id(k), 0.0) < now]
        found.sort(key=lambda link: id(link) != self.served_last)
        return found[:PEERS_ASKED]

    def served(self, link: Link) -> None:
        """Ask this peer first from now on."""
        self.served_last = id(link)

    def rest(self, link: Link) -> None:
        """Do not ask a peer for a while."""
        now = boot_ms()
        self.resting_until = {k: v for k, v in self.resting_until.items() if v > now}
        self.resting_until[id(link)] = now + PEER_REST_MS


class RelayedStore:
    """Be the store directly while it answers, else through a peer that reaches it."""

    def __init__(self, direct: WatchedStore, peers: Peers) -> None:
        self.direct = direct
        self._peers = peers
        self._probe_due_ms = 0.0
        self._probing: asyncio.Task[None] | None = None

    async def read(self, table: str, part: str = "", *, first: str = "", last: str = "") -> RowSet:
        """Return the rows of a part in a range of keys."""
        if self._use_direct():
            return await self.direct.read(table, part, first=first, last=last)
        return _rows(await self._relay(RelayRead(table, part, first, last), CALL_TIMEOUT_S))

    async def poll_changes(self, table: str, after_version: int, wait_ms: int) -> RowSet:
        """Return what changed after a version."""
        if self._use_direct():
            return await self.direct.poll_changes(table, after_version, wait_ms)
        timeout_s = wait_ms / 1000 + CALL_TIMEOUT_S
        return _rows(await self._relay(RelayFollow(table, after_version, wait_ms), timeout_s))

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction."""
        if not self.direct.contact.lost():
            try:
                return await self.direct.commit(txn)
            except StoreRefusedError:
                if not self.direct.contact.lost():
                    raise
        return _committed(await self._relay(_wire_txn(txn), CALL_TIMEOUT_S))

    async def serve(self, message: Any) -> Any:
        """Carry a relayed call out for another instance."""
        try:
            if self.direct.contact.lost() and message.hops < HOPS_MAX:
                onward = attrs.evolve(message, hops=message.hops + 1)
                return await self._relay(onward, CALL_TIMEOUT_S)
            return await self._serve_directly(message)
        except StoreError as exc:
            kind = next((k for k, v in _ERRORS.items() if isinstance(exc, v)), "refused")
            return RelayFailed(kind, str(exc))

    async def _serve_directly(self, message: Any) -> Any:
        if isinstance(message, RelayCommit):
            return _wire_outcome(await self.direct.commit(_txn(message)))
        if isinstance(message, RelayRead):
            rows = await self.direct.read(
                message.table, message.part, first=message.first, last=message.last
            )
        else:
            rows = await self.direct.poll_changes(message.table, message.after, message.wait_ms)
        return RelayedRows(tuple(map(_wire_row, rows.rows)), rows.version, rows.now_ms)

    def _use_direct(self) -> bool:
        """Tell whether to ask the store itself: while it answers, or without any peer."""
        if not self.direct.contact.lost():
            return True
        self._probe()
        return not self._peers.usable()

    def _probe(self) -> None:
        """Find out beside the calls whether a lost store answers again."""
        now = boot_ms()
        if now < self._probe_due_ms or self._probing is not None:
            return
        self._probe_due_ms = now + PROBE_INTERVAL_MS
        self._probing = asyncio.create_task(self._probe_once())

    async def _probe_once(self) -> None:
        try:
            await self.direct.read(PROBED_TABLE)
        except StoreError as exc:
            log.debug("the store is still out of reach: %s", exc)
        finally:
            self._probing = None

    async def _relay(self, message: Any, timeout_s: float) -> Any:
        """Return a peer's answer; raises StoreError."""
        for link in self._peers.usable():
            try:
                reply = await link.call(message, timeout_s)
            except MessageNotSentError:
                continue
            except (LinkClosedError, TimeoutError) as exc:
                self._peers.rest(link)
                if isinstance(message, RelayCommit):
                    raise StoreUnansweredError(f"a peer did not answer: {exc}") from exc
                continue
            if not isinstance(reply, RelayFailed):
                self._peers.served(link)
                return reply
            if reply.kind != "refused":
                raise _ERRORS[reply.kind](reply.detail)
            self._peers.rest(link)
            emit(log, Event.RELAY_REFUSED, detail=reply.detail)
        raise StoreRefusedError("neither the store nor a peer that reaches it answers")


def _wire_row(row: StoredRow) -> WireRow:
    return WireRow(row.key.table, row.key.part, row.key.key, row.value, row.version)


def _stored_row(row: WireRow) -> StoredRow:
    return StoredRow(RowKey(row.table, row.part, row.key), row.value, row.version)


def _wire_txn(txn: RowTransaction) -> RelayCommit:
    return RelayCommit(
        tuple(WireRow(k.table, k.part, k.key, None, v) for k, v in txn.expected_versions.items()),
        tuple(WireRow(k.table, k.part, k.key, v, 0) for k, v in txn.puts.items()),
        tuple(WireRow(k.table, k.part, k.key, None, 0) for k in txn.removes),
    )


def _txn(message: RelayCommit) -> RowTransaction:
    return RowTransaction(
        {_stored_row(row).key: row.version for row in message.expected},
        {_stored_row(row).key: row.value or b"" for row in message.puts},
        tuple(_stored_row(row).key for row in message.removes),
    )


def _wire_outcome(outcome: RowsCommitted | RowsConflict) -> RelayedCommit:
    if isinstance(outcome, RowsConflict):
        return RelayedCommit(False, 0, 0, tuple(map(_wire_row, outcome.rows)))
    return RelayedCommit(True, outcome.version, outcome.now_ms, ())


def _committed(reply: Any) -> RowsCommitted | RowsConflict:
    if not isinstance(reply, RelayedCommit):
        raise StoreUnansweredError("a peer answered something else")
    if reply.committed:
        return RowsCommitted(reply.version, reply.now_ms)
    return RowsConflict(tuple(map(_stored_row, reply.rows)))


def _rows(reply: Any) -> RowSet:
    if not isinstance(reply, RelayedRows):
        raise StoreUnansweredError("a peer answered something else")
    return RowSet(tuple(map(_stored_row, reply.rows)), reply.version, reply.now_ms)
