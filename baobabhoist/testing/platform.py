"""Provide a fake platform: table, object store and membership list, with fault injection."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_right
from collections import Counter, deque
from typing import Any

import attrs
import orjson
from absl import app, flags
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

FLAGS = flags.FLAGS

HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
FAULT_MODES = ("up", "down", "slow", "lose_answers")
MEMBER_STATES = ("live", "leaving", "gone")
MAX_OBJECT_BYTES = 1 << 27
# Outcomes are kept long enough for every client deadline; the limit bounds memory in long runs.
MAX_OUTCOMES = 200_000


@attrs.define
class TableState:
    """Hold the rows, and the outcomes of transactions by id."""

    rows: dict[str, tuple[int, Any]] = attrs.Factory(dict)
    outcomes: dict[str, dict[str, int]] = attrs.Factory(dict)

    def commit(self, txn: dict[str, Any]) -> dict[str, Any]:
        """Apply a transaction or return the conflicting row; commits are idempotent by txn_id."""
        if txn["txn_id"] in self.outcomes:
            return {"revisions": self.outcomes[txn["txn_id"]]}
        for key, revision in txn["checks"].items():
            current = self.rows.get(key, (0, None))[0]
            if current != revision:
                return {"conflict": key, "revision": current}
        revisions = {}
        for key, value in txn["writes"].items():
            revision = self.rows.get(key, (0, None))[0] + 1
            self.rows[key] = (revision, value)
            revisions[key] = revision
        self.outcomes[txn["txn_id"]] = revisions
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        return {"revisions": revisions}

    def scan(self, prefix: str, after: str, limit: int) -> list[dict[str, Any]]:
        """Return up to `limit` rows with a prefix, in key order after a key."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        page = keys[bisect_right(keys, after) :][:limit]
        return [
            {"key": key, "revision": self.rows[key][0], "value": self.rows[key][1]} for key in page
        ]


@attrs.define
class MembershipList:
    """Show each change of a member only after a lag, as the real list does."""

    lag_s: float
    visible_by_name: dict[str, dict[str, Any]] = attrs.Factory(dict)
    pending: deque[tuple[float, dict[str, Any]]] = attrs.Factory(deque)

    def change(self, member: dict[str, Any], now: float) -> None:
        """Record the new state of a member, which becomes visible after the lag."""
        self.pending.append((now + self.lag_s, member | {"since": now}))

    def visible(self, now: float) -> list[dict[str, Any]]:
        """Return the visible members, each with the time of its last change."""
        while self.pending and self.pending[0][0] <= now:
            _, member = self.pending.popleft()
            self.visible_by_name[member["name"]] = member
        return [self.visible_by_name[name] for name in sorted(self.visible_by_name)]


@attrs.define
class PlatformFault:
    """Hold the injected fault; mode `down` answers 503 at once, or never if `hangs` is set."""

    mode: str = "up"
    delay_s: float = 0.0
    hangs: bool = False

    def update(self, body: dict[str, Any]) -> str | None:
        """Set the fault from a request, or return why the request is invalid."""
        if body.get("mode") not in FAULT_MODES:
            return f"mode must be one of {', '.join(FAULT_MODES)}"
        self.mode = body["mode"]
        self.delay_s = float(body.get("delay_s", 0.0))
        self.hangs = bool(body.get("hang", False))
        return None


@attrs.define
class FakePlatform:
    """Hold the state of the fake."""

    members: MembershipList
    table: TableState = attrs.Factory(TableState)
    objects: dict[str, bytes] = attrs.Factory(dict)
    fault: PlatformFault = attrs.Factory(PlatformFault)
    call_counts: Counter[str] = attrs.Factory(Counter)


class PlatformHandler(RequestHandler):
    """Apply the injected fault to each call and count the calls."""

    def initialize(self, platform: FakePlatform) -> None:
        """Set the platform that the handler serves."""
        self.platform = platform

    async def prepare(self) -> None:
        """Delay or reject the call if the injected fault requires it."""
        fault = self.platform.fault
        self.platform.call_counts["reads" if self.request.method == "GET" else "writes"] += 1
        if fault.mode == "slow":
            await asyncio.sleep(fault.delay_s)
        if fault.mode == "down":
            if fault.hangs:
                await asyncio.Event().wait()
            self.set_status(HTTP_UNAVAILABLE)
            self.finish({"error": "injected outage"})

    def respond_to_write(self, body: dict[str, Any], status: int = 200) -> None:
        """Respond to a write that took effect, or close the connection to lose the response."""
        if self.platform.fault.mode == "lose_answers":
            self.platform.call_counts["lost_answers"] += 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_status(status)
        self.finish(body)


