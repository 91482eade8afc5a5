"""Set aside workers that fail or stall what they are given, and try them again later."""

from __future__ import annotations

import attrs

# Failures in a row, of different jobs, that set a worker aside.
STRIKES = 3
FIRST_REST_MS = 2_000.0
LONGEST_REST_MS = 8_000.0


@attrs.define
class WorkerHealth:
    """Judge one worker by the ends of its runs."""

    failed_jobs: list[str] = attrs.Factory(list)
    rests: int = 0
    resting_until_ms: float = 0.0
    on_trial: bool = False

    def succeeded(self) -> None:
        """Note a run that ended as done."""
        self.failed_jobs.clear()
        self.on_trial = False
        self.rests = 0

    def failed(self, job_id: str, now: float) -> bool:
        """Note a run that failed; tell whether the worker is set aside now."""
        if job_id not in self.failed_jobs:
            self.failed_jobs.append(job_id)
        return (len(self.failed_jobs) >= STRIKES or self.on_trial) and self._rest(now)

    def stalled(self, now: float) -> bool:
        """Note a run that made no progress; the worker is set aside at once."""
        return self._rest(now)

    def open(self, now: float, running: int) -> bool:
        """Tell whether the worker takes a task now; on trial it takes one at a time."""
        return now >= self.resting_until_ms and not (self.on_trial and running > 0)

    def _rest(self, now: float) -> bool:
        if now < self.resting_until_ms:
            return False
        self.resting_until_ms = now + min(LONGEST_REST_MS, FIRST_REST_MS * 2**self.rests)
        self.rests += 1
        self.on_trial = True
        self.failed_jobs.clear()
        return True
