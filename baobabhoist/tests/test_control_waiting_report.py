"""Test that the line about waiting steps answers why jobs wait, and how many lines there are."""

import json
import logging

import pytest

from baobabhoist.cell.model import AdviceTerms, CommandOutcome, Step
from baobabhoist.cell.wait_reasons import WaitReason
from baobabhoist.control.loop_lag import LoopLagMonitor
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.waiting_report import (
    LONG_WAIT_MS,
    MAX_NAMED_STEPS,
    REPORT_INTERVAL_MS,
    WaitingReporter,
)
from baobabhoist.observability.events import EVENT_ATTRIBUTE, Event, JsonFormatter
from baobabhoist.tests.cell_harness import SMALL, CellHarness, make_job, make_rules

ADVICE_TERMS = AdviceTerms(10.0, 1.0, 2_000)
ADVICE_RULES = make_rules(advice=ADVICE_TERMS)
TICK_MS = 100.0
# A line fits into one atomic write to a pipe.
MAX_LINE_BYTES = 4096


@pytest.fixture
def lines(caplog):
    """Return a function that returns the fields of the lines so far."""
    caplog.set_level(logging.INFO, logger="baobabhoist")

    def read():
        records = [r for r in caplog.records if r.__dict__.get(EVENT_ATTRIBUTE)]
        texts = [
            JsonFormatter().format(r)
            for r in records
            if r.__dict__[EVENT_ATTRIBUTE] is Event.STEPS_WAITING
        ]
        assert all(len(text) < MAX_LINE_BYTES for text in texts)
        return [json.loads(text)["fields"] for text in texts]

    return read


def make_reporter():
    return WaitingReporter(LoopLagMonitor(NodeMetrics()))


def run_ticks(harness, reporter, duration_ms, may_start=True):
    for _ in range(int(duration_ms / TICK_MS)):
        harness.now += TICK_MS
        harness.renew_all()
        harness.schedule(may_start)
        reporter.report(harness.cell, may_start, harness.now)


def test_line_answers_whether_tickets_are_missing_while_workers_are_free(lines):
    """Guard against an unanswered question: tickets, room, limit or an owner that may not start?

    LOST on wm-roster-grown: jobs waited with most of the workers free, and no line said why.
    """
    harness = CellHarness.with_workers(3, ADVICE_RULES)
    harness.submit(make_job("0" * 16, Step(13, SMALL, 60_000)))
    run_ticks(harness, make_reporter(), LONG_WAIT_MS + REPORT_INTERVAL_MS + TICK_MS)
    line = lines()[-1]
    assert (line["oldest"], line["reason"]) == ("0" * 16 + ".0.0", "no_advice")
    assert line["waited_ms"] > LONG_WAIT_MS
    assert (line["steps"], line["tasks"], line["oldest_tasks"]) == (1, 13, 13)
    assert line["by_reason"]["no_advice"]["tasks"] == 13
    assert (line["free_cores"], line["workers"]) == (12.0, {"usable": 3})
    assert (line["largest_free_cores"], line["oldest_task_cores"]) == (4.0, 1.0)
    assert (line["advice_open"], line["may_start"]) == (1, True)
    assert line["oldest_tickets"] == {"valid": 0, "approved": 0, "refused": 0}


def test_line_counts_the_jobs_that_stand_still_although_their_team_has_room(lines):
    """Guard against steps of jobs that run and jobs that stand still told apart by nobody."""
    harness = CellHarness.with_workers(3, make_rules(limit=SMALL.times(10), advice=ADVICE_TERMS))
    harness.submit(make_job("0" * 16, Step(2, SMALL, 60_000)))
    run_ticks(harness, make_reporter(), LONG_WAIT_MS + REPORT_INTERVAL_MS + TICK_MS)
    line = lines()[-1]
    assert line["idle_jobs"] == {"no_advice": 1}
    assert line["oldest_idle"] == "0" * 16 + ".0.0"
    assert line["oldest_idle_ms"] > LONG_WAIT_MS


def test_line_tells_how_a_job_that_stands_still_spent_its_wait(fields_of):
    """Guard against hypotheses on a job that stands still which no log line tells apart."""
    harness = CellHarness.with_workers(3, make_rules(limit=SMALL.times(10), advice=ADVICE_TERMS))
    harness.submit(make_job("0" * 16, Step(2, SMALL, 60_000)))
    run_ticks(harness, make_reporter(), LONG_WAIT_MS + REPORT_INTERVAL_MS + TICK_MS)
    line = fields_of(Event.JOB_STANDS_STILL)[-1]
    assert (line["job"], line["used_percent"]) == ("0" * 16, 0)
    assert line["stands_ms"] > LONG_WAIT_MS
    assert line["places"] == {"wanted": 2, "approved": 0, "with_ticket": 0, "unreserved": 0}
    assert line["reasons_ms"].keys() == {"no_startable_worker"}
    assert line["advice_ms"]["open"] > LONG_WAIT_MS / 2
    assert line["team_limit"]["cpu"] == SMALL.times(10).cpu
    assert len(json.dumps(line)) < MAX_LINE_BYTES


def test_jobs_of_a_team_that_uses_half_of_its_limit_do_not_count_as_idle(lines):
    """Guard against a count of idle jobs that includes those that the team's limit holds."""
    harness = CellHarness.with_workers(3, make_rules(limit=SMALL.times(4)))
    harness.submit(make_job("0" * 16, Step(4, SMALL, 60_000)))
    harness.settle()
    harness.submit(make_job("b" * 16, Step(1, SMALL, 60_000)))
    run_ticks(harness, make_reporter(), LONG_WAIT_MS + REPORT_INTERVAL_MS + TICK_MS)
    line = lines()[-1]
    assert (line["reason"], line["idle_jobs"], line["oldest_idle"]) == ("team_limit", {}, "")


