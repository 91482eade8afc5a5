"""Count the places that teams use in one shard against the places that the shard holds."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.model import RunningTask


@attrs.define
class QuotaLedger:
    """Admit tasks of each team within the places that the shard holds in escrow.

    A released place is *unconfirmed* until the worker has accepted a later call: a new owner of
    the shard may have fenced the worker while the task ran, and count the place as its own. An
    unconfirmed place can be used again on the same worker, which rejects the calls of a fenced
    owner, but not on another one.

    `takeover_cap` replaces `escrow` after a takeover, until the table has confirmed the epoch.
    """

    shard: str
    escrow: dict[str, int] = attrs.Factory(dict)
    takeover_cap: dict[str, int] | None = None
    running: dict[str, tuple[str, str]] = attrs.Factory(dict)
    used: Counter[str] = attrs.Factory(Counter)
    ceilings: dict[str, int] = attrs.Factory(dict)
    adopted_workers: set[str] = attrs.Factory(set)
    end_count: int = 0
    unconfirmed: Counter[str] = attrs.Factory(Counter)
    # Sequence numbers of the unconfirmed ends on each worker by team, oldest first.
    unconfirmed_by_worker: dict[str, dict[str, deque[int]]] = attrs.Factory(dict)

    def allowed(self, team: str) -> int:
        """Return how many places the team may use in this shard now."""
        held = (
            self.takeover_cap.get(team, 0)
            if self.takeover_cap is not None
            else self.escrow.get(team, 0)
        )
        return min(held, self.ceilings.get(team, held))

    def acquire(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Acquire a place for a task that is about to be dispatched."""
        check(
            task_id not in self.running,
            Invariant.QUOTA_TASK_NEW,
            "task %s already holds a place",
            task_id,
        )
        allowed = self.allowed(team)
        reusable = self.unconfirmed_by_worker.get(worker, {}).get(team)
        if not self._has_place(team, allowed, bool(reusable)):
            return self._refusal(team)
        used_after = self.used[team] + 1
        check(
            used_after <= allowed
            and (bool(reusable) or used_after + self.unconfirmed[team] <= allowed),
            Invariant.QUOTA_WITHIN_PLACES,
            "team %s would use %d of %d places",
            team,
            used_after,
            allowed,
        )
        if reusable:
            self._reduce_unconfirmed(team, 1)
            reusable.pop()
        self._record_start(team, task_id, worker)
        return None

    def release(self, task_id: str, confirmed: bool = False) -> None:
        """Release the place of an ended task.

        `confirmed` states that the worker held this owner's token when the task ended, or
        that the task was never sent to it.
        """
        check(
            task_id in self.running,
            Invariant.QUOTA_TASK_KNOWN,
            "task %s holds no place",
            task_id,
        )
        team, worker = self.running[task_id]
        check(self.used[team] > 0, Invariant.QUOTA_COUNTS, "team %s uses no place", team)
        del self.running[task_id]
        self.used[team] -= 1
        if confirmed or not worker:
            return
        self.end_count += 1
        self.unconfirmed_by_worker.setdefault(worker, {}).setdefault(team, deque()).append(
            self.end_count
        )
        self.unconfirmed[team] += 1

    def end_watermark(self) -> int:
        """Return the sequence number of the last end; read it before calling a worker."""
        return self.end_count

    def confirm_ends(self, worker: str, watermark: int | None = None) -> None:
        """Confirm the ends on a worker that were known before a call that it accepted.

        `watermark` is what `end_watermark()` returned before the call; None confirms all ends.
        """
        for team, end_numbers in self.unconfirmed_by_worker.get(worker, {}).items():
            while end_numbers and (watermark is None or end_numbers[0] <= watermark):
                self._reduce_unconfirmed(team, 1)
                end_numbers.popleft()

    def release_worker(self, worker: str) -> list[str]:
        """Release all places of a worker on which nothing can run any more, and return its tasks.

        Call it only when the claim counts the worker as expired (see `ownership.claim`).
        """
        task_ids = [
            task_id for task_id, (_, on_worker) in self.running.items() if on_worker == worker
        ]
        for task_id in task_ids:
            self.release(task_id)
        self.confirm_ends(worker)
        return task_ids

    def transferable(self, team: str) -> int:
        """Return how many places may be transferred out of the shard now."""
        if self.takeover_cap is not None:
            return 0
        held = self.escrow.get(team, 0)
        return max(0, held - self.used[team] - self.unconfirmed[team])

    def withdraw(self, team: str, n: int) -> None:
        """Remove places before the transaction that transfers them out of the shard."""
        check(
            0 < n <= self.transferable(team),
            Invariant.QUOTA_GIVEN_FREE,
            "team %s: %d places withdrawn, but %d are free and confirmed",
            team,
            n,
            self.transferable(team),
        )
        self.escrow[team] = self.escrow.get(team, 0) - n

    def deposit(self, team: str, n: int) -> None:
        """Add places after the transaction that transferred them to the shard has committed."""
        check(n > 0, Invariant.QUOTA_COUNTS, "team %s: cannot deposit %d places", team, n)
        self.escrow[team] = self.escrow.get(team, 0) + n

    def begin_takeover(self) -> None:
        """Forget all places: after a takeover only the tasks that workers report are counted."""
        self.takeover_cap = {}
        self.adopted_workers.clear()
        self.running.clear()
        self.used.clear()
        self.unconfirmed.clear()
        self.unconfirmed_by_worker.clear()

    def adopt(self, worker: str, running: Iterable[RunningTask]) -> None:
        """Count the tasks that a worker reports when it is fenced.

        Under the takeover cap each task in the worker's first report adds a place to the cap.
        Later reports add none, because they may be delayed copies of the first.
        """
        is_first_report = worker not in self.adopted_workers
        self.adopted_workers.add(worker)
        for task in running:
            if task.task_id in self.running:
                continue
            if self.takeover_cap is not None and is_first_report:
                self.takeover_cap[task.team] = self.takeover_cap.get(task.team, 0) + 1
            self._record_start(task.team, task.task_id, worker)

    def lift_takeover_cap(self, escrow: Mapping[str, int]) -> None:
        """End the takeover cap once the table has confirmed the epoch."""
        self.takeover_cap = None
        self.escrow = dict(escrow)

    def set_ceiling(self, team: str, places: int | None) -> None:
        """Limit a team below its escrow from now on; None removes the limit."""
        if places is None:
            self.ceilings.pop(team, None)
        else:
            self.ceilings[team] = max(0, places)

    def excess_tasks(self, team: str) -> list[str]:
        """Return the tasks to checkpoint or stop to get within the limit, the latest first."""
        excess = self.used[team] - self.allowed(team)
        if excess <= 0:
            return []
        tasks = [task_id for task_id, (task_team, _) in self.running.items() if task_team == team]
        return tasks[: -excess - 1 : -1]

    def _has_place(self, team: str, allowed: int, can_reuse: bool) -> bool:
        used = self.used[team]
        return used < allowed and (can_reuse or used + self.unconfirmed[team] < allowed)

    def _record_start(self, team: str, task_id: str, worker: str) -> None:
        self.running[task_id] = (team, worker)
        self.used[team] += 1

    def _reduce_unconfirmed(self, team: str, n: int) -> None:
        check(
            self.unconfirmed[team] >= n,
            Invariant.QUOTA_COUNTS,
            "team %s has only %d unconfirmed places",
            team,
            self.unconfirmed[team],
        )
        self.unconfirmed[team] -= n

    def _refusal(self, team: str) -> Refusal:
        return Refusal(
            ErrorKind.TEAM_LIMIT,
            f"team {team} uses all its places in shard {self.shard}",
            remedy="retry when a running task of the team has ended",
            retry_after_s=1.0,
        )
