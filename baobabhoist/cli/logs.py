"""Merge the log lines of several processes that concern one job, in the order of time."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

import attrs

from baobabhoist.cli.client import ExitCode, UsageError
from baobabhoist.cli.output import CommandResult

# A line may begin with a time and the name of its process, as collectors write it.
_LINE_PATTERN = re.compile(
    r"^\s*(?:(?P<at>-?\d+(?:\.\d+)?)\s+)?(?:(?P<node>[^\s{]+)\s+)?(?P<json>\{.*\})"
)
# Events that change what a process believes, shown while the job was in hand.
CONTEXT_EVENTS = frozenset(
    {
        "claim_won",
        "claim_lost",
        "claim_released",
        "cell_loaded",
        "table_lost",
        "table_followed",
        "config_in_force",
        "drain_started",
    }
)
WORKER_EVENTS = frozenset(
    {
        "worker_silent",
        "worker_answers",
        "worker_set_aside",
        "worker_restarted",
        "worker_unlisted",
        "worker_drains",
        "worker_gone",
    }
)


@attrs.frozen(order=True)
class LogLine:
    """Hold one event: when it was logged, by which process, and its fields."""

    time: str
    node: str
    name: str
    message: str = attrs.field(eq=False)
    fields: dict[str, Any] = attrs.field(eq=False)

    def text(self) -> str:
        """Return the line for a person."""
        known = {k: v for k, v in self.fields.items() if f"{v}" not in self.message}
        details = " ".join(f"{key}={value}" for key, value in known.items())
        return f"{self.time} {self.node} {self.name}: {self.message} {details}".rstrip()


def merge_logs(job_id: str, paths: Sequence[str]) -> CommandResult:
    """Show what several logs say of a job, with what its processes and workers went through."""
    lines = sorted(_lines(paths))
    own = [line for line in lines if _concerns(line, job_id)]
    if not own:
        message = f"no line of these logs names {job_id}"
        body = {"error": {"kind": "not_found", "message": message}}
        return CommandResult(body, [message], ExitCode.NOT_FOUND)
    selected = _with_context(own, lines)
    data = [attrs.asdict(line) for line in selected]
    return CommandResult({"lines": data}, [line.text() for line in selected])


def _lines(paths: Sequence[str]) -> Iterator[LogLine]:
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                yield from _parse(file, Path(path).stem)
        except OSError as exc:
            raise UsageError(f"cannot read {path}: {exc.strerror}") from exc


def _parse(file: Iterable[str], default_node: str) -> Iterator[LogLine]:
    for text in file:
        found = _LINE_PATTERN.match(text)
        if found is None:
            continue
        try:
            entry = json.loads(found["json"])
        except ValueError:
            continue
        if isinstance(entry, dict) and "name" in entry:
            yield LogLine(
                str(entry.get("time", "")),
                found["node"] or default_node,
                str(entry["name"]),
                str(entry.get("message", "")),
                dict(entry.get("fields") or {}),
            )


def _concerns(line: LogLine, job_id: str) -> bool:
    return any(job_id in str(value) for value in line.fields.values())


def _with_context(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[LogLine]:
    workers = {str(line.fields["worker"]) for line in own if "worker" in line.fields}
    nodes = {line.node for line in own}
    chosen = set(map(id, own))
    first, last = own[0].time, own[-1].time

    def wanted(line: LogLine) -> bool:
        if id(line) in chosen:
            return True
        if line.node not in nodes or not first <= line.time <= last:
            return False
        on_worker = line.name in WORKER_EVENTS and line.fields.get("worker") in workers
        return on_worker or line.name in CONTEXT_EVENTS

    return [line for line in lines if wanted(line)]
