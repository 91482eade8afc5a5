"""Keep room for a gang that waits, so that smaller work does not take it for ever."""

from __future__ import annotations

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.worker_selection import room_for
from baobabhoist.cell.workers import WorkerState

# Gangs that gather at the same time; more would leave too many cores idle.
GATHERING_MAX = 1


@attrs.define
class Reservations:
    """Hold workers for the first waiting gangs during one round of decisions."""

    by_worker: dict[str, StepState] = attrs.Factory(dict)
    # The first gang of each team that waits until its team's limit has room for all of it.
    by_team: dict[str, StepState] = attrs.Factory(dict)
    gathering: int = 0

    def begin(self) -> None:
        """Start a round."""
        self.by_worker.clear()
        self.by_team.clear()
        self.gathering = 0

    def open_to(self, worker: WorkerState, step: StepState) -> bool:
        """Tell whether a worker is not held for another step."""
        if not self.by_worker:
            return True
        holder = self.by_worker.get(worker.worker_id)
        return holder is None or holder is step

    def limit_open_to(self, team: str, step: StepState) -> bool:
        """Tell whether what is left of a team's limit is not kept for another step."""
        return self.by_team.get(team, step) is step

    def wait_for_limit(self, team: str, step: StepState) -> None:
        """Keep what is left of a team's limit for a gang, from later steps of the round."""
        self.by_team.setdefault(team, step)

    @property
    def full(self) -> bool:
        """Tell whether no further gang may gather in this round."""
        return self.gathering >= GATHERING_MAX

    def gather(self, step: StepState, approved: list[WorkerState]) -> None:
        """Hold those of the usable approved workers that will have the gang's room soonest."""
        if self.full or not approved:
            return
        live = [w for w in approved if self.open_to(w, step)]
        live.sort(key=_used_share)
        chosen, places = [], 0
        for worker in live:
            chosen.append(worker)
            places += room_for(worker.info.capacity, step.spec.allocation, step.idle)
            if places >= step.idle:
                break
        if places < step.idle:
            return
        self.gathering += 1
        for worker in chosen:
            self.by_worker[worker.worker_id] = step


def _used_share(worker: WorkerState) -> float:
    return worker.used.cpu / max(1, worker.info.capacity.cpu)
