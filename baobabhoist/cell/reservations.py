"""Reserve capacity for a waiting gang, so that smaller tasks do not starve it."""

from __future__ import annotations

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.worker_selection import count_fitting_tasks, max_tasks_per_worker
from baobabhoist.cell.workers import WorkerState

# Gangs that reserve workers at the same time; more would leave too many cores idle.
MAX_RESERVING_GANGS = 1


@attrs.define
class Reservations:
    """Hold the workers and team limits reserved for gangs during one scheduling round."""

    gang_by_worker: dict[str, StepState] = attrs.Factory(dict)
    # The first gang of each team that waits until the team's limit admits all its members.
    gang_by_team: dict[str, StepState] = attrs.Factory(dict)
    reserving_gang_count: int = 0

    def clear(self) -> None:
        """Drop all reservations at the start of a round."""
        self.gang_by_worker.clear()
        self.gang_by_team.clear()
        self.reserving_gang_count = 0

    def is_worker_available(self, worker: WorkerState, step: StepState) -> bool:
        """Return whether a worker is not reserved for another step."""
        if not self.gang_by_worker:
            return True
        holder = self.gang_by_worker.get(worker.worker_id)
        return holder is None or holder is step

    def holds_capacity_from(self, step: StepState, workers: list[WorkerState]) -> bool:
        """Return whether a worker reserved for another step has a processor for this one."""
        return bool(self.gang_by_worker) and any(
            worker.free_cpu >= step.spec.allocation.cpu
            and not self.is_worker_available(worker, step)
            for worker in workers
        )

    def is_team_limit_available(self, team: str, step: StepState) -> bool:
        """Return whether the rest of a team's limit is not reserved for another step."""
        return self.gang_by_team.get(team, step) is step

    def reserve_team_limit(self, team: str, step: StepState) -> None:
        """Reserve the rest of a team's limit for a gang until the end of the round."""
        self.gang_by_team.setdefault(team, step)

    @property
    def is_full(self) -> bool:
        """Return whether no further gang may reserve workers in this round."""
        return self.reserving_gang_count >= MAX_RESERVING_GANGS

    def reserve_workers(self, step: StepState, approved: list[WorkerState]) -> None:
        """Reserve the approved workers that will soonest have the capacity for a gang.

        These are the least loaded ones, and as few as suffice. If all together are too small for
        the gang, none is reserved.
        """
        if self.is_full or not approved:
            return
        available = [w for w in approved if self.is_worker_available(w, step)]
        available.sort(key=_cpu_utilization)
        max_per_worker = max_tasks_per_worker(step.spec, step.waiting_count)
        chosen, slot_count = [], 0
        for worker in available:
            chosen.append(worker)
            slot_count += count_fitting_tasks(
                worker.info.capacity, step.spec.allocation, max_per_worker
            )
            if slot_count >= step.waiting_count:
                break
        if slot_count < step.waiting_count:
            return
        self.reserving_gang_count += 1
        for worker in chosen:
            self.gang_by_worker[worker.worker_id] = step


def _cpu_utilization(worker: WorkerState) -> float:
    return worker.used.cpu / max(1, worker.info.capacity.cpu)
