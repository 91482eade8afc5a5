"""Choose the workers that an advice request names: as few as the waiting tasks of its step need.

Those come first that are known to be approved, and only those that will have room.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from math import ceil

import attrs

from baobabhoist.cell.advice_breadth import PLACES_FACTOR, gang_places_factor
from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import NO_RESOURCES, AdviceTerms, Resources
from baobabhoist.cell.reservations import Reservations
from baobabhoist.cell.room_forecast import Room, Rooms
from baobabhoist.cell.state import CellState
from baobabhoist.cell.worker_index import WorkerIndex
from baobabhoist.cell.worker_selection import count_fitting_tasks, max_tasks_per_worker

# Most workers that one request may name.
MAX_WORKERS_PER_REQUEST = 100
# Requests whose base cost is higher are long.
LONG_REQUEST_MS = 150.0
# While slots are scarce, the answer to a long request must be expected to start this fraction of
# the waiting tasks, of which at most MAX_COUNTED_TASKS count, and start any with this probability.
MIN_USEFUL_FRACTION = 0.5
MAX_COUNTED_TASKS = 4
MIN_USEFUL_PROBABILITY = 0.7
# A request names further workers while they add less than this fraction to its base cost.
LONG_EXTRA_COST_FRACTION = 0.1
SHORT_EXTRA_COST_FRACTION = 0.6


def is_long_request(terms: AdviceTerms) -> bool:
    """Return whether requests under these terms keep an instance's slot for long."""
    return terms.cost_ms(1) > LONG_REQUEST_MS


@attrs.frozen
class Candidate:
    """Hold a worker that a request may name, and how many tasks of the step it could take."""

    worker_id: str
    places: int


@attrs.define
class FoundWorkers:
    """Hold the workers that a request could name, and the places on those that need no ticket."""

    approved: list[Candidate] = attrs.Factory(list)
    unknown: list[Candidate] = attrs.Factory(list)
    approved_places: int = 0
    unknown_places: int = 0
    places_with_ticket: int = 0

    def add_approved(self, candidate: Candidate) -> None:
        """Add a worker that is known to be approved."""
        self.approved.append(candidate)
        self.approved_places += candidate.places

    def add_unknown(self, candidate: Candidate) -> None:
        """Add a worker whose approval is not known."""
        self.unknown.append(candidate)
        self.unknown_places += candidate.places

    @property
    def most_places(self) -> int:
        """Return how many tasks could start if all unknown workers were approved."""
        return self.places_with_ticket + self.approved_places + self.unknown_places

    def expected_places(self, approval_rate: float) -> float:
        """Return how many tasks will probably be able to start."""
        certain_places = self.places_with_ticket + self.approved_places
        return certain_places + approval_rate * self.unknown_places


@attrs.define
class RoomClaims:
    """Hold the room that steps with an open request will take, for the steps ranked below."""

    cpu_by_worker: Counter[str] = attrs.Factory(Counter)
    need_by_team: dict[str, Resources] = attrs.Factory(dict)

    def add(self, team: str, cpu_by_worker: Mapping[str, int], need: Resources) -> None:
        """Add the room that one step will take."""
        self.cpu_by_worker.update(cpu_by_worker)
        self.need_by_team[team] = self.of_team(team).plus(need)

    def of_team(self, team: str) -> Resources:
        """Return what the steps of a team will take."""
        return self.need_by_team.get(team, NO_RESOURCES)


