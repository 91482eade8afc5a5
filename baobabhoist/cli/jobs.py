"""Implement the commands that submit, monitor and cancel jobs and send single requests."""

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
EXIT_CODE_BY_FINAL_STATE = {
    "succeeded": ExitCode.OK,
    "failed": ExitCode.JOB_FAILED,
    "cancelled": ExitCode.JOB_FAILED,
}
CLEAR_LINE = "\r\x1b[K"


def load_job(file: str) -> dict[str, Any]:
    """Load a job from a YAML or JSON file; raises UsageError."""
    try:
        job = yaml.safe_load(Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise UsageError(f"cannot read {file}: {exc}") from exc
    if not isinstance(job, dict):
        raise UsageError(f"{file} does not contain a job: it is not a mapping")
    return job


def submit_job(client: Client, file: str, key: str = "") -> CommandResult:
    """Submit the job in a file; the idempotency key makes it safe to repeat the command."""
    body = load_job(file)
    key = key or uuid.uuid4().hex
    try:
        job = client.request_json("POST", url_path("v1", "jobs"), body, Idempotency_Key=key)
    except UnreachableError as exc:
        raise _add_key_hint(exc, key) from exc
    return CommandResult(job, [f"job {job['job_id']} is {job['state']}"])


def show_job(client: Client, job_id: str) -> CommandResult:
    """Return the state of a job."""
    job = client.request_json("GET", url_path("v1", "jobs", job_id))
    return CommandResult(job, format_job(job))


def list_jobs(client: Client) -> CommandResult:
    """List the jobs of the team."""
    response = client.request_json("GET", url_path("v1", "jobs"))
    rows = [
        [job["job_id"], job["team"], job["queue"], job["kind"], job["state"], job["counts"]]
        for job in response["jobs"]
    ]
    return CommandResult(
        response, format_table(["JOB", "TEAM", "QUEUE", "KIND", "STATE", "TASKS"], rows)
    )


def cancel_job(client: Client, job_id: str) -> CommandResult:
    """Cancel a job."""
    job = client.request_json("DELETE", url_path("v1", "jobs", job_id))
    return CommandResult(job, [f"job {job['job_id']} is {job['state']}"])


def explain_job(client: Client, job_id: str) -> CommandResult:
    """Explain why a job is in its state."""
    explanation = client.request_json("GET", url_path("v1", "jobs", job_id, "explain"))
    lines = [
        f"job {explanation['job_id']} is {explanation['state']}: "
        f"{explanation['reason'] or 'no reason given'}"
    ]
    lines += [f"  {count} tasks: {reason}" for reason, count in explanation["waiting"].items()]
    return CommandResult(explanation, lines)


def wait_for_job(
    client: Client,
    job_id: str,
    wait_deadline: float | None,
    progress: Callable[[dict[str, Any]], None],
) -> CommandResult:
    """Wait until a job has ended; `wait_deadline` is in Unix seconds, or None to wait forever."""
    while True:
        job = _poll_status(client, job_id, wait_deadline)
        if job["state"] in EXIT_CODE_BY_FINAL_STATE:
            return CommandResult(job, format_job(job), EXIT_CODE_BY_FINAL_STATE[job["state"]])
        progress(job)
        if wait_deadline is not None and time.time() + POLL_INTERVAL_S > wait_deadline:
            return CommandResult(job, format_job(job), ExitCode.STILL_RUNNING)
        time.sleep(POLL_INTERVAL_S)


def _poll_status(client: Client, job_id: str, wait_deadline: float | None) -> dict[str, Any]:
    """Return the state of a job; retries, because an instance may be replaced meanwhile."""
    while True:
        try:
            job: dict[str, Any] = client.request_json("GET", url_path("v1", "jobs", job_id))
            return job
        except UnreachableError:
            if wait_deadline is None or time.time() + POLL_INTERVAL_S > wait_deadline:
                raise
        time.sleep(POLL_INTERVAL_S)


def show_progress(job: dict[str, Any]) -> None:
    """Show the state of a job on a progress line if standard error is a terminal."""
    if sys.stderr.isatty():
        counts = ", ".join(f"{count} {state}" for state, count in job["counts"].items())
        sys.stderr.write(f"{CLEAR_LINE}job {job['job_id']} is {job['state']}: {counts}")
        sys.stderr.flush()


def clear_progress() -> None:
    """Clear the progress line."""
    if sys.stderr.isatty():
        sys.stderr.write(CLEAR_LINE)
        sys.stderr.flush()


def format_job(job: dict[str, Any]) -> list[str]:
    """Return the lines that describe the state of a job."""
    fields = ["job_id", "team", "queue", "kind", "state", "counts", "reason"]
    lines = format_table(["FIELD", "VALUE"], [[name, job.get(name)] for name in fields])
    return lines + (format_error(job["refusal"]) if job.get("refusal") else [])


def submit_request(
    client: Client, queue: str, body: bytes, headers: dict[str, str], deadline: float
) -> CommandResult:
    """Send one request with an idempotency key and return the worker's response.

    With the key, the command can be repeated after a lost response without a second run.
    """
    headers = {"Request-Deadline": f"{deadline:.3f}", **headers}
    if "Idempotency-Key" not in headers:
        # Without the time at which the key was first sent, the owner must assume that it is as
        # old as its deadline allows, and returns `unknown` for ten minutes after each takeover.
        headers["Idempotency-Key"] = uuid.uuid4().hex
        headers["Idempotency-First-Sent"] = f"{time.time():.3f}"
    try:
        response = client.send("POST", url_path("v1", "queues", queue, "requests"), body, headers)
    except UnreachableError as exc:
        raise _add_key_hint(exc, headers["Idempotency-Key"]) from exc
    summary = {
        "status": response.status,
        "request_id": response.headers.get("Request-Id"),
        "body": response.body.decode("utf-8", "replace"),
    }
    return CommandResult(summary, raw=response.body)


def _add_key_hint(exc: UnreachableError, key: str) -> UnreachableError:
    message = f"{exc}\nrun the command again with --idempotency_key={key} to learn the outcome"
    return UnreachableError(message, exc.possibly_received)
