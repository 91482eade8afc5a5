"""Convert records and peers' digests to the inputs of the scheduler."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from baobabhoist.peer.messages import ShardDigest
from baobabhoist.quota import escrow
from baobabhoist.quota.class_limits import class_key
from baobabhoist.records.kinds import Policy
from baobabhoist.records.view import RecordView
from baobabhoist.scheduling.policy import PreemptionAction, QueuePolicy, TeamPolicy


def queue_policies(view: RecordView) -> dict[str, QueuePolicy]:
    """Return the policy of each queue by name."""
    return {
        name: _queue_policy(view.policy_for_queue(name), queue.max_queued_per_team)
        for name, queue in view.queues().items()
    }


def _queue_policy(policy: Policy, max_queued_per_team: int) -> QueuePolicy:
    action = PreemptionAction.NEVER
    if policy.preemption:
        action = PreemptionAction(policy.preempt_action.value)
    return QueuePolicy(policy.objective.value, action, max_queued_per_team=max_queued_per_team)


def team_policies(view: RecordView) -> dict[str, TeamPolicy]:
    """Return the policy of each team by name; only queue limits bound its waiting work."""
    total_limit = sum(queue.max_queued_per_team for queue in view.queues().values())
    return {name: TeamPolicy(team.share, total_limit) for name, team in view.teams().items()}


def class_limits(view: RecordView, shard: str) -> dict[str, int]:
    """Return a shard's part of each class limit; all shards' parts add up to the limit."""
    shards = list(view.shards())
    return {
        class_key(name, kind): escrow.initial_row(limit, shards).held(shard)
        for name, team in view.teams().items()
        for kind, limit in team.class_limits.items()
    }


@attrs.define
class FleetSlots:
    """Count the slots of every shard, and recount them only when a record has changed."""

    view: RecordView
    revision: int = -1
    by_shard: dict[str, int] = attrs.Factory(dict)
    total: int = 0

    def refresh(self) -> None:
        """Recount the slots if the revision of the records has changed."""
        if self.revision == self.view.revision:
            return
        self.revision = self.view.revision
        self.by_shard = {
            shard: sum(spec.capacity.slots for spec in self.view.workers_in_shard(shard))
            for shard in self.view.shards()
        }
        self.total = sum(self.by_shard.values())


def usage_elsewhere(
    slots: FleetSlots, shard: str, digests: Iterable[ShardDigest]
) -> tuple[dict[str, float], float]:
    """Return the fraction of the fleet's slots that each team uses in the other shards.

    The second value is the fraction of the fleet's slots that belongs to this shard.
    """
    slots.refresh()
    total = slots.total
    if not total:
        return {}, 1.0
    used: Counter[str] = Counter()
    for digest in digests:
        if digest.shard != shard:
            used.update(digest.used)
    fraction = slots.by_shard.get(shard, 0) / total
    return {team: count / total for team, count in used.items()}, fraction
