"""Simulate the platform's row store, with outages, delays and lost responses on command."""

from __future__ import annotations

import asyncio
import base64
import random
import time
import weakref
from collections.abc import Sequence
from typing import Any, cast

import attrs
import orjson
from absl import app, flags
from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream
from tornado.web import Application, HTTPError, RequestHandler

from baobabhoist.store.row_store import (
    HistoryLostError,
    RowKey,
    RowsConflict,
    RowTransaction,
    StoredRow,
)
from baobabhoist.testing.memory_row_store import MemoryRowStore

FLAGS = flags.FLAGS

# Fake workers and operators send this header. Requests without it come from instances, which
# may not write to the external tables and which alone are subject to faults.
EXTERNAL_WRITER_HEADER = "X-Outside-Writer"
EXTERNAL_TABLES = frozenset({"op", "servers"})
FEED_POLL_INTERVAL_S = 0.005
LATE_COMMIT_MIN_S, LATE_COMMIT_MAX_S = 1.0, 6.0
# The modes `lose` and `late` affect this share of the instances' transactions.
COMMIT_FAULT_PROBABILITY = 0.3


@attrs.define
class StoreState:
    """Hold the rows and the active fault.

    The modes are up: no fault; refuse: answer 503; hang: do not answer; slow: answer `delay_s`
    later; lose: commit, but drop the response; late: commit seconds later, without a response;
    crash: commit the first transaction of each open connection, close it, and then refuse.
    """

    rows: MemoryRowStore = attrs.Factory(MemoryRowStore)
    mode: str = "up"
    delay_s: float = 0.0
    started_s: float = attrs.Factory(time.monotonic)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    delayed_commits: set[asyncio.Task[None]] = attrs.Factory(set)
    # The instances' connections that were in use before the mode `crash` began.
    open_connections: weakref.WeakSet[IOStream] = attrs.Factory(weakref.WeakSet)

    def now_ms(self) -> int:
        """Return the time on the store's monotonic clock, which has an epoch of its own."""
        return int((time.monotonic() - self.started_s) * 1000) + 7_000_000

    async def apply_fault(self) -> None:
        """Refuse or delay a request as the active fault demands; raises HTTPError."""
        if self.mode == "refuse":
            raise HTTPError(503)
        if self.mode == "crash":
            raise HTTPError(503)
        if self.mode == "hang":
            await asyncio.sleep(3_600)
        if self.mode == "slow":
            await asyncio.sleep(self.delay_s)

    def crashes_during(self, connection: IOStream) -> bool:
        """Return whether the store crashes during the next request of a connection."""
        if self.mode != "crash":
            self.open_connections.add(connection)
            return False
        was_open = connection in self.open_connections
        self.open_connections.discard(connection)
        return was_open

    def commit_later(self, txn: RowTransaction) -> None:
        """Apply a transaction some seconds later, if the versions it expects still hold then."""

        async def apply() -> None:
            await asyncio.sleep(self.rng.uniform(LATE_COMMIT_MIN_S, LATE_COMMIT_MAX_S))
            self.rows.apply(txn)

        task = asyncio.create_task(apply())
        self.delayed_commits.add(task)
        task.add_done_callback(self.delayed_commits.discard)


class StoreHandler(RequestHandler):
    """Share the store and its faults among the handlers."""

    def initialize(self, state: StoreState) -> None:
        """Set the store."""
        self.state = state

    async def prepare(self) -> None:
        """Apply the active fault unless a fake worker or operator sent the request."""
        if EXTERNAL_WRITER_HEADER in self.request.headers:
            return
        connection = cast(HTTP1Connection, self.request.connection)
        if self.state.crashes_during(connection.stream):
            self.crash()
            return
        await self.state.apply_fault()

    def crash(self) -> None:
        """Close the connection without a response."""
        drop_connection(self)

    def write_rows(self, rows: Sequence[StoredRow], version: int, **fields: Any) -> None:
        """Write a response that holds rows."""
        row_entries = [_row_to_json(row) for row in rows]
        body = {"rows": row_entries, "schemaVer": version, "nowMs": self.state.now_ms(), **fields}
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))


