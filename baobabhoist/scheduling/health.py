"""Tell failing workers from failing jobs, and keep work away from the former."""

from __future__ import annotations

import enum
from collections import Counter, OrderedDict

import attrs

from baobabhoist.scheduling.results import Verdict

# A worker is suspected after this many failures without a success between. A job that has not
# succeeded elsewhere counts once, because it may be the job that is at fault.
SUSPECT_FAILURES = 3
# A task that failed on this many different workers in good health fails everywhere.
GIVE_UP_WORKERS = 3
MAX_ATTEMPTS = 6
# A common cause fails tasks on every worker; quarantine must not empty the shard for it.
MAX_QUARANTINED_FRACTION = 0.25
FIRST_PROBE_S = 5.0
MAX_PROBE_S = 300.0
PROBES_TO_PASS = 2
MAX_TRACKED = 4096


class WorkerHealth(enum.Enum):
    """Name the states of a worker's health."""

    GOOD = "good"
    QUARANTINED = "quarantined"


@attrs.define
class WorkerRecord:
    """Hold the recent failures of one worker, by job, and the state of its quarantine."""

    state: WorkerHealth = WorkerHealth.GOOD
    failed_jobs: Counter[str] = attrs.Factory(Counter)
    probe_at: float = 0.0
    probe_every_s: float = FIRST_PROBE_S
    passed: int = 0
    probing: str = ""


@attrs.define
class HealthBook:
    """Judge workers and tasks by which of them fail together."""

    workers: dict[str, WorkerRecord] = attrs.Factory(dict)
    tasks: OrderedDict[str, list[str]] = attrs.Factory(OrderedDict)
    jobs: OrderedDict[str, set[str]] = attrs.Factory(OrderedDict)
    proven: OrderedDict[str, str] = attrs.Factory(OrderedDict)
    quarantined: set[str] = attrs.Factory(set)

    def record(self, worker: str) -> WorkerRecord:
        """Return a worker's record."""
        return self.workers.setdefault(worker, WorkerRecord())

    def excluded(self, task_id: str) -> list[str]:
        """Return the workers on which a task has failed."""
        return self.tasks.get(task_id, [])

    def succeeded(self, task_id: str, job: str, worker: str) -> bool:
        """Note a success; tell whether it ended the worker's quarantine."""
        self.tasks.pop(task_id, None)
        self.jobs.pop(job, None)
        self.proven[job] = worker
        self.proven.move_to_end(job)
        if len(self.proven) > MAX_TRACKED:
            self.proven.popitem(last=False)
        record = self.record(worker)
        record.failed_jobs.clear()
        if record.probing == task_id:
            record.probing = ""
            record.passed += 1
            if record.passed >= PROBES_TO_PASS:
                self._clear(worker, record)
                return True
        return False

    def failed(self, task_id: str, job: str, worker: str, now: float, usable: int) -> Verdict:
        """Note a failure and say whether one of the usable workers may try the task again."""
        record = self.record(worker)
        record.failed_jobs[job] += 1
        if record.probing == task_id:
            record.probing = ""
            record.passed = 0
            record.probe_every_s = min(MAX_PROBE_S, 2 * record.probe_every_s)
            record.probe_at = now + record.probe_every_s
        attempts = self.tasks.setdefault(task_id, [])
        attempts.append(worker)
        self.jobs.setdefault(job, set()).add(worker)
        self.jobs.move_to_end(job)
        for book in (self.tasks, self.jobs):
            if len(book) > MAX_TRACKED:
                book.popitem(last=False)
        healthy = {name for name in attempts if name not in self.quarantined}
        if len(healthy) >= min(GIVE_UP_WORKERS, max(1, usable)) or len(attempts) >= MAX_ATTEMPTS:
            self.tasks.pop(task_id, None)
            return Verdict.GIVE_UP
        return Verdict.RETRY

    def suspect(self, worker: str, total: int, now: float) -> bool:
        """Quarantine a worker that fails what does not fail elsewhere."""
        record = self.record(worker)
        if record.state is not WorkerHealth.GOOD:
            return False
        blamed = sum(
            failures if job in self.proven else 1
            for job, failures in record.failed_jobs.items()
            if self._others_failing(job, worker) < 2
        )
        if (
            blamed < SUSPECT_FAILURES
            or len(self.quarantined) + 1 > MAX_QUARANTINED_FRACTION * total
        ):
            return False
        record.state = WorkerHealth.QUARANTINED
        record.probe_at = now + record.probe_every_s
        record.passed = 0
        self.quarantined.add(worker)
        return True

    def probe_due(self, now: float) -> list[str]:
        """Return the quarantined workers that may be given one task to try."""
        return [
            name
            for name in sorted(self.quarantined)
            if not self.workers[name].probing and self.workers[name].probe_at <= now
        ]

    def probe(self, worker: str, task_id: str) -> None:
        """Note that a task tries a quarantined worker."""
        self.workers[worker].probing = task_id

    def forget_probe(self, worker: str, task_id: str) -> None:
        """Note that a probe ended without a result."""
        record = self.workers.get(worker)
        if record is not None and record.probing == task_id:
            record.probing = ""

    def forget_worker(self, worker: str) -> None:
        """Drop a worker that left the records."""
        self.workers.pop(worker, None)
        self.quarantined.discard(worker)

    def _others_failing(self, job: str, worker: str) -> int:
        return len(self.jobs.get(job, set()) - {worker} - self.quarantined)

    def _clear(self, worker: str, record: WorkerRecord) -> None:
        record.state = WorkerHealth.GOOD
        record.probe_every_s = FIRST_PROBE_S
        self.quarantined.discard(worker)
