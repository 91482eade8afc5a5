"""Read, follow and change the rows of the platform's store."""

from __future__ import annotations

import base64
import binascii
import time
from typing import Any
from urllib.parse import urlencode

from baobabhoist.platform.adaptive_timeout import AdaptiveTimeout
from baobabhoist.platform.http_client import HttpClient, HttpResponse
from baobabhoist.platform.page_size import AdaptivePageSize
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

CALL_TIMEOUT_S = 1.2
OK, GONE, CONFLICT, TOO_MANY, UNAVAILABLE = 200, 410, 412, 429, 503
REFUSED = frozenset({TOO_MANY, UNAVAILABLE})


class PlatformRowStore:
    """Be the row store that the platform runs."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address
        self._commit_timeout = AdaptiveTimeout()
        self._page_size = AdaptivePageSize()

    async def read(self, table: str, part: str = "", *, first: str = "", last: str = "") -> RowSet:
        """Return the rows of a part, all pages; raises StoreError."""
        query: dict[str, Any] = {"table": table, "part": part}
        if last:
            query["to"] = last
        rows: list[StoredRow] = []
        oldest: int | None = None
        while True:
            if first:
                query["from"] = first
            page = await self._page(query)
            found = [row for row in _rows(page) if not rows or row.key != rows[-1].key]
            rows += found
            # Later pages may be newer; changes are followed from the first one.
            oldest = _number(page, "schemaVer") if oldest is None else oldest
            if not page.field("hasMore") or not found:
                return RowSet(tuple(rows), oldest, _number(page, "nowMs"))
            # A page begins with the key that it is asked from, which is known already.
            first = found[-1].key.key

    async def _page(self, query: dict[str, Any]) -> HttpResponse:
        sized = {**query, "limit": self._page_size.rows}
        try:
            page = await self._get("/-/rows-get", sized, CALL_TIMEOUT_S)
        except StoreUnansweredError:
            self._page_size.record_timeout()
            raise
        self._page_size.record_response()
        return page

    async def poll_changes(self, table: str, after_version: int, wait_ms: int) -> RowSet:
        """Return what changed after a version; raises StoreError."""
        query = {"table": table, "after": after_version, "waitMs": wait_ms}
        timeout_s = wait_ms / 1000 + CALL_TIMEOUT_S
        page = await self._get("/-/rows-feed", query, timeout_s)
        return RowSet(tuple(_rows(page)), _number(page, "schemaVer"), _number(page, "nowMs"))

    async def commit(self, txn: RowTransaction) -> RowsCommitted | RowsConflict:
        """Apply a transaction; raises StoreError."""
        body = {
            "expectedRev": [
                {**_name(key), "schemaVer": version}
                for key, version in txn.expected_versions.items()
            ],
            "puts": [
                {**_name(key), "value": base64.b64encode(value).decode()}
                for key, value in txn.puts.items()
            ],
            "remove": [_name(key) for key in txn.removes],
        }
        began_s = time.monotonic()
        answer = await self._http.request(
            "POST", self._address, "/-/rows-tx", body, timeout_s=self._commit_timeout.current_s()
        )
        if answer.status:
            self._commit_timeout.record_response(time.monotonic() - began_s)
        else:
            self._commit_timeout.record_timeout()
        if answer.status == CONFLICT:
            return RowsConflict(tuple(_rows(answer)))
        _check(answer)
        return RowsCommitted(_number(answer, "schemaVer"), _number(answer, "nowMs"))

    async def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> HttpResponse:
        answer = await self._http.request(
            "GET", self._address, f"{path}?{urlencode(query)}", timeout_s=timeout_s
        )
        if answer.status == GONE:
            raise HistoryLostError("the store dropped this part of its history")
        _check(answer)
        return answer


def _check(answer: HttpResponse) -> None:
    if answer.status == OK:
        return
    if answer.status == 0:
        raise StoreUnansweredError(f"the store did not answer: {answer.reason}")
    if answer.status in REFUSED:
        raise StoreRefusedError(f"the store answered {answer.status}")
    raise StoreError(f"the store answered {answer.status}: {answer.body}")


def _name(key: RowKey) -> dict[str, str]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _rows(answer: HttpResponse) -> list[StoredRow]:
    return [row for row in map(_row, answer.field("rows") or ()) if row is not None]


def _row(entry: dict[str, Any]) -> StoredRow | None:
    key = RowKey(str(entry.get("table", "")), str(entry.get("part", "")), str(entry.get("key")))
    version = int(entry.get("schemaVer") or 0)
    if entry.get("deleted") or not version:
        return StoredRow(key, None, version)
    try:
        return StoredRow(key, base64.b64decode(entry.get("value") or ""), version)
    except (binascii.Error, TypeError):
        return StoredRow(key, b"", version)


def _number(answer: HttpResponse, name: str) -> int:
    value = answer.field(name)
    if not isinstance(value, int):
        raise StoreUnansweredError(f"the store's answer has no {name}")
    return value
