"""Access the platform's table service and membership list over HTTP."""

from __future__ import annotations

import logging
from typing import Any
from urllib.parse import urlencode

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from baobabhoist.errors import ErrorKind, PlatformError, Refusal
from baobabhoist.observability.events import Event, emit
from baobabhoist.store.table import Committed, Row, Transaction

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 2.0
HTTP_CONFLICT = 409


class PlatformTableClient:
    """Send reads and transactions to the platform's table service."""

    def __init__(self, base_url: str, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._http = AsyncHTTPClient()

    async def read(self, key: str) -> Row:
        """Return a row; its revision is 0 if it is absent."""
        body = await self._get("/table/row", key=key)
        return Row(key, body["revision"], body["value"])

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return the rows with a prefix in key order, starting after the key `after`."""
        body = await self._get("/table/scan", prefix=prefix, after=after, limit=limit)
        return [Row(row["key"], row["revision"], row["value"]) for row in body["rows"]]

    async def commit(self, txn: Transaction) -> Committed | Refusal:
        """Commit a transaction or return a conflict; a lost response is looked up by id."""
        body = orjson.dumps({"txn_id": txn.txn_id, "checks": txn.checks, "writes": txn.writes})
        try:
            response = await self._fetch("/table/commit", method="POST", body=body)
        except PlatformError:
            outcome = await self._get("/table/outcome", txn_id=txn.txn_id)
            emit(log, Event.COMMIT_READ_BACK, txn_id=txn.txn_id, state=outcome["state"])
            if outcome["state"] != "committed":
                raise
            return Committed(outcome["revisions"])
        if "conflict" in response:
            return Refusal(
                ErrorKind.CONFLICT,
                f"row {response['conflict']} was changed by another writer",
                remedy="read the row again and repeat the change",
            )
        return Committed(response["revisions"])

    async def members(self) -> list[dict[str, Any]]:
        """Return the entries of the membership list; raises PlatformError."""
        body = await self._get("/members")
        return list(body["members"])

    async def _get(self, path: str, **query: Any) -> Any:
        return await self._fetch(f"{path}?{urlencode(query)}")

    async def _fetch(self, path: str, **options: Any) -> Any:
        try:
            response = await self._http.fetch(
                self._base_url + path,
                request_timeout=self._timeout_s,
                connect_timeout=self._timeout_s,
                **options,
            )
        except HTTPClientError as exc:
            if exc.code == HTTP_CONFLICT and exc.response is not None:
                return orjson.loads(exc.response.body)
            raise PlatformError(f"the platform answered {exc.code} to {path}") from exc
        except OSError as exc:
            raise PlatformError(f"the platform cannot be reached: {exc}") from exc
        return orjson.loads(response.body)
