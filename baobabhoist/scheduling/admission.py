"""Refuse work early when it cannot be served in time."""

from __future__ import annotations

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import Task, WorkKind
from baobabhoist.scheduling.policy import QueuePolicy, TeamPolicy
from baobabhoist.scheduling.queues import TeamQueue

# The rate is learnt over about this long, in seconds.
RATE_WINDOW_S = 10.0
# Shorter queues drain in unpredictable bursts, so no wait is predicted from them.
MIN_PREDICTED_QUEUE = 32
MAX_RETRY_AFTER_S = 60.0


@attrs.define
class StartRates:
    """Keep how many tasks of each team start per second."""

    rates: dict[str, float] = attrs.Factory(dict)
    _starts: dict[str, int] = attrs.Factory(dict)
    _since: float = 0.0

    def started(self, team: str) -> None:
        """Count a start."""
        self._starts[team] = self._starts.get(team, 0) + 1

    def update(self, now: float) -> None:
        """Fold the starts since the last update into the rates, about once a second."""
        passed = now - self._since
        if passed < 1.0:
            return
        gain = min(1.0, passed / RATE_WINDOW_S)
        for team in self.rates.keys() | self._starts.keys():
            rate = self._starts.get(team, 0) / passed
            known = self.rates.get(team)
            self.rates[team] = rate if known is None else known + gain * (rate - known)
        self.rates = {team: rate for team, rate in self.rates.items() if rate > 1e-6}
        self._starts.clear()
        self._since = now

    def wait_s(self, team: str, queued: int) -> float | None:
        """Return how long a queue of this length takes to start, or None when unknown."""
        rate = self.rates.get(team)
        return queued / rate if rate else None


def refuse(
    task: Task,
    line: TeamQueue,
    team: TeamPolicy,
    queue: QueuePolicy,
    rates: StartRates,
    now: float,
) -> Refusal | None:
    """Return why a task is not queued: the queue is full, or its deadline would pass in it."""
    wait_s = rates.wait_s(task.team, line.queued)
    if line.queued >= team.max_queued:
        return _full(task, f"holds {line.queued} tasks, its limit", wait_s)
    in_queue = line.queued_in[task.queue]
    if in_queue >= queue.max_queued_per_team:
        reason = f"holds {in_queue} tasks for the queue {task.queue}, the limit of that queue"
        return _full(task, reason, wait_s)
    if task.kind is not WorkKind.REQUEST or line.queued < MIN_PREDICTED_QUEUE:
        return None
    # Only requests with an earlier or similar deadline are served before this one.
    ahead = sum(len(lane.heap) for lane in line.lanes.values() if lane.kind is WorkKind.REQUEST)
    wait_s = rates.wait_s(task.team, ahead)
    if ahead >= MIN_PREDICTED_QUEUE and wait_s is not None and now + wait_s > task.deadline:
        return _full(task, f"needs about {wait_s:.0f} s, longer than the deadline allows", wait_s)
    return None


def _full(task: Task, reason: str, wait_s: float | None) -> Refusal:
    return Refusal(
        ErrorKind.QUEUE_FULL,
        f"the queue of team {task.team} {reason}",
        remedy="send less at once, or again after the given time",
        retry_after_s=min(max(wait_s or 1.0, 0.5), MAX_RETRY_AFTER_S),
    )
