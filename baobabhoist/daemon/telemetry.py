"""Report the activity of this instance's shards as metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from baobabhoist import invariants
from baobabhoist.daemon.shard_owner import ShardOwner
from baobabhoist.model import Task
from baobabhoist.observability.metrics import Metrics
from baobabhoist.peer.link import LINK_TRAFFIC
from baobabhoist.scheduling.capacity import CapacityIndex

GAUGE_INTERVAL_S = 2.0


class MetricsObserver:
    """Record the events of a shard in histograms."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def task_started(self, task: Task, now: float) -> None:
        """Record how long a task waited.

        The time is clamped at zero, because another VM's clock set the time of submission.
        """
        self._metrics.observe_wait(task.team, task.kind.value, max(0.0, now - task.submitted_at))

    def task_ended(self, task: Task, seconds: float) -> None:
        """Record how long a task was on its worker."""
        self._metrics.observe_service(task.team, task.kind.value, seconds)

    def placement_decided(self, task: Task, seconds: float) -> None:
        """Record the duration of one placement decision."""
        self._metrics.observe_decision(task.team, task.kind.value, seconds)


class GaugeSource(Protocol):
    """Define what the gauges are computed from."""

    def active_owners(self) -> Iterable[ShardOwner]:
        """Return the owners of the shards that this instance serves."""


class GaugeUpdater:
    """Update the gauges and counters that are sampled at intervals."""

    def __init__(self, metrics: Metrics, source: GaugeSource, revision: Callable[[], int]) -> None:
        self._metrics = metrics
        self._source = source
        self._revision = revision
        self._reported_breaches: dict[int, int] = {}

    async def run(self) -> None:
        """Update the metrics until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(GAUGE_INTERVAL_S)

    def update(self) -> None:
        """Set every gauge to its current value."""
        owners = list(self._source.active_owners())
        self._metrics.set_owned_shards(len(owners))
        self._metrics.set_records_revision(self._revision())
        self._metrics.set_link_traffic(LINK_TRAFFIC.sent_bytes, LINK_TRAFFIC.received_bytes)
        for number, count in invariants.breach_counts.items():
            for _ in range(count - self._reported_breaches.get(number, 0)):
                self._metrics.count_invariant_breach(str(number))
            self._reported_breaches[number] = count
        for owner in owners:
            self._update_shard(owner)

    def _update_shard(self, owner: ShardOwner) -> None:
        fairness = owner.scheduler.fairness
        teams = set(owner.quota_ledger.escrow) | set(owner.quota_ledger.used)
        for team in teams:
            self._metrics.set_share_ratio(team, owner.shard, fairness.dominant_share(team))
            self._metrics.set_escrow_places(team, owner.shard, owner.quota_ledger.allowed(team))
        self._metrics.set_packing_ratio(owner.shard, packing_ratio(owner.scheduler.index))


def packing_ratio(index: CapacityIndex) -> float:
    """Return the allocated fraction, from 0 to 1, of the most utilized resource."""
    free = [
        sum(amounts) for amounts in zip(*(w.free for w in index.workers.values()), strict=True)
    ]
    utilizations = [
        1.0 - free_amount / total
        for free_amount, total in zip(free, index.total, strict=False)
        if total
    ]
    return max(utilizations, default=0.0)
