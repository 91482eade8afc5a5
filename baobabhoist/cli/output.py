"""Print results as tables for people or as JSON for programs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import attrs
import orjson

from baobabhoist.cli.client import ExitCode

# Longer lists, and lists of objects, are counted in tables; --output=json shows them in full.
MAX_LISTED_ITEMS = 8


@attrs.frozen
class CommandResult:
    """Hold what a command found: data for programs, lines for people, and the exit code."""

    data: Any
    lines: Sequence[str] = ()
    code: ExitCode = ExitCode.OK
    raw: bytes | None = None


def format_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [list(headings), *([format_value(cell) for cell in row] for row in rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headings))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def format_value(value: Any) -> str:
    """Return a value as a cell of a table; control characters are escaped."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (list, tuple)):
        if len(value) > MAX_LISTED_ITEMS or any(isinstance(item, (dict, list)) for item in value):
            return "1 entry" if len(value) == 1 else f"{len(value)} entries"
        return ", ".join(format_value(item) for item in value) or "-"
    if isinstance(value, dict):
        pairs = [f"{format_value(name)}={_nested(item)}" for name, item in value.items()]
        return ", ".join(pairs) or "-"
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in str(value))


def _nested(value: Any) -> str:
    return f"({format_value(value)})" if isinstance(value, dict) and value else format_value(value)


def format_error(body: dict[str, Any]) -> list[str]:
    """Return an error body for people."""
    lines = [f"{format_value(body.get('kind'))}: {format_value(body.get('message'))}"]
    for problem in body.get("problems") or []:
        remedy = f"; {format_value(problem['remedy'])}" if problem.get("remedy") else ""
        lines.append(
            f"  {format_value(problem.get('path'))}: "
            f"{format_value(problem.get('message'))}{remedy}"
        )
    for each in body.get("written") or []:
        lines.append(f"  {each['kind']} {each['name']} was written at revision {each['revision']}")
    if body.get("remedy"):
        lines.append(f"remedy: {format_value(body['remedy'])}")
    if body.get("outcome"):
        lines.append(f"outcome: {format_value(body['outcome'])}")
    if body.get("retry_after") is not None:
        lines.append(f"retry after: {body['retry_after']:g} s")
    return lines


def write_result(result: CommandResult, form: str, write: Callable[[bytes], Any]) -> None:
    """Write a result as a table or as JSON."""
    if form == "json":
        write(orjson.dumps(result.data, option=orjson.OPT_INDENT_2) + b"\n")
    elif result.raw is not None:
        write(result.raw)
    else:
        write("".join(f"{line}\n" for line in result.lines).encode())
