"""Summarise the load of an owned shard for the other instances."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from baobabhoist.daemon.forwarding import is_queued
from baobabhoist.peer.messages import ShardDigest

if TYPE_CHECKING:
    from baobabhoist.daemon.shard_owner import ShardOwner


def build_digest(owner: ShardOwner) -> ShardDigest:
    """Return the usage, the spare quota and the unmet demand of a shard by team."""
    quota = owner.quota_ledger
    # Work that waits for its class limit needs neither more quota nor more workers.
    waiting = [
        entry
        for entry in owner.pending.values()
        if is_queued(owner.keys, entry)
        and not owner.shard_quota.is_class_full(entry.req.task.team, entry.req.task.kind)
    ]
    unmet = Counter(entry.req.task.team for entry in waiting)
    teams = set(quota.escrow) | set(quota.used)
    spare = {team: quota.allowed(team) - quota.used[team] for team in teams}
    return ShardDigest(
        owner.shard,
        owner.claim.token,
        {team: count for team, count in quota.used.items() if count},
        {team: count for team, count in spare.items() if count > 0},
        owner.free_slots(),
        len(waiting),
        dict(unmet),
        owner.shard_quota.class_headroom(),
    )
