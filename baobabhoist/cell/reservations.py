"""Keep room for a gang that waits, so that smaller work does not take it for ever."""

from __future__ import annotations

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.worker_selection import tasks_that_fit
from baobabhoist.cell.workers import WorkerState

# Gangs that gather at the same time; more would leave too many cores idle.
MAX_RESERVING_GANGS = 1


@attrs.define
class Reservations:
    """Hold workers for the first waiting gangs during one round of decisions."""

    gang_by_worker: dict[str, StepState] = attrs.Factory(dict)
    # The first gang of each team that waits until its team's limit has room for all of it.
    gang_by_team: dict[str, StepState] = attrs.Factory(dict)
    reserving_gangs: int = 0

    def clear(self) -> None:
        """Start a round."""
        self.gang_by_worker.clear()
        self.gang_by_team.clear()
        self.reserving_gangs = 0

    def is_worker_available(self, worker: WorkerState, step: StepState) -> bool:
        """Tell whether a worker is not held for another step."""
        if not self.gang_by_worker:
            return True
        holder = self.gang_by_worker.get(worker.worker_id)
        return holder is None or holder is step

    def is_team_limit_available(self, team: str, step: StepState) -> bool:
        """Tell whether what is left of a team's limit is not kept for another step."""
        return self.gang_by_team.get(team, step) is step

    def reserve_team_limit(self, team: str, step: StepState) -> None:
        """Keep what is left of a team's limit for a gang, from later steps of the round."""
        self.gang_by_team.setdefault(team, step)

    @property
    def is_full(self) -> bool:
        """Tell whether no further gang may gather in this round."""
        return self.reserving_gangs >= MAX_RESERVING_GANGS

    def reserve_workers(self, step: StepState, approved: list[WorkerState]) -> None:
        """Hold those of the usable approved workers that will have the gang's room soonest."""
        if self.is_full or not approved:
            return
        live = [w for w in approved if self.is_worker_available(w, step)]
        live.sort(key=_used_share)
        chosen, places = [], 0
        for worker in live:
            chosen.append(worker)
            places += tasks_that_fit(worker.info.capacity, step.spec.allocation, step.idle_count)
            if places >= step.idle_count:
                break
        if places < step.idle_count:
            return
        self.reserving_gangs += 1
        for worker in chosen:
            self.gang_by_worker[worker.worker_id] = step


def _used_share(worker: WorkerState) -> float:
    return worker.used.cpu / max(1, worker.info.capacity.cpu)
