"""Count the tasks that teams run of each kind of work against their class limits."""

from __future__ import annotations

import sys
from collections.abc import Iterable

import attrs

from baobabhoist.model import RunningTask, WorkKind
from baobabhoist.quota.ledger import QuotaLedger

UNLIMITED = sys.maxsize


def class_key(team: str, kind: WorkKind) -> str:
    """Return the name under which the tasks of a team and kind are counted."""
    return f"{team}/{kind.value}"


@attrs.define
class ClassLimitLedger(QuotaLedger):
    """Bound the tasks of each team and kind by this shard's part of the class limit.

    The parts are fixed and never move between shards, so their sum holds without the table.
    Teams are class keys here. All kinds are counted, since a limit may be set while they run.
    The takeover cap and the confirmation of ends protect the parts as they do the places.
    """

    limits: dict[str, int] = attrs.Factory(dict)

    def allowed(self, team: str) -> int:
        """Return how many tasks of the class may run here now."""
        limit = self.limits.get(team)
        if limit is None:
            return UNLIMITED
        return limit if self.takeover_cap is None else min(limit, self.takeover_cap.get(team, 0))

    def spare(self, team: str) -> int:
        """Return how many tasks of the class may start here now, on any worker."""
        return max(0, self.allowed(team) - self.used[team] - self.unconfirmed[team])

    def adopt(self, worker: str, running: Iterable[RunningTask]) -> None:
        """Count the tasks that a worker reports when it is fenced."""
        keyed = [attrs.evolve(task, team=class_key(task.team, task.kind)) for task in running]
        QuotaLedger.adopt(self, worker, keyed)
