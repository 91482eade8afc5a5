"""Bring records and peers' digests into the form that the decisions use."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from baobabhoist.peer.messages import ShardDigest
from baobabhoist.quota import escrow
from baobabhoist.quota.classes import class_key
from baobabhoist.records.kinds import Policy
from baobabhoist.records.view import RecordView
from baobabhoist.scheduling.policy import PreemptionAction, QueuePolicy, TeamPolicy


def queue_policies(view: RecordView) -> dict[str, QueuePolicy]:
    """Return the policy of each queue by name."""
    return {
        name: _queue_policy(view.policy_of(name), queue.max_queued_per_team)
        for name, queue in view.queues().items()
    }


def _queue_policy(policy: Policy, team_limit: int) -> QueuePolicy:
    action = PreemptionAction.NEVER
    if policy.preemption:
        action = PreemptionAction(policy.preempt_action.value)
    return QueuePolicy(policy.objective.value, action, team_limit=team_limit)


def team_policies(view: RecordView) -> dict[str, TeamPolicy]:
    """Return the policy of each team by name; only the limits of its queues bound what waits."""
    most = sum(queue.max_queued_per_team for queue in view.queues().values())
    return {name: TeamPolicy(team.share, most) for name, team in view.teams().items()}


def class_limits(view: RecordView, shard: str) -> dict[str, int]:
    """Return a shard's part of each class limit; the parts of all shards add up to the limit."""
    shards = list(view.shards())
    return {
        class_key(name, kind): escrow.initial(limit, shards).held(shard)
        for name, team in view.teams().items()
        for kind, limit in team.class_limits.items()
    }


def slots_of(view: RecordView, shard: str) -> int:
    """Return the slots of a shard's workers."""
    return sum(spec.capacity.slots for spec in view.workers_of(shard))


def use_elsewhere(
    view: RecordView, shard: str, digests: Iterable[ShardDigest]
) -> tuple[dict[str, float], float]:
    """Return each team's share of the fleet's slots outside a shard, and that shard's part."""
    total = sum(slots_of(view, name) for name in view.shards())
    if not total:
        return {}, 1.0
    used: Counter[str] = Counter()
    for digest in digests:
        if digest.shard != shard:
            used.update(digest.used)
    return {team: count / total for team, count in used.items()}, slots_of(view, shard) / total
