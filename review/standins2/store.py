"""Stand in for the platform's metadata store, in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from review.standins2.http_server import Call

Key = tuple[str, str, str]
READ_ONLY_TABLES = ("op", "servers")
ANSWER_S = 0.004
ROW_BYTES = 65_536


class Store:
    """Hold rows; every transaction takes the next version of a single counter."""

    def __init__(self) -> None:
        self.version = 1
        self.rows: dict[Key, tuple[str, int]] = {}
        # The last change of each row that ever was: its version, and its value or None.
        self.changes: dict[Key, tuple[int, str | None]] = {}
        self._changed = asyncio.Condition()
        self._started = time.monotonic()
        # The node that last wrote under a condition, by the address that it calls.
        self.last_conditional_writer = ""

    def now_ms(self) -> int:
        """Return the time of the store's steady clock."""
        return int((time.monotonic() - self._started) * 1000) + 5_000_000

    async def put(self, table: str, key: str, value: Any) -> None:
        """Write a row of the operator or of a worker."""
        await self._apply(
            {(table, "", key): base64.b64encode(json.dumps(value).encode()).decode()}, []
        )

    async def remove(self, table: str, key: str) -> None:
        """Remove a row of the operator or of a worker."""
        if (table, "", key) in self.rows:
            await self._apply({}, [(table, "", key)])

    def get(self, table: str, key: str, part: str = "") -> Any:
        """Return the decoded value of a row, or None."""
        found = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(found[0])) if found else None

    async def _apply(self, puts: dict[Key, str], removes: list[Key]) -> None:
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = (value, self.version)
            self.changes[key] = (self.version, value)
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.changes[key] = (self.version, None)
        async with self._changed:
            self._changed.notify_all()

    def _row(self, key: Key) -> dict[str, Any]:
        value, version = self.rows[key]
        table, part, name = key
        return {"table": table, "part": part, "key": name, "value": value, "schemaVer": version}

    async def handle(self, call: Call, node: str) -> Any:
        """Answer a call of a node."""
        await asyncio.sleep(ANSWER_S)
        if call.path == "/-/rows-get":
            return 200, self._get(call.query)
        if call.path == "/-/rows-feed":
            return 200, await self._feed(call.query)
        if call.path == "/-/rows-tx" and call.method == "POST":
            return await self._transact(call.json, node)
        if call.path == "/-/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == call.query["table"]})
            return 200, {"parts": parts, "schemaVer": self.version, "nowMs": self.now_ms()}
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "")
        names = sorted(
            (
                key
                for key in self.rows
                if key[:2] == (table, part) and key[2] >= first and (not last or key[2] < last)
            ),
            key=lambda key: key[2].encode(),
        )
        limit = min(500, int(query.get("limit", "500")))
        return {
            "rows": [self._row(key) for key in names[:limit]],
            "hasMore": len(names) > limit,
            "schemaVer": self.version,
            "nowMs": self.now_ms(),
        }

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])
        wait_s = min(30.0, int(query.get("waitMs", "0")) / 1000)

        def changed() -> list[tuple[int, Key]]:
            return sorted(
                (version, key)
                for key, (version, _) in self.changes.items()
                if key[0] == table and version > after
            )

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(changed)
        except TimeoutError:
            pass
        rows = []
        for version, key in changed():
            entry = {"table": key[0], "part": key[1], "key": key[2], "schemaVer": version}
            value = self.changes[key][1]
            rows.append({**entry, "deleted": True} if value is None else {**entry, "value": value})
        return {"rows": rows, "schemaVer": self.version, "nowMs": self.now_ms()}

    async def _transact(self, body: dict[str, Any], node: str) -> Any:
        def key_of(entry: dict[str, Any]) -> Key:
            return entry["table"], entry.get("part", ""), entry["key"]

        expected = body.get("expectedRev") or []
        puts = {key_of(entry): entry["value"] for entry in body.get("puts") or []}
        removes = [key_of(entry) for entry in body.get("remove") or []]
        keys = [*map(key_of, expected), *puts, *removes]
        if any(key[0] in READ_ONLY_TABLES for key in (*puts, *removes)):
            return 403, {}
        if len(keys) > 100 or (len({key[1] for key in keys}) > 1 and not body.get("crossShard")):
            return 400, {}
        if any(len(base64.b64decode(value)) > ROW_BYTES for value in puts.values()):
            return 400, {}
        if any(self.rows.get(key_of(e), ("", 0))[1] != e["schemaVer"] for e in expected):
            rows = [self._row(key_of(e)) for e in expected if key_of(e) in self.rows]
            return 412, {"rows": rows, "schemaVer": self.version, "nowMs": self.now_ms()}
        await self._apply(puts, removes)
        if expected and "cell" in {key[0] for key in map(key_of, expected)}:
            self.last_conditional_writer = node
        return 200, {"schemaVer": self.version, "nowMs": self.now_ms()}
