"""Measure the work that waits for the pools of a cell: limits of teams, workers of services."""

from __future__ import annotations

import logging
from bisect import bisect_right
from typing import Protocol

import attrs

from baobabhoist.cell.expected_waits import SLACK_BOUNDS_MS, Shortage
from baobabhoist.cell.jobs import JobState, StepState
from baobabhoist.cell.model import NO_RESOURCES, Resources
from baobabhoist.cell.pool_loads import WHOLE_POOL, GroupKey, PoolKey, PoolLoad, WaitingGroup
from baobabhoist.cell.ranking import Timeliness, timeliness_of
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.waiting_rank import WaitingRank

log = logging.getLogger(__name__)

# A pool is full when this part of a resource is in use.
FULL_PART = 0.85
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
    """Tell which jobs are beyond the entitlements of their teams; they rank behind all others."""

    def is_beyond_entitlement(self, job: JobState) -> bool:
        """Return whether a job is beyond the entitlement of its team."""

    def has_entitlement_left(self, team: str, accepted_ms: float) -> bool:
        """Return whether a job accepted at a time of the store's clock would be within it."""


@attrs.frozen
class LoadMeter:
    """Add up the waiting work of a cell by pool."""

    state: CellState
    # None if jobs are not ranked by the shares of their teams.
    entitlement: Entitlement | None

    def measure(self, now: float) -> dict[PoolKey, PoolLoad]:
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
                # In a full cell the placer finds no room before it checks the limit.
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
            rank = rank._replace(slack_band=bisect_right(SLACK_BOUNDS_MS, slack_ms))
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
