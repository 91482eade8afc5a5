"""Define the metrics of one instance."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from baobabhoist.cell.awaited_runs import AwaitReason, EndedWait
from baobabhoist.cell.model import CommandOutcome
from baobabhoist.cell.ticket_usage import TicketOutcome
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.cell.wasted_work import WastedWork
from baobabhoist.cell.worker_conditions import WorkerCondition
from baobabhoist.control.clock import MS_PER_S
from baobabhoist.control.interfaces import AdviceOutcome
from baobabhoist.observability.metrics import (
    CLASS_LABELS_MAX,
    DECISION_BUCKETS_S,
    INF,
    TEAM_LABELS_MAX,
    WAITING_BUCKETS_S,
    LabelLimiter,
)

if TYPE_CHECKING:
    from baobabhoist.cell.shares import TeamFigures
    from baobabhoist.cell.waiting_summary import WaitingSummary

CALL_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, INF)
TAKEOVER_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, INF)
AWAITED_RUN_BUCKETS_S = (1.0, 2.5, 5.0, 7.5, 10.0, 15.0, 20.0, 25.0, 30.0, 60.0, INF)
REASON_LABELS_MAX = 32
NO_TEAM_LABEL = "none"


class NodeMetrics:
    """Record the metrics of one instance; all durations are in seconds."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._teams = LabelLimiter(TEAM_LABELS_MAX)
        self._queues = LabelLimiter(CLASS_LABELS_MAX)
        self._reasons = LabelLimiter(REASON_LABELS_MAX)
        self._calls = self._histogram(
            "call_seconds", "Time to answer a caller, by team, queue and status.", CALL_BUCKETS_S
        )
        self._waiting = self._histogram(
            "waiting_seconds", "Time from a step's turn to a start.", WAITING_BUCKETS_S
        )
        self._decision = self._histogram(
            "decision_seconds", "Processor time of one round of decisions.", DECISION_BUCKETS_S
        )
        self._store = self._histogram(
            "store_seconds", "Time of a call to the platform's store.", CALL_BUCKETS_S
        )
        self._store_bytes = self._counter(
            "store_read_bytes_total", "Values read from the platform's store, by table."
        )
        self._worker = self._histogram(
            "worker_seconds", "Time of an order to a worker.", CALL_BUCKETS_S
        )
        self._takeover = self._histogram(
            "takeover_seconds", "Time from a won claim to the loaded cell.", TAKEOVER_BUCKETS_S
        )
        self._loop_lag = self._histogram(
            "loop_lag_seconds", "Time by which the event loop ran late.", CALL_BUCKETS_S
        )
        self._waiting_tasks = self._gauge("waiting_tasks", "Tasks that wait, by reason.")
        self._workers = self._gauge("workers", "Workers of the cell, by condition.")
        self._awaited_runs = self._gauge(
            "awaited_runs", "Runs on silent workers for which tasks wait, by reason."
        )
        self._awaited_run = self._histogram(
            "awaited_run_seconds",
            "Time that a task waited for a run on a silent worker until it was given up.",
            AWAITED_RUN_BUCKETS_S,
        )
        self._failed_starts = self._counter(
            "failed_starts_total", "Start commands that a worker rejected or did not answer."
        )
        self._advice = self._counter("advice_queries_total", "Queries to the adviser, by outcome.")
        self._tickets = self._counter(
            "advice_tickets_total", "Tickets of the adviser, by queue and what became of them."
        )
        self._refusals = self._counter("refusals_total", "Calls refused, by reason.")
        self._refused_bodies = self._counter(
            "refused_bodies_total", "Bodies of requests that were not kept, by reason."
        )
        self._closed_connections = self._counter(
            "closed_connections_total", "Connections of clients closed for a limit, by reason."
        )
        self._refused_jobs = self._counter(
            "refused_jobs_total", "Jobs refused, by team, queue and reason."
        )
        self._dropped = self._gauge("log_lines_dropped", "Log lines that a full pipe refused.")
        self._config = self._gauge("config_version", "Version of the configuration in force.")
        self._config_age = self._gauge("config_age_seconds", "Age of its last confirmation.")
        self._owns = self._gauge("owns_cell", "1 while this instance owns the cell.")
        self._queued = self._gauge("queued_tasks", "Tasks that wait, by queue.")
        # Labels of the teams for which the gauges of shares have been set.
        self._shown_teams: set[str] = set()
        self._wasted = self._counter(
            "wasted_core_seconds_total", "Work of runs that was thrown away, by queue and cause."
        )
        self._team_share = self._gauge(
            "team_share_ratio", "What a team has running, divided by its part of the cell."
        )
        self._team_use = self._gauge(
            "team_past_use_seconds", "Past use of a team, in seconds of the whole cell."
        )
        self._team_excess = self._gauge(
            "team_jobs_beyond",
            "Jobs beyond the entitlement of a team that this owner has received.",
        )
        self._lease_margin = self._gauge(
            "lease_margin_seconds", "Time to the first lease of a worker that would lapse."
        )

    def observe_call(self, team: str, queue: str, status: int, seconds: float) -> None:
        """Record an answered call."""
        labels = {
            "team": self._teams.label_for(team or NO_TEAM_LABEL),
            "queue": self._queues.label_for(queue),
        }
        self._calls.observe({**labels, "status": str(status)}, seconds)

    def count_refusal(self, reason: str) -> None:
        """Count a refused call under its reason."""
        self._refusals.inc({"reason": self._reasons.label_for(reason)})

    def count_refused_body(self, reason: str) -> None:
        """Count a body of a request that was not kept."""
        self._refused_bodies.inc({"reason": reason})

    def count_closed_connection(self, reason: str) -> None:
        """Count a connection of a client that was closed for a limit."""
        self._closed_connections.inc({"reason": reason})

    def count_refused_job(self, team: str, queue: str, reason: str) -> None:
        """Count a refused job of a team and queue."""
        labels = {
            "team": self._teams.label_for(team or NO_TEAM_LABEL),
            "queue": self._queues.label_for(queue),
            "reason": self._reasons.label_for(reason),
        }
        self._refused_jobs.inc(labels)

    def observe_wait(self, team: str, queue: str, waited_s: float) -> None:
        """Record how long a task waited for its start."""
        labels = {
            "team": self._teams.label_for(team or NO_TEAM_LABEL),
            "class": self._queues.label_for(queue),
        }
        self._waiting.observe(labels, waited_s)

    def observe_decision(self, seconds: float) -> None:
        """Record the duration of a scheduling round."""
        self._decision.observe({}, seconds)

    def observe_store_call(self, call: str, outcome: str, seconds: float) -> None:
        """Record a call to the store."""
        self._store.observe({"call": call, "outcome": outcome}, seconds)

    def count_read_bytes(self, table: str, size_bytes: int) -> None:
        """Count the values of a table that were read from the store."""
        self._store_bytes.add({"table": table}, size_bytes)

    def observe_worker_call(self, call: str, outcome: str, seconds: float) -> None:
        """Record a command to a worker."""
        self._worker.observe({"call": call, "outcome": outcome}, seconds)

    def observe_takeover(self, seconds: float) -> None:
        """Record the duration of a takeover."""
        self._takeover.observe({}, seconds)

    def set_config(self, version: int, age_s: float) -> None:
        """Set the version and age of the active configuration."""
        self._config.set({}, version)
        self._config_age.set({}, age_s)

    def set_owner_gauges(self, owns: bool, queued: dict[str, int], lease_margin_s: float) -> None:
        """Set the gauges of the cell's owner."""
        self._owns.set({}, int(owns))
        self._lease_margin.set({}, lease_margin_s)
        for queue, tasks in queued.items():
            self._queued.set({"class": self._queues.label_for(queue)}, tasks)

    def set_waiting(self, summary: WaitingSummary) -> None:
        """Set the number of waiting tasks, of workers and of awaited runs."""
        for reason in WaitReason:
            entry = summary.by_reason.get(reason)
            self._waiting_tasks.set({"reason": reason.value}, entry.tasks if entry else 0)
        for condition in WorkerCondition:
            self._workers.set({"condition": condition.value}, summary.workers[condition])
        for await_reason in AwaitReason:
            labels = {"reason": await_reason.value}
            self._awaited_runs.set(labels, summary.awaited.by_reason[await_reason])

    def observe_ended_waits(self, waits: Iterable[EndedWait]) -> None:
        """Record how long tasks waited for runs that were given up."""
        for wait in waits:
            self._awaited_run.observe({"reason": wait.reason.value}, wait.waited_ms / MS_PER_S)

    def add_wasted_work(self, waste: WastedWork) -> None:
        """Add the work that was thrown away since the last call, and reset it."""
        for (queue, cause), core_s in waste.take().items():
            labels = {"queue": self._queues.label_for(queue), "cause": cause.value}
            self._wasted.add(labels, core_s)

    def set_team_shares(self, figures: Iterable[TeamFigures]) -> None:
        """Set what each team has and is entitled to; 0 for teams that have no figures any more."""
        by_label = {self._teams.label_for(entry.team): entry for entry in figures}
        for label in self._shown_teams - set(by_label):
            for gauge in (self._team_share, self._team_use, self._team_excess):
                gauge.set({"team": label}, 0)
        self._shown_teams |= set(by_label)
        for label, entry in by_label.items():
            labels = {"team": label}
            self._team_share.set(labels, entry.share_ratio)
            self._team_use.set(labels, entry.past_use_s)
            self._team_excess.set(labels, entry.jobs_beyond)

    def count_failed_start(self, outcome: CommandOutcome) -> None:
        """Count a start command that was rejected or not answered."""
        self._failed_starts.inc({"reason": outcome.value})

    def count_advice(self, outcome: AdviceOutcome) -> None:
        """Count a query to the adviser."""
        self._advice.inc({"outcome": outcome.value})

    def count_tickets(self, counts: Mapping[tuple[str, TicketOutcome], int]) -> None:
        """Count what became of tickets, by queue."""
        for (queue, outcome), count in counts.items():
            labels = {"class": self._queues.label_for(queue), "outcome": outcome.value}
            self._tickets.add(labels, count)

    def observe_loop_lag(self, seconds: float) -> None:
        """Record by how much the event loop ran late."""
        self._loop_lag.observe({}, seconds)

    def set_dropped_log_lines(self, count: int) -> None:
        """Set the number of dropped log lines."""
        self._dropped.set({}, count)

    def exposition(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the text exposition format, and the HTTP headers for it."""
        content, headers = render(self.registry, ["text/plain"])
        return content, dict(headers)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(f"baobabhoist_{name}", text, registry=self.registry, buckets=buckets)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"baobabhoist_{name}", text, registry=self.registry)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"baobabhoist_{name}", text, registry=self.registry)
