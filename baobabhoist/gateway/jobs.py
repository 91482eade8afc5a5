"""Serve the job endpoints of the caller API."""

from __future__ import annotations

import math
import time
from typing import Any, Protocol

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.gateway.auth import authenticate_team
from baobabhoist.gateway.bodies import JobSubmission, derive_job_id, parse_job
from baobabhoist.gateway.caller_handler import CallerHandler, check_work_kind, queue_not_found
from baobabhoist.gateway.headers import check_deadline, parse_idempotency_key
from baobabhoist.model import JobExplanation, JobSpec, JobStatus
from baobabhoist.records.schema import MAX_DEADLINE_S

HTTP_ACCEPTED = 202
# The deadline, one day ahead, of a batch job or gang if neither it nor its queue sets one.
DEFAULT_JOB_DEADLINE_S = 86_400.0


class JobService(Protocol):
    """Accept jobs and report on them; a team of None stands for an operator, who sees all.

    A job of another team is refused as not found. Each method has timeouts for its own calls
    and returns a refusal when the platform or a peer does not respond.
    """

    async def submit(self, spec: JobSpec) -> Refusal | JobStatus:
        """Store a job durably; if the team already has a job with this id, return its status."""

    async def status(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Return the state of a job."""

    async def cancel(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Cancel a job and return its resulting state."""

    async def explain(self, job_id: str, team: str | None) -> Refusal | JobExplanation:
        """Explain why a job is in its state."""

    async def list(self, team: str | None) -> Refusal | tuple[JobStatus, ...]:
        """Return the state of each job of a team."""

    async def unfinished_job_ids(self, queue: str) -> Refusal | tuple[str, ...]:
        """Return the ids of all unfinished jobs of a queue."""


def status_body(status: JobStatus) -> dict[str, Any]:
    """Return the response body for the state of a job."""
    return {
        "job_id": status.job_id,
        "team": status.team,
        "queue": status.queue,
        "kind": status.kind.value,
        "state": status.state.value,
        "counts": {state.value: count for state, count in status.counts.items()},
        "reason": status.reason,
        "refusal": status.refusal.to_body() if status.refusal is not None else None,
    }


def explanation_body(explanation: JobExplanation) -> dict[str, Any]:
    """Return the response body for the explanation of a job."""
    return {
        "job_id": explanation.job_id,
        "state": explanation.state.value,
        "reason": explanation.reason,
        "waiting": explanation.waiting,
    }


def jobs_unavailable() -> Refusal:
    """Return the refusal of an instance that does not coordinate jobs."""
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "this instance does not accept jobs at the moment",
        remedy="send the request to another instance, or try again later",
        retry_after_s=1.0,
    )


class JobApiHandler(CallerHandler):
    """Provide the base of the job handlers."""

    def job_service(self) -> JobService | None:
        """Return the job service once the body has arrived, or None after a refusal."""
        if self.receive_body() is None:
            return None
        return self.job_service_or_refuse()

    def job_service_or_refuse(self) -> JobService | None:
        """Return the job service, or None after a refusal."""
        if self.options.jobs is None:
            self.refuse(jobs_unavailable())
        return self.options.jobs

    def authenticate_team_or_public(self) -> str | Refusal:
        """Return the team of the key; without a key, the public team if any queue is open to all.

        Job ids cannot be guessed, so anyone who knows the id of a public job may see the job.
        """
        view = self.router.view
        open_queues = (queue for queue in view.queues().values() if queue.open_to_all)
        queue = next(open_queues, None)
        return authenticate_team(
            view, self.request.headers, self.options.records_unconfirmed_s(), queue
        )

    def send_job_status(self, status: Refusal | JobStatus, status_code: int = 200) -> None:
        """Respond with the state of a job, or with a refusal."""
        if isinstance(status, Refusal):
            self.refuse(status)
            return
        self.set_status(status_code)
        self.send_json(status_body(status))


class JobsHandler(JobApiHandler):
    """Submit and list jobs: /v1/jobs."""

    async def post(self) -> None:
        """Accept a job."""
        body = self.receive_body()
        jobs = self.job_service_or_refuse() if body is not None else None
        if body is None or jobs is None:
            return
        spec = self._parse_spec(body)
        if isinstance(spec, Refusal):
            self.refuse(spec)
            return
        self.send_job_status(await jobs.submit(spec), HTTP_ACCEPTED)

    async def get(self) -> None:
        """List the jobs of the team; a key is required, because the list reveals job ids."""
        jobs = self.job_service()
        if jobs is None:
            return
        team = authenticate_team(
            self.router.view, self.request.headers, self.options.records_unconfirmed_s()
        )
        statuses = team if isinstance(team, Refusal) else await jobs.list(team)
        if isinstance(statuses, Refusal):
            self.refuse(statuses)
            return
        self.send_json({"jobs": [status_body(status) for status in statuses]})

    def _parse_spec(self, body: bytes) -> JobSpec | Refusal:
        view = self.router.view
        submission = parse_job(body)
        queue = view.queue(submission.queue) if isinstance(submission, JobSubmission) else None
        # The key is checked before problems of the body are reported, because only authenticated
        # callers may see them.
        team = authenticate_team(
            view, self.request.headers, self.options.records_unconfirmed_s(), queue
        )
        if isinstance(team, Refusal):
            return team
        self.team = team
        if isinstance(submission, Refusal):
            return submission
        if queue is None:
            return queue_not_found(submission.queue)
        key = parse_idempotency_key(self.request.headers)
        if isinstance(key, Refusal):
            return key
        now = time.time()
        default_deadline_s = queue.default_deadline_s or DEFAULT_JOB_DEADLINE_S
        spec = submission.to_spec(derive_job_id(team, key), team, now + default_deadline_s)
        refusal = check_work_kind(submission.queue, queue, submission.kind)
        if refusal is None and not math.isinf(spec.deadline):
            refusal = check_deadline(spec.deadline, now, MAX_DEADLINE_S)
        return refusal or spec


class JobHandler(JobApiHandler):
    """Show and cancel a job: /v1/jobs/ID."""

    async def get(self, job_id: str) -> None:
        """Return the state of a job."""
        jobs = self.job_service()
        if jobs is None:
            return
        team = self.authenticate_team_or_public()
        status = team if isinstance(team, Refusal) else await jobs.status(job_id, team)
        self.send_job_status(status)

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        jobs = self.job_service()
        if jobs is None:
            return
        team = self.authenticate_team_or_public()
        status = team if isinstance(team, Refusal) else await jobs.cancel(job_id, team)
        self.send_job_status(status)


class ExplainHandler(JobApiHandler):
    """Explain the state of a job: GET /v1/jobs/ID/explain."""

    async def get(self, job_id: str) -> None:
        """Return the reason for the state of a job."""
        jobs = self.job_service()
        if jobs is None:
            return
        team = self.authenticate_team_or_public()
        explanation = team if isinstance(team, Refusal) else await jobs.explain(job_id, team)
        if isinstance(explanation, Refusal):
            self.refuse(explanation)
            return
        self.send_json(explanation_body(explanation))
