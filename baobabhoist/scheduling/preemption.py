"""Choose the tasks that are preempted for urgent work."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from baobabhoist.model import Task, Urgency, WorkKind
from baobabhoist.scheduling.capacity import CapacityIndex, ResourceVector, WorkerState, add, fits
from baobabhoist.scheduling.policy import PreemptionAction, QueuePolicy
from baobabhoist.scheduling.results import Placement, Preemption

# Workers considered for one urgent task; the bound keeps the cost independent of their number.
MAX_SAMPLED_WORKERS = 24
# A throttled task keeps this fraction of its processors, so that it still makes progress.
THROTTLED_FRACTION = 0.25
# Cost of stopping a service replica, above that of repeating any amount of batch work.
SERVICE_PREEMPTION_COST_S = 86_400.0


@attrs.define(eq=False)
class PlacedTask:
    """Hold one placed task; `declared` is the task as submitted.

    An adopted task was reported by its worker and not placed by this scheduler.
    """

    placement: Placement
    declared: Task
    demand: ResourceVector
    worker: WorkerState
    median_run_s: float
    p90_run_s: float
    is_adopted: bool = False
    is_being_preempted: bool = False

    def projected_end(self, now: float) -> float:
        """Return when the task is expected to end, in Unix seconds."""
        started_at = self.placement.placed_at
        if now < started_at + self.p90_run_s:
            return started_at + self.p90_run_s
        # A task that exceeds its estimate is expected to run half as long again.
        return now + (now - started_at) / 2


@attrs.frozen
class PreemptionPlan:
    """Hold a worker and the preemptions that free enough capacity on it."""

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
    """Return the preemptions with the lowest cost found for an urgent task, or None."""
    best: tuple[float, PreemptionPlan] | None = None
    for worker in index.sample_workers(MAX_SAMPLED_WORKERS):
        if not worker.is_usable() or not fits(demand, worker.capacity):
            continue
        costed_plan = _plan_on_worker(worker, running, policy_of, task, demand, now)
        if costed_plan is not None and (best is None or costed_plan[0] < best[0]):
            best = costed_plan
    return best[1] if best else None


def preemption_action(victim: Task, policy: QueuePolicy) -> PreemptionAction:
    """Return how a task may be preempted.

    Urgent tasks, requests and gang members never are; a request is never run again.
    """
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
    available, total_cost, preemptions = worker.allocatable, 0.0, []
    for cost, victim, action in _victims(worker, running, policy_of, now):
        kept_cpu_milli = 0
        freed = victim.demand
        if action is PreemptionAction.THROTTLE:
            kept_cpu_milli = round(victim.demand[0] * THROTTLED_FRACTION)
            freed = (victim.demand[0] - kept_cpu_milli, 0, 0, 0)
        available, total_cost = add(available, freed), total_cost + cost
        victim_id = victim.declared.task_id
        preemptions.append(
            Preemption(victim_id, worker.name, action, task.task_id, kept_cpu_milli)
        )
        if fits(demand, available):
            return total_cost, PreemptionPlan(worker, preemptions)
    return None


def _victims(
    worker: WorkerState,
    running: Mapping[str, PlacedTask],
    policy_of: Callable[[str], QueuePolicy],
    now: float,
) -> list[tuple[float, PlacedTask, PreemptionAction]]:
    """Return what may be preempted on a worker, with its cost in seconds of lost work.

    The lowest cost comes first.
    """
    victims = []
    for task_id in sorted(worker.task_ids):
        victim = running[task_id]
        action = preemption_action(victim.declared, policy_of(victim.declared.queue))
        if victim.is_being_preempted or victim.is_adopted or action is PreemptionAction.NEVER:
            continue
        cost = now - victim.placement.placed_at if action is PreemptionAction.STOP else 0.0
        if victim.declared.kind is WorkKind.SERVICE:
            cost += SERVICE_PREEMPTION_COST_S
        victims.append((cost, victim, action))
    return sorted(victims, key=lambda item: item[0])
