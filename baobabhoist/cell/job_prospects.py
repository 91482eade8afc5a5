"""Decide whether a new job could still be worth something, given the expected waits."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from baobabhoist.cell.expected_waits import ANY, ExpectedWait, Shortage
from baobabhoist.cell.jobs import LATE_LIMIT_FACTOR, critical_path_ms, objective_after_ms
from baobabhoist.cell.model import AcceptedJob, JobSpec, Queue, Resources, Team

# Declared durations are rough: a job counts as hopeless only if the wait is longer by this factor.
WAIT_MARGIN = 1.25


@attrs.frozen
class JobSlack:
    """Hold how long a new job can wait and still end by its objective or its late limit, in ms.

    It does not wait for other resources than those it needs: `limited_resources` count against
    the limit of its team, `worker_resources` are allocated on a worker.
    """

    on_time_ms: float
    late_ms: float
    limited_resources: frozenset[str]
    worker_resources: frozenset[str]

    def allows(self, wait: ExpectedWait) -> bool:
        """Return whether the job may still end before its late limit."""
        is_team_limit = wait.shortage == Shortage.TEAM_LIMIT.value
        resources = self.limited_resources if is_team_limit else self.worker_resources
        if wait.resource and wait.resource not in resources:
            return True
        if wait.on_time_ms_with(self.on_time_ms) <= self.on_time_ms:
            return True
        return wait.late_ms <= self.late_ms * WAIT_MARGIN

    def excess_ms(self, wait: ExpectedWait) -> float:
        """Return by how much the wait has to fall before the job is accepted."""
        on_time_excess_ms = wait.on_time_ms_with(self.on_time_ms) - self.on_time_ms
        late_excess_ms = wait.late_ms - self.late_ms * WAIT_MARGIN
        return max(0.0, min(on_time_excess_ms, late_excess_ms))


def slack_of(spec: JobSpec, queue: Queue) -> JobSlack | None:
    """Return the slack of a new job, or None if it earns by other terms."""
    if spec.repeats or any(step.lasting for step in spec.steps):
        return None
    accepted = AcceptedJob("", queue.name, queue.service, "", 0, spec)
    critical_ms, objective_ms = critical_path_ms(accepted), objective_after_ms(accepted, queue)
    late_limit_ms = LATE_LIMIT_FACTOR * objective_ms
    return JobSlack(
        objective_ms - critical_ms,
        late_limit_ms - critical_ms,
        _names_of(step.need for step in spec.steps),
        _names_of(step.allocation for step in spec.steps),
    )


def find_hopeless_wait(
    slack: JobSlack, team: str, queue: Queue, waits: Iterable[ExpectedWait]
) -> ExpectedWait | None:
    """Return the wait that makes a new job hopeless, or None if it may end in time."""
    hopeless = [w for w in waits if _concerns(w, team, queue) and not slack.allows(w)]
    return max(hopeless, key=slack.excess_ms, default=None)


def _names_of(needs: Iterable[Resources]) -> frozenset[str]:
    return frozenset(name for need in needs for name, amount in need.by_name().items() if amount)


def _concerns(wait: ExpectedWait, team: str, queue: Queue) -> bool:
    return (
        wait.priority == queue.priority
        and wait.team in (team, ANY)
        and wait.service in (queue.service, ANY)
    )


def exceeds_limit(spec: JobSpec, team: Team) -> bool:
    """Return whether the limit of a team keeps a step of a job from ever starting."""
    return any(not team.allows(step.least_need) for step in spec.steps)


def total_cpu_ms(spec: JobSpec) -> float:
    """Return the declared processor time of one occurrence, in thousandths of a core times ms."""
    return sum(float(step.need.cpu) * step.count * step.expected_ms for step in spec.steps)
