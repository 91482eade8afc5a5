"""Check that references between records stay valid when records are changed or deleted."""

from __future__ import annotations

from baobabhoist.errors import ErrorKind, Problem, Refusal
from baobabhoist.records.kinds import Key, Queue, RecordKind, TypedRecord
from baobabhoist.records.schema import refusal_for_problems
from baobabhoist.records.view import RecordView

MAX_LISTED_USERS = 5


def check_references(view: RecordView, record: TypedRecord, name: str) -> Refusal | None:
    """Return a refusal if a record refers to missing records or reuses a digest, else None."""
    problems = []
    if isinstance(record, Key):
        if record.team and view.team(record.team) is None:
            remedy = "create the team first"
            problems.append(Problem("body.team", f"there is no team {record.team}", remedy))
        duplicates = [
            other
            for other, key in view.keys().items()
            if key.digest == record.digest and other != name
        ]
        if duplicates:
            message = f"the key record {duplicates[0]} has the same digest"
            problems.append(Problem("body.digest", message, "use a different key"))
    elif (
        isinstance(record, Queue)
        and record.policy
        and view.get(RecordKind.POLICY, record.policy) is None
    ):
        message = f"there is no policy {record.policy}"
        problems.append(Problem("body.policy", message, "create the policy first"))
    return refusal_for_problems(problems, "the record") if problems else None


def check_unreferenced(view: RecordView, kind: str, name: str) -> Refusal | None:
    """Return a refusal to delete a record that other records refer to, else None."""
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


def in_use_refusal(kind: str, name: str, user_kind: str, users: list[str], remedy: str) -> Refusal:
    """Return the refusal to delete a record that is in use."""
    listed = ", ".join(sorted(users)[:MAX_LISTED_USERS])
    more = f" and {len(users) - MAX_LISTED_USERS} more" if len(users) > MAX_LISTED_USERS else ""
    return Refusal(
        ErrorKind.IN_USE,
        f"the {kind} {name} is in use by the {user_kind} {listed}{more}",
        remedy=remedy,
    )
