"""Test the order of the actions in the fault `late_starts_at_return` of the platform's soak."""

from __future__ import annotations

import asyncio
import random
from typing import Any, cast

import attrs
import pytest

from baobabhoist.platform.testing import soak_late_returns
from baobabhoist.platform.testing.soak import Soak
from baobabhoist.testing.soak_faults import ScheduledFault

WORKER_COUNT = 40
SEED = 1


@attrs.define
class RecordingDeployment:
    """Record what a fault does to each worker, without any process."""

    worker_names: list[str]
    actions: dict[str, list[str]] = attrs.Factory(dict)

    async def set_relay_mode(self, name: str, mode: str) -> None:
        """Record the mode of a relay."""
        self.actions.setdefault(name.removeprefix("worker:"), []).append(mode)

    async def command_worker(self, name: str, **command: Any) -> None:
        """Record a command to a worker by its first field."""
        self.actions.setdefault(name, []).append(next(iter(command)))


@attrs.define
class RecordingSoak:
    """Hold the deployment that a fault acts on."""

    deployment: RecordingDeployment


def record_actions(seed: int, monkeypatch: pytest.MonkeyPatch) -> dict[str, list[str]]:
    """Return what the fault does to each worker, in order."""

    async def skip(_seconds: float) -> None:
        """Pause for no time."""

    monkeypatch.setattr(soak_late_returns.asyncio, "sleep", skip)
    deployment = RecordingDeployment([f"w{n}" for n in range(WORKER_COUNT)])
    soak = cast(Soak, RecordingSoak(deployment))
    fault = ScheduledFault(0.0, soak_late_returns.LATE_STARTS_AT_RETURN, 1.0, seed)
    asyncio.run(soak_late_returns.return_beside_late_starts(soak, fault, random.Random(seed)))
    return deployment.actions


def test_workers_end_before_their_starts_arrive_and_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against calls that reach a cut worker's next process first, and cuts that stay."""
    actions = set(map(tuple, record_actions(SEED, monkeypatch).values()))
    assert actions == {("mode", "end", "crash"), ("mode", "end", "cut", "crash", "pass")}


def test_the_fault_depends_on_the_seed_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a failed run that its seed does not reproduce."""
    first = record_actions(SEED, monkeypatch)
    assert first == record_actions(SEED, monkeypatch)
    assert first != record_actions(SEED + 1, monkeypatch)
