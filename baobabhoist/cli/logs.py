"""Merge the log lines of several processes that concern one job, in time order."""

from __future__ import annotations

import json
import re
import string
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

import attrs

from baobabhoist.cli.client import ExitCode, UsageError
from baobabhoist.cli.output import CommandResult
from baobabhoist.observability.events import Event

# Log collectors may prefix a line with a time and the name of its process.
_LINE_PATTERN = re.compile(
    r"^\s*(?:(?P<at>-?\d+(?:\.\d+)?)\s+)?(?:(?P<node>[^\s{]+)\s+)?(?P<json>\{.*\})"
)
# Events that change the state of a whole process; shown between the first and last line of a job.
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
        "steps_waiting",
        "loop_stalled",
        "task_crashed",
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
    """Hold one logged event: its time, its process, its message and its fields."""

    time: str
    node: str
    name: str
    message: str = attrs.field(eq=False)
    fields: dict[str, Any] = attrs.field(eq=False)

    def text(self) -> str:
        """Return the event as a line of text, without fields that the message contains."""
        in_message = _template_fields(self.name)
        extra_fields = {k: v for k, v in self.fields.items() if k not in in_message}
        details = " ".join(f"{key}={value}" for key, value in extra_fields.items())
        return f"{self.time} {self.node} {self.name}: {self.message} {details}".rstrip()


def _template_fields(name: str) -> frozenset[str]:
    """Return the fields that the message of an event contains; none if the event is unknown."""
    try:
        template = Event[name.upper()].template
    except KeyError:
        return frozenset()
    return frozenset(field for _, field, _, _ in string.Formatter().parse(template) if field)


def merge_logs(job_id: str, paths: Sequence[str]) -> CommandResult:
    """Show the log lines of a job, with the events of its processes and workers meanwhile."""
    lines = sorted(_read_lines(paths))
    job_lines = [line for line in lines if _mentions_job(line, job_id)]
    if not job_lines:
        message = f"no line of these logs mentions {job_id}"
        body = {"error": {"kind": "not_found", "message": message}}
        return CommandResult(body, [message], ExitCode.NOT_FOUND)
    selected = _add_context(job_lines, lines)
    data = [attrs.asdict(line) for line in selected]
    return CommandResult({"lines": data}, [line.text() for line in selected])


def _read_lines(paths: Sequence[str]) -> Iterator[LogLine]:
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                yield from _parse_lines(file, Path(path).stem)
        except OSError as exc:
            raise UsageError(f"cannot read {path}: {exc.strerror}") from exc


def _parse_lines(file: Iterable[str], default_node: str) -> Iterator[LogLine]:
    for text in file:
        match = _LINE_PATTERN.match(text)
        if match is None:
            continue
        try:
            entry = json.loads(match["json"])
        except ValueError:
            continue
        if isinstance(entry, dict) and "name" in entry:
            yield LogLine(
                str(entry.get("time", "")),
                match["node"] or default_node,
                str(entry["name"]),
                str(entry.get("message", "")),
                dict(entry.get("fields") or {}),
            )


def _mentions_job(line: LogLine, job_id: str) -> bool:
    return any(job_id in str(value) for value in line.fields.values())


def _add_context(job_lines: Sequence[LogLine], lines: Sequence[LogLine]) -> list[LogLine]:
    workers = {str(line.fields["worker"]) for line in job_lines if "worker" in line.fields}
    nodes = {line.node for line in job_lines}
    job_line_ids = set(map(id, job_lines))
    first_time, last_time = job_lines[0].time, job_lines[-1].time

    def is_selected(line: LogLine) -> bool:
        if id(line) in job_line_ids:
            return True
        if line.node not in nodes or not first_time <= line.time <= last_time:
            return False
        on_worker = line.name in WORKER_EVENTS and line.fields.get("worker") in workers
        return on_worker or line.name in CONTEXT_EVENTS

    return [line for line in lines if is_selected(line)]
