"""Decode lists of JSON objects of which most are the same as the last time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import orjson

Decoded = TypeVar("Decoded")


class EntryCache(Generic[Decoded]):
    """Decode entries, which must become immutable values; equal entries keep their values."""

    def __init__(self, parse: Callable[[dict[str, Any]], Decoded]) -> None:
        self._parse = parse
        # The values of the last list, by the JSON of their entries.
        self._values: dict[str, Decoded] = {}

    def decode(self, entries: Iterable[dict[str, Any]]) -> tuple[Decoded, ...]:
        """Return the values of a list of entries; raises what the parser raises."""
        values: dict[str, Decoded] = {}
        decoded = []
        for entry in entries:
            text = _encode(entry)
            value = self._values.get(text) if text is not None else None
            if value is None:
                value = self._parse(entry)
            if text is not None:
                values[text] = value
            decoded.append(value)
        self._values = values
        return tuple(decoded)


def _encode(entry: dict[str, Any]) -> str | None:
    """Return the JSON of an entry, or None if it is nested too deeply to be encoded."""
    try:
        # As a string, because the bytes that orjson returns keep its whole buffer.
        return orjson.dumps(entry).decode()
    except orjson.JSONEncodeError:
        return None
