"""Test the soak's instances and workers that run slowly."""

from __future__ import annotations

import time
from collections import Counter

import attrs
import pytest

from baobabhoist.platform.testing import soak_slowdowns
from baobabhoist.platform.testing.simulated_worker import Run, RunPlan, Worker
from baobabhoist.platform.testing.soak_slowdowns import slowed_processes


@attrs.define
class FakeCluster:
    """Record what happens to the processes."""

    calls: list[tuple[str, str]] = attrs.Factory(list)

    def pause(self, name: str) -> None:
        self.calls.append(("pause", name))

    def resume(self, name: str) -> None:
        self.calls.append(("resume", name))


def test_slowed_processes_are_left_running() -> None:
    """Guard against a process that stays suspended after its slowdown (issue 46)."""
    cluster = FakeCluster()
    with slowed_processes(cluster, ["a", "b"], 5.0):
        time.sleep(3 * soak_slowdowns.SLICE_PERIOD_S)
    counts = Counter(cluster.calls)
    for name in ("a", "b"):
        assert counts["pause", name] == counts["resume", name] >= 2
        assert [call for call, other in cluster.calls if other == name][-1] == "resume"


def test_processes_at_their_usual_speed_are_left_alone() -> None:
    """Guard against signals to processes that aren't to be slowed (issue 46)."""
    cluster = FakeCluster()
    with slowed_processes(cluster, ["a"], 1.0):
        time.sleep(soak_slowdowns.SLICE_PERIOD_S)
    assert not cluster.calls


def test_runs_on_a_slow_worker_take_longer() -> None:
    """Guard against slow workers whose runs end in time (issue 46)."""
    worker = Worker("w1", 1, 1, "svc", (), {}, None, "z1", speed=0.25)
    run = Run("job.0.0.0", 1, RunPlan(run_ms=1_000.0, failures=0), 0.0, 0.0)
    worker.runs[run.task] = run
    worker.advance(800.0)
    assert run.progress_ms == pytest.approx(200.0)
