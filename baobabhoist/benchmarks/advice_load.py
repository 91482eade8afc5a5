"""Replay a backlog against advisers that work on one query of each instance at a time.

An adviser goes on with a query whose caller has given up, so a caller that asks again too early
makes it work for nothing. The replay loses all answers for some time and shows whether the rate of
starts recovers.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
from collections.abc import Callable, Sequence

import attrs

from baobabhoist.benchmarks.cell_replay import (
    TICKET_VALIDITY_MS,
    CellReplay,
)
from baobabhoist.benchmarks.cell_workload import (
    REFERENCE_WORKERS,
    CellWorkload,
    JobProfile,
    LoadScenario,
    SiteProfile,
    generate_workload,
)
from baobabhoist.cell.model import (
    AdviceTerms,
    CommandOutcome,
    Queue,
    RequestAdvice,
    StartTask,
    StepKey,
)
from baobabhoist.control.advice import AdviceDispatcher
from baobabhoist.control.advice_gate import AdviceGate, AdviserBusy
from baobabhoist.control.interfaces import Advice
from baobabhoist.control.messages import AdviceQuery, AdviceReply
from baobabhoist.testing.simulated_loop import SimulatedLoop, run_simulated

LINK_LATENCY_S = 0.002
# Jobs of the costly queue that arrive within the first second, as a multiple of their usual rate.
BACKLOG_FACTOR = 110.0
# All answers of the adviser are lost in this period.
LOSS_START_MS, LOSS_END_MS = 500.0, 2_500.0
SECONDS = 14.0


def _queue(name: str, priority: int, slack: float, target_ms: int, terms: AdviceTerms) -> Queue:
    return Queue(name, "svc", priority, 3, slack, target_ms, advice=terms)


QUICK = JobProfile(
    _queue("entry", 0, 1.5, 250, AdviceTerms(27.0, 0.24, 2_500)),
    *(7.25, 0.626, 6, 1_300, 4_700, 800.0),
    steps=2,
    approval_percent=70,
)
LARGE = JobProfile(
    _queue("bundle", 2, 2.2, 1_200, AdviceTerms(640.0, 5.7, 2_500)),
    *(0.6, 4.32, 10, 2_700, 10_000, 3_800.0),
    steps=3,
    gang_fraction=0.08,
    checkpoint_fraction=0.8,
    approval_percent=35,
    max_tasks=96,
)
# A site whose gangs fill it, and wait for advice on several workers at once.
GANG_SITE = SiteProfile(
    (
        JobProfile(
            _queue("trace", 1, 2.2, 1_000, AdviceTerms(350.0, 5.0, 2_500)),
            *(0.37, 8.66, 20, 4_500, 8_100, 4_000.0),
            gang_fraction=1.0,
            checkpoint_fraction=0.5,
            approval_percent=35,
            max_tasks=120,
        ),
        JobProfile(
            _queue("audit", 2, 4.0, 3_000, AdviceTerms(100.0, 1.4, 2_500)),
            *(0.61, 3.24, 25, 1_700, 3_200, 2_700.0),
            steps=2,
            checkpoint_fraction=0.8,
            cancelled_fraction=0.05,
            approval_percent=45,
            max_tasks=150,
        ),
        JobProfile(
            _queue("ping", 0, 1.5, 250, AdviceTerms(9.0, 0.13, 2_500)),
            *(6.8, 0.41, 3, 2_500, 3_600, 800.0),
            gang_fraction=0.3,
            approval_percent=70,
            max_tasks=19,
        ),
    ),
    team_weights=(1.0,) * 20,
    max_gang_fraction=0.5,
)
# A site whose queries take most of the time of its few instances.
COSTLY_ADVICE_SITE = SiteProfile((QUICK, LARGE))


@attrs.define(eq=False)
class SimulatedAdviser:
    """Answer the queries of one instance in turn, also those that were given up."""

    replay: AdviceLoadReplay
    free_ms: float = 0.0

    async def ask(self, step: StepKey, workers: Sequence[str], timeout_s: float) -> Advice | None:
        """Return the approved workers, or None after the time-out."""
        return await self.replay.answer(self, step, workers, timeout_s)


@attrs.define(eq=False)
class SimulatedLink:
    """Pass queries to the adviser of another instance."""

    gate: AdviceGate

    async def call(self, query: AdviceQuery, timeout_s: float) -> AdviceReply:
        """Return the reply; raises TimeoutError after `timeout_s`."""
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(LINK_LATENCY_S)
            step = StepKey(query.job_id, query.occurrence, query.step)
            advice = await self.gate.ask(step, query.workers, query.cost_ms)
            await asyncio.sleep(LINK_LATENCY_S)
        if isinstance(advice, AdviserBusy):
            return AdviceReply(False, busy_ms=advice.wait_ms)
        if advice is None:
            return AdviceReply(False)
        return AdviceReply(True, advice.tickets, advice.valid_ms)


@attrs.define(eq=False)
class AdviceLoadReplay(CellReplay):
    """Replay a workload with the real dispatcher of queries and simulated advisers."""

    instances: int = 6
    loses_answers: bool = True
    loop: SimulatedLoop = attrs.Factory(SimulatedLoop)
    start_times_ms: list[float] = attrs.Factory(list)
    # Adviser time of the queries that were answered or given up, not lost, and of those whose
    # tickets started a task, in ms.
    total_cost_ms: float = 0.0
    used_cost_ms: float = 0.0
    # The longest time that a query waited for another of its instance.
    max_queue_ms: float = 0.0
    # The cost of each answer that has not been used, by its number.
    _unused_costs_ms: dict[int, float] = attrs.Factory(dict)
    _answer_by_ticket: dict[tuple[StepKey, str, str], int] = attrs.Factory(dict)
    _answer_numbers: itertools.count[int] = attrs.Factory(itertools.count)
    _dispatcher: AdviceDispatcher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the cell, its workers and one adviser for each instance."""
        super().__attrs_post_init__()
        links = {
            f"n{number}": SimulatedLink(self._make_gate()) for number in range(1, self.instances)
        }
        self._dispatcher = AdviceDispatcher(
            self._make_gate(), lambda: links, clock=self.loop.now_ms
        )

    def _make_gate(self) -> AdviceGate:
        return AdviceGate(SimulatedAdviser(self), self.loop.now_ms)

    def run(self, seconds: float) -> None:
        """Replay the arrivals in simulated time."""
        run_simulated(self.loop, self._run(seconds))

    async def _run(self, seconds: float) -> None:
        for arrival in self.workload.arrivals:
            self.schedule_event(arrival.at_ms, functools.partial(self._add_job, arrival))
        for name in self.workers:
            self.schedule_event(0.0, functools.partial(self._renew_lease, name, repeat=True))
        self.schedule_event(0.0, self._tick)
        await asyncio.sleep(seconds + self.drain_s)

    def schedule_event(self, at_ms: float, event: Callable[[], object]) -> None:
        """Call `event` at a time, or now if the time has passed."""
        self.loop.call_at(at_ms / 1000, self._run_event, event)

    def _run_event(self, event: Callable[[], object]) -> None:
        self.now = self.loop.now_ms()
        event()

    def _make_decision(self) -> None:
        advice = self.cell.placer.advice
        advice.slot_count = self._dispatcher.slot_count
        advice.blocked_count = max(0, self._dispatcher.count_unavailable() - advice.open_count)
        super()._make_decision()

    # Advice.

    def _request_advice(self, request: RequestAdvice) -> None:
        self.loop.create_task(self._ask(request))

    async def _ask(self, request: RequestAdvice) -> None:
        advice = await self._dispatcher.ask(request)
        self.now = self.loop.now_ms()
        if advice is None:
            self.cell.handle_advice_failure(request.step, self.now + 150.0)
        else:
            self.cell.handle_advice(
                request.step, request.workers, advice.tickets, self.now + advice.valid_ms
            )
        self._schedule_decision()

    async def answer(
        self, adviser: SimulatedAdviser, step: StepKey, workers: Sequence[str], timeout_s: float
    ) -> Advice | None:
        """Queue a query at an adviser; return its answer, or None after the time-out."""
        sent_ms = self.loop.now_ms()
        terms = self.arrivals[step.job_id].profile.queue.advice
        cost_ms = terms.cost_ms(len(workers)) if terms is not None else 0.0
        self.max_queue_ms = max(self.max_queue_ms, adviser.free_ms - sent_ms)
        adviser.free_ms = max(sent_ms, adviser.free_ms) + cost_ms
        done_ms = adviser.free_ms
        is_lost = self.loses_answers and LOSS_START_MS <= done_ms < LOSS_END_MS
        self.total_cost_ms += 0.0 if is_lost else cost_ms
        if is_lost or done_ms - sent_ms > timeout_s * 1000:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep((done_ms - sent_ms) / 1000)
        return self._issue_tickets(step, workers, cost_ms)

    def _issue_tickets(self, step: StepKey, workers: Sequence[str], cost_ms: float) -> Advice:
        self.now = self.loop.now_ms()
        number = next(self._answer_numbers)
        self._unused_costs_ms[number] = cost_ms
        tickets = {
            name: self._worker_at_now(name).issue_ticket(step, TICKET_VALIDITY_MS)
            for name in workers
            if self.is_approved(step, name)
        }
        for name, ticket in tickets.items():
            self._answer_by_ticket[step, name, ticket] = number
        return Advice(tickets, int(TICKET_VALIDITY_MS))

    def _execute_start(self, command: StartTask, token: int, deadline_ms: int) -> CommandOutcome:
        outcome = super()._execute_start(command, token, deadline_ms)
        if outcome is CommandOutcome.OK:
            self.start_times_ms.append(self.now)
            key = (command.task.step_key, command.worker_id, command.ticket)
            number = self._answer_by_ticket.get(key, -1)
            self.used_cost_ms += self._unused_costs_ms.pop(number, 0.0)
        return outcome

    def starts_per_s(self, period_ms: tuple[float, float]) -> float:
        """Return the starts per second in a period."""
        start_ms, end_ms = period_ms
        count = sum(start_ms <= at_ms < end_ms for at_ms in self.start_times_ms)
        return count / (end_ms - start_ms) * 1000


def backlog_workload(workers: int, seed: int) -> CellWorkload:
    """Return a workload that begins with a backlog of steps whose advice is costly."""
    usual = generate_workload(LoadScenario("usual"), workers, SECONDS, seed, COSTLY_ADVICE_SITE)
    scenario = LoadScenario("backlog", arrival_factor=BACKLOG_FACTOR * REFERENCE_WORKERS / workers)
    backlog = generate_workload(scenario, workers, 1.0, seed + 1_000, SiteProfile((LARGE,)))
    return attrs.evolve(usual, arrivals=(*backlog.arrivals, *usual.arrivals))


def gang_workload(workers: int, seed: int, arrival_factor: float = 1.0) -> CellWorkload:
    """Return a workload of many gangs that fills the cell."""
    scenario = LoadScenario("gangs", arrival_factor=arrival_factor)
    return generate_workload(scenario, workers, SECONDS, seed, GANG_SITE)
