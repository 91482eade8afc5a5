"""Serve the submission and control of jobs over HTTP."""

from __future__ import annotations

import math
import time
from typing import Any, Protocol

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.gateway.auth import team_of
from baobabhoist.gateway.bodies import JobBody, job_id_of, read_job
from baobabhoist.gateway.context import CallerHandler, kind_refusal, no_queue
from baobabhoist.gateway.headers import deadline_refusal, read_idempotency_key
from baobabhoist.model import JobExplanation, JobSpec, JobStatus
from baobabhoist.records.schema import MAX_DEADLINE_S

HTTP_ACCEPTED = 202
# A batch job or gang whose submitter and queue give no deadline is given up after a day.
DEFAULT_JOB_DEADLINE_S = 86_400.0


class JobService(Protocol):
    """Accept jobs and report on them; a team of None stands for an operator, who sees all.

    A job of another team is refused as not found. Every method answers by the deadline of
    its own calls and returns a refusal when the platform or a peer gives no answer.
    """

    async def submit(self, spec: JobSpec) -> Refusal | JobStatus:
        """Accept a job durably; a repeated job id of the same team returns its status."""

    async def status(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Return the state of a job."""

    async def cancel(self, job_id: str, team: str | None) -> Refusal | JobStatus:
        """Cancel a job and return its state after that."""

    async def explain(self, job_id: str, team: str | None) -> Refusal | JobExplanation:
        """Explain why a job is in its state."""

    async def list(self, team: str | None) -> Refusal | tuple[JobStatus, ...]:
        """Return the state of each job of a team."""

    async def unfinished(self, queue: str) -> Refusal | tuple[str, ...]:
        """Return the ids of all unfinished jobs of a queue."""


def status_body(status: JobStatus) -> dict[str, Any]:
    """Return the state of a job as callers receive it."""
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


def explanation_body(found: JobExplanation) -> dict[str, Any]:
    """Return the explanation of a job as callers receive it."""
    return {
        "job_id": found.job_id,
        "state": found.state.value,
        "reason": found.reason,
        "waiting": found.waiting,
    }


def no_jobs() -> Refusal:
    """Return the refusal of an instance that does not coordinate jobs."""
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "this instance does not accept jobs now",
        remedy="send the request to another instance or try again",
        retry_after_s=1.0,
    )


class JobServiceHandler(CallerHandler):
    """Share what the handlers for jobs need."""

    def service(self) -> JobService | None:
        """Return the job service once the body has arrived, or None after a refusal."""
        if self.receive() is None:
            return None
        return self.jobs_or_refuse()

    def jobs_or_refuse(self) -> JobService | None:
        """Return the job service, or None after a refusal."""
        if self.options.jobs is None:
            self.refuse(no_jobs())
        return self.options.jobs

    def team_or_public(self) -> str | Refusal:
        """Return the team of the key; without a key, the public team if any queue is open.

        The id of a job cannot be guessed, so whoever knows that of a public job may see it.
        """
        view = self.router.view
        open_queues = (queue for queue in view.queues().values() if queue.open_to_all)
        queue = next(open_queues, None)
        return team_of(view, self.request.headers, self.options.cut_off_s(), queue)

    def answer_status(self, found: Refusal | JobStatus, status: int = 200) -> None:
        """Answer with the state of a job."""
        if isinstance(found, Refusal):
            self.refuse(found)
            return
        self.set_status(status)
        self.answer_json(status_body(found))


class JobsHandler(JobServiceHandler):
    """Submit and list jobs: /v1/jobs."""

    async def post(self) -> None:
        """Accept a job."""
        body = self.receive()
        jobs = self.jobs_or_refuse() if body is not None else None
        if body is None or jobs is None:
            return
        spec = self._parse(body)
        if isinstance(spec, Refusal):
            self.refuse(spec)
            return
        self.answer_status(await jobs.submit(spec), HTTP_ACCEPTED)

    async def get(self) -> None:
        """List the jobs of the team; this needs a key, since it shows ids of jobs."""
        jobs = self.service()
        if jobs is None:
            return
        team = team_of(self.router.view, self.request.headers, self.options.cut_off_s())
        found = team if isinstance(team, Refusal) else await jobs.list(team)
        if isinstance(found, Refusal):
            self.refuse(found)
            return
        self.answer_json({"jobs": [status_body(status) for status in found]})

    def _parse(self, body: bytes) -> JobSpec | Refusal:
        view = self.router.view
        job = read_job(body)
        queue = view.queue(job.queue) if isinstance(job, JobBody) else None
        # The key is checked first: without one, problems of the body are nobody's business.
        team = team_of(view, self.request.headers, self.options.cut_off_s(), queue)
        if isinstance(team, Refusal):
            return team
        self.team = team
        if isinstance(job, Refusal):
            return job
        if queue is None:
            return no_queue(job.queue)
        key = read_idempotency_key(self.request.headers)
        if isinstance(key, Refusal):
            return key
        now = time.time()
        default_s = queue.default_deadline_s or DEFAULT_JOB_DEADLINE_S
        spec = job.spec(job_id_of(team, key), team, now + default_s)
        refusal = kind_refusal(job.queue, queue, job.kind)
        if refusal is None and not math.isinf(spec.deadline):
            refusal = deadline_refusal(spec.deadline, now, MAX_DEADLINE_S)
        return refusal or spec


class JobHandler(JobServiceHandler):
    """Show and cancel a job: /v1/jobs/ID."""

    async def get(self, job_id: str) -> None:
        """Return the state of a job."""
        jobs = self.service()
        if jobs is None:
            return
        team = self.team_or_public()
        found = team if isinstance(team, Refusal) else await jobs.status(job_id, team)
        self.answer_status(found)

    async def delete(self, job_id: str) -> None:
        """Cancel a job."""
        jobs = self.service()
        if jobs is None:
            return
        team = self.team_or_public()
        found = team if isinstance(team, Refusal) else await jobs.cancel(job_id, team)
        self.answer_status(found)


class ExplainHandler(JobServiceHandler):
    """Explain the state of a job: GET /v1/jobs/ID/explain."""

    async def get(self, job_id: str) -> None:
        """Return why a job is in its state."""
        jobs = self.service()
        if jobs is None:
            return
        team = self.team_or_public()
        found = team if isinstance(team, Refusal) else await jobs.explain(job_id, team)
        if isinstance(found, Refusal):
            self.refuse(found)
            return
        self.answer_json(explanation_body(found))
