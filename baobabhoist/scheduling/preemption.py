"""Choose what makes room for urgent work."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from baobabhoist.model import Task, Urgency, WorkKind
from baobabhoist.scheduling.capacity import CapacityIndex, ResourceVector, WorkerState, add, fits
from baobabhoist.scheduling.policy import PreemptionAction, QueuePolicy
from baobabhoist.scheduling.results import Placement, Preemption

# Workers looked at for one urgent task; a bound keeps the cost independent of their number.
MAX_SAMPLED_WORKERS = 24
# A throttled task keeps this part of its processors, so that it still makes progress.
THROTTLED_FRACTION = 0.25
# Losing a service replica costs more than any amount of repeated batch work.
SERVICE_PREEMPTION_COST_S = 86_400.0


@attrs.define(eq=False)
class PlacedTask:
    """Hold one placed task; `declared` is the task as submitted."""

    placement: Placement
    declared: Task
    demand: ResourceVector
    worker: WorkerState
    median_run_s: float
    p90_run_s: float
    is_adopted: bool = False
    is_being_preempted: bool = False

    def projected_end(self, now: float) -> float:
        """Return when the task has probably ended, in Unix seconds."""
        started = self.placement.placed_at
        if now < started + self.p90_run_s:
            return started + self.p90_run_s
        # A task that outlives its estimate is expected to run half as long again.
        return now + (now - started) / 2


@attrs.frozen
class PreemptionPlan:
    """Name a worker and what must make room there."""

    worker: WorkerState
    preemptions: list[Preemption]


def plan_preemption(
    index: CapacityIndex,
    running: Mapping[str, PlacedTask],
    policy_of: Callable[[str], QueuePolicy],
    task: Task,
    demand: ResourceVector,
    now: float,
) -> PreemptionPlan | None:
    """Return the cheapest way found to make room for an urgent task."""
    best: tuple[float, PreemptionPlan] | None = None
    for worker in index.sample_workers(MAX_SAMPLED_WORKERS):
        if not worker.is_usable() or not fits(demand, worker.capacity):
            continue
        found = _plan_on_worker(worker, running, policy_of, task, demand, now)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    return best[1] if best else None


def preemption_action(victim: Task, policy: QueuePolicy) -> PreemptionAction:
    """Return how a task may be made to give room; a request never runs again, so never."""
    if victim.urgency is Urgency.URGENT or victim.kind in (WorkKind.REQUEST, WorkKind.GANG):
        return PreemptionAction.NEVER
    if policy.preemption is PreemptionAction.STOP and not victim.idempotent:
        return PreemptionAction.NEVER
    return policy.preemption


def _plan_on_worker(
    worker: WorkerState,
    running: Mapping[str, PlacedTask],
    policy_of: Callable[[str], QueuePolicy],
    task: Task,
    demand: ResourceVector,
    now: float,
) -> tuple[float, PreemptionPlan] | None:
    room, lost, chosen = worker.allocatable, 0.0, []
    for cost, victim, action in _victims(worker, running, policy_of, now):
        kept = 0
        given = victim.demand
        if action is PreemptionAction.THROTTLE:
            kept = round(victim.demand[0] * THROTTLED_FRACTION)
            given = (victim.demand[0] - kept, 0, 0, 0)
        room, lost = add(room, given), lost + cost
        name = victim.declared.task_id
        chosen.append(Preemption(name, worker.name, action, task.task_id, kept))
        if fits(demand, room):
            return lost, PreemptionPlan(worker, chosen)
    return None


def _victims(
    worker: WorkerState,
    running: Mapping[str, PlacedTask],
    policy_of: Callable[[str], QueuePolicy],
    now: float,
) -> list[tuple[float, PlacedTask, PreemptionAction]]:
    """Return what may make room on a worker, the least lost work first."""
    found = []
    for task_id in sorted(worker.tasks):
        victim = running[task_id]
        action = preemption_action(victim.declared, policy_of(victim.declared.queue))
        if victim.is_being_preempted or victim.is_adopted or action is PreemptionAction.NEVER:
            continue
        cost = now - victim.placement.placed_at if action is PreemptionAction.STOP else 0.0
        if victim.declared.kind is WorkKind.SERVICE:
            cost += SERVICE_PREEMPTION_COST_S
        found.append((cost, victim, action))
    return sorted(found, key=lambda item: item[0])