def test_line_answers_whether_starts_are_paused(lines):
    """Guard against an owner without a confirmed claim that looks like a full cell."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    run_ticks(
        harness, make_reporter(), LONG_WAIT_MS + REPORT_INTERVAL_MS + TICK_MS, may_start=False
    )
    line = lines()[-1]
    assert (line["reason"], line["may_start"]) == ("starts_paused", False)


def test_line_answers_what_became_of_starts_and_how_long_rounds_take(lines):
    """Guard against a slow owner whose late starts are rejected without a sign of it."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(9, SMALL, 60_000)))
    reporter = make_reporter()
    run_ticks(harness, reporter, LONG_WAIT_MS + 500.0)
    reporter.starts.update({CommandOutcome.OK: 2, CommandOutcome.NO_TICKET: 3})
    for duration_ms in (10.0, 30.0):
        reporter.rounds.add(duration_ms)
    reporter.loop_lag.record(250.0)
    run_ticks(harness, reporter, 1_000.0)
    line = lines()[-1]
    assert (line["starts_sent"], line["starts_not_ok"]) == (5, {"no_ticket": 3})
    assert (line["rounds"], line["round_mean_ms"], line["round_longest_ms"]) == (2, 20.0, 30.0)
    assert (line["loop_lag_ms"], line["since_ms"]) == (250.0, 1_000)
    run_ticks(harness, reporter, 1_000.0)
    assert (lines()[-1]["starts_sent"], lines()[-1]["rounds"]) == (0, 0)


def test_line_answers_whether_a_start_command_was_never_sent(lines):
    """Guard against runs whose start is never sent: their steps don't count as waiting."""
    harness = CellHarness.with_workers(1)
    harness.delivers_commands = False
    harness.submit(make_job())
    run_ticks(harness, make_reporter(), LONG_WAIT_MS + REPORT_INTERVAL_MS + TICK_MS)
    line = lines()[-1]
    assert (line["steps"], line["runs"]) == (0, {"starting": 1})
    assert line["oldest_start"] == "0" * 16 + ".0.0.0 on w0"
    assert line["oldest_start_ms"] > LONG_WAIT_MS


def test_line_answers_whether_a_silent_worker_holds_up_a_job_without_waiting_steps(lines):
    """Guard against a job that stands still unseen: all its tasks have a run, so no step waits."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job("0" * 16, Step(2, SMALL, 60_000)))
    harness.settle()
    harness.workers["w0"].is_up = False
    reporter = make_reporter()
    for _ in range(4):
        harness.advance(REPORT_INTERVAL_MS)
        reporter.report(harness.cell, True, harness.now)
    line = lines()[-1]
    assert (line["steps"], line["awaited_runs"]) == (0, {"lease": 2})
    assert line["oldest_awaited"] == "0" * 16 + ".0.0.0 on w0"
    assert line["oldest_awaited_ms"] > LONG_WAIT_MS


def test_lines_name_each_waiting_step_once_per_reason(lines):
    """Guard against a waiting job whose own reason is in no line, because others are older."""
    harness = CellHarness.with_workers(1)
    reporter = make_reporter()
    harness.submit(make_job("0" * 16, Step(4, SMALL, 600_000)))
    harness.settle()
    job_ids = [f"{number:016x}" for number in range(1, 2 * MAX_NAMED_STEPS)]
    for job_id in job_ids:
        harness.submit(make_job(job_id))
    run_ticks(harness, reporter, LONG_WAIT_MS + 4 * REPORT_INTERVAL_MS)
    named = [step for line in lines() for step in line["named"]]
    assert sorted(named) == [f"{job_id}.0.0" for job_id in job_ids]
    assert lines()[0]["named"][f"{job_ids[0]}.0.0"].startswith("no_room ")
    run_ticks(harness, reporter, 2 * REPORT_INTERVAL_MS, may_start=False)
    assert len(lines()[-1]["named"]) == len(job_ids) - MAX_NAMED_STEPS
    assert all(text.startswith("starts_paused") for text in lines()[-1]["named"].values())


def test_no_line_without_a_long_wait(lines):
    """Guard against a line each second on a healthy cell."""
    harness = CellHarness.with_workers(1)
    harness.submit(make_job())
    run_ticks(harness, make_reporter(), 10_000.0)
    harness.submit(make_job("f" * 16, Step(9, SMALL, 60_000)))
    run_ticks(harness, make_reporter(), LONG_WAIT_MS)
    assert lines() == []


def test_volume_is_at_most_one_short_line_a_second_for_any_number_of_steps(lines):
    """Guard against a flood of log lines when hundreds of steps wait for every reason."""
    harness = CellHarness.with_workers(1)
    reporter = make_reporter()
    reasons = [r for r in WaitReason if r is not WaitReason.NO_STARTABLE_WORKER]
    for number in range(500):
        harness.submit(make_job(f"{number:016x}", Step(5, SMALL, 60_000)))
    run_ticks(harness, reporter, LONG_WAIT_MS + 100.0)
    for number, step in enumerate(harness.cell.state.ready_steps.values()):
        step.wait_reason = reasons[number % len(reasons)]
    before = len(lines())
    for _ in range(100):
        harness.now += TICK_MS
        reporter.report(harness.cell, True, harness.now)
    written = lines()[before:]
    assert 9 <= len(written) <= 11
    assert set(written[-1]["by_reason"]) == set(reasons)
