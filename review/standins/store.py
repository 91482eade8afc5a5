"""Stand in for the platform's store in its table form, with the limits of its page."""

from __future__ import annotations

import asyncio
import base64
import bisect
import json
import time
from typing import Any

from .http11 import Answer, Channel, NoAnswerError, Request, Server
from .record import Record

ROW_BYTES = 65_536
TXN_S = 0.005
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1 << 20
MAX_ROWS = 500
EXTERNAL_TABLES = ("op", "servers")

Key = tuple[str, str, str]


class Store:
    """Hold the rows; the system reaches them over HTTP, workers and the operator directly.

    `busy` makes it answer all calls of the system with 503, before anything is done.
    """

    def __init__(self, record: Record) -> None:
        self.busy = False
        self.refused_too_large = 0
        self.record = record
        self.server = Server(self._handle)
        self._rows: dict[Key, tuple[bytes, int]] = {}
        self._version = 100
        self._changes: list[tuple[int, Key, bytes | None]] = []
        self._changed = asyncio.Event()
        self._start_s = time.monotonic()
        self._part_free_s: dict[str, float] = {}

    # For the operator, the workers and the checks.

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row for the operator or a worker, and return its version."""
        return self._apply({(table, "", key): json.dumps(value).encode()}, [])

    def remove(self, table: str, key: str) -> None:
        """Remove a row for the operator or a worker."""
        self._apply({}, [(table, "", key)])

    def value(self, table: str, key: str) -> Any:
        """Return the decoded value of a row with an empty part, or None."""
        row = self._rows.get((table, "", key))
        return json.loads(row[0]) if row is not None else None

    def owner(self) -> str:
        """Return the name of the node that owns the cell, or an empty text."""
        claim = self.value("cell", "owner")
        return str(claim["node"]) if claim else ""

    def go_down_busy(self) -> list[str]:
        """Begin an outage: calls that are in progress are done, and all channels are reset.

        From then on each call gets 503. Returns the ids of the jobs whose rows were written by
        calls that got no answer.
        """
        written = []
        for channel in list(self.server.channels):
            request = channel.request
            if request is not None and request.path == "/-/rows-tx":
                status, _ = self._commit(request)
                puts = request.json().get("puts", ())
                if status == 200:
                    written += [row["key"] for row in puts if row["table"] == "jobs"]
                request.path = "/done"
            channel.reset()
        self.busy = True
        return written

    def count_in_progress(self, table: str) -> int:
        """Return how many transactions on a table are in progress."""
        requests = [c.request for c in self.server.channels if c.request is not None]
        texts = [r.body for r in requests if r.path == "/-/rows-tx"]
        return sum(f'"table":"{table}"'.encode() in text for text in texts)

    # The interface.

    async def _handle(self, channel: Channel, request: Request) -> Answer:
        if self.busy:
            return 503, {}
        if request.path == "/-/rows-tx":
            part = _part_of(request)
            start_s = max(time.monotonic(), self._part_free_s.get(part, 0.0))
            self._part_free_s[part] = start_s + TXN_S
            await asyncio.sleep(start_s + TXN_S - time.monotonic())
            if request.path == "/done":
                raise NoAnswerError
            return self._commit(request)
        if request.path == "/-/rows-get":
            return self._read(request)
        if request.path == "/-/rows-feed":
            return await self._feed(request)
        return 404, {}

    def _commit(self, request: Request) -> Answer:
        body = request.json()
        expected, puts = body.get("expectedRev") or [], body.get("puts") or []
        removes = body.get("remove") or []
        entries = [*expected, *puts, *removes]
        if len(entries) > MAX_ENTRIES or len(request.body) > MAX_CALL_BYTES:
            self.refused_too_large += 1
            return 400, {"error": "too many entries or bytes"}
        if len({entry.get("part", "") for entry in entries}) > 1:
            return 400, {"error": "entries of several parts"}
        if any(entry["table"] in EXTERNAL_TABLES for entry in (*puts, *removes)):
            return 403, {}
        values = {_key(entry): base64.b64decode(entry["value"]) for entry in puts}
        for key, value in values.items():
            if len(value) > ROW_BYTES:
                self.refused_too_large += 1
                self.record.add("store_refused_row", key="/".join(key), bytes=len(value))
                return 400, {"error": f"a value may have at most {ROW_BYTES} bytes"}
        versions = {_key(entry): entry.get("schemaVer", 0) for entry in expected}
        if any(self._row_version(key) != version for key, version in versions.items()):
            rows = [self._entry(key) for key in versions]
            return 412, self._answer(rows)
        self._apply(values, [_key(entry) for entry in removes])
        return 200, self._answer([])

    def _read(self, request: Request) -> Answer:
        query = request.query
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to", "")
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == (table, part) and key[2] >= start and (not end or key[2] < end)
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows, size = [], 0
        for key in keys[:limit]:
            size += len(self._rows[key][0]) * 4 // 3
            if rows and size > MAX_CALL_BYTES:
                break
            rows.append(self._entry(key))
        return 200, {**self._answer(rows), "hasMore": len(rows) < len(keys)}

    async def _feed(self, request: Request) -> Answer:
        table, after = request.query["table"], int(request.query["after"])
        end_s = time.monotonic() + min(30_000, int(request.query.get("waitMs", "0"))) / 1000
        while True:
            changes = self._changes_of(table, after)
            left_s = end_s - time.monotonic()
            if changes or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.busy:
            raise NoAnswerError
        rows = [self._entry(key, value, version) for version, key, value in changes]
        body = self._answer(rows)
        if len(rows) == MAX_ROWS:
            body["schemaVer"] = changes[-1][0]
        return 200, body

    def _changes_of(self, table: str, after: int) -> list[tuple[int, Key, bytes | None]]:
        first = bisect.bisect_right(self._changes, after, key=lambda change: change[0])
        last = {}
        for version, key, value in self._changes[first:]:
            if key[0] == table:
                last.pop(key, None)
                last[key] = (version, key, value)
        return list(last.values())[:MAX_ROWS]

    def _apply(self, puts: dict[Key, bytes], removes: list[Key]) -> int:
        self._version += 1
        for key, value in puts.items():
            self._rows[key] = (value, self._version)
            self._changes.append((self._version, key, value))
        for key in removes:
            if self._rows.pop(key, None) is not None:
                self._changes.append((self._version, key, None))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def _row_version(self, key: Key) -> int:
        row = self._rows.get(key)
        return row[1] if row is not None else 0

    def _entry(
        self, key: Key, value: bytes | None = None, version: int | None = None
    ) -> dict[str, Any]:
        entry: dict[str, Any] = {"table": key[0], "part": key[1], "key": key[2]}
        if version is None:
            row = self._rows.get(key)
            if row is None:
                return {**entry, "schemaVer": 0}
            value, version = row
        entry["schemaVer"] = version
        if value is None:
            return {**entry, "deleted": True}
        return {**entry, "value": base64.b64encode(value).decode()}

    def _answer(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = int((time.monotonic() - self._start_s) * 1000) + 7_000_000
        return {"rows": rows, "schemaVer": self._version, "nowMs": now_ms}


def _key(entry: dict[str, Any]) -> Key:
    return entry["table"], entry.get("part", ""), entry["key"]


def _part_of(request: Request) -> str:
    body = request.json()
    for name in ("expectedRev", "puts", "remove"):
        for entry in body.get(name) or ():
            return f"{entry.get('part', '')}"
    return ""