class TableHandler(PlatformHandler):
    """Serve the table: POST /table/commit and GET /table/row, /table/scan or /table/outcome."""

    def post(self, _: str) -> None:
        """Commit a transaction."""
        result = self.platform.table.commit(orjson.loads(self.request.body))
        if "conflict" in result:
            self.platform.call_counts["conflicts"] += 1
        self.respond_to_write(result, HTTP_CONFLICT if "conflict" in result else 200)

    def get(self, endpoint: str) -> None:
        """Return a row, a range of rows or the outcome of a transaction."""
        table = self.platform.table
        if endpoint == "row":
            revision, value = table.rows.get(self.get_argument("key"), (0, None))
            self.finish({"revision": revision, "value": value})
        elif endpoint == "scan":
            rows = table.scan(
                self.get_argument("prefix"),
                self.get_argument("after", ""),
                int(self.get_argument("limit", "1000")),
            )
            self.finish({"rows": rows})
        else:
            revisions = table.outcomes.get(self.get_argument("txn_id"))
            state = "unknown" if revisions is None else "committed"
            self.finish({"state": state, "revisions": revisions or {}})


class ObjectHandler(PlatformHandler):
    """Serve the object store: /objects/NAME."""

    def put(self, name: str) -> None:
        """Store an object, replacing any previous one."""
        self.platform.objects[name] = self.request.body
        self.respond_to_write({"bytes": len(self.request.body)})

    def get(self, name: str) -> None:
        """Return an object."""
        body = self.platform.objects.get(name)
        if body is None:
            self.set_status(HTTP_NOT_FOUND)
            self.finish({"error": f"object {name} not found"})
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(body)

    def delete(self, name: str) -> None:
        """Remove an object, if it exists."""
        self.platform.objects.pop(name, None)
        self.respond_to_write({})


class MembersHandler(PlatformHandler):
    """Serve the membership list."""

    def get(self) -> None:
        """Return the VMs that are visible now."""
        self.finish({"members": self.platform.members.visible(time.time())})


class ControlHandler(RequestHandler):
    """Serve control requests, to which injected faults do not apply."""

    def initialize(self, platform: FakePlatform) -> None:
        """Set the platform that the handler serves."""
        self.platform = platform

    def reject(self, message: str) -> None:
        """Reject an invalid request."""
        self.set_status(400)
        self.finish({"error": message})


class PlatformFaultHandler(ControlHandler):
    """Inject faults: POST /faults {"mode": ..., "delay_s": ..., "hang": ...}."""

    def post(self) -> None:
        """Set the injected fault."""
        error = self.platform.fault.update(orjson.loads(self.request.body))
        if error is not None:
            self.reject(error)
            return
        self.finish({"mode": self.platform.fault.mode})


class MemberHandler(ControlHandler):
    """Change a member: PUT /members/NAME {"state": ..., "data_centre": ..., "kind": ...}."""

    def put(self, name: str) -> None:
        """Change the state of a member."""
        body = orjson.loads(self.request.body)
        if body.get("state") not in MEMBER_STATES:
            self.reject(f"state must be one of {', '.join(MEMBER_STATES)}")
            return
        self.platform.members.change(body | {"name": name}, time.time())
        self.finish({})


class CountsHandler(ControlHandler):
    """Report the numbers of calls: GET /counts."""

    def get(self) -> None:
        """Return the counters since the platform started."""
        self.finish(dict(self.platform.call_counts))


def make_platform_app(members_lag_s: float = 0.0) -> Application:
    """Return the HTTP application of the fake platform."""
    context = {"platform": FakePlatform(MembershipList(members_lag_s))}
    return Application(
        [
            (r"/table/([a-z]+)", TableHandler, context),
            (r"/objects/(.+)", ObjectHandler, context),
            (r"/members", MembersHandler, context),
            (r"/members/(.+)", MemberHandler, context),
            (r"/faults", PlatformFaultHandler, context),
            (r"/counts", CountsHandler, context),
        ]
    )


async def serve(port: int, members_lag_s: float) -> None:
    """Serve the fake platform until cancelled."""
    server = HTTPServer(make_platform_app(members_lag_s), max_body_size=MAX_OBJECT_BYTES)
    server.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def define_flags() -> None:
    """Define the flags; only the program does so, since flags of imported modules would clash."""
    flags.DEFINE_integer("port", 0, "Port of the platform.")
    flags.DEFINE_float("members_lag_s", 1.0, "Time until the membership list shows a change.")


def main(argv: list[str]) -> None:
    """Run the fake platform."""
    asyncio.run(serve(FLAGS.port, FLAGS.members_lag_s))


if __name__ == "__main__":
    define_flags()
    app.run(main)
