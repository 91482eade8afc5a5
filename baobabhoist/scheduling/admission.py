"""Control admission: refuse work early that cannot be served in time."""

from __future__ import annotations

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Task, WorkKind
from baobabhoist.scheduling.policy import QueuePolicy, TeamPolicy
from baobabhoist.scheduling.queues import TeamQueue

# Time constant of the moving average of the start rates.
RATE_WINDOW_S = 10.0
# Shorter queues drain in unpredictable bursts, so no wait is predicted for them.
MIN_PREDICTED_QUEUE_TASKS = 32
MAX_RETRY_AFTER_S = 60.0


@attrs.define
class StartRates:
    """Track how many tasks of each team start per second."""

    rates: dict[str, float] = attrs.Factory(dict)
    _starts: dict[str, int] = attrs.Factory(dict)
    _updated_at: float = 0.0

    def record_start(self, team: str) -> None:
        """Count the start of a task."""
        self._starts[team] = self._starts.get(team, 0) + 1

    def update(self, now: float) -> None:
        """Add the starts since the last update to the moving averages, at most once a second."""
        elapsed_s = now - self._updated_at
        if elapsed_s < 1.0:
            return
        weight = min(1.0, elapsed_s / RATE_WINDOW_S)
        for team in self.rates.keys() | self._starts.keys():
            rate = self._starts.get(team, 0) / elapsed_s
            previous = self.rates.get(team)
            self.rates[team] = rate if previous is None else previous + weight * (rate - previous)
        self.rates = {team: rate for team, rate in self.rates.items() if rate > 1e-6}
        self._starts.clear()
        self._updated_at = now

    def predicted_wait_s(self, team: str, queued: int) -> float | None:
        """Return how long a queue of this length takes to start, or None if that is unknown."""
        rate = self.rates.get(team)
        return queued / rate if rate else None


def check_admission(
    task: Task,
    team_queue: TeamQueue,
    team_policy: TeamPolicy,
    queue_policy: QueuePolicy,
    rates: StartRates,
    now: float,
) -> Refusal | None:
    """Return why a task is not admitted, or None.

    A task is refused if its queue is full or its deadline is predicted to pass in the queue.
    """
    wait_s = rates.predicted_wait_s(task.team, team_queue.task_count)
    if team_queue.task_count >= team_policy.max_queued:
        return _queue_full_refusal(task, f"holds {team_queue.task_count} tasks, its limit", wait_s)
    queued_in_queue = team_queue.task_count_by_queue[task.queue]
    if queued_in_queue >= queue_policy.max_queued_per_team:
        reason = (
            f"holds {queued_in_queue} tasks for the queue {task.queue}, the limit of that queue"
        )
        return _queue_full_refusal(task, reason, wait_s)
    if task.kind is not WorkKind.REQUEST or team_queue.task_count < MIN_PREDICTED_QUEUE_TASKS:
        return None
    # Only requests with an earlier or similar deadline are served before this one.
    ahead = sum(
        len(subqueue.heap)
        for subqueue in team_queue.subqueues.values()
        if subqueue.kind is WorkKind.REQUEST
    )
    wait_s = rates.predicted_wait_s(task.team, ahead)
    if ahead >= MIN_PREDICTED_QUEUE_TASKS and wait_s is not None and now + wait_s > task.deadline:
        return _queue_full_refusal(
            task, f"needs about {wait_s:.0f} s, longer than the deadline allows", wait_s
        )
    return None


def _queue_full_refusal(task: Task, reason: str, wait_s: float | None) -> Refusal:
    return Refusal(
        ErrorKind.QUEUE_FULL,
        f"the queue of team {task.team} {reason}",
        remedy="send fewer tasks at once, or retry after the given time",
        retry_after_s=min(max(wait_s or 1.0, 0.5), MAX_RETRY_AFTER_S),
    )
