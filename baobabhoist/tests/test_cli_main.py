"""Test the command-line tool against the APIs of a running gateway."""

import asyncio
import subprocess
import sys

import orjson
import pytest
import yaml
from absl.testing import flagsaver

from baobabhoist.cli import main
from baobabhoist.cli.client import Client, ExitCode
from baobabhoist.cli.output import format_error, format_table, format_value
from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import FINAL_JOB_STATES, JobState, Outcome
from baobabhoist.records.view import RecordView
from baobabhoist.testing.cluster import free_port
from baobabhoist.tests.gateway_harness import with_gateway

TEAM_RECORD = {"kind": "team", "name": "fibre", "schema_version": 1, "body": {"limit": 3}}


@pytest.fixture
def with_tool(capfd, monkeypatch):
    """Run a test with a gateway and a function that runs a command against it.

    The function returns the exit code, standard output and standard error.
    """
    monkeypatch.setenv("BAOBABHOIST_OPERATOR_KEY", "operator")
    monkeypatch.setenv("BAOBABHOIST_TEAM_KEY", "roster-key")
    main.FLAGS.mark_as_parsed()

    def run(test):
        async def body(gateway):
            async def tool(*args, **flags):
                urls = {
                    "admin_url": f"http://127.0.0.1:{gateway.ports['admin']}",
                    "caller_url": f"http://127.0.0.1:{gateway.ports['callers']}",
                }
                with flagsaver.flagsaver(**{**urls, **flags}):
                    # The tool blocks, so it must not run on the event loop of the gateway.
                    code = await asyncio.to_thread(main.main, ["baobabhoist", *args])
                out, err = capfd.readouterr()
                return code, out, err

            await test(gateway, tool)

        with_gateway(body)

    return run


def test_records_are_written_read_compared_and_deleted(with_tool, tmp_path):
    """Guard against records that cannot be put back as printed, and JSON that cannot be parsed."""
    path = tmp_path / "records.yaml"

    async def test(gateway, tool):
        gateway.daemon.view = RecordView()
        queue = {"kind": "queue", "name": "lots", "schema_version": 2, "body": {}}
        path.write_text(yaml.safe_dump_all([TEAM_RECORD, queue]), encoding="utf-8")
        code, out, _ = await tool("put", "record", str(path))
        assert (code, out) == (0, "team fibre is at revision 1\nqueue lots is at revision 2\n")
        _, out, _ = await tool("get", "record", "team", "fibre")
        path.write_text(out.replace("limit: 3", "limit: 5"), encoding="utf-8")
        _, out, _ = await tool("put", "record", str(path), output="json")
        assert orjson.loads(out) == [{"kind": "team", "name": "fibre", "revision": 3}]
        code, out, err = await tool("put", "record", str(path))
        assert (code, out) == (ExitCode.CONFLICT, "")
        assert 'If-Match: "3"' in err
        _, out, _ = await tool("diff", "record", "team", "fibre", "1")
        assert out.splitlines()[2:] == ["- body.limit: 3", "+ body.limit: 5"]
        await gateway.daemon.apply_log()
        _, out, _ = await tool("list", "records", "team")
        assert out.splitlines()[1].split()[:4] == ["team", "fibre", "1", "3"]
        assert (await tool("delete", "record", "team", "fibre", revision=2))[0] == 3
        assert (await tool("delete", "record", "team", "fibre"))[0] == 0
        assert (await tool("get", "record", "team", "fibre"))[0] == ExitCode.NOT_FOUND
        _, out, _ = await tool("history", "record", "team", "fibre")
        assert [line.split()[0] for line in out.splitlines()] == ["REVISION", "4", "3", "1"]

    with_tool(test)


def test_partly_refused_file_reports_the_written_records(with_tool, tmp_path):
    """Guard against an operator who does not know which records of a file were written."""
    path = tmp_path / "records.yaml"
    invalid_record = {**TEAM_RECORD, "name": "other", "body": {"limit": -1, "shares": 2}}

    async def test(gateway, tool):
        path.write_text(yaml.safe_dump_all([TEAM_RECORD, invalid_record]), encoding="utf-8")
        code, _, err = await tool("put", "record", str(path))
        assert code == ExitCode.REFUSED
        assert "team other: the team record has 2 problems" in err
        assert "body.limit: -1 is out of range" in err
        assert "team fibre was written at revision 1" in err

    with_tool(test)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "contains no records"),
        ("- 1", "document 2: a record is a mapping"),
        ("kind: team\nnme: a", "the field name is missing\ndocument 2: the field schema"),
        ("a: [", "cannot read"),
        (
            "kind: team\nname: a\nschema_version: 1\nbody: {}\nrevision: x",
            "revision is not a whole number",
        ),
    ],
)
def test_invalid_files_change_nothing(with_tool, tmp_path, text, message):
    """Guard against writing the first records of a file in which a later one is malformed."""
    path = tmp_path / "records.yaml"

    async def test(gateway, tool):
        path.write_text(f"{yaml.safe_dump(TEAM_RECORD)}---\n{text}" if text else "")
        code, _, err = await tool("put", "record", str(path))
        assert code == ExitCode.USAGE
        assert message in err
        assert gateway.daemon.table.rows == {}

    with_tool(test)


