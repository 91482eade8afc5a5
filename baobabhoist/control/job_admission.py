"""Refuse jobs that cannot end in time, on figures that the cell's owner publishes."""

from __future__ import annotations

from typing import Protocol

import attrs

from baobabhoist.cell.expected_waits import ExpectedWait, Shortage
from baobabhoist.cell.job_prospects import (
    JobSlack,
    exceeds_limit,
    find_hopeless_wait,
    slack_of,
    total_cpu_ms,
)
from baobabhoist.cell.model import JobSpec, Queue, Team
from baobabhoist.cell.return_times import ReturnTimes
from baobabhoist.control.messages import JobWaits
from baobabhoist.errors import ErrorKind, Refusal

# An instance whose figures are older admits all jobs.
MAX_WAITS_AGE_MS = 1_500.0

_KIND_BY_SHORTAGE = {
    Shortage.TEAM_LIMIT.value: ErrorKind.TEAM_LIMIT,
    Shortage.SERVICE_FULL.value: ErrorKind.QUEUE_FULL,
}


class WaitSource(Protocol):
    """Know the expected waits that the owner has published."""

    def job_waits(self) -> KnownWaits | None:
        """Return the last expected waits of the present owner, or None."""


@attrs.frozen
class KnownWaits:
    """Hold the expected waits of an owner and when it computed them, on the local clock."""

    waits: JobWaits
    computed_ms: float

    def is_recent(self, now: float) -> bool:
        """Return whether the figures are recent enough to refuse a job."""
        return now - self.computed_ms <= MAX_WAITS_AGE_MS


@attrs.frozen
class HopelessJob:
    """Hold why a job was found hopeless, from the expected waits of `age_ms` ago.

    `cpu_ms` is the declared processor time of the job, in thousandths of a core times ms, and
    `instances` is how many instances answer callers.
    """

    slack: JobSlack
    wait: ExpectedWait
    cpu_ms: float
    age_ms: float
    instances: int


@attrs.define
class JobAdmission:
    """Find the jobs that cannot end in time, and tell their callers when to return."""

    source: WaitSource
    return_times: ReturnTimes = attrs.Factory(ReturnTimes)

    def find_hopeless(
        self, spec: JobSpec, queue: Queue, team: str, now: float
    ) -> HopelessJob | None:
        """Return why a job is hopeless, or None if it is admitted."""
        known = self.source.job_waits()
        if known is None or not known.is_recent(now):
            return None
        slack = slack_of(spec, queue)
        if slack is None:
            return None
        wait = find_hopeless_wait(slack, team, queue, known.waits.rows)
        if wait is None:
            return None
        age_ms, instances = now - known.computed_ms, known.waits.instances
        return HopelessJob(slack, wait, total_cpu_ms(spec), age_ms, instances)

    def refuse(self, job: HopelessJob, team: str, now: float) -> Refusal:
        """Return the refusal of a hopeless job, with the time at which it would be accepted."""
        wait = job.wait
        # Each instance sees only its part of the callers, and gives out its part of the rate.
        job_ms = job.instances * job.cpu_ms / max(1.0, wait.cpu_rate)
        key = (team, wait.priority)
        retry_after_s = self.return_times.assign(key, job.slack.excess_ms(wait), job_ms, now)
        message = (
            f"the job cannot end in time: {wait.shortage}, expected wait {wait.late_ms:.0f} ms, "
            f"at most {job.slack.late_ms:.0f} ms is possible, figures {job.age_ms:.0f} ms old"
        )
        return Refusal(
            _KIND_BY_SHORTAGE.get(wait.shortage, ErrorKind.QUEUE_FULL),
            message,
            remedy="retry after the given time",
            retry_after_s=retry_after_s,
        )

    def preview_refusal(self, job: HopelessJob, team: str, now: float) -> Refusal:
        """Return what `refuse` would return now, without assigning the return time."""
        return JobAdmission(self.source, self.return_times.copy()).refuse(job, team, now)


def never_starts_refusal(spec: JobSpec, team: Team | None) -> Refusal | None:
    """Return the refusal of a job that the limit of its team keeps from ever starting."""
    if team is None or not exceeds_limit(spec, team):
        return None
    return Refusal(
        ErrorKind.NEVER_FITS,
        f"a step of the job needs more than the limit of team {team.name}",
        remedy="make the step smaller, or ask for a higher limit",
    )
