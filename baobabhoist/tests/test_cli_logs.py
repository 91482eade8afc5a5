"""Test that the merged logs of several processes show what happened to a job."""

import json

import pytest

from baobabhoist.cli.client import ExitCode, UsageError
from baobabhoist.cli.logs import merge_logs

JOB_ID = "0123456789abcdef"


def log_line(second, name, message="m", prefix="", **fields):
    entry = {"time": f"2026-01-01T00:00:{second:02d}Z", "name": name, "message": message}
    return prefix + json.dumps({**entry, "fields": fields}) + "\n"


def test_lines_of_several_processes_are_merged_in_order_with_context(tmp_path):
    """Guard against output with the lines of a job but without the loss of its worker."""
    first_log, second_log = tmp_path / "edge-1.log", tmp_path / "edge-2.log"
    first_log.write_text(
        log_line(1, "job_stored", job=JOB_ID)
        + log_line(2, "config_in_force", version=3)
        + log_line(1, "job_stored", job="f" * 16)
        + "not JSON\n"
    )
    (tmp_path / "edge-3.log").write_text(log_line(2, "config_in_force", version=3))
    second_log.write_text(
        log_line(3, "run_started", prefix="  3.0 owner ", task=f"{JOB_ID}.0.0.0", worker="w1")
        + log_line(4, "worker_silent", prefix="  4.0 owner ", worker="w1")
        + log_line(4, "worker_silent", prefix="  4.0 owner ", worker="w2")
        + log_line(5, "run_lost", prefix="  5.0 owner ", task=f"{JOB_ID}.0.0.0", worker="w1")
        + log_line(6, "claim_lost", prefix="  6.0 owner ", token=1)
    )
    result = merge_logs(JOB_ID, [str(second_log), str(first_log), str(tmp_path / "edge-3.log")])
    names = [entry["name"] for entry in result.data["lines"]]
    assert names == ["job_stored", "config_in_force", "run_started", "worker_silent", "run_lost"]
    assert result.lines[0].startswith("2026-01-01T00:00:01Z edge-1 job_stored")
    assert " owner run_lost" in result.lines[-1]


def test_lines_about_waiting_steps_show_the_reason_of_the_job(tmp_path):
    """Guard against a job that waits although workers are free, without a line that says why."""
    owner_log = tmp_path / "edge-1.log"
    named = {f"{JOB_ID}.0.1": "tickets_expired 2300 ms"}
    owner_log.write_text(
        log_line(1, "job_owned", job=JOB_ID)
        + log_line(3, "steps_waiting", oldest="f" * 16 + ".0.0", named=named)
        + log_line(4, "steps_waiting", oldest="f" * 16 + ".0.0", named={})
        + log_line(5, "loop_stalled", lag_ms=700)
        + log_line(6, "run_started", task=f"{JOB_ID}.0.1.0", worker="w1")
        + log_line(7, "steps_waiting", oldest="f" * 16 + ".0.0", named={})
    )
    lines = merge_logs(JOB_ID, [str(owner_log)]).lines
    assert [line.split()[2] for line in lines] == [
        "job_owned:",
        "steps_waiting:",
        "steps_waiting:",
        "loop_stalled:",
        "run_started:",
    ]
    assert f"{JOB_ID}.0.1': 'tickets_expired 2300 ms" in lines[1]


def test_line_shows_all_fields_that_its_message_lacks(tmp_path):
    """Guard against fields that are hidden because another one in the message has their value."""
    path = tmp_path / "edge.log"
    message = f"storing job {JOB_ID} of team t on queue q: new"
    fields = {"job": JOB_ID, "team": "t", "queue": "q", "outcome": "new", "took_ms": 4, "by": "t"}
    path.write_text(log_line(1, "job_stored", message, **fields))
    line = merge_logs(JOB_ID, [str(path)]).lines[0]
    assert line.endswith(f"job_stored: {message} took_ms=4 by=t")


def test_unknown_job_and_missing_file_are_reported(tmp_path):
    """Guard against empty output, which looks like a job without problems."""
    path = tmp_path / "edge.log"
    path.write_text(log_line(1, "job_stored", job="f" * 16))
    assert merge_logs(JOB_ID, [str(path)]).code == ExitCode.NOT_FOUND
    with pytest.raises(UsageError, match="cannot read"):
        merge_logs(JOB_ID, [str(tmp_path / "missing.log")])
