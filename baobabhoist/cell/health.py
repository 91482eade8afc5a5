"""Quarantine workers whose runs fail or stall, with exponential backoff and a probation."""

from __future__ import annotations

import attrs

# Consecutive failures of different jobs before a worker is quarantined.
FAILURE_THRESHOLD = 3
INITIAL_QUARANTINE_MS = 2_000.0
MAX_QUARANTINE_MS = 8_000.0


@attrs.define
class WorkerHealth:
    """Track the health of one worker from the results of its runs."""

    failed_job_ids: list[str] = attrs.Factory(list)
    quarantine_count: int = 0
    quarantined_until_ms: float = 0.0
    is_on_probation: bool = False

    def record_success(self) -> None:
        """Record a run that succeeded; ends the probation and resets the backoff."""
        self.failed_job_ids.clear()
        self.is_on_probation = False
        self.quarantine_count = 0

    def record_failure(self, job_id: str, now: float) -> bool:
        """Record a run that failed; return whether this quarantines the worker."""
        if job_id not in self.failed_job_ids:
            self.failed_job_ids.append(job_id)
        return (
            len(self.failed_job_ids) >= FAILURE_THRESHOLD or self.is_on_probation
        ) and self._quarantine(now)

    def record_stall(self, now: float) -> bool:
        """Quarantine a worker with a stalled run; return whether it was not quarantined before."""
        return self._quarantine(now)

    def accepts_task(self, now: float, run_count: int) -> bool:
        """Return whether the worker may get a task; on probation it gets one at a time."""
        return now >= self.quarantined_until_ms and not (self.is_on_probation and run_count > 0)

    def _quarantine(self, now: float) -> bool:
        if now < self.quarantined_until_ms:
            return False
        self.quarantined_until_ms = now + min(
            MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2**self.quarantine_count
        )
        self.quarantine_count += 1
        self.is_on_probation = True
        self.failed_job_ids.clear()
        return True
