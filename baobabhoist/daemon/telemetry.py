"""Report what the shards of this instance do as metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from baobabhoist import invariants
from baobabhoist.daemon.shard_owner import ShardOwner
from baobabhoist.model import Task
from baobabhoist.observability.metrics import Metrics
from baobabhoist.peer.link import TRAFFIC
from baobabhoist.scheduling.capacity import CapacityIndex

GAUGE_INTERVAL_S = 2.0


class MetricsObserver:
    """Feed the histograms from the events of a shard."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def task_started(self, task: Task, now: float) -> None:
        """Observe how long a task waited; its time of submission is another VM's clock."""
        self._metrics.waited(task.team, task.kind.value, max(0.0, now - task.submitted_at))

    def task_ended(self, task: Task, seconds: float) -> None:
        """Observe how long a task was with its worker."""
        self._metrics.served(task.team, task.kind.value, seconds)

    def placement_decided(self, task: Task, seconds: float) -> None:
        """Observe the processor time of one placement."""
        self._metrics.decided(task.team, task.kind.value, seconds)


class GaugeSource(Protocol):
    """Be what the gauges are read from."""

    def active_owners(self) -> Iterable[ShardOwner]:
        """Return the shards that this instance works for."""


class GaugeUpdater:
    """Own the gauges and counters that are read at intervals."""

    def __init__(self, metrics: Metrics, source: GaugeSource, revision: Callable[[], int]) -> None:
        self._metrics = metrics
        self._source = source
        self._revision = revision
        self._reported_breaches: dict[int, int] = {}

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(GAUGE_INTERVAL_S)

    def update(self) -> None:
        """Set every gauge to its present value."""
        owners = list(self._source.active_owners())
        self._metrics.set_owned_shards(len(owners))
        self._metrics.set_records_revision(self._revision())
        self._metrics.set_link_traffic(TRAFFIC.sent_bytes, TRAFFIC.received_bytes)
        for number, count in invariants.breaches.items():
            for _ in range(count - self._reported_breaches.get(number, 0)):
                self._metrics.invariant_breached(str(number))
            self._reported_breaches[number] = count
        for owner in owners:
            self._read_shard(owner)

    def _read_shard(self, owner: ShardOwner) -> None:
        fairness = owner.scheduler.fairness
        teams = set(owner.quota_ledger.escrow) | set(owner.quota_ledger.used)
        for team in teams:
            self._metrics.set_share(team, owner.shard, fairness.dominant(team))
            self._metrics.set_escrow(team, owner.shard, owner.quota_ledger.allowed(team))
        self._metrics.set_packing(owner.shard, packing_ratio(owner.scheduler.index))


def packing_ratio(index: CapacityIndex) -> float:
    """Return the bound fraction, from 0 to 1, of the resource that is scarcest."""
    free = [
        sum(amounts) for amounts in zip(*(w.free for w in index.workers.values()), strict=True)
    ]
    utilizations = [
        1.0 - free_amount / total
        for free_amount, total in zip(free, index.total, strict=False)
        if total
    ]
    return max(utilizations, default=0.0)
