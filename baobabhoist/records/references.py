"""Check what records refer to, and what refers to them before they are deleted."""

from __future__ import annotations

from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.records.kinds import Key, Queue, RecordKind, TypedRecord
from baobabhoist.records.schema import refusal_for_problems
from baobabhoist.records.view import RecordView

MAX_NAMED = 5


def check_references(view: RecordView, record: TypedRecord, name: str) -> Refusal | None:
    """Return the references of a record that lead nowhere, or None."""
    problems = []
    if isinstance(record, Key):
        if record.team and view.team(record.team) is None:
            remedy = "create the team first"
            problems.append(Problem("body.team", f"there is no team {record.team}", remedy))
        taken = [
            other
            for other, key in view.keys().items()
            if key.digest == record.digest and other != name
        ]
        if taken:
            message = f"the key record {taken[0]} has the same digest"
            problems.append(Problem("body.digest", message, "use a key of its own"))
    elif (
        isinstance(record, Queue)
        and record.policy
        and view.get(RecordKind.POLICY, record.policy) is None
    ):
        message = f"there is no policy {record.policy}"
        problems.append(Problem("body.policy", message, "create the policy first"))
    return refusal_for_problems(problems, "the record") if problems else None


def check_unreferenced(view: RecordView, kind: str, name: str) -> Refusal | None:
    """Return why a record cannot be deleted because other records name it, or None."""
    if kind == RecordKind.TEAM:
        users = [other for other, key in view.keys().items() if key.team == name]
        return (
            in_use_refusal(kind, name, "key records", users, "delete its keys first")
            if users
            else None
        )
    if kind == RecordKind.POLICY:
        users = [other for other, queue in view.queues().items() if queue.policy == name]
        remedy = "give these queues another policy first"
        return in_use_refusal(kind, name, "queues", users, remedy) if users else None
    return None


def in_use_refusal(kind: str, name: str, what: str, users: list[str], remedy: str) -> Refusal:
    """Return the refusal to delete a record that is in use."""
    named = ", ".join(sorted(users)[:MAX_NAMED])
    more = f" and {len(users) - MAX_NAMED} more" if len(users) > MAX_NAMED else ""
    return Refusal(
        ErrorKind.IN_USE,
        f"the {kind} {name} is in use by the {what} {named}{more}",
        remedy=remedy,
    )
