"""Stand in for the platform: table, object store, membership list and injected faults."""

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
# Outcomes are kept long enough for every client deadline; the bound keeps long runs small.
MAX_OUTCOMES = 200_000


@attrs.define
class TableState:
    """Hold the rows and the outcomes of transactions."""

    rows: dict[str, tuple[int, Any]] = attrs.Factory(dict)
    outcomes: dict[str, dict[str, int]] = attrs.Factory(dict)

    def commit(self, txn: dict[str, Any]) -> dict[str, Any]:
        """Apply a transaction or name the row in conflict; repeats have no effect."""
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
        """Return rows in key order."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        chosen = keys[bisect_right(keys, after) :][:limit]
        return [
            {"key": key, "revision": self.rows[key][0], "value": self.rows[key][1]}
            for key in chosen
        ]


@attrs.define
class MembershipList:
    """Show each change of a member only after a lag, in seconds."""

    lag_s: float
    visible_by_name: dict[str, dict[str, Any]] = attrs.Factory(dict)
    pending: deque[tuple[float, dict[str, Any]]] = attrs.Factory(deque)

    def change(self, member: dict[str, Any], now: float) -> None:
        """Note a member's new state, which becomes visible after the lag."""
        self.pending.append((now + self.lag_s, member | {"since": now}))

    def visible(self, now: float) -> list[dict[str, Any]]:
        """Return the members as the list shows them now, with the time of each change."""
        while self.pending and self.pending[0][0] <= now:
            _, member = self.pending.popleft()
            self.visible_by_name[member["name"]] = member
        return [self.visible_by_name[name] for name in sorted(self.visible_by_name)]


@attrs.define
class PlatformFault:
    """Hold the fault in force; `down` answers 503 at once, or never when `hang` is set."""

    mode: str = "up"
    delay_s: float = 0.0
    hang: bool = False

    def update(self, body: dict[str, Any]) -> str | None:
        """Take a new fault, or return what is wrong with it."""
        if body.get("mode") not in FAULT_MODES:
            return f"mode must be one of {', '.join(FAULT_MODES)}"
        self.mode = body["mode"]
        self.delay_s = float(body.get("delay_s", 0.0))
        self.hang = bool(body.get("hang", False))
        return None


@attrs.define
class FakePlatform:
    """Hold the whole state of the stand-in."""

    members: MembershipList
    table: TableState = attrs.Factory(TableState)
    objects: dict[str, bytes] = attrs.Factory(dict)
    fault: PlatformFault = attrs.Factory(PlatformFault)
    call_counts: Counter[str] = attrs.Factory(Counter)


class PlatformHandler(RequestHandler):
    """Apply the fault in force before and after each call, and count calls."""

    def initialize(self, platform: FakePlatform) -> None:
        """Take the platform."""
        self.platform = platform

    async def prepare(self) -> None:
        """Delay or refuse the call as the fault in force says."""
        fault = self.platform.fault
        self.platform.call_counts["reads" if self.request.method == "GET" else "writes"] += 1
        if fault.mode == "slow":
            await asyncio.sleep(fault.delay_s)
        if fault.mode == "down":
            if fault.hang:
                await asyncio.Event().wait()
            self.set_status(HTTP_UNAVAILABLE)
            self.finish({"error": "injected outage"})

    def answer_write(self, body: dict[str, Any], status: int = 200) -> None:
        """Answer a write that took effect, or drop the connection in its place."""
        if self.platform.fault.mode == "lose_answers":
            self.platform.call_counts["lost_answers"] += 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.set_status(status)
        self.finish(body)


