"""Implement the commands that read and change records."""

from __future__ import annotations

import datetime
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import yaml

from baobabhoist.cli.client import Client, RefusedError, UnreachableError, UsageError, url_path
from baobabhoist.cli.output import CommandResult, format_table, format_value

RECORD_FIELDS = {"kind", "name", "schema_version", "body", "revision"}
# `get record --output=json` prints these fields as well; `put record` ignores them, so that the
# output can be edited and put back.
IGNORED_FIELDS = {"previous", "changed_by", "changed_at", "pending_limit"}


def load_records(file: str) -> list[dict[str, Any]]:
    """Load the records from a YAML file of one or more documents; raises UsageError."""
    try:
        text = Path(file).read_text(encoding="utf-8")
        documents = [document for document in yaml.safe_load_all(text) if document is not None]
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise UsageError(f"cannot read {file}: {exc}") from exc
    problems: list[str] = []
    for index, record in enumerate(documents):
        problems.extend(f"document {index + 1}: {text}" for text in _find_problems(record))
    if not documents:
        problems.append("the file contains no records")
    if problems:
        raise UsageError(f"{file} is invalid:\n" + "\n".join(problems))
    return documents


def _find_problems(record: Any) -> list[str]:
    if not isinstance(record, dict):
        return ["a record is a mapping with kind, name, schema_version and body"]
    problems = [f"the field {name} is missing" for name in ("kind", "name") if name not in record]
    problems += [
        f"the field {name} is missing" for name in ("schema_version", "body") if name not in record
    ]
    unknown = sorted(str(name) for name in record.keys() - RECORD_FIELDS - IGNORED_FIELDS)
    problems += [f"the field {name} is unknown" for name in unknown]
    revision = record.get("revision", 0)
    if type(revision) is not int or revision < 0:
        problems.append("the field revision is not a whole number")
    return problems


def put_records(client: Client, file: str) -> CommandResult:
    """Write every record in a YAML file, in the order of the file.

    A document with a revision is written only if the record still has that revision (0: only if
    it does not exist). A document without one replaces the current revision.
    """
    written: list[dict[str, Any]] = []
    for record in load_records(file):
        record_id = f"{record['kind']} {record['name']}"
        try:
            written.append(_put_record(client, record))
        except RefusedError as exc:
            message = f"{record_id}: {exc.body.get('message')}"
            raise RefusedError(
                exc.status, {**exc.body, "message": message, "written": written}
            ) from exc
        except UnreachableError as exc:
            written_ids = ", ".join(f"{item['kind']} {item['name']}" for item in written) or "none"
            raise UnreachableError(
                f"{record_id}: {exc}; written before: {written_ids}", exc.possibly_received
            ) from exc
    lines = []
    for item in written:
        lines.append(f"{item['kind']} {item['name']} is at revision {item['revision']}")
        if "pending_limit" in item:
            lines.append(format_pending_limit(item["pending_limit"]))
    return CommandResult(written, lines)


def _put_record(client: Client, record: dict[str, Any]) -> dict[str, Any]:
    kind, name = str(record["kind"]), str(record["name"])
    base_revision = record.get("revision")
    if base_revision is None:
        base_revision = _current_revision(client, kind, name)
    body = {"schema_version": record["schema_version"], "body": record["body"]}
    response = client.request_json(
        "PUT",
        url_path("v1", "records", kind, name),
        _to_json_value(body),
        **_precondition(base_revision),
    )
    written = {"kind": kind, "name": name, "revision": response["revision"]}
    pending = response.get("pending_limit")
    return {**written, "pending_limit": pending} if pending else written


def format_pending_limit(pending: dict[str, Any]) -> str:
    """Describe a lowered limit that is pending until enough tasks have ended."""
    return (
        f"team {pending['team']}: the limit {pending['limit']} is pending; "
        f"{pending['in_force']} is in force until enough tasks have ended"
    )


def _to_json_value(value: Any) -> Any:
    # YAML has dates, sets and non-string keys, which JSON lacks; as text, the API can name them
    # in its error.
    if isinstance(value, dict):
        return {str(name): _to_json_value(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_to_json_value(item) for item in value]
    if isinstance(value, (datetime.date, bytes, set)):
        return str(value)
    return value


def _precondition(base_revision: int) -> dict[str, str]:
    return {"If_Match": f'"{base_revision}"'} if base_revision else {"If_None_Match": "*"}


def _current_revision(client: Client, kind: str, name: str) -> int:
    try:
        return int(client.request_json("GET", url_path("v1", "records", kind, name))["revision"])
    except RefusedError as exc:
        if exc.body.get("kind") == "not_found":
            return 0
        raise


def get_record(client: Client, kind: str, name: str) -> CommandResult:
    """Return a record, printed as YAML that can be edited and put back."""
    record = client.request_json("GET", url_path("v1", "records", kind, name))
    kept = {key: value for key, value in record.items() if key not in IGNORED_FIELDS}
    text = yaml.safe_dump(kept, sort_keys=False, allow_unicode=True)
    # The note is printed as a comment so that the output can be put back.
    notes = (
        [f"# {format_pending_limit(record['pending_limit'])}"] if "pending_limit" in record else []
    )
    return CommandResult(record, [*notes, *text.splitlines()])


def list_records(client: Client, kind: str = "") -> CommandResult:
    """List the records in force on the instance."""
    target = url_path("v1", "records", kind) if kind else url_path("v1", "records")
    response = client.request_json("GET", target)
    rows = [
        [
            record["kind"],
            record["name"],
            record["schema_version"],
            record["revision"],
            record["body"],
        ]
        for record in response["records"]
    ]
    return CommandResult(
        response, format_table(["KIND", "NAME", "VERSION", "REVISION", "BODY"], rows)
    )


def delete_record(
    client: Client, kind: str, name: str, revision: int | None = None
) -> CommandResult:
    """Delete a record at the given revision, or at the current one."""
    base_revision = _current_revision(client, kind, name) if revision is None else revision
    target = url_path("v1", "records", kind, name)
    record = client.request_json("DELETE", target, None, If_Match=f'"{base_revision}"')
    return CommandResult(record, [f"{kind} {name} was deleted in revision {record['revision']}"])


def show_history(client: Client, kind: str, name: str) -> CommandResult:
    """Show the versions of a record, newest first."""
    response = client.request_json("GET", url_path("v1", "records", kind, name, "history"))
    rows = [
        [
            version["revision"],
            _format_time(version["changed_at"]),
            version["changed_by"],
            version["schema_version"],
            "deleted" if version["body"] is None else version["body"],
        ]
        for version in response["versions"]
    ]
    return CommandResult(
        response, format_table(["REVISION", "CHANGED AT", "BY", "VERSION", "BODY"], rows)
    )


def diff_revisions(client: Client, kind: str, name: str, old: int, new: int = 0) -> CommandResult:
    """Compare two revisions of a record, or one with the latest if the new one is 0."""
    query = urlencode({"from": old, "to": new})
    response = client.request_json(
        "GET", f"{url_path('v1', 'records', kind, name, 'diff')}?{query}"
    )
    lines = [f"--- revision {response['from']}", f"+++ revision {response['to']}"]
    for item in response["differences"]:
        if item["present"] != "new":
            lines.append(f"- {item['path']}: {format_value(item['old'])}")
        if item["present"] != "old":
            lines.append(f"+ {item['path']}: {format_value(item['new'])}")
    return CommandResult(response, lines)


def _format_time(seconds: float) -> str:
    if not seconds:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
