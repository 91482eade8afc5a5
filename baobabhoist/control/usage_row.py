"""Encode the past use of teams as one row of the store."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from baobabhoist.store.row_store import RowKey

USAGE_ROW_KEY = RowKey("usage", "", "teams")
SCHEMA_VERSION = 1
USE_DIGITS = 4
# More than a cell can have been used for.
MAX_USE_S = 1e9


@attrs.frozen
class UsageRow:
    """Hold the past use of teams at a time of the store's clock.

    A use of 1 s is that of the whole cell for a second.
    """

    stored_ms: int
    use_s: Mapping[str, float]


def encode_usage(row: UsageRow) -> bytes:
    """Encode the value of the row."""
    use_s = {team: round(use, USE_DIGITS) for team, use in row.use_s.items()}
    return orjson.dumps({"schema": SCHEMA_VERSION, "at_ms": row.stored_ms, "use_s": use_s})


def decode_usage(value: bytes) -> UsageRow:
    """Decode the value of the row; raises ValueError if it is malformed or of another schema."""
    body = orjson.loads(value)
    if not isinstance(body, dict) or body.get("schema") != SCHEMA_VERSION:
        raise ValueError("the schema of the past use of teams is unknown")
    stored_ms, use_s = body.get("at_ms"), body.get("use_s")
    if type(stored_ms) is not int or not isinstance(use_s, dict):
        raise ValueError("the past use of teams has no time or no teams")
    if not all(_is_amount(use) for use in use_s.values()):
        raise ValueError("the past use of a team is not a number from 0 on")
    return UsageRow(stored_ms, use_s)


def _is_amount(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= MAX_USE_S
