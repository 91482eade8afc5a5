"""Decide which queued task starts on which worker; the facade used by the owner of a shard."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from baobabhoist.errors import ErrorKind, InvariantBreachError, Refusal
from baobabhoist.model import Resources, RunningTask, Task, WorkerSpec, WorkKind
from baobabhoist.scheduling import overload
from baobabhoist.scheduling.capacity import (
    NOTHING,
    Amount,
    Availability,
    CapacityIndex,
    WorkerState,
    amount_of,
    fits,
    larger,
    minus,
    resources_of,
)
from baobabhoist.scheduling.estimates import RETRY_MARGIN, Estimator
from baobabhoist.scheduling.explain import explain
from baobabhoist.scheduling.fairness import Fairness
from baobabhoist.scheduling.gangs import HoldBook, Reservation
from baobabhoist.scheduling.health import MAX_TRACKED, HealthBook
from baobabhoist.scheduling.placement import RackSpread, choose, observe_speed
from baobabhoist.scheduling.policy import OBJECTIVES, PreemptionAction, QueuePolicy, TeamPolicy
from baobabhoist.scheduling.preemption import Running, action_for, plan_room
from baobabhoist.scheduling.queues import Entry, Lane, WaitingLines
from baobabhoist.scheduling.results import Explanation, Hold, Placement, Preemption, Verdict

BATCH_LIMIT = 32
# Ranks, probes and holds are renewed this often; a call in between costs only what changed.
UPKEEP_S = 0.1
# Estimates change the sizes of what waits, so sizes that found no room are tried again.
UNBLOCK_S = 2.0
HOLD_S = 60.0
# Collecting capacity leaves some of it idle, so only this part of the workers may do it at once.
MAX_COLLECTING_FRACTION = 0.125
URGENT_RANK = -1e9

_DEFAULT_QUEUE = QueuePolicy()
_DEFAULT_TEAM = TeamPolicy()


class PlaceBudget(Protocol):
    """Grant places within the teams' upper limits."""

    def start(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Take a place, or return the reason why there is none."""

    def ended(self, task_id: str) -> None:
        """Give the place of a task back."""


class Scheduler:
    """Queue tasks and place them on the workers of one owner.

    Every method takes `now` in Unix seconds and does no I/O. A step that would break an
    invariant raises InvariantBreachError and has no effect.
    """

    def __init__(self, workers: Iterable[WorkerSpec], places: PlaceBudget) -> None:
        self.places = places
        self.index = CapacityIndex(workers)
        self.fairness = Fairness(self.index.total)
        self.lines = WaitingLines(self._rank)
        self.health = HealthBook()
        self.estimator = Estimator()
        self.book = HoldBook(self.index, self._ends)
        self.running: dict[str, Running] = {}
        self.spread = RackSpread()
        self.rates = overload.StartRates()
        self._queues: Mapping[str, QueuePolicy] = {}
        self._teams: Mapping[str, TeamPolicy] = {}
        self._largest = self._largest_worker()
        self._peaks: OrderedDict[str, Amount] = OrderedDict()
        self._placed_holds: set[str] = set()
        self._preemptions: list[Preemption] = []
        self._given_up: list[tuple[Task, Refusal]] = []
        self._seq = itertools.count(1)
        self._now = 0.0
        self._upkeep_at = 0.0
        self._unblock_at = 0.0
        self._check_holds = False

    @classmethod
    def over(cls, workers: Iterable[WorkerSpec], places: PlaceBudget) -> Scheduler:
        """Return a scheduler for these workers, none of which is up yet."""
        return cls(workers, places)

    # Workers and settings.

    @property
    def free(self) -> dict[str, Resources]:
        """Return the free capacity of each worker that is up."""
        workers = self.index.workers.values()
        return {w.name: resources_of(w.free) for w in workers if w.availability is Availability.UP}

    @property
    def queued(self) -> dict[str, Task]:
        """Return the queued tasks by id."""
        entries = {id(entry): entry for entry in self.lines.entries.values()}.values()
        return {task.task_id: task for entry in entries for task in entry.members}

    @property
    def placed(self) -> dict[str, Placement]:
        """Return the placements of the running tasks by task id."""
        return {task_id: running.placement for task_id, running in self.running.items()}

    def worker_up(self, worker: str) -> None:
        """Offer a worker's whole capacity, less what is placed there."""
        self._set_availability(worker, Availability.UP)
        self.lines.unblock()

    def worker_down(self, worker: str) -> None:
        """Stop placing work on a worker."""
        self._set_availability(worker, Availability.DOWN)

    def worker_leaving(self, worker: str) -> None:
        """Give a leaving or drained worker nothing new; what runs there goes on."""
        self._set_availability(worker, Availability.LEAVING)

    def set_workers(self, workers: Iterable[WorkerSpec]) -> None:
        """Take a changed list of workers; new ones get work after `worker_up`.

        Queued tasks that fit no worker any more are returned by `given_up`.
        """
        before = set(self.index.workers)
        self.index.set_workers(workers)
        for name in before - set(self.index.workers):
            self.health.forget_worker(name)
        self.fairness.total = self.index.total
        self.fairness.changed()
        self._largest = self._largest_worker()
        for reservation in list(self.book.reservations.values()):
            if any(m.worker.name not in self.index.workers for m in reservation.members):
                self._end_reservation(reservation)
        for entry in {id(e): e for e in self.lines.entries.values()}.values():
            refusal = self._never_fits(entry.members)
            if refusal is not None:
                self._drop(entry)
                self._given_up.extend((task, refusal) for task in entry.members)
        self.lines.unblock()

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

    # Queueing.

    def enqueue(self, task: Task, now: float) -> Refusal | None:
        """Queue a task, or return why it is not queued."""
        return self.enqueue_gang(task.task_id, [task], now)

    def enqueue_gang(self, job_id: str, tasks: list[Task], now: float) -> Refusal | None:
        """Queue tasks that all run on this owner and start together."""
        for task in tasks:
            if task.task_id in self.running or task.task_id in self.lines.entries:
                raise InvariantBreachError(f"task {task.task_id} is queued or placed already")
        first = tasks[0]
        refusal = self._never_fits(tasks) or overload.refuse(
            first,
            self.lines.team(first.team),
            self._team(first.team),
            self._queue(first.queue),
            self.rates,
            now,
        )
        if refusal is not None:
            return refusal
        need = max(self._need(task) for task in tasks)
        run_s = max(self.estimator.run_s(task) for task in tasks)
        entry = Entry(first, tuple(tasks), need, run_s, next(self._seq))
        self.lines.add(entry, now)
        return None

    def cancel(self, task_id: str) -> bool:
        """Drop a queued task, with its gang; tell whether it was still queued."""
        entry = self.lines.entries.get(task_id)
        if entry is None:
            return False
        self._drop(entry)
        return True

    def expire(self, now: float) -> list[Task]:
        """Drop the queued tasks whose deadline has passed and return them."""
        return [task for entry in self.lines.expire(now) for task in entry.members]

    def given_up(self) -> list[tuple[Task, Refusal]]:
        """Return the queued tasks that were refused since the last call, with the reason."""
        found, self._given_up = self._given_up, []
        return found

    def preemptions(self) -> list[Preemption]:
        """Return the requests to make room that arose since the last call."""
        found, self._preemptions = self._preemptions, []
        return found

    def explain(self, task_id: str, now: float) -> Explanation:
        """Say why a task waits."""
        return explain(self, task_id, now)

    # Placing.

    def next_batch(self, now: float, limit: int = BATCH_LIMIT) -> list[Placement]:
        """Place what fits now, and return it for dispatch; call again if `limit` was reached."""
        self._now = now
        batch: list[Placement] = []
        if now >= self._upkeep_at:
            self._upkeep(now)
        if self._check_holds:
            self._commit_complete(now, batch)
        extra = self._extra_room(now)
        while len(batch) < limit:
            room = self.index.largest_open()
            lane = self.lines.best(larger(room, extra) if extra else room, now)
            entry = lane.head() if lane else None
            if lane is None or entry is None:
                break
            self._serve(lane, entry, now, batch)
        return batch

    def _serve(self, lane: Lane, entry: Entry, now: float, batch: list[Placement]) -> None:
        if len(entry.members) > 1:
            self._serve_gang(lane, entry, now, batch)
            return
        task = entry.task
        need = entry.need = self._need(task)
        excluded = self.health.excluded(task.task_id)
        worker = choose(self.index, task, need, excluded, self.spread)
        held_for = ""
        if worker is None and self.book.collecting and self._may_backfill(task):
            worker = self.book.backfill(need, self.estimator.long_run_s(task), now)
            held_for = self.book.collecting[worker.name].job_id if worker else ""
        probed = worker is None and bool(self.health.quarantined) and task.idempotent
        if probed:
            worker = self._probe(need, excluded, now)
        if worker is None:
            self._no_room(lane, entry, need, now)
        elif self.places.start(task.team, task.task_id, worker.name) is not None:
            self.lines.limit(lane.team)
        else:
            self.lines.remove(entry)
            batch.append(self._bind(task, need, worker, now))
            if held_for:
                self.book.backfilled[task.task_id] = held_for
            if probed:
                self.health.probe(worker.name, task.task_id)
            self.lines.push(lane, now)

    def _serve_gang(self, lane: Lane, entry: Entry, now: float, batch: list[Placement]) -> None:
        needs = [(task, self._need(task)) for task in entry.members]
        job_id = entry.task.task_id
        found = self.book.plan(job_id, needs, now, now + HOLD_S, entry, only_now=True)
        if found is None:
            self.lines.skip(lane)
        else:
            self._commit_queued(found, now, batch)
            self.lines.push(lane, now)

    def _no_room(self, lane: Lane, entry: Entry, need: Amount, now: float) -> None:
        if lane.urgent and self._make_room(entry, need, now):
            self.lines.push(lane, now)
        elif self.health.excluded(entry.task.task_id):
            self.lines.skip(lane)
        else:
            self.lines.blocked(lane, need)

    def _make_room(self, entry: Entry, need: Amount, now: float) -> bool:
        task = entry.task
        plan = plan_room(self.index, self.running, self._queue, task, need, now)
        if plan is None:
            return False
        if self.places.start(task.team, task.task_id, plan.worker.name) is not None:
            self.lines.limit(self.lines.team(task.team))
            return False
        entry.held = True
        found = self.book.reserve_on(plan.worker, entry, need, now, now + HOLD_S)
        self._placed_holds.add(found.job_id)
        for preemption in plan.preemptions:
            self.running[preemption.task_id].making_room = True
        self._preemptions.extend(plan.preemptions)
        return True

    def _bind(self, task: Task, need: Amount, worker: WorkerState, now: float) -> Placement:
        if task.task_id in self.running:
            raise InvariantBreachError(f"task {task.task_id} is placed already")
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

    # Ends.

    def ended(
        self,
        task_id: str,
        succeeded: bool,
        now: float,
        usage: Resources | None = None,
        preempted: bool = False,
    ) -> Verdict:
        """Free what a placed task held, learn from its end and say what should become of it.

        `usage` is the peak that the worker measured. The caller enqueues the task again after
        `RETRY`, if its kind may run again.
        """
        self._now = now
        running = self.running.get(task_id)
        if running is None:
            raise InvariantBreachError(f"task {task_id} is not placed")
        worker, task = running.worker, running.declared
        self.index.give(worker, running.need, task_id)
        del self.running[task_id]
        self.fairness.give(task.team, running.need)
        if task.kind is WorkKind.SERVICE:
            self.spread.remove(task.job_id, worker.spec.rack)
        self.book.backfilled.pop(task_id, None)
        verdict = Verdict.RETRY
        if not running.adopted:
            self.places.ended(task_id)
            if preempted:
                self.health.forget_probe(worker.name, task_id)
            else:
                verdict = self._learn(running, succeeded, now, usage)
        elif succeeded:
            verdict = Verdict.DONE
        self._check_holds = self._check_holds or bool(self.book.reservations)
        collecting = worker.name in self.book.collecting
        self.lines.grew(worker.free if collecting else worker.open())
        self.lines.team_changed(task.team, now)
        return verdict

    def _learn(
        self, running: Running, succeeded: bool, now: float, usage: Resources | None
    ) -> Verdict:
        task, worker = running.declared, running.worker
        job = task.job_id or f"{task.team}/{task.queue}"
        if succeeded:
            run_s = now - running.placement.at
            observe_speed(worker, running.run_s, run_s)
            self.estimator.observe(task, run_s, usage)
            self._peaks.pop(task.task_id, None)
            if self.health.succeeded(task.task_id, job, worker.name):
                worker.quarantined = False
                self.index.changed(worker)
            return Verdict.DONE
        if usage is not None:
            self.estimator.observe_usage(task, usage)
            self._peaks[task.task_id] = amount_of(usage)
            if len(self._peaks) > MAX_TRACKED:
                self._peaks.popitem(last=False)
        usable = sum(1 for w in self.index.workers.values() if w.usable())
        verdict = self.health.failed(task.task_id, job, worker.name, now, usable)
        if self.health.suspect(worker.name, len(self.index.workers), now):
            worker.quarantined = True
            self.index.changed(worker)
        return verdict

    def throttled(self, task_id: str, cpu_milli: int) -> None:
        """Note that a worker limits a task to these processors."""
        running = self.running.get(task_id)
        if running is None or cpu_milli >= running.need[0]:
            return
        kept = (cpu_milli, running.need[1], running.need[2], running.need[3])
        self.index.give(running.worker, running.need, task_id)
        self.index.take(running.worker, kept, task_id)
        self.fairness.give(running.declared.team, running.need)
        self.fairness.take(running.declared.team, kept)
        running.need = kept
        self._check_holds = True

    # Holds.

    def hold(
        self, job_id: str, tasks: list[Task], now: float, expires_at: float | None = None
    ) -> Hold | Refusal:
        """Hold capacity for tasks that must start together, or return the state of the hold."""
        self._now = now
        found = self.book.reservations.get(job_id)
        if found is None:
            refusal = self._never_fits(tasks)
            if refusal is not None:
                return refusal
            needs = [(task, self._need(task)) for task in tasks]
            found = self.book.plan(job_id, needs, now, expires_at or now + HOLD_S)
            if found is None:
                return _no_capacity("the workers cannot be free together before the hold ends")
        if not found.ready and found.complete():
            refusal = self._take_places(found)
            if refusal is not None:
                self._end_reservation(found)
                return refusal
            found.ready = True
        return found.as_hold()

    def commit(self, job_id: str, now: float) -> list[Placement] | Refusal:
        """Start the tasks of a ready hold."""
        found = self.book.reservations.get(job_id)
        if found is None or found.entry is not None:
            return Refusal(
                ErrorKind.NOT_FOUND,
                f"there is no hold for job {job_id}",
                remedy="hold the capacity again",
            )
        if now >= found.expires_at:
            self._end_reservation(found)
            return _no_capacity(f"the hold for job {job_id} has ended")
        if not found.ready or not found.complete():
            return _no_capacity(f"the hold for job {job_id} is not complete")
        return self._bind_all(found, now)

    def release(self, job_id: str) -> bool:
        """Drop a hold; tell whether there was one."""
        found = self.book.reservations.get(job_id)
        if found is None or found.entry is not None:
            return False
        self._end_reservation(found)
        return True

    def _take_places(self, reservation: Reservation) -> Refusal | None:
        taken: list[str] = []
        for member in reservation.members:
            task = member.task
            refusal = self.places.start(task.team, task.task_id, member.worker.name)
            if refusal is not None:
                for task_id in taken:
                    self.places.ended(task_id)
                return refusal
            taken.append(task.task_id)
        self._placed_holds.add(reservation.job_id)
        return None

    def _end_reservation(self, reservation: Reservation) -> None:
        self.book.end(reservation)
        if reservation.job_id in self._placed_holds:
            self._placed_holds.remove(reservation.job_id)
            for member in reservation.members:
                self.places.ended(member.task.task_id)
        entry = reservation.entry
        if entry is not None and entry.lane is not None and entry.held:
            self.lines.requeue(entry, self._now)
        self.lines.unblock()

    def _bind_all(self, reservation: Reservation, now: float) -> list[Placement]:
        self.book.end(reservation)
        self._placed_holds.discard(reservation.job_id)
        return [self._bind(m.task, m.need, m.worker, now) for m in reservation.members]

    def _commit_queued(self, found: Reservation, now: float, batch: list[Placement]) -> None:
        entry = found.entry
        assert entry is not None
        if found.job_id not in self._placed_holds and self._take_places(found) is not None:
            line = self.lines.team(entry.task.team)
            self._end_reservation(found)
            self.lines.limit(line)
            return
        self.lines.remove(entry)
        batch.extend(self._bind_all(found, now))

    def _commit_complete(self, now: float, batch: list[Placement]) -> None:
        self._check_holds = False
        for found in list(self.book.reservations.values()):
            if now >= found.expires_at or not found.usable():
                self._end_reservation(found)
            elif found.entry is not None and found.complete():
                self._commit_queued(found, now, batch)

    # Upkeep.

    def _upkeep(self, now: float) -> None:
        self._upkeep_at = now + UPKEEP_S
        self._check_holds = bool(self.book.reservations)
        self.rates.update(now)
        for task_id, job_id in self.book.overdue(now):
            running = self.running.get(task_id)
            if running is not None and not running.making_room:
                running.making_room = True
                policy = self._queue(running.declared.queue)
                action = action_for(running.declared, policy)
                self._preemptions.append(Preemption(task_id, running.worker.name, action, job_id))
        self._reserve_for_starved(now)
        if now >= self._unblock_at or self.health.probe_due(now):
            self._unblock_at = now + UNBLOCK_S
            self.lines.unblock()
        self.lines.refresh(now)

    def _reserve_for_starved(self, now: float) -> None:
        allowed = max(1, int(MAX_COLLECTING_FRACTION * len(self.index.workers)))
        if len(self.book.collecting) >= allowed:
            return
        starved = [
            (entry.task.submitted_at, entry.seq, entry)
            for lane, entry in self.lines.heads()
            if entry.waited_s(now) >= self._queue(lane.queue).reserve_after_s
            and (lane.shape.blocked is not None or len(entry.members) > 1)
            and not self.lines.waits_for_place(lane)
        ]
        for _, _, entry in sorted(starved):
            needs = [(task, self._need(task)) for task in entry.members]
            expires_at = min(now + 2 * HOLD_S, entry.task.deadline)
            if self.book.plan(entry.task.task_id, needs, now, expires_at, entry) is not None:
                entry.held = True
                self._check_holds = True
            if len(self.book.collecting) >= allowed:
                return

    # Helpers.

    def _rank(self, lane: Lane, entry: Entry, now: float) -> float:
        if lane.urgent:
            return URGENT_RANK
        objective = OBJECTIVES[self._queue(lane.queue).objective]
        return objective.rank(self.fairness.share(lane.team.name), entry.waited_s(now), lane.kind)

    def _extra_room(self, now: float) -> Amount | None:
        """Return a bound on what backfill and probes may use, or None when there are none."""
        if not self.book.collecting and not self.health.quarantined:
            return None
        room = NOTHING
        for name in [*self.book.collecting, *self.health.probe_due(now)]:
            room = larger(room, self.index.workers[name].free)
        return room

    def _probe(self, need: Amount, excluded: list[str], now: float) -> WorkerState | None:
        for name in self.health.probe_due(now):
            worker = self.index.workers[name]
            up = worker.availability is Availability.UP
            room = minus(worker.free, worker.reserved)
            if up and name not in excluded and fits(need, room):
                return worker
        return None

    def _may_backfill(self, task: Task) -> bool:
        return action_for(task, self._queue(task.queue)) in (
            PreemptionAction.STOP,
            PreemptionAction.CHECKPOINT,
        )

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

    def _set_availability(self, worker: str, availability: Availability) -> None:
        state = self.index.workers.get(worker)
        if state is not None:
            state.availability = availability
            self.index.changed(state)

    def _drop(self, entry: Entry) -> None:
        held = self.book.reservations.get(entry.task.task_id) if entry.held else None
        self.lines.remove(entry)
        if held is not None and held.entry is entry:
            self._end_reservation(held)

    def _queue(self, name: str) -> QueuePolicy:
        return self._queues.get(name, _DEFAULT_QUEUE)

    def _team(self, name: str) -> TeamPolicy:
        return self._teams.get(name, _DEFAULT_TEAM)


def _no_capacity(message: str) -> Refusal:
    return Refusal(
        ErrorKind.NO_CAPACITY,
        message,
        remedy="hold the capacity again later",
        retry_after_s=1.0,
    )
