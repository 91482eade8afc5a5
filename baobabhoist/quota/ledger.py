"""Count the places that teams use in one shard against the shard's escrow."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.invariants import Invariant, check
from baobabhoist.model import RunningTask


@attrs.define
class QuotaLedger:
    """Let a shard start work only within the places it holds for each team.

    A place whose task ended is *unconfirmed* until the worker accepted a later call: a new
    owner may have fenced the worker while the task ran and count the place as its own. It can
    be used again on the same worker, whose fence decides, but not elsewhere.
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
    # Numbers of the unconfirmed ends of a worker by team, oldest first.
    unconfirmed_by_worker: dict[str, dict[str, deque[int]]] = attrs.Factory(dict)

    def allowed(self, team: str) -> int:
        """Return how many places the team may use here now."""
        held = (
            self.takeover_cap.get(team, 0)
            if self.takeover_cap is not None
            else self.escrow.get(team, 0)
        )
        return min(held, self.ceilings.get(team, held))

    def acquire(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Take a place for a task that is about to be dispatched."""
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
        after = self.used[team] + 1
        check(
            after <= allowed and (bool(reusable) or after + self.unconfirmed[team] <= allowed),
            Invariant.QUOTA_WITHIN_PLACES,
            "team %s would use %d of %d places",
            team,
            after,
            allowed,
        )
        if reusable:
            self._reduce_unconfirmed(team, 1)
            reusable.pop()
        self._take(team, task_id, worker)
        return None

    def release(self, task_id: str, confirmed: bool = False) -> None:
        """Give the place of an ended task back.

        `confirmed` states that the worker held this owner's token when the task ended, or
        that the task was never sent.
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
        """Return the number of the last end; take it before sending a call to a worker."""
        return self.end_count

    def confirm_ends(self, worker: str, watermark: int | None = None) -> None:
        """Release the places of ends that were known before an accepted call was sent.

        `watermark` is what `end_watermark()` returned before the call; None stands for all ends.
        """
        for team, numbers in self.unconfirmed_by_worker.get(worker, {}).items():
            while numbers and (watermark is None or numbers[0] <= watermark):
                self._reduce_unconfirmed(team, 1)
                numbers.popleft()

    def release_worker(self, worker: str) -> list[str]:
        """Release all places of a worker on which nothing can run any more.

        Call it only when the worker is excused (see `ownership.claim`); returns its tasks.
        """
        lost = [task_id for task_id, (_, where) in self.running.items() if where == worker]
        for task_id in lost:
            self.release(task_id)
        self.confirm_ends(worker)
        return lost

    def transferable(self, team: str) -> int:
        """Return how many places may leave the shard now."""
        if self.takeover_cap is not None:
            return 0
        held = self.escrow.get(team, 0)
        return max(0, held - self.used[team] - self.unconfirmed[team])

    def withdraw(self, team: str, n: int) -> None:
        """Stop using places before the transaction that gives them away."""
        check(
            0 < n <= self.transferable(team),
            Invariant.QUOTA_GIVEN_FREE,
            "team %s: %d places given, %d free and confirmed",
            team,
            n,
            self.transferable(team),
        )
        self.escrow[team] = self.escrow.get(team, 0) - n

    def deposit(self, team: str, n: int) -> None:
        """Use places after the transaction that moved them here has committed."""
        check(n > 0, Invariant.QUOTA_COUNTS, "team %s: %d places put in", team, n)
        self.escrow[team] = self.escrow.get(team, 0) + n

    def begin_takeover(self) -> None:
        """Forget all places: a new claim counts only what the workers report."""
        self.takeover_cap = {}
        self.adopted_workers.clear()
        self.running.clear()
        self.used.clear()
        self.unconfirmed.clear()
        self.unconfirmed_by_worker.clear()

    def adopt(self, worker: str, running: Iterable[RunningTask]) -> None:
        """Count the tasks that a worker reports when it is fenced.

        Under the takeover cap each task of the worker's first report adds a place to the cap;
        a later report may be a delayed copy of the first.
        """
        first = worker not in self.adopted_workers
        self.adopted_workers.add(worker)
        for task in running:
            if task.task_id in self.running:
                continue
            if self.takeover_cap is not None and first:
                self.takeover_cap[task.team] = self.takeover_cap.get(task.team, 0) + 1
            self._take(task.team, task.task_id, worker)

    def lift_takeover_cap(self, escrow: Mapping[str, int]) -> None:
        """Return to the full escrow once the table has confirmed the epoch."""
        self.takeover_cap = None
        self.escrow = dict(escrow)

    def set_ceiling(self, team: str, places: int | None) -> None:
        """Limit a team below its escrow from now on; None ends the limit."""
        if places is None:
            self.ceilings.pop(team, None)
        else:
            self.ceilings[team] = max(0, places)

    def excess_tasks(self, team: str) -> list[str]:
        """Return the tasks to checkpoint or stop, the latest started first."""
        over = self.used[team] - self.allowed(team)
        if over <= 0:
            return []
        tasks = [task_id for task_id, (of, _) in self.running.items() if of == team]
        return tasks[: -over - 1 : -1]

    def _has_place(self, team: str, allowed: int, reusable: bool) -> bool:
        used = self.used[team]
        return used < allowed and (reusable or used + self.unconfirmed[team] < allowed)

    def _take(self, team: str, task_id: str, worker: str) -> None:
        self.running[task_id] = (team, worker)
        self.used[team] += 1

    def _reduce_unconfirmed(self, team: str, n: int) -> None:
        check(
            self.unconfirmed[team] >= n,
            Invariant.QUOTA_COUNTS,
            "team %s has %d unconfirmed places",
            team,
            self.unconfirmed[team],
        )
        self.unconfirmed[team] -= n

    def _refusal(self, team: str) -> Refusal:
        return Refusal(
            ErrorKind.TEAM_LIMIT,
            f"team {team} uses all its places in shard {self.shard}",
            remedy="wait for a running task of the team to end",
            retry_after_s=1.0,
        )
