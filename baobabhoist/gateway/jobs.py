"""Serve the submission and control of jobs over HTTP."""

from __future__ import annotations

from typing import Protocol

from baobabhoist.errors import Refusal
from baobabhoist.model import JobExplanation, JobSpec, JobStatus


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
