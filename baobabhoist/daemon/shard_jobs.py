"""Give the job manager access to a shard that this instance owns."""

from __future__ import annotations

import time

from baobabhoist.daemon.shard_owner import ShardOwner
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.jobs.messages import HoldReply, TasksReport
from baobabhoist.model import Request, Task
from baobabhoist.ownership.request_keys import RunNew
from baobabhoist.upstream.messages import StopTask

# The id of a cancelled task is refused for this long, in case its request is still in transit.
CANCELLED_ID_TTL_S = 600.0


class ShardJobs:
    """Report on, cancel and hold capacity for the tasks of jobs in one owned shard."""

    def __init__(self, owner: ShardOwner) -> None:
        self._owner = owner

    def report_tasks(self, task_ids: tuple[str, ...], now: float) -> TasksReport:
        """Return which tasks run and why the others wait."""
        owner = self._owner
        elsewhere = owner.forwarder.forward_targets(task_ids)
        running = tuple(task_id for task_id in task_ids if owner.worker_of(task_id) is not None)
        waiting = {
            task_id: owner.scheduler.explain(task_id, now).message
            for task_id in task_ids
            if owner.worker_of(task_id) is None
            and task_id in owner.pending
            and task_id not in elsewhere
        }
        return TasksReport(running, waiting, elsewhere)

    async def cancel_tasks(self, task_ids: tuple[str, ...]) -> dict[str, str]:
        """Cancel queued tasks, stop running ones, and refuse their ids from now on.

        Returns the target shard of each task that was forwarded.
        """
        owner, refuse_until = self._owner, time.time() + CANCELLED_ID_TTL_S
        refusal = Refusal(ErrorKind.CANCELLED, "the task was cancelled")
        for task_id in task_ids:
            owner.cancelled_until[task_id] = refuse_until
            if owner.cancel_queued(task_id, refusal):
                continue
            worker = owner.worker_of(task_id)
            if worker is not None:
                owner.stopping_tasks.add(task_id)
                message = StopTask(owner.claim.token, task_id)
                owner.spawn(self._stop_task(worker, message))
        return owner.forwarder.forward_targets(task_ids)

    async def _stop_task(self, worker: str, message: StopTask) -> None:
        await self._owner.call_worker(worker, message)

    def hold(self, job_id: str, tasks: tuple[Task, ...], deadline: float, now: float) -> HoldReply:
        """Hold capacity and quota for as many of the tasks as possible.

        The number is halved until a hold succeeds, so that a large gang needs few attempts.
        """
        scheduler = self._owner.scheduler
        headroom = self._owner.shard_quota.headroom
        count = min(len(tasks), headroom(tasks[0].team, tasks[0].kind)) if tasks else 0
        if job_id in scheduler.reservations.by_job:
            count = len(tasks)
        while count > 0:
            hold = scheduler.hold(job_id, list(tasks[:count]), now, deadline)
            if not isinstance(hold, Refusal):
                return HoldReply(tuple(hold.workers), hold.ready)
            count //= 2
        return HoldReply(())

    async def commit_hold(self, job_id: str, now: float) -> bool:
        """Start the tasks of a hold; return whether the hold was still valid.

        The coordinator then sends each task as a request, which joins the started one.
        """
        owner = self._owner
        placements = owner.scheduler.commit_hold(job_id, now)
        if isinstance(placements, Refusal):
            return False
        for placement in placements:
            task = placement.task
            req = Request(task.task_id, owner.shard, task.submitted_at, task, True)
            if isinstance(owner.keys.admit(req, now), RunNew):
                owner.requests.get_or_create(req, now)
                owner.start_task(placement, now)
            else:
                owner.release_unsent(task.task_id, now)
        return True

    def release_hold(self, job_id: str) -> None:
        """Release a hold."""
        self._owner.scheduler.release_hold(job_id)
