"""Read and change records."""

from __future__ import annotations

import datetime
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import yaml

from baobabhoist.cli.client import Client, RefusedError, UnreachableError, UsageError, url_path
from baobabhoist.cli.output import CommandResult, format_table, format_value

RECORD_FIELDS = {"kind", "name", "schema_version", "body", "revision"}
# `get record` shows these as well, so that its output can be edited and put back.
IGNORED_FIELDS = {"previous", "changed_by", "changed_at", "pending_limit"}


def load_records(file: str) -> list[dict[str, Any]]:
    """Return the records in a YAML file of one or more documents; raises UsageError."""
    try:
        text = Path(file).read_text(encoding="utf-8")
        documents = [found for found in yaml.safe_load_all(text) if found is not None]
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise UsageError(f"cannot read {file}: {exc}") from exc
    problems: list[str] = []
    for index, record in enumerate(documents):
        problems.extend(f"document {index + 1}: {text}" for text in _problems(record))
    if not documents:
        problems.append("the file holds no record")
    if problems:
        raise UsageError(f"{file} cannot be used:\n" + "\n".join(problems))
    return documents


def _problems(record: Any) -> list[str]:
    if not isinstance(record, dict):
        return ["a record is a mapping with kind, name, schema_version and body"]
    found = [f"the field {name} is missing" for name in ("kind", "name") if name not in record]
    found += [
        f"the field {name} is missing" for name in ("schema_version", "body") if name not in record
    ]
    unknown = sorted(str(name) for name in record.keys() - RECORD_FIELDS - IGNORED_FIELDS)
    found += [f"the field {name} is unknown" for name in unknown]
    revision = record.get("revision", 0)
    if type(revision) is not int or revision < 0:
        found.append("the field revision is not a whole number")
    return found


def put_records(client: Client, file: str) -> CommandResult:
    """Write every record in a YAML file, in its order.

    A document with a revision is written only over that one (0: only if it does not exist). A
    document without one is written over the revision in force at that moment.
    """
    done: list[dict[str, Any]] = []
    for record in load_records(file):
        named = f"{record['kind']} {record['name']}"
        try:
            done.append(_put_record(client, record))
        except RefusedError as exc:
            message = f"{named}: {exc.body.get('message')}"
            raise RefusedError(
                exc.status, {**exc.body, "message": message, "written": done}
            ) from exc
        except UnreachableError as exc:
            written = ", ".join(f"{each['kind']} {each['name']}" for each in done) or "none"
            raise UnreachableError(f"{named}: {exc}; written before: {written}", exc.sent) from exc
    lines = []
    for each in done:
        lines.append(f"{each['kind']} {each['name']} is at revision {each['revision']}")
        if "pending_limit" in each:
            lines.append(format_pending_limit(each["pending_limit"]))
    return CommandResult(done, lines)


def _put_record(client: Client, record: dict[str, Any]) -> dict[str, Any]:
    kind, name = str(record["kind"]), str(record["name"])
    based_on = record.get("revision")
    if based_on is None:
        based_on = _revision_in_force(client, kind, name)
    body = {"schema_version": record["schema_version"], "body": record["body"]}
    answer = client.request_json(
        "PUT", url_path("v1", "records", kind, name), _plain(body), **_precondition(based_on)
    )
    done = {"kind": kind, "name": name, "revision": answer["revision"]}
    pending = answer.get("pending_limit")
    return {**done, "pending_limit": pending} if pending else done


def format_pending_limit(pending: dict[str, Any]) -> str:
    """Describe a lowered limit that is pending until the excess has ended."""
    return (
        f"team {pending['team']}: the limit {pending['limit']} is pending; "
        f"{pending['in_force']} holds until the excess has ended"
    )


def _plain(value: Any) -> Any:
    # YAML has dates and non-string keys, which the API describes better as text.
    if isinstance(value, dict):
        return {str(name): _plain(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_plain(item) for item in value]
    if isinstance(value, (datetime.date, bytes, set)):
        return str(value)
    return value


def _precondition(based_on: int) -> dict[str, str]:
    return {"If_Match": f'"{based_on}"'} if based_on else {"If_None_Match": "*"}


def _revision_in_force(client: Client, kind: str, name: str) -> int:
    try:
        return int(client.request_json("GET", url_path("v1", "records", kind, name))["revision"])
    except RefusedError as exc:
        if exc.body.get("kind") == "not_found":
            return 0
        raise


def get_record(client: Client, kind: str, name: str) -> CommandResult:
    """Return a record; the printed form can be edited and put back."""
    found = client.request_json("GET", url_path("v1", "records", kind, name))
    kept = {key: value for key, value in found.items() if key not in IGNORED_FIELDS}
    text = yaml.safe_dump(kept, sort_keys=False, allow_unicode=True)
    # As a comment, the line does not get in the way when the output is put back.
    notes = (
        [f"# {format_pending_limit(found['pending_limit'])}"] if "pending_limit" in found else []
    )
    return CommandResult(found, [*notes, *text.splitlines()])


def list_records(client: Client, kind: str = "") -> CommandResult:
    """List the records in force on the instance."""
    target = url_path("v1", "records", kind) if kind else url_path("v1", "records")
    found = client.request_json("GET", target)
    rows = [
        [each["kind"], each["name"], each["schema_version"], each["revision"], each["body"]]
        for each in found["records"]
    ]
    return CommandResult(
        found, format_table(["KIND", "NAME", "VERSION", "REVISION", "BODY"], rows)
    )


def delete_record(
    client: Client, kind: str, name: str, revision: int | None = None
) -> CommandResult:
    """Delete a record at a revision, or at the one in force."""
    based_on = _revision_in_force(client, kind, name) if revision is None else revision
    target = url_path("v1", "records", kind, name)
    found = client.request_json("DELETE", target, None, If_Match=f'"{based_on}"')
    return CommandResult(found, [f"{kind} {name} was deleted in revision {found['revision']}"])


def show_history(client: Client, kind: str, name: str) -> CommandResult:
    """Show the versions of a record, the newest first."""
    found = client.request_json("GET", url_path("v1", "records", kind, name, "history"))
    rows = [
        [
            each["revision"],
            _moment(each["changed_at"]),
            each["changed_by"],
            each["schema_version"],
            "deleted" if each["body"] is None else each["body"],
        ]
        for each in found["versions"]
    ]
    return CommandResult(
        found, format_table(["REVISION", "CHANGED AT", "BY", "VERSION", "BODY"], rows)
    )


def diff_revisions(client: Client, kind: str, name: str, old: int, new: int = 0) -> CommandResult:
    """Compare two revisions of a record, or one with the latest."""
    query = urlencode({"from": old, "to": new})
    found = client.request_json("GET", f"{url_path('v1', 'records', kind, name, 'diff')}?{query}")
    lines = [f"--- revision {found['from']}", f"+++ revision {found['to']}"]
    for item in found["differences"]:
        if item["present"] != "new":
            lines.append(f"- {item['path']}: {format_value(item['old'])}")
        if item["present"] != "old":
            lines.append(f"+ {item['path']}: {format_value(item['new'])}")
    return CommandResult(found, lines)


def _moment(seconds: float) -> str:
    if not seconds:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
