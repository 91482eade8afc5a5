"""Submit, watch and cancel jobs, and send single requests."""

from __future__ import annotations

import sys
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml

from baobabhoist.cli.client import Client, ExitCode, UnreachableError, UsageError, url_path
from baobabhoist.cli.output import CommandResult, format_error, format_table

POLL_INTERVAL_S = 0.5
FINAL_STATES = {
    "succeeded": ExitCode.OK,
    "failed": ExitCode.JOB_FAILED,
    "cancelled": ExitCode.JOB_FAILED,
}
CLEAR_LINE = "\r\x1b[K"


def load_job(file: str) -> dict[str, Any]:
    """Return the job in a YAML or JSON file; raises UsageError."""
    try:
        found = yaml.safe_load(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise UsageError(f"cannot read {file}: {exc}") from exc
    if not isinstance(found, dict):
        raise UsageError(f"{file} does not hold a job: it is no mapping")
    return found


def submit_job(client: Client, file: str, key: str = "") -> CommandResult:
    """Submit the job in a file; the key makes it safe to repeat the command."""
    body = load_job(file)
    key = key or uuid.uuid4().hex
    try:
        found = client.request_json("POST", url_path("v1", "jobs"), body, Idempotency_Key=key)
    except UnreachableError as exc:
        raise _with_key(exc, key) from exc
    return CommandResult(found, [f"job {found['job_id']} is {found['state']}"])


def show_job(client: Client, job_id: str) -> CommandResult:
    """Return the state of a job."""
    found = client.request_json("GET", url_path("v1", "jobs", job_id))
    return CommandResult(found, format_job(found))


def list_jobs(client: Client) -> CommandResult:
    """List the jobs of the team."""
    found = client.request_json("GET", url_path("v1", "jobs"))
    rows = [
        [each["job_id"], each["team"], each["queue"], each["kind"], each["state"], each["counts"]]
        for each in found["jobs"]
    ]
    return CommandResult(
        found, format_table(["JOB", "TEAM", "QUEUE", "KIND", "STATE", "TASKS"], rows)
    )


def cancel_job(client: Client, job_id: str) -> CommandResult:
    """Cancel a job."""
    found = client.request_json("DELETE", url_path("v1", "jobs", job_id))
    return CommandResult(found, [f"job {found['job_id']} is {found['state']}"])


def explain_job(client: Client, job_id: str) -> CommandResult:
    """Explain why a job is in its state."""
    found = client.request_json("GET", url_path("v1", "jobs", job_id, "explain"))
    lines = [f"job {found['job_id']} is {found['state']}: {found['reason'] or 'no reason given'}"]
    lines += [f"  {count} tasks: {reason}" for reason, count in found["waiting"].items()]
    return CommandResult(found, lines)


def wait_for_job(
    client: Client,
    job_id: str,
    give_up_at: float | None,
    progress: Callable[[dict[str, Any]], None],
) -> CommandResult:
    """Wait until a job has ended; `give_up_at` is in Unix seconds, None waits without end."""
    while True:
        found = _status(client, job_id, give_up_at)
        if found["state"] in FINAL_STATES:
            return CommandResult(found, format_job(found), FINAL_STATES[found["state"]])
        progress(found)
        if give_up_at is not None and time.time() + POLL_INTERVAL_S > give_up_at:
            return CommandResult(found, format_job(found), ExitCode.STILL_RUNNING)
        time.sleep(POLL_INTERVAL_S)


def _status(client: Client, job_id: str, give_up_at: float | None) -> dict[str, Any]:
    """Return the state of a job; an instance may be replaced while the command waits."""
    while True:
        try:
            found: dict[str, Any] = client.request_json("GET", url_path("v1", "jobs", job_id))
            return found
        except UnreachableError:
            if give_up_at is None or time.time() + POLL_INTERVAL_S > give_up_at:
                raise
        time.sleep(POLL_INTERVAL_S)


def show_progress(found: dict[str, Any]) -> None:
    """Show the state of a job on one line, if a person reads it."""
    if sys.stderr.isatty():
        counts = ", ".join(f"{count} {state}" for state, count in found["counts"].items())
        sys.stderr.write(f"{CLEAR_LINE}job {found['job_id']} is {found['state']}: {counts}")
        sys.stderr.flush()


def clear_progress() -> None:
    """Remove the progress line."""
    if sys.stderr.isatty():
        sys.stderr.write(CLEAR_LINE)
        sys.stderr.flush()


def format_job(found: dict[str, Any]) -> list[str]:
    """Return the state of a job for people."""
    fields = ["job_id", "team", "queue", "kind", "state", "counts", "reason"]
    lines = format_table(["FIELD", "VALUE"], [[name, found.get(name)] for name in fields])
    return lines + (format_error(found["refusal"]) if found.get("refusal") else [])


def submit_request(
    client: Client, queue: str, body: bytes, headers: dict[str, str], deadline: float
) -> CommandResult:
    """Send one request under a key and return its whole answer.

    The key lets the command be repeated after a lost answer without a second run.
    """
    headers = {"Request-Deadline": f"{deadline:.3f}", **headers}
    if "Idempotency-Key" not in headers:
        # Without the time of a new key, the owner must assume that it is as old as its deadline
        # allows, and answers `unknown` for ten minutes after each takeover.
        headers["Idempotency-Key"] = uuid.uuid4().hex
        headers["Idempotency-First-Sent"] = f"{time.time():.3f}"
    try:
        reply = client.send("POST", url_path("v1", "queues", queue, "requests"), body, headers)
    except UnreachableError as exc:
        raise _with_key(exc, headers["Idempotency-Key"]) from exc
    data = {
        "status": reply.status,
        "request_id": reply.headers.get("Request-Id"),
        "body": reply.body.decode("utf-8", "replace"),
    }
    return CommandResult(data, raw=reply.body)


def _with_key(exc: UnreachableError, key: str) -> UnreachableError:
    message = f"{exc}\nrepeat the command with --idempotency_key={key} to learn the outcome"
    return UnreachableError(message, exc.sent)
