"""Estimate for how long new jobs would wait while a team is at its limit or a service is full.

Waiting work competes for a pool: the limit of its team, or the workers of its service. The
expected wait is the work that ranks before a new job, divided by the rate at which the pool
ends work. Every figure is a lower bound, so that a job is refused only if it is hopeless.
"""

from __future__ import annotations

import logging
from bisect import bisect_right
from typing import Protocol

import attrs

from baobabhoist.cell.congestion import Congestion
from baobabhoist.cell.expected_waits import (
    ANY,
    END_WAIT_MS,
    SLACK_BOUNDS_MS,
    ExpectedWait,
    Shortage,
    WaitTable,
)
from baobabhoist.cell.jobs import JobState, StepState
from baobabhoist.cell.model import NO_RESOURCES, Resources
from baobabhoist.cell.pool_loads import WHOLE_POOL, GroupKey, PoolKey, PoolLoad, WaitingGroup
from baobabhoist.cell.pool_waits import PoolWait
from baobabhoist.cell.ranking import Timeliness, timeliness_of
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.waiting_rank import WaitingRank
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import log_crash

log = logging.getLogger(__name__)

UPDATE_INTERVAL_MS = 500.0
# A pool is full when this part of a resource is in use.
FULL_PART = 0.85
# Only the longest waits are published.
MAX_ROWS = 32

TEAM_LIMIT_REASONS = frozenset({WaitReason.TEAM_LIMIT, WaitReason.TEAM_LIMIT_RESERVED})
NO_ROOM_REASONS = frozenset(
    {
        WaitReason.NO_ROOM,
        WaitReason.NO_ROOM_WITH_TICKET,
        WaitReason.NO_ROOM_FOR_GANG,
        WaitReason.WORKERS_RESERVED,
    }
)


class Entitlement(Protocol):
    """Tell which jobs their teams send beyond their shares; these rank behind all others."""

    def is_beyond_entitlement(self, job: JobState) -> bool:
        """Return whether a job is beyond the entitlement of its team."""

    def has_entitlement_left(self, team: str, accepted_ms: float) -> bool:
        """Return whether a job accepted at a time of the store's clock would be within it."""


# The team, service and priority of a row.
RowKey = tuple[str, str, int]