class TableHandler(PlatformHandler):
    """Serve the table."""

    def post(self, _: str) -> None:
        """Commit a transaction."""
        answer = self.platform.table.commit(orjson.loads(self.request.body))
        if "conflict" in answer:
            self.platform.call_counts["conflicts"] += 1
        self.answer_write(answer, HTTP_CONFLICT if "conflict" in answer else 200)

    def get(self, what: str) -> None:
        """Read a row, a range of rows or the outcome of a transaction."""
        table = self.platform.table
        if what == "row":
            revision, value = table.rows.get(self.get_argument("key"), (0, None))
            self.finish({"revision": revision, "value": value})
        elif what == "scan":
            rows = table.scan(
                self.get_argument("prefix"),
                self.get_argument("after", ""),
                int(self.get_argument("limit", "1000")),
            )
            self.finish({"rows": rows})
        else:
            found = table.outcomes.get(self.get_argument("txn_id"))
            state = "unknown" if found is None else "committed"
            self.finish({"state": state, "revisions": found or {}})


class ObjectHandler(PlatformHandler):
    """Serve the object store: /objects/NAME."""

    def put(self, name: str) -> None:
        """Store an object; a repeated write replaces it."""
        self.platform.objects[name] = self.request.body
        self.answer_write({"bytes": len(self.request.body)})

    def get(self, name: str) -> None:
        """Return an object."""
        found = self.platform.objects.get(name)
        if found is None:
            self.set_status(HTTP_NOT_FOUND)
            self.finish({"error": f"there is no object {name}"})
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(found)

    def delete(self, name: str) -> None:
        """Remove an object; a repeat has no effect."""
        self.platform.objects.pop(name, None)
        self.answer_write({})


class MembersHandler(PlatformHandler):
    """Serve the membership list."""

    def get(self) -> None:
        """Return the VMs as the list shows them now."""
        self.finish({"members": self.platform.members.visible(time.time())})


class ControlHandler(RequestHandler):
    """Take commands of tests, which no injected fault touches."""

    def initialize(self, platform: FakePlatform) -> None:
        """Take the platform."""
        self.platform = platform

    def refuse(self, message: str) -> None:
        """Answer a command that cannot be followed."""
        self.set_status(400)
        self.finish({"error": message})


class FaultsHandler(ControlHandler):
    """Inject faults: POST /faults {"mode": ..., "delay_s": ..., "hang": ...}."""

    def post(self) -> None:
        """Put a fault in force."""
        problem = self.platform.fault.update(orjson.loads(self.request.body))
        if problem is not None:
            self.refuse(problem)
            return
        self.finish({"mode": self.platform.fault.mode})


class MemberHandler(ControlHandler):
    """Change a member: PUT /members/NAME {"state": ..., "data_centre": ..., "kind": ...}."""

    def put(self, name: str) -> None:
        """Note a member's new state."""
        body = orjson.loads(self.request.body)
        if body.get("state") not in MEMBER_STATES:
            self.refuse(f"state must be one of {', '.join(MEMBER_STATES)}")
            return
        self.platform.members.change(body | {"name": name}, time.time())
        self.finish({})


class CountsHandler(ControlHandler):
    """Report how often the platform was called: GET /counts."""

    def get(self) -> None:
        """Return the counters since the start."""
        self.finish(dict(self.platform.call_counts))


def make_platform_app(members_lag_s: float = 0.0) -> Application:
    """Return the HTTP application of the stand-in."""
    context = {"platform": FakePlatform(MembershipList(members_lag_s))}
    return Application(
        [
            (r"/table/([a-z]+)", TableHandler, context),
            (r"/objects/(.+)", ObjectHandler, context),
            (r"/members", MembersHandler, context),
            (r"/members/(.+)", MemberHandler, context),
            (r"/faults", FaultsHandler, context),
            (r"/counts", CountsHandler, context),
        ]
    )


async def serve(port: int, members_lag_s: float) -> None:
    """Serve until cancelled."""
    server = HTTPServer(make_platform_app(members_lag_s), max_body_size=MAX_OBJECT_BYTES)
    server.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def define_flags() -> None:
    """Define the command line; only the program itself does, so that modules stay importable."""
    flags.DEFINE_integer("port", 0, "Port of the platform.")
    flags.DEFINE_float("members_lag_s", 1.0, "Time until the membership list shows a change.")


def main(argv: list[str]) -> None:
    """Serve the platform."""
    asyncio.run(serve(FLAGS.port, FLAGS.members_lag_s))


if __name__ == "__main__":
    define_flags()
    app.run(main)
