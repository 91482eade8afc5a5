"""Report what the shards of this instance do as metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from baobabhoist import invariants
from baobabhoist.daemon.shard import ShardOwner
from baobabhoist.model import Task
from baobabhoist.observability.metrics import Metrics
from baobabhoist.peer.link import LINK_TRAFFIC
from baobabhoist.scheduling.capacity import CapacityIndex

GAUGE_INTERVAL_S = 2.0


class MetricsObserver:
    """Feed the histograms from the events of a shard."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def started(self, task: Task, now: float) -> None:
        """Observe how long a task waited; its time of submission is another VM's clock."""
        self._metrics.observe_wait(task.team, task.kind.value, max(0.0, now - task.submitted_at))

    def ended(self, task: Task, seconds: float) -> None:
        """Observe how long a task was with its worker."""
        self._metrics.observe_service(task.team, task.kind.value, seconds)

    def decided(self, task: Task, seconds: float) -> None:
        """Observe the processor time of one placement."""
        self._metrics.observe_decision(task.team, task.kind.value, seconds)


class Fleet(Protocol):
    """Be what the gauges are read from."""

    def busy_owners(self) -> Iterable[ShardOwner]:
        """Return the shards that this instance works for."""


class Gauges:
    """Own the gauges and counters that are read at intervals."""

    def __init__(self, metrics: Metrics, fleet: Fleet, revision: Callable[[], int]) -> None:
        self._metrics = metrics
        self._fleet = fleet
        self._revision = revision
        self._breaches_seen: dict[int, int] = {}

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            self.read()
            await asyncio.sleep(GAUGE_INTERVAL_S)

    def read(self) -> None:
        """Set every gauge to its present value."""
        owners = list(self._fleet.busy_owners())
        self._metrics.set_owned_shards(len(owners))
        self._metrics.set_records_revision(self._revision())
        self._metrics.set_link_traffic(LINK_TRAFFIC.sent_bytes, LINK_TRAFFIC.received_bytes)
        for number, count in invariants.breach_counts.items():
            for _ in range(count - self._breaches_seen.get(number, 0)):
                self._metrics.count_invariant_breach(str(number))
            self._breaches_seen[number] = count
        for owner in owners:
            self._read_shard(owner)

    def _read_shard(self, owner: ShardOwner) -> None:
        fairness = owner.scheduler.fairness
        teams = set(owner.quota.escrow) | set(owner.quota.used)
        for team in teams:
            self._metrics.set_share_ratio(team, owner.shard, fairness.dominant_share(team))
            self._metrics.set_escrow_places(team, owner.shard, owner.quota.allowed(team))
        self._metrics.set_packing_ratio(owner.shard, packing(owner.scheduler.index))


def packing(index: CapacityIndex) -> float:
    """Return the bound fraction, from 0 to 1, of the resource that is scarcest."""
    free = [
        sum(amounts) for amounts in zip(*(w.free for w in index.workers.values()), strict=True)
    ]
    bound = [1.0 - left / total for left, total in zip(free, index.total, strict=False) if total]
    return max(bound, default=0.0)
