"""Test how workers end for good in the platform's soak and leave the directory."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any, cast

import attrs
import pytest

from baobabhoist.platform.testing import simulated_worker, soak_workers_gone
from baobabhoist.platform.testing.simulated_worker import Worker, WorkerHub
from baobabhoist.platform.testing.soak import Soak
from baobabhoist.platform.testing.workers import add_workers
from baobabhoist.testing.soak_faults import ScheduledFault

WORKER_COUNT = 12
SEEDS = range(5)
INTERVAL_S = 0.05


@attrs.define
class RecordingDeployment:
    """Record what a fault does to each worker, without any process."""

    worker_names: list[str]
    spare_workers: list[str]
    actions: dict[str, list[str]] = attrs.Factory(dict)
    fewest_workers: int = WORKER_COUNT

    async def set_relay_mode(self, name: str, mode: str) -> None:
        """Record the mode of a relay."""
        self.actions.setdefault(name.removeprefix("worker:"), []).append(mode)

    async def end_worker(self, name: str) -> None:
        """Record the end of a worker."""
        self.actions.setdefault(name, []).append("end")
        self.fewest_workers = min(self.fewest_workers, len(self.worker_names))

    async def add_spare_worker(self) -> None:
        """Let the next spare worker join."""
        self.worker_names.append(self.spare_workers.pop(0))

    async def find_owner(self) -> str:
        """Return that no instance owns the cell."""
        return ""


@attrs.define
class RecordingSoak:
    """Hold the deployment that a fault acts on."""

    deployment: RecordingDeployment


def inject_faults(seed: int, count: int, monkeypatch: pytest.MonkeyPatch) -> RecordingDeployment:
    """Inject the fault several times at once and return the record."""

    pause = asyncio.sleep

    async def skip(_seconds: float) -> None:
        """Let the other tasks run."""
        await pause(0)

    monkeypatch.setattr(soak_workers_gone.asyncio, "sleep", skip)
    spare_count = count * soak_workers_gone.max_ended_workers(WORKER_COUNT)
    deployment = RecordingDeployment(
        [f"w{n}" for n in range(WORKER_COUNT)], [f"spare{n}" for n in range(spare_count)]
    )
    soak = cast(Soak, RecordingSoak(deployment))
    fault = ScheduledFault(0.0, soak_workers_gone.WORKERS_GONE, 1.0, seed)

    async def main() -> None:
        await asyncio.gather(
            *(
                soak_workers_gone.end_workers_for_good(soak, fault, random.Random(seed + n))
                for n in range(count)
            )
        )

    asyncio.run(main())
    return deployment


@pytest.mark.parametrize("seed", SEEDS)
def test_workers_stop_answering_before_they_end_and_others_join(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against workers that return under their id, and against too few that remain."""
    deployment = inject_faults(seed, 3, monkeypatch)
    assert len(deployment.actions) >= WORKER_COUNT - soak_workers_gone.MIN_REMAINING_WORKERS
    for mode, *rest in deployment.actions.values():
        assert mode in soak_workers_gone.UNANSWERED_MODES
        assert rest == ["end"]
    assert not set(deployment.actions) & set(deployment.worker_names)
    assert len(deployment.worker_names) == WORKER_COUNT
    assert deployment.fewest_workers >= soak_workers_gone.MIN_REMAINING_WORKERS


def test_the_series_depends_on_the_seed_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a failed run that its seed does not reproduce."""
    first = inject_faults(SEEDS[0], 1, monkeypatch).actions
    assert first == inject_faults(SEEDS[0], 1, monkeypatch).actions
    assert first != inject_faults(SEEDS[1], 1, monkeypatch).actions


@attrs.define(eq=False)
class RecordingHub(WorkerHub):
    """Record the changes of the directory in place of a store."""

    changes: list[str] = attrs.Factory(list)

    async def change_directory(self, worker: Worker, body: dict[str, Any]) -> None:
        """Record whether the row is written or removed."""
        self.changes.append("write" if "puts" in body else "remove")


def test_the_entry_of_a_worker_that_is_down_expires(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Guard against entries that a worker removes in its last moment, and entries that stay."""
    monkeypatch.setattr(simulated_worker, "DIRECTORY_UPDATE_INTERVAL_S", INTERVAL_S)
    monkeypatch.setattr(simulated_worker, "DIRECTORY_ENTRY_EXPIRY_S", 3 * INTERVAL_S)

    async def main() -> list[list[str]]:
        hub = RecordingHub(tmp_path / "runs.jsonl", "127.0.0.1:1")
        add_workers(hub, ["w1:1:2:r1-0:z1"])
        worker = hub.workers["w1"]
        hub.join(worker)
        await asyncio.sleep(0)
        worker.end(for_good=False)
        changes = [list(hub.changes)]
        await asyncio.sleep(INTERVAL_S)
        changes.append(list(hub.changes))
        while len(hub.changes) == 1:
            await asyncio.sleep(INTERVAL_S)
        worker.crash()
        await hub.write_directory_row(worker)
        return [*changes, hub.changes]

    assert asyncio.run(main()) == [["write"], ["write"], ["write", "remove", "write"]]