@attrs.define
class AdmissionControl:
    """Keep the table of expected waits; call `update` at each tick."""

    state: CellState
    # None if jobs are not ranked by the shares of their teams.
    entitlement: Entitlement | None = None
    table: WaitTable = attrs.Factory(WaitTable)
    _congestions: dict[PoolKey, Congestion] = attrs.Factory(dict)
    _announced: dict[RowKey, ExpectedWait] = attrs.Factory(dict)

    def update(self, now: float) -> None:
        """Compute the table anew if the interval has passed."""
        if now - self.table.computed_ms < UPDATE_INTERVAL_MS:
            return
        try:
            rows = self._compute_rows(now)
        except Exception as exc:
            # Without the figures all jobs are admitted; an error must not end this owner.
            log_crash("computing the expected waits", exc)
            rows = ()
        self.table = WaitTable(rows, now)
        self._announce(rows)

    def _compute_rows(self, now: float) -> tuple[ExpectedWait, ...]:
        loads = self._measure_loads(now)
        for key in self._congestions.keys() - loads.keys():
            del self._congestions[key]
        beyond_teams = self._teams_beyond(now)
        waits: list[PoolWait] = []
        for key, load in loads.items():
            waits += self._judge_pool(key, load, beyond_teams, now)
        waits.sort(key=lambda wait: -wait.late_ms)
        return tuple(wait.row() for wait in waits[:MAX_ROWS])

    def _measure_loads(self, now: float) -> dict[PoolKey, PoolLoad]:
        """Return the loads of all pools that work waits for."""
        loads: dict[PoolKey, PoolLoad] = {}
        label_capacity = self._measure_labels(now)
        for step in self.state.ready_steps.values():
            if not step.waiting_count or step.spec.lasting:
                continue
            try:
                self._add_step(loads, step, label_capacity, now)
            except Exception as exc:
                # The next scheduling round gives the job up; it must not end this owner.
                log.warning("the work of job %s is not counted: %r", step.key.job_id, exc)
        self._measure_services(loads, now)
        for load in loads.values():
            load.merge_short_groups()
        return loads

    def _measure_labels(self, now: float) -> dict[GroupKey, Resources]:
        """Return what the workers have that waiting steps with a label can use."""
        capacity = {
            GroupKey(service=self.state.service_of(step.job), label=step.spec.label): NO_RESOURCES
            for step in self.state.ready_steps.values()
            if step.spec.label
        }
        if not capacity:
            return capacity
        for worker in self.state.workers.values():
            for label in worker.info.labels:
                key = GroupKey(service=worker.info.service, label=label)
                if key in capacity and worker.can_start_tasks(now):
                    capacity[key] = capacity[key].plus(worker.info.capacity)
        return capacity

    def _add_step(
        self,
        loads: dict[PoolKey, PoolLoad],
        step: StepState,
        label_capacity: dict[GroupKey, Resources],
        now: float,
    ) -> None:
        job = step.job
        team = self.state.team_of(job)
        service = self.state.service_of(job)
        group_key, limit = WHOLE_POOL, None
        if step.spec.label:
            group_key = GroupKey(service=service, label=step.spec.label)
            limit = label_capacity[group_key]
            if limit == NO_RESOURCES:
                return
        if team is not None and team.is_limited:
            if not team.allows(step.spec.least_need):
                return
            key = (Shortage.TEAM_LIMIT, team.name)
            if key not in loads:
                loads[key] = PoolLoad(team.limit, self.state.team_usage[team.name])
            reasons = TEAM_LIMIT_REASONS
            if loads[key].used_part >= FULL_PART:
                # In a full cell the placer does not come to compare with the limit.
                reasons |= NO_ROOM_REASONS
            self._add_work(loads[key], loads[key].group(group_key, limit), step, reasons, now)
            if limit is None:
                group_key, limit = GroupKey(team.name), team.limit
        if step.wait_reason not in TEAM_LIMIT_REASONS:
            key = (Shortage.SERVICE_FULL, service)
            load = loads.setdefault(key, PoolLoad(NO_RESOURCES))
            self._add_work(load, load.group(group_key, limit), step, NO_ROOM_REASONS, now)

    def _add_work(
        self,
        load: PoolLoad,
        group: WaitingGroup,
        step: StepState,
        reasons: frozenset[WaitReason],
        now: float,
    ) -> None:
        load.has_shortage |= step.wait_reason in reasons
        queue = self.state.queue_of(step.job)
        timeliness = timeliness_of(step.job, now)
        if queue is None or timeliness is Timeliness.EXPIRED:
            return
        ratio = self.state.speeds.duration_ratio(queue.name)
        duration_ms = round(step.spec.expected_ms * ratio)
        work = step.spec.need.times(step.waiting_count * duration_ms)
        is_beyond = self.entitlement is not None and self.entitlement.is_beyond_entitlement(
            step.job
        )
        rank = WaitingRank(is_beyond, timeliness, queue.priority)
        if timeliness is Timeliness.ON_TIME:
            slack_ms = step.job.objective_ms - now - step.job.remaining_critical_path_ms()
            rank = rank._replace(band=bisect_right(SLACK_BOUNDS_MS, slack_ms))
        group.add(rank, work)

    def _measure_services(self, loads: dict[PoolKey, PoolLoad], now: float) -> None:
        """Add up the workers of the services that work waits for."""
        for worker in self.state.workers.values():
            load = loads.get((Shortage.SERVICE_FULL, worker.info.service))
            if load is not None and worker.can_start_tasks(now):
                load.capacity = load.capacity.plus(worker.info.capacity)
                load.used = load.used.plus(worker.used)
        for (shortage, _), load in loads.items():
            if shortage is Shortage.SERVICE_FULL:
                load.has_shortage = load.has_shortage and load.used_part >= FULL_PART

    def _teams_beyond(self, now: float) -> set[str]:
        """Return the teams with waiting work whose new jobs would be beyond their entitlement."""
        if self.entitlement is None:
            return set()
        jobs = {step.job.accepted.team: step.job for step in self.state.ready_steps.values()}
        return {
            team
            for team, job in jobs.items()
            if not self.entitlement.has_entitlement_left(
                team, job.accepted.accepted_ms + now - job.accepted_local_ms
            )
        }

    def _judge_pool(
        self, key: PoolKey, load: PoolLoad, beyond_teams: set[str], now: float
    ) -> list[PoolWait]:
        """Return the waits for a pool, none if it is not congested."""
        congestion = self._congestions.setdefault(key, Congestion())
        congestion.update(load, now)
        if not congestion.is_sustained(now):
            congestion.is_on = False
            return []
        shortage, name = key
        is_team = shortage is Shortage.TEAM_LIMIT
        teams_by_standing = {False: [ANY], True: sorted(beyond_teams)}
        if is_team:
            teams_by_standing = {name in beyond_teams: [name]}
        used_part = congestion.expected_used_part
        waits: list[PoolWait] = []
        for is_beyond, teams in teams_by_standing.items():
            for priority in self._priorities(ANY if is_team else name):
                # All teams of one standing wait equally long.
                late_rank = WaitingRank(is_beyond, Timeliness.LATE, priority)
                late_ms = load.wait_ms(late_rank, used_part) if teams else 0.0
                waits += [
                    PoolWait(key, team, late_rank, load, used_part, late_ms) for team in teams
                ]
        longest_ms = max((wait.late_ms for wait in waits), default=0.0)
        if not congestion.judge(longest_ms, now):
            return []
        return [wait for wait in waits if wait.late_ms >= END_WAIT_MS]

    def _priorities(self, service: str) -> set[int]:
        queues = self.state.rules.queues.values()
        return {queue.priority for queue in queues if service in (ANY, queue.service)}

    def _announce(self, rows: tuple[ExpectedWait, ...]) -> None:
        """Log which waits began and which ended."""
        current = {(row.team, row.service, row.priority): row for row in rows}
        for key, row in current.items():
            if key not in self._announced:
                _log_row(Event.LONG_WAIT_BEGAN, row)
        for key, row in self._announced.items():
            if key not in current:
                _log_row(Event.LONG_WAIT_ENDED, row)
        self._announced = current


def _log_row(event: Event, row: ExpectedWait) -> None:
    emit(
        log,
        event,
        team=row.team or "any",
        priority=row.priority,
        service=row.service or "any",
        shortage=row.shortage,
        on_time_ms=round(row.on_time_ms),
        late_ms=round(row.late_ms),
        cpu_rate=round(row.cpu_rate),
    )
