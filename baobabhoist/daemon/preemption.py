"""Carry out the scheduler's preemptions of running tasks."""

from __future__ import annotations

import logging
from typing import Any, Protocol

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Outcome
from baobabhoist.observability.events import Event, emit
from baobabhoist.ownership.claim import ShardClaim
from baobabhoist.scheduling.policy import PreemptionAction
from baobabhoist.scheduling.results import Preemption
from baobabhoist.scheduling.scheduler import Scheduler
from baobabhoist.upstream.messages import CheckpointTask, StopTask, ThrottleTask

log = logging.getLogger(__name__)

PERCENT = 100
PREEMPTED_REFUSAL = Refusal(
    ErrorKind.PREEMPTED,
    "the task was stopped to make room for other work or to keep a limit",
    Outcome.RAN,
    "send the work again under a new key, if it may run again",
)


class PreemptionOwner(Protocol):
    """Define what preemption needs from the owner of a shard."""

    claim: ShardClaim
    scheduler: Scheduler
    stopping_tasks: set[str]

    async def call_worker(self, worker: str, message: Any) -> bool:
        """Call a worker; return whether it confirmed the call."""


async def apply_preemption(owner: PreemptionOwner, preemption: Preemption) -> None:
    """Ask a worker to checkpoint, throttle or stop a task so that another one fits."""
    token, task_id = owner.claim.token, preemption.task_id
    emit(log, Event.TASK_PREEMPTED, task_id=task_id, for_task_id=preemption.for_task_id)
    if preemption.action is PreemptionAction.THROTTLE:
        placed = owner.scheduler.placements.get(task_id)
        granted_milli = placed.task.resources.cpu_milli if placed is not None else 0
        percent = preemption.cpu_milli * PERCENT // granted_milli if granted_milli else PERCENT
        message = ThrottleTask(token, task_id, max(1, percent))
        if await owner.call_worker(preemption.worker, message):
            owner.scheduler.task_throttled(task_id, preemption.cpu_milli)
    elif preemption.action is not PreemptionAction.NEVER:
        owner.stopping_tasks.add(task_id)
        await owner.call_worker(
            preemption.worker, build_stop_message(owner, task_id, preemption.action)
        )


def build_stop_message(owner: PreemptionOwner, task_id: str, action: PreemptionAction) -> Any:
    """Return the message that stops a task, after a checkpoint if the action asks for one."""
    checkpoint = action is PreemptionAction.CHECKPOINT
    return (CheckpointTask if checkpoint else StopTask)(owner.claim.token, task_id)
