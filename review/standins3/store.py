"""The platform's store: rows with versions, transactions, a feed of changes; see PROTOCOL.md."""

import asyncio
import base64
import time

from .http11 import NO_ANSWER, serve

PAGE_ROWS = 500
TXN_S = 0.005
READ_S = 0.004
OUTSIDE_TABLES = ("op", "servers")


class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 100
        self.changes = []  # (version, (table, part, key)), in order
        self.started_s = time.monotonic()
        self.changed = asyncio.Event()
        # A case may set this to decide on a call of a node: fault(node, request) is awaited and
        # returns None to serve the call, or an answer.
        self.fault = None

    def now_ms(self):
        return int((time.monotonic() - self.started_s) * 1000) + 50_000

    def put_outside(self, table, key, body):
        """Write a row of the operator or of a worker; body None removes it."""
        import json

        value = None if body is None else base64.b64encode(json.dumps(body).encode()).decode()
        self._write({(table, "", key): value})

    def _write(self, values):
        self.version += 1
        for key, value in values.items():
            self.rows[key] = (value, self.version)
            self.changes.append((self.version, key))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    def version_of(self, key):
        value, version = self.rows.get(key, (None, 0))
        return version if value is not None else 0

    def value_of(self, table, key, part=""):
        value = self.rows.get((table, part, key), (None, 0))[0]
        return None if value is None else base64.b64decode(value)

    def _row(self, key):
        value, version = self.rows.get(key, (None, 0))
        row = {"table": key[0], "part": key[1], "key": key[2], "schemaVer": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def apply(self, body):
        """Apply a transaction; return its answer."""
        expected = {_key(e): e["schemaVer"] for e in body.get("expectedRev", ())}
        puts = {_key(e): e["value"] for e in body.get("puts", ())}
        removes = {_key(e): None for e in body.get("remove", ())}
        keys = [*expected, *puts, *removes]
        if len(keys) > 100 or len({key[1] for key in keys}) > 1:
            return 400, {"reason": "too many entries, or several parts"}
        if any(key[0] in OUTSIDE_TABLES for key in (*puts, *removes)):
            return 403, {}
        if any(self.version_of(key) != version for key, version in expected.items()):
            rows = [self._row(key) for key in expected]
            rows = [{**row, "schemaVer": self.version_of(_key(row))} for row in rows]
            return 412, {"rows": rows, "schemaVer": self.version, "nowMs": self.now_ms()}
        version = self._write({**puts, **removes}) if puts or removes else self.version
        return 200, {"schemaVer": version, "nowMs": self.now_ms()}

    async def handle(self, node, request):
        if self.fault is not None:
            answer = await self.fault(node, request)
            if answer is not None:
                return answer
        if request.path == "/-/rows-tx":
            await asyncio.sleep(TXN_S)
            return self.apply(request.json())
        await asyncio.sleep(READ_S)
        if request.path == "/-/rows-get":
            return self._get(request.query)
        if request.path == "/-/rows-feed":
            return await self._feed(request.query)
        return 404, {}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        keys = sorted(
            key
            for key, (value, _) in self.rows.items()
            if key[:2] == (table, part) and value is not None
            if key[2] >= start and (not end or key[2] < end)
        )
        rows = [self._row(key) for key in keys[:limit]]
        more = len(keys) > limit
        return 200, {
            "rows": rows, "hasMore": more, "schemaVer": self.version, "nowMs": self.now_ms()
        }

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self.changed
            keys = dict.fromkeys(
                key for version, key in self.changes if version > after and key[0] == table
            )
            left_s = deadline_s - time.monotonic()
            if keys or left_s <= 0:
                rows = sorted((self._row(key) for key in keys), key=lambda row: row["schemaVer"])
                return 200, {"rows": rows, "schemaVer": self.version, "nowMs": self.now_ms()}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    async def listen(self, host, port, node):
        """Listen for one node, so that the calls of nodes can be told apart."""

        async def handle(request):
            return await self.handle(node, request)

        return await serve(host, port, handle)


def _key(entry):
    return entry["table"], entry.get("part", ""), entry["key"]


__all__ = ["NO_ANSWER", "Store"]
