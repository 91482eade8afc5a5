"""Simulate the placement adviser: whom it approves, how long it takes and which tickets it issues.

The adviser knows the queue of a job from the last digit of the job's id.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

import attrs
import yaml

from baobabhoist.platform.testing.soak_load import DEPLOYED_LOAD, Load

SETTINGS_TEMPLATE = Path(__file__).parents[3] / "deploy" / "settings.yaml.template"
SCHEDULING_SECTION = "scheduling:"
QUEUE_DIGITS = {"quick": "0", "batch": "1", "gangs": "2"}
# The adviser refuses a call while so many of the same machine wait.
WAITING_CALLS_MAX = 32


@attrs.frozen
class AdvicePolicy:
    """Hold the terms of one queue, and the share of the workers that the adviser approves."""

    decision_ms: float
    per_item_ms: float
    validity_ms: int
    approved_share: float

    def config(self) -> dict[str, Any]:
        """Return the terms as the configuration of a queue shows them."""
        return {
            "decisionMs": self.decision_ms,
            "perItemMs": self.per_item_ms,
            "validityMs": self.validity_ms,
        }

    def cost_s(self, worker_count: int) -> float:
        """Return how long the adviser works on a call that names some workers."""
        return (self.decision_ms + self.per_item_ms * worker_count) / 1000

    def approves(self, step: str, worker: str) -> bool:
        """Return whether a worker may run a step, which never changes."""
        digest = hashlib.blake2s(f"{step} {worker}".encode(), digest_size=4).digest()
        return int.from_bytes(digest) < self.approved_share * 2**32


@attrs.frozen
class Profile:
    """Hold which queues of a run need advice, and which parts of scheduling are switched on.

    With a load, the jobs, the teams and the number of processes are those of a deployment.
    """

    advice: Mapping[str, AdvicePolicy]
    scheduling: Mapping[str, Any] = attrs.Factory(dict)
    load: Load | None = None
    instance_count: int = 4
    worker_count: int = 12

    def policy_of(self, job_id: str) -> AdvicePolicy | None:
        """Return the policy for a job, or None if its queue needs no advice."""
        queues = (queue for queue, digit in QUEUE_DIGITS.items() if job_id.endswith(digit))
        return self.advice.get(next(queues, ""))


def _deployed_scheduling() -> dict[str, Any]:
    """Return the section on scheduling of the settings that are deployed."""
    text = SETTINGS_TEMPLATE.read_text(encoding="utf-8")
    section = yaml.safe_load(text[text.index(SCHEDULING_SECTION) :])
    return dict(section["scheduling"])


PROFILES = {
    "mixed": Profile({"gangs": AdvicePolicy(20, 0, 2_000, 0.75)}),
    "deployed": Profile(
        {
            "quick": AdvicePolicy(7, 0.1, 2_000, 0.7),
            "batch": AdvicePolicy(62, 0.88, 2_000, 0.45),
            "gangs": AdvicePolicy(390, 5.5, 2_000, 0.35),
        },
        _deployed_scheduling(),
        DEPLOYED_LOAD,
        instance_count=6,
        worker_count=24,
    ),
}


def issue_ticket(step: str, worker: str, started_unix_ms: int, validity_ms: int) -> str:
    """Return a ticket for a step on one process of a worker."""
    expires_unix_ms = int(time.time() * 1000) + validity_ms
    return f"{step} {worker} {started_unix_ms} {expires_unix_ms}"


def accepts_ticket(ticket: str, step: str, worker: str, started_unix_ms: int) -> bool:
    """Return whether a process of a worker accepts a ticket for a step now."""
    named, _, expires_unix_ms = ticket.rpartition(" ")
    if named != f"{step} {worker} {started_unix_ms}":
        return False
    return time.time() * 1000 < int(expires_unix_ms)


@attrs.define(eq=False)
class AdviserQueue:
    """Handle the calls of one machine in turn, also those that were given up."""

    waiting_count: int = 0
    _lock: asyncio.Lock = attrs.Factory(asyncio.Lock)

    @property
    def is_full(self) -> bool:
        """Return whether a further call is refused."""
        return self.waiting_count >= WAITING_CALLS_MAX

    async def process(self, cost_s: float) -> None:
        """Wait until the calls before this one, and then this one, have been processed."""
        self.waiting_count += 1
        await self._lock.acquire()
        self.waiting_count -= 1
        try:
            await asyncio.sleep(cost_s)
        finally:
            self._lock.release()


def approved_workers(policy: AdvicePolicy, step: str, workers: Iterable[str]) -> list[str]:
    """Return the workers that may run a step."""
    return [worker for worker in workers if policy.approves(step, worker)]
