"""Explain why a task waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from baobabhoist.scheduling.capacity import Amount, fits
from baobabhoist.scheduling.results import Explanation, WaitReason

if TYPE_CHECKING:
    from baobabhoist.scheduling.queues import QueueEntry
    from baobabhoist.scheduling.scheduler import Scheduler


def explain(scheduler: Scheduler, task_id: str, now: float) -> Explanation:
    """Return the state of a task, or the first thing that keeps it waiting."""
    running = scheduler.running.get(task_id)
    if running is not None:
        message = f"the task runs on worker {running.worker.name}"
        return Explanation(task_id, WaitReason.RUNNING, message)
    entry = scheduler.queues.entries.get(task_id)
    if entry is None or entry.lane is None:
        return Explanation(task_id, WaitReason.NOT_FOUND, "this owner has no such task")
    reason, message = _reason(scheduler, entry)
    return Explanation(task_id, reason, message, entry.waited_s(now))


def _reason(scheduler: Scheduler, entry: QueueEntry) -> tuple[WaitReason, str]:
    team, need = entry.task.team, entry.need
    if entry.held:
        found = scheduler.reservations.by_job.get(entry.task.task_id)
        when = f", complete at about {found.start_at:.1f}" if found else ""
        return WaitReason.HOLD, f"capacity is being held for it{when}"
    if entry.lane is not None and entry.lane.team.limited:
        return WaitReason.TEAM_LIMIT, f"team {team} uses all places it has here"
    if scheduler.queues.is_class_full(team, entry.task.kind):
        kind = entry.task.kind.value
        return WaitReason.TEAM_LIMIT, f"team {team} runs as much {kind} work as it may here"
    if scheduler.index.might_fit(need) and scheduler.index.search(
        need, 1, scheduler.health.excluded(entry.task.task_id)
    ):
        share = scheduler.fairness.share(team)
        return WaitReason.SHARE, f"others go first; team {team} uses {share:.0%} of its share"
    if _fits_quarantined(scheduler, need):
        return WaitReason.QUARANTINE, "only workers in quarantine have room for it"
    if scheduler.reservations.collecting and _fits_held(scheduler, need):
        return WaitReason.HOLD, "the room that there is, is held for other work"
    failed = scheduler.health.excluded(entry.task.task_id)
    tried = f"; it failed on {', '.join(failed)}" if failed else ""
    return WaitReason.CAPACITY, f"no worker has {need[0]} millicores, {need[1]} MiB free{tried}"


def _fits_quarantined(scheduler: Scheduler, need: Amount) -> bool:
    names = scheduler.health.quarantined
    return any(fits(need, scheduler.index.workers[name].free) for name in names)


def _fits_held(scheduler: Scheduler, need: Amount) -> bool:
    names = scheduler.reservations.collecting
    return any(fits(need, scheduler.index.workers[name].free) for name in names)
