"""Test that the lines of several processes lead from a job's id to its cause."""

import json

import pytest

from baobabhoist.cli.client import ExitCode, UsageError
from baobabhoist.cli.logs import merge_logs

JOB = "0123456789abcdef"


def line(second, name, message="m", prefix="", **fields):
    entry = {"time": f"2026-01-01T00:00:{second:02d}Z", "name": name, "message": message}
    return prefix + json.dumps({**entry, "fields": fields}) + "\n"


def test_lines_of_several_processes_come_in_order_with_their_context(tmp_path):
    """Guard against an engineer who sees the job's lines but not the lost worker between them."""
    one, two = tmp_path / "edge-1.log", tmp_path / "edge-2.log"
    one.write_text(
        line(1, "job_stored", job=JOB)
        + line(2, "config_in_force", version=3)
        + line(1, "job_stored", job="f" * 16)
        + "not JSON\n"
    )
    (tmp_path / "edge-3.log").write_text(line(2, "config_in_force", version=3))
    two.write_text(
        line(3, "run_started", prefix="  3.0 owner ", task=f"{JOB}.0.0.0", worker="w1")
        + line(4, "worker_silent", prefix="  4.0 owner ", worker="w1")
        + line(4, "worker_silent", prefix="  4.0 owner ", worker="w2")
        + line(5, "run_lost", prefix="  5.0 owner ", task=f"{JOB}.0.0.0", worker="w1")
        + line(6, "claim_lost", prefix="  6.0 owner ", token=1)
    )
    result = merge_logs(JOB, [str(two), str(one), str(tmp_path / "edge-3.log")])
    names = [entry["name"] for entry in result.data["lines"]]
    assert names == ["job_stored", "config_in_force", "run_started", "worker_silent", "run_lost"]
    assert result.lines[0].startswith("2026-01-01T00:00:01Z edge-1 job_stored")
    assert " owner run_lost" in result.lines[-1]


def test_an_id_that_no_log_names_and_a_missing_file_are_said(tmp_path):
    """Guard against an empty answer that looks like a job without trouble."""
    path = tmp_path / "edge.log"
    path.write_text(line(1, "job_stored", job="f" * 16))
    assert merge_logs(JOB, [str(path)]).code == ExitCode.NOT_FOUND
    with pytest.raises(UsageError, match="cannot read"):
        merge_logs(JOB, [str(tmp_path / "missing.log")])
