"""Limit how many tasks of each kind of work a team runs."""

from __future__ import annotations

import sys
from collections.abc import Iterable

import attrs

from baobabhoist.model import RunningTask, WorkKind
from baobabhoist.quota.ledger import QuotaLedger

UNLIMITED = sys.maxsize


def class_key(team: str, kind: WorkKind) -> str:
    """Return the key under which the tasks of a team and kind are counted."""
    return f"{team}/{kind.value}"


@attrs.define
class ClassLimitLedger(QuotaLedger):
    """Limit the tasks of each team and kind to this shard's part of the class limit.

    The parts are fixed and never move between shards, so their sum stays within the limit without
    transactions on the table. The `team` of each method is a class key here. All kinds are
    counted, since a limit may be set while tasks run. The takeover cap and the confirmation of
    ends protect the parts in the same way as the places.
    """

    limits: dict[str, int] = attrs.Factory(dict)

    def allowed(self, team: str) -> int:
        """Return how many tasks of the class may run in this shard now."""
        limit = self.limits.get(team)
        if limit is None:
            return UNLIMITED
        return limit if self.takeover_cap is None else min(limit, self.takeover_cap.get(team, 0))

    def spare(self, team: str) -> int:
        """Return how many further tasks of the class may start in this shard, on any worker."""
        return max(0, self.allowed(team) - self.used[team] - self.unconfirmed[team])

    def adopt(self, worker: str, running: Iterable[RunningTask]) -> None:
        """Count the tasks that a worker reports when it is fenced."""
        tasks = [attrs.evolve(task, team=class_key(task.team, task.kind)) for task in running]
        QuotaLedger.adopt(self, worker, tasks)
