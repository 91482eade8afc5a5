"""Test the order of the actions in the fault `late_starts` of the platform's soak."""

from __future__ import annotations

import asyncio
import random
from typing import Any, cast

import attrs
import pytest

from baobabhoist.platform.testing import soak_late_starts
from baobabhoist.platform.testing.soak import Soak
from baobabhoist.testing.soak_faults import ScheduledFault

WORKER_COUNT = 12
SEEDS = range(5)


@attrs.define
class RecordingDeployment:
    """Record what a fault does to each worker, without any process."""

    worker_names: list[str]
    actions: dict[str, list[str]] = attrs.Factory(dict)

    async def set_relay_mode(self, name: str, mode: str) -> None:
        """Record the mode of a relay."""
        self.actions.setdefault(name.removeprefix("worker:"), []).append(mode)

    async def command_worker(self, name: str, **command: Any) -> None:
        """Record a command to a worker."""
        action = "crash" if command.get("crash") else command["mode"]
        self.actions.setdefault(name, []).append(action)

    async def find_owner(self) -> str:
        """Return that no instance owns the cell."""
        return ""


@attrs.define
class RecordingSoak:
    """Hold the deployment that a fault acts on."""

    deployment: RecordingDeployment


def record_actions(seed: int, monkeypatch: pytest.MonkeyPatch) -> dict[str, list[str]]:
    """Return what the fault does to each worker, in order."""

    async def skip(_seconds: float) -> None:
        """Pause for no time."""

    monkeypatch.setattr(soak_late_starts.asyncio, "sleep", skip)
    deployment = RecordingDeployment([f"w{n}" for n in range(WORKER_COUNT)])
    soak = cast(Soak, RecordingSoak(deployment))
    fault = ScheduledFault(0.0, soak_late_starts.LATE_STARTS, 1.0, seed)
    rng = random.Random(seed)
    asyncio.run(soak_late_starts.restart_beside_late_starts(soak, fault, rng))
    return deployment.actions


@pytest.mark.parametrize("seed", SEEDS)
def test_workers_crash_behind_a_cut_and_are_reachable_at_the_end(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against calls that reach a new process first, and against cuts that stay."""
    round_behind_a_cut = ["delay_starts", "cut", "crash", "pass"]
    round_without_a_cut = ["delay_starts", "crash"]
    has_cuts = set()
    for actions in record_actions(seed, monkeypatch).values():
        while actions:
            expected = round_behind_a_cut if "cut" in actions[:2] else round_without_a_cut
            assert actions[: len(expected)] == expected
            has_cuts.add(expected is round_behind_a_cut)
            actions = actions[len(expected) :]
    assert has_cuts == {True, False}


def test_the_series_depends_on_the_seed_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a failed run that its seed does not reproduce."""
    first = record_actions(SEEDS[0], monkeypatch)
    assert first == record_actions(SEEDS[0], monkeypatch)
    assert first != record_actions(SEEDS[1], monkeypatch)
