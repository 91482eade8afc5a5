"""Choose what makes room for urgent work."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from baobabhoist.model import Task, Urgency, WorkKind
from baobabhoist.scheduling.capacity import Amount, CapacityIndex, WorkerState, fits, plus
from baobabhoist.scheduling.policy import PreemptionAction, QueuePolicy
from baobabhoist.scheduling.results import Placement, Preemption

# Workers looked at for one urgent task; a bound keeps the cost independent of their number.
SAMPLED_WORKERS = 24
# A throttled task keeps this part of its processors, so that it still makes progress.
THROTTLED_FRACTION = 0.25
# Losing a service replica costs more than any amount of repeated batch work.
SERVICE_COST_S = 86_400.0


@attrs.define(eq=False)
class Running:
    """Hold one placed task; `declared` is the task as submitted."""

    placement: Placement
    declared: Task
    need: Amount
    worker: WorkerState
    run_s: float
    long_run_s: float
    adopted: bool = False
    making_room: bool = False

    def projected_end(self, now: float) -> float:
        """Return when the task has probably ended, in Unix seconds."""
        started = self.placement.placed_at
        if now < started + self.long_run_s:
            return started + self.long_run_s
        # A task that outlives its estimate is expected to run half as long again.
        return now + (now - started) / 2


@attrs.frozen
class RoomPlan:
    """Name a worker and what must make room there."""

    worker: WorkerState
    preemptions: list[Preemption]


def plan_room(
    index: CapacityIndex,
    running: Mapping[str, Running],
    policy_of: Callable[[str], QueuePolicy],
    task: Task,
    need: Amount,
    now: float,
) -> RoomPlan | None:
    """Return the cheapest way found to make room for an urgent task."""
    best: tuple[float, RoomPlan] | None = None
    for worker in index.sample(SAMPLED_WORKERS):
        if not worker.usable() or not fits(need, worker.capacity):
            continue
        found = _on_worker(worker, running, policy_of, task, need, now)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    return best[1] if best else None


def action_for(victim: Task, policy: QueuePolicy) -> PreemptionAction:
    """Return how a task may be made to give room; a request never runs again, so never."""
    if victim.urgency is Urgency.URGENT or victim.kind in (WorkKind.REQUEST, WorkKind.GANG):
        return PreemptionAction.NEVER
    if policy.preemption is PreemptionAction.STOP and not victim.idempotent:
        return PreemptionAction.NEVER
    return policy.preemption


def _on_worker(
    worker: WorkerState,
    running: Mapping[str, Running],
    policy_of: Callable[[str], QueuePolicy],
    task: Task,
    need: Amount,
    now: float,
) -> tuple[float, RoomPlan] | None:
    room, lost, chosen = worker.room, 0.0, []
    for cost, victim, action in _victims(worker, running, policy_of, now):
        kept = 0
        given = victim.need
        if action is PreemptionAction.THROTTLE:
            kept = round(victim.need[0] * THROTTLED_FRACTION)
            given = (victim.need[0] - kept, 0, 0, 0)
        room, lost = plus(room, given), lost + cost
        name = victim.declared.task_id
        chosen.append(Preemption(name, worker.name, action, task.task_id, kept))
        if fits(need, room):
            return lost, RoomPlan(worker, chosen)
    return None


def _victims(
    worker: WorkerState,
    running: Mapping[str, Running],
    policy_of: Callable[[str], QueuePolicy],
    now: float,
) -> list[tuple[float, Running, PreemptionAction]]:
    """Return what may make room on a worker, the least lost work first."""
    found = []
    for task_id in sorted(worker.tasks):
        victim = running[task_id]
        action = action_for(victim.declared, policy_of(victim.declared.queue))
        if victim.making_room or victim.adopted or action is PreemptionAction.NEVER:
            continue
        cost = now - victim.placement.placed_at if action is PreemptionAction.STOP else 0.0
        if victim.declared.kind is WorkKind.SERVICE:
            cost += SERVICE_COST_S
        found.append((cost, victim, action))
    return sorted(found, key=lambda item: item[0])
