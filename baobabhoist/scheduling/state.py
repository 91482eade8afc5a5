"""Hold the state of one owner's decisions: workers, policies, what runs and what waits."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.model import Resources, RunningTask, Task, WorkerSpec, WorkKind
from baobabhoist.scheduling import admission
from baobabhoist.scheduling.capacity import (
    NOTHING,
    Amount,
    Availability,
    CapacityIndex,
    WorkerState,
    amount_of,
    fits,
    resources_of,
)
from baobabhoist.scheduling.estimates import RETRY_MARGIN, Estimator
from baobabhoist.scheduling.fairness import FairShareTracker
from baobabhoist.scheduling.health import HealthBook
from baobabhoist.scheduling.placement import RackSpread
from baobabhoist.scheduling.policy import OBJECTIVES, QueuePolicy, TeamPolicy
from baobabhoist.scheduling.preemption import Running
from baobabhoist.scheduling.queues import Lane, QueueEntry, TaskQueues
from baobabhoist.scheduling.reservations import ReservationTable
from baobabhoist.scheduling.results import Placement, Preemption

URGENT_RANK = -1e9

_DEFAULT_QUEUE = QueuePolicy()
_DEFAULT_TEAM = TeamPolicy()


class PlaceQuota(Protocol):
    """Grant places within the teams' upper limits."""

    def acquire(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Take a place, or return the reason why there is none."""

    def release(self, task_id: str) -> None:
        """Give the place of a task back."""


class SchedulerState:
    """Hold what an owner's decisions are based on, and keep it consistent."""

    def __init__(self, workers: Iterable[WorkerSpec], places: PlaceQuota) -> None:
        self.places = places
        self.index = CapacityIndex(workers)
        self.fairness = FairShareTracker(self.index.total)
        self.queues = TaskQueues(self._rank)
        self.health = HealthBook()
        self.estimator = Estimator()
        self.reservations = ReservationTable(self.index, self._ends)
        self.running: dict[str, Running] = {}
        self.spread = RackSpread()
        self.rates = admission.StartRates()
        self._queues: Mapping[str, QueuePolicy] = {}
        self._teams: Mapping[str, TeamPolicy] = {}
        self._largest = self._largest_worker()
        self._peaks: OrderedDict[str, Amount] = OrderedDict()
        self._placed_holds: set[str] = set()
        self._preemptions: list[Preemption] = []
        self._refused: list[tuple[Task, Refusal]] = []
        self._seq = itertools.count(1)
        self._now = 0.0
        self._upkeep_at = 0.0
        self._unblock_at = 0.0
        self._limited_teams_retry_at = 0.0
        self._check_holds = False

    @property
    def free_resources(self) -> dict[str, Resources]:
        """Return the free capacity of each worker that is up."""
        workers = self.index.workers.values()
        return {w.name: resources_of(w.free) for w in workers if w.availability is Availability.UP}

    @property
    def queued_tasks(self) -> dict[str, Task]:
        """Return the queued tasks by id."""
        entries = {id(entry): entry for entry in self.queues.entries.values()}.values()
        return {task.task_id: task for entry in entries for task in entry.members}

    @property
    def placements(self) -> dict[str, Placement]:
        """Return the placements of the running tasks by task id."""
        return {task_id: running.placement for task_id, running in self.running.items()}

    def worker_up(self, worker: str) -> None:
        """Offer a worker's whole capacity, less what is placed there."""
        self._set_availability(worker, Availability.UP)
        self.queues.unblock()

    def worker_down(self, worker: str) -> None:
        """Stop placing work on a worker."""
        self._set_availability(worker, Availability.DOWN)

    def worker_leaving(self, worker: str) -> None:
        """Give a leaving or drained worker nothing new; what runs there goes on."""
        self._set_availability(worker, Availability.LEAVING)

    def adopt(self, worker: str, running: Iterable[RunningTask], now: float) -> None:
        """Count what a worker runs already, before `worker_up`; places are not touched.

        The end of an adopted task is reported with `ended`, which leaves its place to the caller.
        """
        state = self.index.workers[worker]
        for item in running:
            if item.task_id in self.running:
                continue
            task = Task(item.task_id, item.team, "", WorkKind.BATCH, item.resources, now, now)
            need = amount_of(item.resources)
            self.index.adopt(state, need, item.task_id)
            self.fairness.take(item.team, need)
            placement = Placement(task, worker, now)
            self.running[item.task_id] = Running(
                placement, task, need, state, task.expected_run_s, task.expected_run_s, True
            )

    def set_policies(
        self, queues: Mapping[str, QueuePolicy], teams: Mapping[str, TeamPolicy]
    ) -> None:
        """Use these policies from now on."""
        self._queues, self._teams = queues, teams
        self.fairness.weights = {name: policy.weight for name, policy in teams.items()}
        self.fairness.changed()
        self._upkeep_at = 0.0

    def set_fleet_usage(self, elsewhere: Mapping[str, float], local_fraction: float = 1.0) -> None:
        """Count the teams' dominant shares of the fleet elsewhere.

        `local_fraction` is this owner's part of the fleet's capacity.
        """
        self.fairness.elsewhere = elsewhere
        self.fairness.local_fraction = local_fraction
        self.fairness.changed()
        self._upkeep_at = 0.0

    def places_changed(self) -> None:
        """Look again at the teams without a place, after places arrived from elsewhere."""
        self.queues.unlimit(self._now)

    def _bind(self, task: Task, need: Amount, worker: WorkerState, now: float) -> Placement:
        placed = task.task_id in self.running
        check(not placed, Invariant.SCHEDULER, "task %s is placed already", task.task_id)
        self.index.take(worker, need, task.task_id)
        self.fairness.take(task.team, need)
        self.rates.started(task.team)
        if task.kind is WorkKind.SERVICE:
            self.spread.add(task.job_id, worker.spec.rack)
        granted = task
        if need != amount_of(task.resources):
            granted = attrs.evolve(task, resources=resources_of(need))
        placement = Placement(granted, worker.name, now)
        run_s, long_run_s = self.estimator.run_s(task), self.estimator.long_run_s(task)
        self.running[task.task_id] = Running(placement, task, need, worker, run_s, long_run_s)
        return placement

    def _need(self, task: Task) -> Amount:
        need, declared = self.estimator.need(task, self._largest), amount_of(task.resources)
        peak = self._peaks.get(task.task_id)
        if peak is not None:
            memory = max(declared[1], round(peak[1] * RETRY_MARGIN))
            memory = max(need[1], min(memory, self._largest[1]))
            need = (max(need[0], declared[0]), memory, need[2], need[3])
        return need if fits(need, declared) or self.index.could_ever_fit(need) else declared

    def _never_fits(self, tasks: Iterable[Task]) -> Refusal | None:
        for task in tasks:
            if not self.index.could_ever_fit(amount_of(task.resources)):
                return Refusal(
                    ErrorKind.NEVER_FITS,
                    f"no worker in the records has room for {task.resources}",
                    remedy="ask for fewer processors, less memory or fewer accelerators",
                )
        return None

    def _largest_worker(self) -> Amount:
        capacities = [worker.capacity for worker in self.index.workers.values()]
        return max(capacities, default=NOTHING)

    def _ends(self, worker: WorkerState) -> list[tuple[float, Amount]]:
        found = (self.running[task_id] for task_id in worker.tasks)
        return [(running.projected_end(self._now), running.need) for running in found]

    def _rank(self, lane: Lane, entry: QueueEntry, now: float) -> float:
        if lane.urgent:
            return URGENT_RANK
        objective = OBJECTIVES[self._queue(lane.queue).objective]
        return objective.rank(self.fairness.share(lane.team.name), entry.waited_s(now), lane.kind)

    def _set_availability(self, worker: str, availability: Availability) -> None:
        state = self.index.workers.get(worker)
        if state is not None:
            state.availability = availability
            self.index.changed(state)

    def _queue(self, name: str) -> QueuePolicy:
        return self._queues.get(name, _DEFAULT_QUEUE)

    def _team(self, name: str) -> TeamPolicy:
        return self._teams.get(name, _DEFAULT_TEAM)
