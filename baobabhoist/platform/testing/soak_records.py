"""Hold what callers and workers of the soak recorded, for the checks of the guarantees."""

from __future__ import annotations

from typing import Any

import attrs

from baobabhoist.platform.testing.soak_advice import AdvicePolicy

JsonObject = dict[str, Any]

INF = float("inf")
# A changed limit must be in force everywhere within this time.
LIMIT_DEADLINE_S = 2.0


@attrs.define
class SubmittedJob:
    """Hold what the caller knows of a job; `cancel_sent` is 0 unless it was cancelled."""

    job_id: str
    queue: str
    team: str
    steps: list[JsonObject]
    spec: int
    attempts: int
    cancel_sent: float = 0.0
    body: str = ""
    # What the adviser approves, or None if the queue needs no advice.
    advice: AdvicePolicy | None = None

    def may_run_on(self, step_number: int, worker: str) -> bool:
        """Return whether a worker is approved for a step, or no approval is needed."""
        step = f"{self.job_id}.0.{step_number}"
        return self.advice is None or self.advice.approves(step, worker)


@attrs.frozen
class Team:
    """Hold a team and its initial CPU limit in thousandths of a core; 0 means no limit."""

    name: str
    cpu_limit: int


@attrs.define
class Run:
    """Describe one run of a task, as a worker logged it."""

    worker: str
    task_id: str
    run_number: int
    start: float
    entry: JsonObject
    end: float = INF
    outcome: str = ""
    acked_at: float = INF
    # Whether the worker's lease expired between the end and its acknowledgement.
    lease_expired_before_ack: bool = False

    @property
    def job_id(self) -> str:
        """Return the id of the run's job."""
        return self.task_id.partition(".")[0]

    @property
    def was_carried_out_late(self) -> bool:
        """Return whether the worker carried out the start seconds after it was sent."""
        return bool(self.entry["mode"] == "late" or self.entry.get("late"))

    @property
    def step_number(self) -> int:
        """Return the number of the run's step."""
        return int(self.task_id.split(".")[2])


def limits_in_force(
    driver_log: list[JsonObject], team: str, t: float, extra_delay_s: float = 0.0
) -> list[float]:
    """Return the CPU limits of a team that may be in force at a time."""
    changes = [e for e in driver_log if e["event"] == "limits"]
    ends = [*(e["acked"] + LIMIT_DEADLINE_S for e in changes[1:]), INF]
    return [
        change["limits"][team] or INF
        for change, until in zip(changes, ends, strict=True)
        if change["t"] <= t <= until + extra_delay_s
    ]
