"""Distinguish failing workers from failing jobs, and quarantine the workers."""

from __future__ import annotations

import enum
from collections import Counter, OrderedDict

import attrs

from baobabhoist.scheduling.results import Verdict

# A worker is suspect after this many failures without a success in between. A job that has not
# succeeded elsewhere counts once, because the job itself may be at fault.
SUSPECT_FAILURES = 3
# A task that failed on this many different healthy workers is assumed to fail everywhere.
MAX_FAILED_WORKERS_PER_TASK = 3
MAX_ATTEMPTS_PER_TASK = 6
# A fault that all workers have in common fails tasks on each of them; it must not put the whole
# shard into quarantine.
MAX_QUARANTINED_FRACTION = 0.25
INITIAL_PROBE_INTERVAL_S = 5.0
MAX_PROBE_INTERVAL_S = 300.0
REQUIRED_PROBE_SUCCESSES = 2
# Bounds the memory that each kind of history takes; the oldest entries are dropped.
MAX_TRACKED_ENTRIES = 4096


class WorkerHealth(enum.Enum):
    """Define the states of a worker's health."""

    GOOD = "good"
    QUARANTINED = "quarantined"


@attrs.define
class WorkerHistory:
    """Hold one worker's failures by job since its last success, and its quarantine state."""

    state: WorkerHealth = WorkerHealth.GOOD
    failed_jobs: Counter[str] = attrs.Factory(Counter)
    probe_at: float = 0.0
    probe_interval_s: float = INITIAL_PROBE_INTERVAL_S
    passed_probes: int = 0
    probe_task_id: str = ""


@attrs.define
class HealthTracker:
    """Attribute failures to workers or to tasks by which of them fail together."""

    workers: dict[str, WorkerHistory] = attrs.Factory(dict)
    failed_workers_by_task: OrderedDict[str, list[str]] = attrs.Factory(OrderedDict)
    failed_workers_by_job: OrderedDict[str, set[str]] = attrs.Factory(OrderedDict)
    last_success_by_job: OrderedDict[str, str] = attrs.Factory(OrderedDict)
    quarantined: set[str] = attrs.Factory(set)

    def history(self, worker: str) -> WorkerHistory:
        """Return a worker's history, which is created if it does not exist."""
        return self.workers.setdefault(worker, WorkerHistory())

    def excluded_workers(self, task_id: str) -> list[str]:
        """Return the workers on which a task failed and must not be tried again."""
        return self.failed_workers_by_task.get(task_id, [])

    def record_success(self, task_id: str, job: str, worker: str) -> bool:
        """Record a success, and return whether it ended the worker's quarantine."""
        self.failed_workers_by_task.pop(task_id, None)
        self.failed_workers_by_job.pop(job, None)
        self.last_success_by_job[job] = worker
        self.last_success_by_job.move_to_end(job)
        if len(self.last_success_by_job) > MAX_TRACKED_ENTRIES:
            self.last_success_by_job.popitem(last=False)
        history = self.history(worker)
        history.failed_jobs.clear()
        if history.probe_task_id == task_id:
            history.probe_task_id = ""
            history.passed_probes += 1
            if history.passed_probes >= REQUIRED_PROBE_SUCCESSES:
                self._end_quarantine(worker, history)
                return True
        return False

    def record_failure(
        self, task_id: str, job: str, worker: str, now: float, usable_count: int
    ) -> Verdict:
        """Record a failure, and return whether to retry the task on another worker.

        `usable_count` is the number of workers that may be given work.
        """
        history = self.history(worker)
        history.failed_jobs[job] += 1
        if history.probe_task_id == task_id:
            history.probe_task_id = ""
            history.passed_probes = 0
            history.probe_interval_s = min(MAX_PROBE_INTERVAL_S, 2 * history.probe_interval_s)
            history.probe_at = now + history.probe_interval_s
        attempts = self.failed_workers_by_task.setdefault(task_id, [])
        attempts.append(worker)
        self.failed_workers_by_job.setdefault(job, set()).add(worker)
        self.failed_workers_by_job.move_to_end(job)
        for entries in (self.failed_workers_by_task, self.failed_workers_by_job):
            if len(entries) > MAX_TRACKED_ENTRIES:
                entries.popitem(last=False)
        healthy = {name for name in attempts if name not in self.quarantined}
        if (
            len(healthy) >= min(MAX_FAILED_WORKERS_PER_TASK, max(1, usable_count))
            or len(attempts) >= MAX_ATTEMPTS_PER_TASK
        ):
            self.failed_workers_by_task.pop(task_id, None)
            return Verdict.GIVE_UP
        return Verdict.RETRY

    def quarantine_if_suspect(self, worker: str, worker_count: int, now: float) -> bool:
        """Quarantine a worker that fails jobs which do not fail elsewhere.

        Return whether the worker was quarantined now. `worker_count` is the size of the shard.
        """
        history = self.history(worker)
        if history.state is not WorkerHealth.GOOD:
            return False
        attributed_failures = sum(
            failures if job in self.last_success_by_job else 1
            for job, failures in history.failed_jobs.items()
            if self._count_other_failing_workers(job, worker) < 2
        )
        if (
            attributed_failures < SUSPECT_FAILURES
            or len(self.quarantined) + 1 > MAX_QUARANTINED_FRACTION * worker_count
        ):
            return False
        history.state = WorkerHealth.QUARANTINED
        history.probe_at = now + history.probe_interval_s
        history.passed_probes = 0
        self.quarantined.add(worker)
        return True

    def workers_due_for_probe(self, now: float) -> list[str]:
        """Return the quarantined workers that may be given a task as a probe now."""
        return [
            name
            for name in sorted(self.quarantined)
            if not self.workers[name].probe_task_id and self.workers[name].probe_at <= now
        ]

    def start_probe(self, worker: str, task_id: str) -> None:
        """Record that a task runs as a probe on a quarantined worker."""
        self.workers[worker].probe_task_id = task_id

    def cancel_probe(self, worker: str, task_id: str) -> None:
        """End a probe that gave no result."""
        history = self.workers.get(worker)
        if history is not None and history.probe_task_id == task_id:
            history.probe_task_id = ""

    def remove_worker(self, worker: str) -> None:
        """Forget a worker that is no longer in the records."""
        self.workers.pop(worker, None)
        self.quarantined.discard(worker)

    def _count_other_failing_workers(self, job: str, worker: str) -> int:
        return len(self.failed_workers_by_job.get(job, set()) - {worker} - self.quarantined)

    def _end_quarantine(self, worker: str, history: WorkerHistory) -> None:
        history.state = WorkerHealth.GOOD
        history.probe_interval_s = INITIAL_PROBE_INTERVAL_S
        self.quarantined.discard(worker)
