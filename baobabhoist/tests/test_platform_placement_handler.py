"""Test the placement previews of a running instance, from its port and from the command line."""

import asyncio

import attrs
import pytest
from absl.testing import flagsaver

from baobabhoist.cell.model import Resources
from baobabhoist.cell.placement_report import CandidateWorker, SetAsideCount, TeamStanding
from baobabhoist.cli import main
from baobabhoist.cli.client import Client, ExitCode, RefusedError, UsageError
from baobabhoist.cli.placement import format_preview, preview_placement
from baobabhoist.tests.platform_harness import HOST, JOB, run_instance
from baobabhoist.tests.test_control_placement_previews import PREVIEW


def with_instance(monkeypatch, test):
    """Run a blocking test with a client of the metrics port of an instance."""

    async def run():
        async with run_instance(monkeypatch, 0.9) as instance:
            client = Client(f"http://{HOST}:{instance.node.cfg.metrics_port}", "")
            try:
                await asyncio.to_thread(test, client)
            finally:
                instance.terminate()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"no", 400),
        (b'{"queue": "q"}', 400),
        (b'{"queue": "q", "team": "team", "job": {"steps": 1}}', 400),
        (b'{"queue": "x", "job": {}}', 404),
        (b'{"queue": "q", "team": "x", "job": {}}', 404),
        (b'{"queue": "q", "team": "team", "job": {"taskSpec": "%s"}}' % (b"x" * 2_000_000), 413),
    ],
)
def test_a_malformed_question_gets_a_typed_refusal(monkeypatch, body, status):
    """Guard against an operator who gets an internal error for a mistyped job."""

    def test(client):
        with pytest.raises(RefusedError) as refused:
            client.send("POST", "/placement-preview", body)
        assert refused.value.status == status
        assert refused.value.body["remedy"]

    with_instance(monkeypatch, test)


def test_an_operator_reads_where_a_job_would_go(monkeypatch, tmp_path):
    """Guard against a command that shows nothing of use."""
    path = tmp_path / "job.yaml"
    path.write_bytes(JOB)

    def test(client):
        main.FLAGS.mark_as_parsed()
        with flagsaver.flagsaver(metrics_url=client.base_url):
            result = main.run_command(["preview", "q", "team", str(path)])
        assert (result.code, result.data["refusal"]) == (ExitCode.OK, None)
        assert result.data["placement"]["wait_reason"] == "no_usable_worker"
        assert result.lines[:2] == [
            "admission: accepted",
            "start:     no worker that accepts tasks has the service and label",
        ]
        with pytest.raises(UsageError, match="serves no previews"):
            preview_placement(Client(client.base_url + "/metrics", ""), "q", "team", str(path))

    with_instance(monkeypatch, test)


def test_a_full_answer_stays_readable():
    """Guard against a text that no longer fits on a screen, and numbers without their unit."""
    free = Resources(1500, 512, 0)
    placement = attrs.evolve(
        PREVIEW,
        team=TeamStanding(free, Resources(2000), True, 0.0, 1.5, 12.0),
        candidates=(CandidateWorker("w1", "z1", "r1", free, 1, 1.1, True),) * 5,
        set_aside=tuple(SetAsideCount(f"reason_{n}", n) for n in range(12)),
        wait_reason="no_room",
        room_within_ms=5_000.0,
    )
    refusal = {"kind": "team_limit", "message": "m", "retry_after": 3.0, "remedy": "wait"}
    body = {"team": "t", "refusal": refusal, "placement": attrs.asdict(placement)}
    lines = format_preview(body)
    assert len(lines) <= 25
    assert lines[0] == "admission: refused now (team_limit): m; retry after 3 s; wait"
    assert lines[1] == "start:     waits for room on a worker; room is expected within 5 s"
    assert "left of its limit: 0.5 of 2 cores" in lines[4]
    assert lines[-1].split() == ["w1", "z1", "r1", "1.5", "1", "1.10", "yes"]