class RowsGetHandler(StoreHandler):
    """Handle rows-get."""

    async def get(self) -> None:
        """Return one page of the rows of a part in a range of keys."""
        limit = int(self.get_argument("limit", "500"))
        row_set = await self.state.rows.read(
            self.get_argument("table"),
            self.get_argument("part", ""),
            start=self.get_argument("from", ""),
            end=self.get_argument("to", ""),
        )
        self.write_rows(row_set.rows[:limit], row_set.version, hasMore=len(row_set.rows) > limit)


class RowsFeedHandler(StoreHandler):
    """Handle rows-feed."""

    async def get(self) -> None:
        """Return the changes of a table after a version; wait for one up to `waitMs`."""
        table, after_version = self.get_argument("table"), int(self.get_argument("after"))
        deadline_s = time.monotonic() + int(self.get_argument("waitMs", "0")) / 1000
        while True:
            try:
                changes = await self.state.rows.poll_changes(table, after_version, 0)
            except HistoryLostError as exc:
                raise HTTPError(410) from exc
            if changes.rows or time.monotonic() >= deadline_s:
                break
            await asyncio.sleep(FEED_POLL_INTERVAL_S)
        await self.state.apply_fault()
        self.write_rows(changes.rows, changes.version)


class RowsTxHandler(StoreHandler):
    """Handle rows-tx."""

    def crash(self) -> None:
        """Apply the transaction and close the connection without a response."""
        self.state.rows.apply(_parse_transaction(orjson.loads(self.request.body)))
        drop_connection(self)

    def post(self) -> None:
        """Apply a transaction; during a fault, delay it or drop its response."""
        txn = _parse_transaction(orjson.loads(self.request.body))
        tables = {key.table for key in (*txn.puts, *txn.removes)}
        is_external = EXTERNAL_WRITER_HEADER in self.request.headers
        if tables & EXTERNAL_TABLES and not is_external:
            raise HTTPError(403)
        is_affected = not is_external and self.state.rng.random() < COMMIT_FAULT_PROBABILITY
        if is_affected and self.state.mode == "late":
            self.state.commit_later(txn)
            drop_connection(self)
            return
        outcome = self.state.rows.apply(txn)
        if is_affected and self.state.mode == "lose":
            drop_connection(self)
            return
        if isinstance(outcome, RowsConflict):
            self.set_status(412)
            self.write_rows(outcome.rows, self.state.rows.version)
            return
        self.write_rows((), outcome.version)


class FaultHandler(StoreHandler):
    """Handle commands of the soak: POST /faults {"mode": ..., "delay_s": ..., "forget": true}."""

    async def prepare(self) -> None:
        """Accept commands during a fault as well."""

    def post(self) -> None:
        """Set the active fault, and drop the history if `forget` is set."""
        body = orjson.loads(self.request.body)
        self.state.mode = body["mode"]
        self.state.delay_s = float(body.get("delay_s", 0.0))
        if body.get("forget"):
            self.state.rows.history_start_version = self.state.rows.version
        self.finish({})


def drop_connection(handler: RequestHandler) -> None:
    """Close a connection without a response."""
    handler.detach().close()


def _row_to_json(row: StoredRow) -> dict[str, Any]:
    entry: dict[str, Any] = {**attrs.asdict(row.key), "schemaVer": row.version}
    if row.value is None:
        return {**entry, "deleted": True}
    return {**entry, "value": base64.b64encode(row.value).decode()}


def _parse_key(entry: dict[str, Any]) -> RowKey:
    return RowKey(entry["table"], entry.get("part", ""), entry["key"])


def _parse_transaction(body: dict[str, Any]) -> RowTransaction:
    return RowTransaction(
        {_parse_key(entry): entry["schemaVer"] for entry in body.get("expectedRev", ())},
        {_parse_key(entry): base64.b64decode(entry["value"]) for entry in body.get("puts", ())},
        tuple(_parse_key(entry) for entry in body.get("remove", ())),
    )


def make_app(state: StoreState) -> Application:
    """Return the application that serves the store's HTTP interface."""
    context = {"state": state}
    return Application(
        [
            (r"/-/rows-get", RowsGetHandler, context),
            (r"/-/rows-feed", RowsFeedHandler, context),
            (r"/-/rows-tx", RowsTxHandler, context),
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
