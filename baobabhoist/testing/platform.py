"""Stand in for the platform: table, object store and membership list."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from typing import Any

import attrs
import orjson
from absl import app, flags
from tornado.web import Application, RequestHandler

FLAGS = flags.FLAGS
flags.DEFINE_integer("port", 0, "Port of the platform.")


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
        return {"revisions": revisions}

    def scan(self, prefix: str, after: str, limit: int) -> list[dict[str, Any]]:
        """Return rows in key order."""
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        chosen = keys[bisect_right(keys, after) :][:limit]
        return [
            {"key": key, "revision": self.rows[key][0], "value": self.rows[key][1]}
            for key in chosen
        ]


class TableHandler(RequestHandler):
    """Serve the table."""

    def initialize(self, table: TableState) -> None:
        """Take the table."""
        self.table = table

    def post(self, _: str) -> None:
        """Commit a transaction."""
        answer = self.table.commit(orjson.loads(self.request.body))
        self.set_status(409 if "conflict" in answer else 200)
        self.finish(answer)

    def get(self, what: str) -> None:
        """Read a row, a range of rows or the outcome of a transaction."""
        if what == "row":
            revision, value = self.table.rows.get(self.get_argument("key"), (0, None))
            self.finish({"revision": revision, "value": value})
        elif what == "scan":
            rows = self.table.scan(
                self.get_argument("prefix"),
                self.get_argument("after", ""),
                int(self.get_argument("limit", "1000")),
            )
            self.finish({"rows": rows})
        else:
            found = self.table.outcomes.get(self.get_argument("txn_id"))
            state = "unknown" if found is None else "committed"
            self.finish({"state": state, "revisions": found or {}})


def platform_app() -> Application:
    """Return the HTTP application of the stand-in."""
    return Application([(r"/table/([a-z]+)", TableHandler, {"table": TableState()})])


async def serve(port: int) -> None:
    """Serve until cancelled."""
    platform_app().listen(port, "127.0.0.1")
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the platform."""
    asyncio.run(serve(FLAGS.port))


if __name__ == "__main__":
    app.run(main)
