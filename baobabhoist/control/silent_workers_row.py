"""Encode the silent workers as one row of the store, with times of the store's clock."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import attrs
import orjson

from baobabhoist.cell.silent_workers import SilentWorker
from baobabhoist.store.row_store import RowKey

# In a table of its own, because every instance follows the cell's table.
SILENT_WORKERS_ROW_KEY = RowKey("silence", "", "workers")
SCHEMA_VERSION = 1
# Times beyond this are not of the store's clock.
MAX_TIME_MS = 1 << 53


@attrs.frozen
class SilentWorkersRow:
    """Hold the silent workers by id, and the ids of those whose entries can't be read."""

    workers: Mapping[str, SilentWorker]
    unreadable: tuple[str, ...] = ()


def encode_silent_workers(workers: Mapping[str, SilentWorker]) -> bytes:
    """Encode the value of the row."""
    return orjson.dumps({"schema": SCHEMA_VERSION, "workers": dict(_encode_entries(workers))})


def _encode_entries(workers: Mapping[str, SilentWorker]) -> Iterator[tuple[str, list[int]]]:
    for worker_id, silent in workers.items():
        yield worker_id, [int(silent.lease_expiry_ms), int(silent.longest_expiry_ms)]


def limit_silent_workers(
    workers: Mapping[str, SilentWorker], max_bytes: int
) -> dict[str, SilentWorker]:
    """Return the first workers, as many as fit into a row."""
    size = len(encode_silent_workers({}))
    limited: dict[str, SilentWorker] = {}
    for worker_id, silent in workers.items():
        # The brackets of an entry that stands alone are longer than a separator.
        size += len(orjson.dumps(dict(_encode_entries({worker_id: silent}))))
        if size > max_bytes:
            break
        limited[worker_id] = silent
    return limited


def decode_silent_workers(value: bytes) -> SilentWorkersRow:
    """Decode the value of the row; raises ValueError if it is malformed or of another schema."""
    body = orjson.loads(value)
    if not isinstance(body, dict) or body.get("schema") != SCHEMA_VERSION:
        raise ValueError("the schema of the silent workers is unknown")
    entries = body.get("workers")
    if not isinstance(entries, dict):
        raise ValueError("the row of silent workers has no workers")
    decoded = {worker_id: _decode_entry(entry) for worker_id, entry in entries.items()}
    workers = {worker_id: silent for worker_id, silent in decoded.items() if silent is not None}
    return SilentWorkersRow(workers, tuple(decoded.keys() - workers.keys()))


def _decode_entry(entry: Any) -> SilentWorker | None:
    """Return a silent worker, or None if its entry is malformed."""
    if not isinstance(entry, list) or len(entry) != 2:
        return None
    if not all(type(time_ms) is int and 0 <= time_ms <= MAX_TIME_MS for time_ms in entry):
        return None
    lease_expiry_ms, longest_expiry_ms = entry
    if lease_expiry_ms > longest_expiry_ms:
        return None
    return SilentWorker(lease_expiry_ms, longest_expiry_ms)