def test_jobs_and_requests_are_submitted_and_controlled(with_tool, tmp_path):
    """Guard against a command that loses a response, a state or an exit code."""
    path = tmp_path / "job.yaml"
    path.write_text("queue: entries\nkind: batch\nreplicas: 2\n", encoding="utf-8")

    async def test(gateway, tool):
        _, out, _ = await tool("submit", "job", str(path), output="json", idempotency_key="w7")
        job_id = orjson.loads(out)["job_id"]
        assert job_id in (await tool("submit", "job", str(path), idempotency_key="w7"))[1]
        assert "queued=2" in (await tool("show", "job", job_id))[1]
        assert job_id in (await tool("list", "jobs"))[1]
        for words in (["explain", job_id], ["explain", "job", job_id]):
            assert "2 tasks: the team is at its limit" in (await tool(*words))[1]
        code, _, err = await tool("wait", "job", job_id, wait_s=0.0)
        assert (code, err) == (ExitCode.STILL_RUNNING, "")
        assert "cancelled" in (await tool("cancel", "job", job_id))[1]
        for state in sorted(FINAL_JOB_STATES):
            gateway.jobs.state = state
            code, _, _ = await tool("wait", "job", job_id)
            assert (code == ExitCode.OK) is (state is JobState.SUCCEEDED)
            assert code in (ExitCode.OK, ExitCode.JOB_FAILED)
        assert (await tool("show", "job", "none"))[0] == ExitCode.NOT_FOUND
        path.write_bytes(b"lot 7\n")
        code, out, _ = await tool("submit", "request", "entries", str(path), urgency="urgent")
        assert (code, out) == (0, "lot 7\n")
        assert gateway.daemon.routed_requests[0].task.urgency == "urgent"

    with_tool(test)


def test_exit_codes_distinguish_refused_and_unknown_outcomes(with_tool):
    """Guard against a script that repeats a request that may have run."""

    async def test(gateway, tool):
        async def exit_code_for_refusal(refusal):
            async def answer(req):
                return refusal

            gateway.daemon.answer = answer
            code, _, err = await tool("submit", "request", "entries")
            assert f"outcome: {refusal.outcome}" in err
            return code

        queue_full = Refusal(ErrorKind.QUEUE_FULL, "full", remedy="wait", retry_after_s=1.0)
        assert await exit_code_for_refusal(queue_full) == ExitCode.REFUSED
        outcome_unknown = Refusal(ErrorKind.OUTCOME_UNKNOWN, "gone", Outcome.UNKNOWN, "look")
        assert await exit_code_for_refusal(outcome_unknown) == ExitCode.OUTCOME_UNKNOWN
        code, _, err = await tool("submit", "request", "entries", team_key="wrong-key")
        assert code == ExitCode.KEY_REJECTED
        assert "wrong-key" not in err

    with_tool(test)


def test_unreachable_instances_have_their_own_exit_code(with_tool):
    """Guard against an unreachable instance that is reported as a refusal."""

    async def test(gateway, tool):
        unused_url = f"http://127.0.0.1:{free_port()}"
        code, _, err = await tool("status", admin_url=unused_url)
        assert (code, "does not answer" in err) == (ExitCode.UNREACHABLE, True)
        code, _, err = await tool("submit", "request", "entries", caller_url=unused_url)
        assert (code, "--idempotency_key=" in err) == (ExitCode.UNREACHABLE, True)
        client = Client(f"http://127.0.0.1:{gateway.ports['callers']}", "X-Team-Key", "roster-key")
        assert "roster-key" not in repr(client)

    with_tool(test)


def test_lost_response_to_a_change_has_an_unknown_outcome(with_tool, tmp_path):
    """Guard against a script that assumes after a lost connection that a change was not made."""
    path = tmp_path / "records.yaml"
    path.write_text(yaml.safe_dump({**TEAM_RECORD, "revision": 0}), encoding="utf-8")

    async def test(gateway, tool):
        async def close_without_response(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(close_without_response, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        assert (await tool("put", "record", str(path), admin_url=url))[0] == 6
        assert (await tool("status", admin_url=url))[0] == ExitCode.UNREACHABLE
        server.close()

    with_tool(test)


def test_instances_are_monitored_drained_and_their_settings_checked(with_tool, tmp_path):
    """Guard against a status without the peers, and settings that fail only at startup."""
    path = tmp_path / "settings.yaml"
    path.write_text("instance_id: entry-1\n", encoding="utf-8")
    key = tmp_path / "operator.key"
    key.write_text("tess-key\n", encoding="utf-8")

    async def test(gateway, tool):
        _, out, _ = await tool("status", operator_key_file=str(key))
        assert [line.split()[0] for line in out.splitlines()] == ["INSTANCE", "entry-1", "entry-2"]
        assert "0 requests are open" in (await tool("drain"))[1]
        assert gateway.callers.open_requests.draining
        code, out, _ = await tool("check-config", str(path))
        assert (code, "data_centre: is missing" in out) == (ExitCode.REFUSED, True)
        code, out, _ = await tool("check-config", str(path), "platform")
        assert (code, "store: is missing" in out) == (ExitCode.REFUSED, True)
        assert (await tool("check-config", str(path), "fleet"))[0] == ExitCode.USAGE

    with_tool(test)


def test_usage_errors_have_their_own_exit_code():
    """Guard against a mistyped command that is reported as a refusal."""
    assert main.run_command(["put", "record"]).lines == ["usage: baobabhoist put record FILE"]
    assert main.run_command([]).code == ExitCode.USAGE
    command = [sys.executable, "-m", "baobabhoist.cli.main", "--no_such_flag", "status"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    assert completed.returncode == ExitCode.USAGE
    assert "no_such_flag" in completed.stderr


def test_control_characters_are_escaped():
    """Guard against control characters from a record or a response that reach the terminal."""
    assert format_value({"a": {"b": 1}, "c": [{}], "d": [1, 2]}) == "a=(b=1), c=1 entry, d=1, 2"
    assert format_value("\x1b[2Ja\nb") == "\\x1b[2Ja\\nb"
    assert format_table(["A", "B"], [["x", None], ["long", True]]) == [
        "A     B",
        "x     -",
        "long  yes",
    ]
    assert format_error({"kind": "k", "message": "\x07"}) == ["k: \\x07"]
