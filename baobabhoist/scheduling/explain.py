"""Explain why a task waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from baobabhoist.scheduling.capacity import ResourceVector, fits
from baobabhoist.scheduling.results import Explanation, WaitReason

if TYPE_CHECKING:
    from baobabhoist.scheduling.queues import QueueEntry
    from baobabhoist.scheduling.scheduler import Scheduler


def explain(scheduler: Scheduler, task_id: str, now: float) -> Explanation:
    """Return the state of a task, or the first reason found for which it waits."""
    placed = scheduler.running.get(task_id)
    if placed is not None:
        message = f"the task is running on worker {placed.worker.name}"
        return Explanation(task_id, WaitReason.RUNNING, message)
    entry = scheduler.queues.entries.get(task_id)
    if entry is None or entry.subqueue is None:
        return Explanation(
            task_id, WaitReason.NOT_FOUND, "the owner of this shard has no such task"
        )
    reason, message = _wait_reason(scheduler, entry)
    return Explanation(task_id, reason, message, entry.waited_s(now))


def _wait_reason(scheduler: Scheduler, entry: QueueEntry) -> tuple[WaitReason, str]:
    team, demand = entry.task.team, entry.demand
    if entry.has_reservation:
        reservation = scheduler.reservations.by_job.get(entry.task.task_id)
        when = f", expected to be complete at {reservation.start_at:.1f}" if reservation else ""
        return WaitReason.HOLD, f"capacity is being reserved for the task{when}"
    if entry.subqueue is not None and entry.subqueue.team.is_limited:
        return WaitReason.TEAM_LIMIT, f"team {team} uses all its places in this shard"
    if scheduler.queues.is_class_full(team, entry.task.kind):
        kind = entry.task.kind.value
        return (
            WaitReason.TEAM_LIMIT,
            f"team {team} has reached its limit of {kind} work in this shard",
        )
    if scheduler.index.might_fit(demand) and scheduler.index.find_workers(
        demand, 1, scheduler.health.excluded_workers(entry.task.task_id)
    ):
        ratio = scheduler.fairness.entitlement_ratio(team)
        return (
            WaitReason.SHARE,
            f"other work goes first; team {team} uses {ratio:.0%} of its share",
        )
    if _fits_on_quarantined_worker(scheduler, demand):
        return WaitReason.QUARANTINE, "the task fits only on quarantined workers"
    if scheduler.reservations.pending_by_worker and _fits_on_pending_worker(scheduler, demand):
        return WaitReason.HOLD, "the free capacity is reserved for other work"
    failed = scheduler.health.excluded_workers(entry.task.task_id)
    failures = f"; the task failed on {', '.join(failed)}" if failed else ""
    return (
        WaitReason.CAPACITY,
        f"no worker has {demand[0]} millicores, {demand[1]} MiB free{failures}",
    )


def _fits_on_quarantined_worker(scheduler: Scheduler, demand: ResourceVector) -> bool:
    names = scheduler.health.quarantined
    return any(fits(demand, scheduler.index.workers[name].free) for name in names)


def _fits_on_pending_worker(scheduler: Scheduler, demand: ResourceVector) -> bool:
    names = scheduler.reservations.pending_by_worker
    return any(fits(demand, scheduler.index.workers[name].free) for name in names)