@attrs.define
class CandidateFinder:
    """Choose the workers that a request for one step names."""

    state: CellState
    step: StepState
    terms: AdviceTerms
    # The fraction of workers that the adviser will probably approve.
    approval_rate: float
    worker_index: WorkerIndex
    reservations: Reservations
    # Room that steps further up the ranking will take.
    claims: RoomClaims
    # Other steps wait for the slots, so an answer must be worth its time.
    is_scarce: bool
    now: float
    # Tasks that will wait by the time the answer comes, because their runs count as ended then.
    returning_count: int = 0

    _places_factor: float = PLACES_FACTOR

    @property
    def _task_count(self) -> int:
        """Return how many tasks need a place when the answer comes."""
        return self.step.waiting_count + self.returning_count

    @property
    def _answer_ms(self) -> float:
        """Return when the answer to a request about a few workers can be expected."""
        return self.now + self.terms.base_cost_ms

    def workers_with_room(self) -> list[Candidate]:
        """Return workers without a valid ticket that will have room, or none if there are none.

        If what is free now does not suffice, what will be free when the answer comes counts.
        """
        wanted = self._count_allowed_tasks()
        if wanted <= 0:
            return []
        self._widen()
        service, forecast = self.state.service_of(self.step.job), self.worker_index.forecast
        found = FoundWorkers()
        if not self.step.approvals.tickets:
            found = self._find(forecast.rooms_now(service), wanted, self.claims)
        if found.expected_places(self.approval_rate) < self._places_factor * wanted:
            found = self._find(forecast.rooms(service, self._answer_ms), wanted, self.claims)
        return self._choose(found, wanted)

    def workers_without_room(self) -> list[Candidate]:
        """Return workers without a valid ticket that could run the step once they are free."""
        wanted = self._task_count
        return self._choose(self._find(self._rooms_when_free(), wanted, RoomClaims()), wanted)

    def workers_to_learn(self) -> list[Candidate]:
        """Return workers whose approval should be known before there is room for the step."""
        self._widen()
        wanted = self._task_count
        found = self._find(self._rooms_when_free(), wanted, RoomClaims())
        known_places = found.places_with_ticket + found.approved_places
        missing = wanted - known_places / self._places_factor
        if missing <= 0.0 or not found.unknown or found.most_places < wanted:
            return []
        chosen = self._take_enough(attrs.evolve(found, approved=[]), ceil(missing))
        # The answer is not for a start, so other steps may ask for the same room.
        return [attrs.evolve(candidate, places=0) for candidate in chosen]

    def _widen(self) -> None:
        """Look for more places for a gang the fuller the cell is."""
        if self.step.spec.gang and self.state.policy.forecasts_advice:
            service = self.state.service_of(self.step.job)
            rooms = self.worker_index.forecast.rooms_now(service)
            self._places_factor = gang_places_factor(rooms.free_fraction)

    def _rooms_when_free(self) -> Rooms:
        spec = self.step.spec
        service = self.state.service_of(self.step.job)
        return self.worker_index.rooms_when_free(service, spec.label, spec.allocation)

    def _capable_ids(self) -> list[str]:
        spec = self.step.spec
        service = self.state.service_of(self.step.job)
        return self.worker_index.capable_worker_ids(service, spec.label, spec.allocation)

    def _count_allowed_tasks(self) -> int:
        """Return how many tasks the team's limit will admit when the answer arrives."""
        state, job = self.state, self.step.job
        team, waiting = state.team_of(job), self._task_count
        if team is None:
            return waiting
        if not self.reservations.is_team_limit_available(team.name, self.step):
            return 0
        returned = self.step.spec.need.times(self.returning_count)
        used = state.team_usage[team.name].minus(returned).plus(self.claims.of_team(team.name))
        allowed = self._count_within_limit(team.limit.minus(used), team.limit)
        if allowed < waiting:
            ending = self.worker_index.forecast.ending_of_team(team.name, self._answer_ms)
            rest = team.limit.minus(used).plus(ending)
            allowed = self._count_within_limit(rest, team.limit)
        return 0 if self.step.spec.gang and allowed < waiting else allowed

    def _count_within_limit(self, rest: Resources, limit: Resources) -> int:
        """Return how many waiting tasks fit into the rest of a limit; 0 means no limit."""
        need = self.step.spec.need
        limited_need = Resources(
            need.cpu if limit.cpu else 0,
            need.memory_mb if limit.memory_mb else 0,
            need.gpu if limit.gpu else 0,
        )
        return count_fitting_tasks(rest, limited_need, self._task_count)

    def _find(self, rooms: Rooms, wanted: int, claims: RoomClaims) -> FoundWorkers:
        """Return the workers that the step could ask for, with at least one place each."""
        approvals = self.step.approvals
        valid_at_ms = self._answer_ms + self.state.start_delay.expected_ms
        found = FoundWorkers()
        for worker_id in approvals.tickets:
            room = rooms.by_worker.get(worker_id)
            places = self._count_places(room, claims) if room is not None else 0
            if not places:
                continue
            if approvals.valid_ticket(worker_id, valid_at_ms) is not None:
                found.places_with_ticket += places
            else:
                found.add_approved(Candidate(worker_id, places))
        self._find_unknown(rooms, wanted, claims, found)
        return found

    def _find_unknown(
        self, rooms: Rooms, wanted: int, claims: RoomClaims, found: FoundWorkers
    ) -> None:
        """Add workers whose approval is not known, as many as a request for the step may need."""
        approvals, need = self.step.approvals, self.step.spec.allocation
        extra_count = self._count_extra_workers(0)
        preferred = self._preferred_rooms_first(rooms.most_free_first)
        for room in preferred:
            worker_id = room.worker.worker_id
            if room.free.cpu < need.cpu:
                if preferred is rooms.most_free_first:
                    return
                continue
            if worker_id in approvals.tickets or worker_id in approvals.refused_workers:
                continue
            places = self._count_places(room, claims)
            if not places:
                continue
            found.add_unknown(Candidate(worker_id, places))
            if found.expected_places(self.approval_rate) >= self._places_factor * wanted:
                extra_count -= 1
            if extra_count < 0:
                return

    def _choose(self, found: FoundWorkers, wanted: int) -> list[Candidate]:
        """Return enough workers for the wanted tasks, those known to be approved first."""
        if found.places_with_ticket >= wanted:
            return []
        if self.step.spec.gang and found.most_places < wanted:
            return []
        if self.is_scarce and not self._is_useful(found, wanted):
            return []
        return self._take_enough(found, wanted - found.places_with_ticket)

    def _is_useful(self, found: FoundWorkers, wanted: int) -> bool:
        """Return whether an answer would probably start enough tasks to be worth its time."""
        expected = found.expected_places(self.approval_rate) - found.places_with_ticket
        if expected < MIN_USEFUL_FRACTION * min(wanted, MAX_COUNTED_TASKS):
            return False
        all_refused = (1.0 - self.approval_rate) ** len(found.unknown)
        if found.approved:
            all_refused = 0.0
        return 1.0 - all_refused >= MIN_USEFUL_PROBABILITY

    def _preferred_rooms_first(self, rooms: list[Room]) -> list[Room]:
        """Return warm workers before cold ones, and of each those near the data first."""
        rack, at_ms = self.step.spec.data_rack, self._answer_ms
        if not rack and not self.state.has_cold_workers(self.now):
            return rooms

        def rank(room: Room) -> tuple[bool, bool]:
            is_far = bool(rack) and room.worker.info.rack != rack
            return room.worker.is_cold(at_ms), is_far

        return sorted(rooms, key=rank)

    def _count_places(self, room: Room, claims: RoomClaims) -> int:
        """Return how many tasks of the step a worker could take."""
        spec, worker = self.step.spec, room.worker
        claimed_cpu = claims.cpu_by_worker.get(worker.worker_id, 0)
        if room.free.cpu - claimed_cpu < spec.allocation.cpu:
            return 0
        if not worker.info.has_label(spec.label):
            return 0
        if not self.reservations.is_worker_available(worker, self.step):
            return 0
        free = room.free.minus(Resources(claimed_cpu)) if claimed_cpu else room.free
        limit = max_tasks_per_worker(spec, self._task_count)
        if spec.most_per_worker:
            limit -= self.step.count_tasks_on(worker.worker_id)
        return count_fitting_tasks(free, spec.allocation, limit)

    def _take_enough(self, found: FoundWorkers, wanted: int) -> list[Candidate]:
        chosen: list[Candidate] = []
        missing = self._places_factor * wanted
        for probability, candidates in (
            (1.0, found.approved),
            (self.approval_rate, found.unknown),
        ):
            for candidate in candidates:
                if missing <= 0.0 or len(chosen) >= MAX_WORKERS_PER_REQUEST:
                    break
                chosen.append(candidate)
                missing -= probability * candidate.places
        if not chosen:
            return []
        if self._asks_again_about(chosen):
            return chosen
        extra_count = self._count_extra_workers(len(chosen))
        return [*chosen, *self._extra_candidates(chosen, found, extra_count)]

    def _asks_again_about(self, chosen: list[Candidate]) -> bool:
        """Return whether a request only renews the tickets of approved workers."""
        tickets = self.step.approvals.tickets
        return self.state.policy.forecasts_advice and all(c.worker_id in tickets for c in chosen)

    def _extra_candidates(
        self, chosen: list[Candidate], found: FoundWorkers, count: int
    ) -> list[Candidate]:
        """Return further workers, to learn more from the same answer: those with room first."""
        approvals = self.step.approvals
        chosen_ids = {candidate.worker_id for candidate in chosen}
        spare = [c for c in (*found.approved, *found.unknown) if c.worker_id not in chosen_ids]
        extra = spare[:count]
        known_ids = chosen_ids | {candidate.worker_id for candidate in extra}
        for worker_id in self._capable_ids() if len(extra) < count else ():
            if worker_id in known_ids or worker_id in approvals.tickets:
                continue
            if worker_id not in approvals.refused_workers:
                extra.append(Candidate(worker_id, 0))
            if len(extra) == count:
                break
        return extra

    def _count_extra_workers(self, count: int) -> int:
        """Return how many further workers cost little beside the base cost of the request."""
        terms = self.terms
        is_long = is_long_request(terms)
        fraction = LONG_EXTRA_COST_FRACTION if is_long else SHORT_EXTRA_COST_FRACTION
        if terms.cost_per_worker_ms <= 0.0:
            return MAX_WORKERS_PER_REQUEST - count
        extra = int(fraction * terms.base_cost_ms / terms.cost_per_worker_ms)
        return max(0, min(extra, MAX_WORKERS_PER_REQUEST - count))
