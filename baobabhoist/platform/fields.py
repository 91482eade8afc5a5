"""Check single values of decoded JSON."""

from __future__ import annotations

from typing import Any

# Integers up to this value are exact in the doubles that many JSON libraries use.
MAX_INTEGER = 1 << 53


class FieldError(ValueError):
    """Report a field that is missing, out of range or of the wrong type."""


def integer(value: Any, name: str, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return an integer; raises FieldError."""
    checked = number(value, name, low, high, kind="an integer")
    if checked != int(checked):
        raise FieldError(f"{name} is not an integer")
    return int(value)


def number(
    value: Any, name: str, low: int = 0, high: int = MAX_INTEGER, *, kind: str = "a number"
) -> float:
    """Return a number; raises FieldError, which calls it `kind`."""
    if type(value) not in (int, float):
        raise FieldError(f"{name} is not {kind}")
    if not low <= value <= high:
        raise FieldError(f"{name} is {value}; it must be from {low} to {high}")
    return float(value)


def text(value: Any, name: str) -> str:
    """Return a string; raises FieldError."""
    if not isinstance(value, str):
        raise FieldError(f"{name} is not a string")
    return value
