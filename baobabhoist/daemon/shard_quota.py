"""Apply the quota of teams and the limits per team and kind of work in one shard."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import RunningTask, Task, WorkKind
from baobabhoist.quota.class_limits import ClassLimitLedger, class_key
from baobabhoist.quota.ledger import QuotaLedger


@attrs.define
class ShardQuota:
    """Account for starts and ends of tasks in the ledgers of team quota and class limits.

    `confirmed_ends` holds the tasks whose end is confirmed: its report carries this owner's
    token, or the task was never sent. `kind_of` returns the kind of a task that is about to
    start. Both ledgers see the same starts and ends, so a watermark denotes the same ends in both.
    """

    team_ledger: QuotaLedger
    kind_of: Callable[[str], WorkKind]
    class_ledger: ClassLimitLedger = attrs.field()
    confirmed_ends: set[str] = attrs.Factory(set)

    @class_ledger.default
    def _new_class_ledger(self) -> ClassLimitLedger:
        ledger = ClassLimitLedger(self.team_ledger.shard)
        ledger.begin_takeover()
        return ledger

    def permanent_refusal(self, task: Task) -> Refusal | None:
        """Return why a task can never start here, even if all other tasks end, or None.

        Only idempotent work is refused. It would wait here for ever, while other work can be
        forwarded to another shard.
        """
        limit = self.class_ledger.limits.get(class_key(task.team, task.kind))
        return (
            self._class_full_refusal(task.team, task.kind)
            if limit == 0 and task.idempotent
            else None
        )

    def acquire(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Acquire a place for a task, or return why there is none."""
        kind = self.kind_of(task_id)
        if self.is_class_full(team, kind):
            return self._class_full_refusal(team, kind)
        refusal = self.team_ledger.acquire(team, task_id, worker)
        if refusal is None:
            self.class_ledger.acquire(class_key(team, kind), task_id, worker)
        return refusal

    def release(self, task_id: str) -> None:
        """Release the place of a task, if it still holds one."""
        confirmed = task_id in self.confirmed_ends
        self.confirmed_ends.discard(task_id)
        for ledger in (self.team_ledger, self.class_ledger):
            if task_id in ledger.running:
                ledger.release(task_id, confirmed)

    def adopt(self, worker: str, running: Iterable[RunningTask]) -> None:
        """Count the tasks that a worker reports when it is fenced."""
        tasks = list(running)
        self.team_ledger.adopt(worker, tasks)
        self.class_ledger.adopt(worker, tasks)

    def confirm_ends(self, worker: str, watermark: int) -> None:
        """Release the places of ends on a worker that were known before a call it accepted."""
        self.team_ledger.confirm_ends(worker, watermark)
        self.class_ledger.confirm_ends(worker, watermark)

    def is_class_full(self, team: str, kind: WorkKind) -> bool:
        """Return whether the class limit of a team keeps this kind of work waiting here."""
        if not self.class_ledger.limits:
            return False
        self._sync_takeover_cap()
        return not self.class_ledger.spare(class_key(team, kind))

    def headroom(self, team: str, kind: WorkKind) -> int:
        """Return how many tasks of a team and kind may start here now."""
        if self.is_class_full(team, kind):
            return 0
        places = max(0, self.team_ledger.allowed(team) - self.team_ledger.used[team])
        return min(places, self.class_ledger.spare(class_key(team, kind)))

    def class_headroom(self) -> dict[str, int]:
        """Return how many tasks of each limited class may start here now."""
        self._sync_takeover_cap()
        return {key: self.class_ledger.spare(key) for key in self.class_ledger.limits}

    def _class_full_refusal(self, team: str, kind: WorkKind) -> Refusal:
        return Refusal(
            ErrorKind.TEAM_LIMIT,
            f"team {team} runs as much {kind.value} work as it may in {self.team_ledger.shard}",
            remedy=f"wait for {kind.value} work of the team to end, or use a new key",
            retry_after_s=1.0,
        )

    def _sync_takeover_cap(self) -> None:
        # The team ledger lifts its takeover cap once the table has confirmed the epoch.
        if self.team_ledger.takeover_cap is None:
            self.class_ledger.takeover_cap = None
