"""Serve rows as the platform's store does, with outages, slowness and lost answers on command."""

from __future__ import annotations

import asyncio
import base64
import random
import time
from collections.abc import Sequence
from typing import Any

import attrs
import orjson
from absl import app, flags
from tornado.web import Application, HTTPError, RequestHandler

from baobabhoist.store.row_store import (
    HistoryLostError,
    RowKey,
    RowsConflict,
    RowTransaction,
    StoredRow,
)
from baobabhoist.testing.rows import MemoryRows

FLAGS = flags.FLAGS

# The platform's workers and operators send this; instances may not write to their tables.
OUTSIDE_HEADER = "X-Outside-Writer"
OUTSIDE_TABLES = frozenset({"op", "servers"})
FEED_CHECK_S = 0.005
LATE_MIN_S, LATE_MAX_S = 1.0, 6.0
LOST_PROBABILITY = 0.3


@attrs.define
class StoreState:
    """Hold the rows and the fault in force: up, refuse, hang, slow, lose or late."""

    rows: MemoryRows = attrs.Factory(MemoryRows)
    mode: str = "up"
    delay_s: float = 0.0
    began_s: float = attrs.Factory(time.monotonic)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    late: set[asyncio.Task[None]] = attrs.Factory(set)

    def now_ms(self) -> int:
        """Return the store's steady clock, which has its own beginning."""
        return int((time.monotonic() - self.began_s) * 1000) + 7_000_000

    async def disturb(self) -> None:
        """Apply the fault in force to a call; raises HTTPError."""
        if self.mode == "refuse":
            raise HTTPError(503)
        if self.mode == "hang":
            await asyncio.sleep(3_600)
        if self.mode == "slow":
            await asyncio.sleep(self.delay_s)

    def carry_out_late(self, txn: RowTransaction) -> None:
        """Apply a transaction seconds later, if its condition still holds then."""

        async def apply() -> None:
            await asyncio.sleep(self.rng.uniform(LATE_MIN_S, LATE_MAX_S))
            self.rows.apply(txn)

        task = asyncio.create_task(apply())
        self.late.add(task)
        task.add_done_callback(self.late.discard)


class StoreHandler(RequestHandler):
    """Hold what the calls of the store share."""

    def initialize(self, state: StoreState) -> None:
        """Take the store."""
        self.state = state

    async def prepare(self) -> None:
        """Apply the fault in force, but for the stand-ins of workers and operators."""
        if OUTSIDE_HEADER not in self.request.headers:
            await self.state.disturb()

    def write_rows(self, rows: Sequence[StoredRow], version: int, **extra: Any) -> None:
        """Answer with rows."""
        listed = [_entry(row) for row in rows]
        body = {"rows": listed, "schemaVer": version, "nowMs": self.state.now_ms(), **extra}
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


class GetHandler(StoreHandler):
    """Answer rows-get."""

    async def get(self) -> None:
        """Return rows of a part in a range of keys."""
        limit = int(self.get_argument("limit", "500"))
        found = await self.state.rows.read(
            self.get_argument("table"),
            self.get_argument("part", ""),
            start=self.get_argument("from", ""),
            end=self.get_argument("to", ""),
        )
        self.write_rows(found.rows[:limit], found.version, hasMore=len(found.rows) > limit)


class FeedHandler(StoreHandler):
    """Answer rows-feed."""

    async def get(self) -> None:
        """Return what changed in a table, as soon as something has."""
        table, after = self.get_argument("table"), int(self.get_argument("after"))
        until = time.monotonic() + int(self.get_argument("waitMs", "0")) / 1000
        while True:
            try:
                changes = await self.state.rows.poll_changes(table, after, 0)
            except HistoryLostError as exc:
                raise HTTPError(410) from exc
            if changes.rows or time.monotonic() >= until:
                break
            await asyncio.sleep(FEED_CHECK_S)
        await self.state.disturb()
        self.write_rows(changes.rows, changes.version)


class CommitHandler(StoreHandler):
    """Answer rows-tx."""

    def post(self) -> None:
        """Apply a transaction, or lose it or its answer."""
        body = orjson.loads(self.request.body)
        txn = _txn(body)
        tables = {key.table for key in (*txn.puts, *txn.removes)}
        outside = OUTSIDE_HEADER in self.request.headers
        if tables & OUTSIDE_TABLES and not outside:
            raise HTTPError(403)
        lossy = not outside and self.state.rng.random() < LOST_PROBABILITY
        if lossy and self.state.mode == "late":
            self.state.carry_out_late(txn)
            drop_connection(self)
            return
        outcome = self.state.rows.apply(txn)
        if lossy and self.state.mode == "lose":
            drop_connection(self)
            return
        if isinstance(outcome, RowsConflict):
            self.set_status(412)
            self.write_rows(outcome.rows, self.state.rows.version)
            return
        self.write_rows((), outcome.version)


class FaultHandler(StoreHandler):
    """Take commands: POST /faults {"mode": ..., "delay_s": ..., "forget": true}."""

    async def prepare(self) -> None:
        """Take commands also during a fault."""

    def post(self) -> None:
        """Put a fault in force."""
        body = orjson.loads(self.request.body)
        self.state.mode = body["mode"]
        self.state.delay_s = float(body.get("delay_s", 0.0))
        if body.get("forget"):
            self.state.rows.history_from = self.state.rows.version
        self.finish({})


def drop_connection(handler: RequestHandler) -> None:
    """End a connection without an answer."""
    handler.detach().close()


def _entry(row: StoredRow) -> dict[str, Any]:
    entry: dict[str, Any] = {**attrs.asdict(row.key), "schemaVer": row.version}
    if row.value is None:
        return {**entry, "deleted": True}
    return {**entry, "value": base64.b64encode(row.value).decode()}


def _key(entry: dict[str, Any]) -> RowKey:
    return RowKey(entry["table"], entry.get("part", ""), entry["key"])


def _txn(body: dict[str, Any]) -> RowTransaction:
    return RowTransaction(
        {_key(entry): entry["schemaVer"] for entry in body.get("expectedRev", ())},
        {_key(entry): base64.b64decode(entry["value"]) for entry in body.get("puts", ())},
        tuple(_key(entry) for entry in body.get("remove", ())),
    )


def make_app(state: StoreState) -> Application:
    """Return the store's HTTP interface."""
    context = {"state": state}
    return Application(
        [
            (r"/-/rows-get", GetHandler, context),
            (r"/-/rows-feed", FeedHandler, context),
            (r"/-/rows-tx", CommitHandler, context),
            (r"/faults", FaultHandler, context),
        ]
    )


async def serve(port: int) -> None:
    """Serve until cancelled."""
    make_app(StoreState()).listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the store."""
    asyncio.run(serve(FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 0, "Port to listen on.")
    app.run(main)
