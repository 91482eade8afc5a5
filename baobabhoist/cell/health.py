"""Track whether the runs on a worker fail, with exponential backoff and a probation."""

from __future__ import annotations

import attrs

from baobabhoist.cell.jobs import TaskState

# Failures of different jobs, without a success in between, before a worker is quarantined.
FAILURE_THRESHOLD = 3
INITIAL_QUARANTINE_MS = 2_000.0
MAX_QUARANTINE_MS = 8_000.0


@attrs.frozen
class Failure:
    """Describe a failed run, or a refused start if there is no task."""

    job_id: str
    task: TaskState | None = None


@attrs.define
class WorkerHealth:
    """Track the health of one worker from the results of its runs."""

    # The last failure of each job since the last success, by job id.
    failures: dict[str, Failure] = attrs.Factory(dict)
    quarantine_count: int = 0
    quarantined_until_ms: float = 0.0
    # Set from the start of a quarantine until the next success.
    is_on_probation: bool = False
    # The failures that led to the last quarantine, and how many were required; none for a stall.
    quarantine_failures: tuple[Failure, ...] = ()
    required_failures: int = 0

    def record_success(self) -> None:
        """Record a run that succeeded; ends the probation and resets the backoff."""
        self.failures.clear()
        self.is_on_probation = False
        self.quarantine_count = 0

    def record_failure(self, failure: Failure) -> None:
        """Record a run that failed or a start that was refused."""
        self.failures[failure.job_id] = failure

    @property
    def failure_threshold(self) -> int:
        """Return how many failures are needed to quarantine the worker."""
        return 1 if self.is_on_probation else FAILURE_THRESHOLD

    def accepts_task(self, now: float, run_count: int) -> bool:
        """Return whether the worker may get a task; on probation it gets one at a time."""
        return now >= self.quarantined_until_ms and not (self.is_on_probation and run_count > 0)

    def quarantine(self, now: float, required_failures: int) -> bool:
        """Start a quarantine; return whether the worker was not quarantined before."""
        if now < self.quarantined_until_ms:
            return False
        self.required_failures = required_failures
        self.quarantine_failures = tuple(self.failures.values())
        self.quarantined_until_ms = now + min(
            MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2**self.quarantine_count
        )
        self.quarantine_count += 1
        self.is_on_probation = True
        self.failures.clear()
        return True

    def revoke_quarantine(self) -> None:
        """Restore the state before the last quarantine, whose failures were those of the jobs."""
        self.is_on_probation = self.required_failures < FAILURE_THRESHOLD
        self.quarantine_count -= 1
        self.quarantined_until_ms = 0.0
        # A job that fails everywhere now may still succeed and make its failure count again.
        self.failures = {f.job_id: f for f in self.quarantine_failures} | self.failures
        self.quarantine_failures, self.required_failures = (), 0
