"""Hold the state that scheduling decisions are based on: workers, policies and tasks."""

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
    ZERO,
    Availability,
    CapacityIndex,
    ResourceVector,
    WorkerState,
    fits,
    to_resources,
    to_vector,
)
from baobabhoist.scheduling.estimates import RETRY_MEMORY_FACTOR, Estimator
from baobabhoist.scheduling.fairness import FairShareTracker
from baobabhoist.scheduling.health import HealthTracker
from baobabhoist.scheduling.placement import RackSpread
from baobabhoist.scheduling.policy import OBJECTIVES, QueuePolicy, TeamPolicy
from baobabhoist.scheduling.preemption import PlacedTask
from baobabhoist.scheduling.queues import QueueEntry, Subqueue, TaskQueues
from baobabhoist.scheduling.reservations import ReservationTable
from baobabhoist.scheduling.results import Placement, Preemption

# Lower than the rank of any other work.
URGENT_RANK = -1e9

_DEFAULT_QUEUE_POLICY = QueuePolicy()
_DEFAULT_TEAM_POLICY = TeamPolicy()


class PlaceQuota(Protocol):
    """Grant places within the teams' upper limits; a team needs one for each running task."""

    def acquire(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Acquire a place for a task, or return why there is none."""

    def release(self, task_id: str) -> None:
        """Release the place of a task."""


class SchedulerState:
    """Hold the workers, queues and running tasks of one shard, and keep them consistent."""

    def __init__(self, workers: Iterable[WorkerSpec], places: PlaceQuota) -> None:
        self.places = places
        self.index = CapacityIndex(workers)
        self.fairness = FairShareTracker(self.index.total)
        self.queues = TaskQueues(self._rank)
        self.health = HealthTracker()
        self.estimator = Estimator()
        self.reservations = ReservationTable(self.index, self._projected_ends)
        self.running: dict[str, PlacedTask] = {}
        self.spread = RackSpread()
        self.rates = admission.StartRates()
        self._queue_policies: Mapping[str, QueuePolicy] = {}
        self._team_policies: Mapping[str, TeamPolicy] = {}
        self._largest_capacity = self._find_largest_capacity()
        self._peak_usage: OrderedDict[str, ResourceVector] = OrderedDict()
        self._holds_with_places: set[str] = set()
        self._preemptions: list[Preemption] = []
        self._refused: list[tuple[Task, Refusal]] = []
        self._seq = itertools.count(1)
        self._now = 0.0
        self._maintenance_at = 0.0
        self._size_class_retry_at = 0.0
        self._limited_teams_retry_at = 0.0
        self._holds_need_check = False

    @property
    def free_resources(self) -> dict[str, Resources]:
        """Return the free capacity of each worker that is up."""
        workers = self.index.workers.values()
        return {w.name: to_resources(w.free) for w in workers if w.availability is Availability.UP}

    @property
    def queued_tasks(self) -> dict[str, Task]:
        """Return the queued tasks by id."""
        entries = {id(entry): entry for entry in self.queues.entries.values()}.values()
        return {task.task_id: task for entry in entries for task in entry.members}

    @property
    def placements(self) -> dict[str, Placement]:
        """Return the placements of the running tasks by task id."""
        return {task_id: placed.placement for task_id, placed in self.running.items()}

    def worker_up(self, worker: str) -> None:
        """Place work on a worker from now on, up to the capacity that is free."""
        self._set_availability(worker, Availability.UP)
        self.queues.unblock_all()

    def worker_down(self, worker: str) -> None:
        """Stop placing work on a worker."""
        self._set_availability(worker, Availability.DOWN)

    def worker_leaving(self, worker: str) -> None:
        """Stop placing work on a worker that leaves or drains; its tasks go on."""
        self._set_availability(worker, Availability.LEAVING)

    def adopt(self, worker: str, running: Iterable[RunningTask], now: float) -> None:
        """Count the tasks that a worker already runs; call it before `worker_up`.

        Places are not acquired here. The end of an adopted task is reported with `task_ended`,
        which leaves the release of its place to the caller.
        """
        worker_state = self.index.workers[worker]
        for reported in running:
            if reported.task_id in self.running:
                continue
            task = Task(
                reported.task_id, reported.team, "", WorkKind.BATCH, reported.resources, now, now
            )
            demand = to_vector(reported.resources)
            self.index.adopt(worker_state, demand, reported.task_id)
            self.fairness.add_usage(reported.team, demand)
            placement = Placement(task, worker, now)
            self.running[reported.task_id] = PlacedTask(
                placement,
                task,
                demand,
                worker_state,
                task.expected_run_s,
                task.expected_run_s,
                True,
            )

    def set_policies(
        self, queues: Mapping[str, QueuePolicy], teams: Mapping[str, TeamPolicy]
    ) -> None:
        """Apply the policies of queues and teams from now on."""
        self._queue_policies, self._team_policies = queues, teams
        self.fairness.weights = {name: policy.weight for name, policy in teams.items()}
        self.fairness.invalidate()
        self._maintenance_at = 0.0

    def set_fleet_usage(
        self, remote_shares: Mapping[str, float], local_fraction: float = 1.0
    ) -> None:
        """Set what the teams use in other shards, as dominant shares of the fleet.

        `local_fraction` is this shard's part of the fleet's capacity.
        """
        self.fairness.remote_shares = remote_shares
        self.fairness.local_fraction = local_fraction
        self.fairness.invalidate()
        self._maintenance_at = 0.0

    def places_changed(self) -> None:
        """Try limited teams again, after places arrived from other shards."""
        self.queues.retry_limited_teams(self._now)

    def _bind(
        self, task: Task, demand: ResourceVector, worker: WorkerState, now: float
    ) -> Placement:
        is_placed = task.task_id in self.running
        check(not is_placed, Invariant.SCHEDULER, "task %s is already placed", task.task_id)
        self.index.allocate(worker, demand, task.task_id)
        self.fairness.add_usage(task.team, demand)
        self.rates.record_start(task.team)
        if task.kind is WorkKind.SERVICE:
            self.spread.add(task.job_id, worker.spec.rack)
        granted = task
        if demand != to_vector(task.resources):
            granted = attrs.evolve(task, resources=to_resources(demand))
        placement = Placement(granted, worker.name, now)
        median_s, p90_s = self.estimator.median_run_s(task), self.estimator.p90_run_s(task)
        self.running[task.task_id] = PlacedTask(placement, task, demand, worker, median_s, p90_s)
        return placement

    def _demand_of(self, task: Task) -> ResourceVector:
        demand, declared = (
            self.estimator.estimate_demand(task, self._largest_capacity),
            to_vector(task.resources),
        )
        peak = self._peak_usage.get(task.task_id)
        if peak is not None:
            memory = max(declared[1], round(peak[1] * RETRY_MEMORY_FACTOR))
            memory = max(demand[1], min(memory, self._largest_capacity[1]))
            demand = (max(demand[0], declared[0]), memory, demand[2], demand[3])
        return demand if fits(demand, declared) or self.index.could_ever_fit(demand) else declared

    def _refuse_if_too_large(self, tasks: Iterable[Task]) -> Refusal | None:
        for task in tasks:
            if not self.index.could_ever_fit(to_vector(task.resources)):
                return Refusal(
                    ErrorKind.NEVER_FITS,
                    f"no worker in the records is large enough for {task.resources}",
                    remedy="ask for fewer processors, less memory or fewer accelerators",
                )
        return None

    def _find_largest_capacity(self) -> ResourceVector:
        capacities = [worker.capacity for worker in self.index.workers.values()]
        return max(capacities, default=ZERO)

    def _projected_ends(self, worker: WorkerState) -> list[tuple[float, ResourceVector]]:
        tasks = (self.running[task_id] for task_id in worker.task_ids)
        return [(placed.projected_end(self._now), placed.demand) for placed in tasks]

    def _rank(self, subqueue: Subqueue, entry: QueueEntry, now: float) -> float:
        if subqueue.is_urgent:
            return URGENT_RANK
        objective = OBJECTIVES[self._queue_policy(subqueue.queue).objective]
        return objective.rank(
            self.fairness.entitlement_ratio(subqueue.team.name), entry.waited_s(now), subqueue.kind
        )

    def _set_availability(self, worker: str, availability: Availability) -> None:
        worker_state = self.index.workers.get(worker)
        if worker_state is not None:
            worker_state.availability = availability
            self.index.update(worker_state)

    def _queue_policy(self, name: str) -> QueuePolicy:
        return self._queue_policies.get(name, _DEFAULT_QUEUE_POLICY)

    def _team_policy(self, name: str) -> TeamPolicy:
        return self._team_policies.get(name, _DEFAULT_TEAM_POLICY)
