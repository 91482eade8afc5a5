"""Decide what the placement adviser is asked next: for which step, and about which workers.

The adviser works on one request of each instance at a time and goes on with those that were given
up. So there is one slot for each instance, requests never queue behind each other, and whenever a
slot is free, the first step in the ranking that can use its answer gets it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable

import attrs

from baobabhoist.cell.advice_candidates import (
    Candidate,
    CandidateFinder,
    RoomClaims,
    is_long_request,
)
from baobabhoist.cell.approval_rates import ApprovalRates
from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import AdviceTerms, RequestAdvice, Resources, StepKey
from baobabhoist.cell.ranking import Timeliness, timeliness_of
from baobabhoist.cell.reservations import Reservations
from baobabhoist.cell.rotating_checks import RotatingChecks
from baobabhoist.cell.state import CellState
from baobabhoist.cell.wait_account import AdviceDecision
from baobabhoist.cell.worker_index import WorkerIndex

# Long requests must leave one in this many slots to the others, and half of the slots while a job
# that stands still waits for one.
SHORT_SLOT_INTERVAL = 4
# A step is asked for again if its answer is late by this much; a late answer still counts.
LATE_ANSWER_MS = 700.0
# While the slots are in use, steps of expired jobs get one request in this time.
EXPIRED_REQUEST_INTERVAL_MS = 1_000.0
# A step for which there was nothing useful to ask is looked at again after this time.
RECHECK_INTERVAL_MS = 60.0
# This many steps at the head of the ranking keep valid tickets while slots are idle.
MAX_HEAD_STEPS = 8
# Gangs this far up the ranking learn their approved workers before there is room for them.
MAX_GATHERING_POSITION = 32
# A task whose run will count as ended asks so early that this fraction of its tickets' validity is
# left by then: many runs end at once with a lease, and a slot answers one request at a time.
RETURN_VALIDITY_FRACTION = 0.5


def return_lead_ms(terms: AdviceTerms) -> float:
    """Return how long before its run counts as ended a task may ask."""
    return terms.base_cost_ms + (1.0 - RETURN_VALIDITY_FRACTION) * terms.ticket_valid_ms


@attrs.define
class OpenRequest:
    """Hold a request without an answer, and the room that its step will take."""

    step: StepState
    late_ms: float
    is_long: bool
    claimed_cpu: dict[str, int]
    claimed_need: Resources


@attrs.define
class AdviceRequester:
    """Issue the advice requests of one cell and track those without an answer."""

    state: CellState
    # One slot for each instance that can ask the adviser.
    slot_count: int = 1
    # Slots that can't be used although no open request uses them.
    blocked_count: int = 0
    rates: ApprovalRates = attrs.Factory(ApprovalRates)
    open_requests: dict[StepKey, OpenRequest] = attrs.Factory(dict)
    _claims: RoomClaims = attrs.Factory(RoomClaims)
    _checks: RotatingChecks = attrs.Factory(RotatingChecks)
    # How many tasks of each step will wait when an answer comes, besides those that wait now.
    _returning: Counter[StepKey] = attrs.Factory(Counter)
    # A step of a job that stands still found no slot in this round, and in the last one.
    _lacks_slot: bool = False
    _lacked_slot: bool = False
    # When a step of an expired job may next ask although the slots are in use; 0 if none waits.
    _next_expired_ms: float = 0.0

    @property
    def open_count(self) -> int:
        """Return how many requests are neither answered nor late."""
        return len(self.open_requests)

    def begin_round(self, now: float) -> None:
        """Give up the requests whose answers are late, and forget the claims of the last round."""
        late = [key for key, request in self.open_requests.items() if request.late_ms <= now]
        for step_key in late:
            del self.open_requests[step_key]
        self._claims = RoomClaims()
        self._returning = self._count_returning(now)
        self._lacked_slot, self._lacks_slot = self._lacks_slot, False
        self._checks.begin_round()

    def returning_steps(self) -> list[StepState]:
        """Return the steps of which no task waits yet, though some will when an answer comes."""
        steps = (self.state.ready_steps.get(key) for key in self._returning)
        return [step for step in steps if step is not None and not step.waiting_count]

    def _count_returning(self, now: float) -> Counter[StepKey]:
        """Count, by step, the tasks whose runs will count as ended when an answer comes."""
        returning: Counter[StepKey] = Counter()
        for awaited in self.state.awaited_runs.open_waits():
            step = awaited.run.task.step
            queue = self.state.queue_of(step.job)
            if queue is None or queue.advice is None:
                continue
            if awaited.until_ms > now + return_lead_ms(queue.advice):
                continue
            # A gang that has lost a member is stopped as a whole.
            running_count = step.unfinished_count - step.waiting_count
            returning[step.key] = running_count if step.spec.gang else returning[step.key] + 1
        return returning

    def request(
        self,
        step: StepState,
        position: int,
        worker_index: WorkerIndex,
        reservations: Reservations,
        now: float,
    ) -> AdviceDecision:
        """Issue the request that a waiting step needs, if a slot is free; return what was decided.

        Call this for all waiting steps of a round, by their `position` in the ranking.
        """
        open_request = self.open_requests.get(step.key)
        if open_request is not None:
            self._claim(open_request)
            return AdviceDecision.OPEN
        queue = self.state.queue_of(step.job)
        if queue is None or queue.advice is None:
            return AdviceDecision.NOT_NEEDED
        if step.approvals.is_request_blocked(now):
            return AdviceDecision.BLOCKED
        returning_count = self._returning[step.key]
        task_count = step.waiting_count + returning_count
        if step.spec.gang and task_count < step.unfinished_count:
            return AdviceDecision.RUN_ENDING
        is_long = is_long_request(queue.advice)
        if self._is_too_late_to_ask(step, is_long, now):
            return AdviceDecision.TOO_LATE
        if self._checks.skips(position):
            return AdviceDecision.NOT_CHECKED
        if not self._free_slots(is_long):
            self._lacks_slot = self._lacks_slot or (not is_long and step.job.is_overdue(now))
            return AdviceDecision.NO_SLOT
        if self._checks.end_if_in_vain(position):
            return AdviceDecision.NOT_CHECKED
        rate = self.rates.expected(queue.name)
        is_scarce = is_long and not self._has_idle_slots(is_long)
        finder = CandidateFinder(
            self.state,
            step,
            queue.advice,
            rate,
            worker_index,
            reservations,
            self._claims,
            is_scarce,
            now,
            returning_count,
        )
        chosen = finder.workers_with_room()
        if not chosen:
            chosen = self._find_ahead(finder, step, position, is_long)
        if not chosen:
            self._checks.count_vain()
            step.approvals.block_requests_until(now + RECHECK_INTERVAL_MS)
            return AdviceDecision.NOTHING_TO_ASK
        self._issue(step, queue.advice, chosen, task_count, now)
        return AdviceDecision.ASKED

    def close_request(self, step_key: StepKey) -> None:
        """Record that the request of a step was answered or has failed."""
        self.open_requests.pop(step_key, None)

    def record_verdicts(
        self, step: StepState, requested: Iterable[str], approved: Container[str]
    ) -> None:
        """Learn from an answer which fraction of the workers is approved."""
        new_ids = [w for w in requested if w not in step.approvals.tickets]
        if new_ids:
            approved_count = sum(worker_id in approved for worker_id in new_ids)
            self.rates.observe(step.job.accepted.queue, len(new_ids), approved_count)

    def _free_slots(self, is_long: bool) -> int:
        """Return how many requests may be issued now."""
        free = self.slot_count - self.blocked_count - self.open_count
        if not is_long or self.slot_count == 1:
            return max(0, free)
        open_long = sum(request.is_long for request in self.open_requests.values())
        max_long = self.slot_count - max(1, self.slot_count // SHORT_SLOT_INTERVAL)
        if self._lacked_slot:
            max_long = min(max_long, self.slot_count // 2)
        return max(0, min(free, max_long - open_long))

    def _find_ahead(
        self, finder: CandidateFinder, step: StepState, position: int, is_long: bool
    ) -> list[Candidate]:
        """Return the workers that a request may name before there is room for the step."""
        if not self.state.policy.forecasts_advice:
            may_ask = self._may_ask_ahead(step, position, is_long)
            return finder.workers_without_room() if may_ask else []
        is_near = step.spec.gang and position < MAX_GATHERING_POSITION
        may_ask = is_near or self._has_idle_slots(is_long)
        return finder.workers_to_learn() if may_ask else []

    def _may_ask_ahead(self, step: StepState, position: int, is_long: bool) -> bool:
        """Return whether a step may ask before there is room for it."""
        if step.spec.gang and not step.approvals.tickets and position < MAX_GATHERING_POSITION:
            return True
        return position < MAX_HEAD_STEPS and self._has_idle_slots(is_long)

    def _is_too_late_to_ask(self, step: StepState, is_long: bool, now: float) -> bool:
        """Return whether a step that can earn nothing more would take a slot from others."""
        if not self.state.policy.forecasts_advice or step.spec.lasting:
            return False
        if not _is_deferrable(step, is_long, now) or self._has_idle_slots(is_long):
            return False
        if not self._next_expired_ms:
            self._next_expired_ms = now + EXPIRED_REQUEST_INTERVAL_MS
        return now < self._next_expired_ms

    def _has_idle_slots(self, is_long: bool) -> bool:
        """Return whether so many slots are free that no other step has to wait for one."""
        return 2 * self._free_slots(is_long) > self.slot_count

    def _issue(
        self,
        step: StepState,
        terms: AdviceTerms,
        chosen: list[Candidate],
        task_count: int,
        now: float,
    ) -> None:
        names = tuple(candidate.worker_id for candidate in chosen)
        cost_ms = terms.cost_ms(len(names))
        late_ms = now + cost_ms + LATE_ANSWER_MS
        claimed_cpu, tasks = {}, 0
        for candidate in chosen:
            count = min(candidate.places, task_count - tasks)
            claimed_cpu[candidate.worker_id] = count * step.spec.allocation.cpu
            tasks += count
        is_long = is_long_request(terms)
        request = OpenRequest(step, late_ms, is_long, claimed_cpu, step.spec.need.times(tasks))
        if _is_deferrable(step, is_long, now):
            self._next_expired_ms = now + EXPIRED_REQUEST_INTERVAL_MS
        self.open_requests[step.key] = request
        self._claim(request)
        step.approvals.block_requests_until(late_ms)
        self.state.commands.append(RequestAdvice(step.key, names, cost_ms))

    def _claim(self, request: OpenRequest) -> None:
        team = request.step.job.accepted.team
        self._claims.add(team, request.claimed_cpu, request.claimed_need)


def _is_deferrable(step: StepState, is_long: bool, now: float) -> bool:
    """Return whether a request could only start a job that earns nothing more, and may wait."""
    is_expired = timeliness_of(step.job, now) is Timeliness.EXPIRED
    return is_expired and (is_long or not step.job.is_overdue(now))
