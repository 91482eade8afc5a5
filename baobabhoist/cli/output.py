"""Format the results of commands as tables or as JSON."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import attrs
import orjson

from baobabhoist.cli.client import ExitCode

# A table shows only the length of longer lists and of lists of objects; --output=json shows all.
MAX_LISTED_ITEMS = 8


@attrs.frozen
class CommandResult:
    """Hold the result of a command: data for JSON, lines for a terminal, and the exit code.

    `raw` replaces the lines if the output is the exact bytes of a response.
    """

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
    """Return a value as the text of a table cell, with control characters escaped."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (list, tuple)):
        if len(value) > MAX_LISTED_ITEMS or any(isinstance(item, (dict, list)) for item in value):
            return "1 entry" if len(value) == 1 else f"{len(value)} entries"
        return ", ".join(format_value(item) for item in value) or "-"
    if isinstance(value, dict):
        pairs = [f"{format_value(name)}={_format_nested(item)}" for name, item in value.items()]
        return ", ".join(pairs) or "-"
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in str(value))


def _format_nested(value: Any) -> str:
    return f"({format_value(value)})" if isinstance(value, dict) and value else format_value(value)


def format_error(body: dict[str, Any]) -> list[str]:
    """Return the lines that describe an error body."""
    lines = [f"{format_value(body.get('kind'))}: {format_value(body.get('message'))}"]
    for problem in body.get("problems") or []:
        remedy = f"; {format_value(problem['remedy'])}" if problem.get("remedy") else ""
        lines.append(
            f"  {format_value(problem.get('path'))}: "
            f"{format_value(problem.get('message'))}{remedy}"
        )
    for record in body.get("written") or []:
        lines.append(
            f"  {record['kind']} {record['name']} was written at revision {record['revision']}"
        )
    if body.get("remedy"):
        lines.append(f"remedy: {format_value(body['remedy'])}")
    if body.get("outcome"):
        lines.append(f"outcome: {format_value(body['outcome'])}")
    if body.get("retry_after") is not None:
        lines.append(f"retry after: {body['retry_after']:g} s")
    return lines


def write_result(result: CommandResult, output_format: str, write: Callable[[bytes], Any]) -> None:
    """Write a result as a table or as JSON."""
    if output_format == "json":
        write(orjson.dumps(result.data, option=orjson.OPT_INDENT_2) + b"\n")
    elif result.raw is not None:
        write(result.raw)
    else:
        write("".join(f"{line}\n" for line in result.lines).encode())
