"""Count the places that teams use in one shard against the shard's escrow."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.model import RunningTask


@attrs.define
class QuotaLedger:
    """Let a shard start work only within the places it holds for each team."""

    shard: str
    escrow: dict[str, int] = attrs.Factory(dict)
    cap: dict[str, int] | None = None
    running: dict[str, tuple[str, str]] = attrs.Factory(dict)
    used: Counter[str] = attrs.Factory(Counter)

    def allowed(self, team: str) -> int:
        """Return how many places the team may use here now."""
        if self.cap is not None:
            return self.cap.get(team, 0)
        return self.escrow.get(team, 0)

    def start(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Take a place for a task that is about to be dispatched."""
        if self.used[team] >= self.allowed(team):
            return Refusal(
                ErrorKind.TEAM_LIMIT,
                f"team {team} uses all its places in shard {self.shard}",
                remedy="wait for a running task of the team to end",
                retry_after_s=1.0,
            )
        self.running[task_id] = (team, worker)
        self.used[team] += 1
        return None

    def ended(self, task_id: str) -> None:
        """Give the place of an ended task back."""
        team, _ = self.running.pop(task_id)
        self.used[team] -= 1

    def cap_to_running(self, running: Iterable[RunningTask]) -> None:
        """Limit each team to the places that the workers report in use."""
        self.cap = dict(Counter(task.team for task in running))

    def uncap(self, escrow: dict[str, int]) -> None:
        """Return to the full escrow once the table has confirmed the epoch."""
        self.cap = None
        self.escrow = dict(escrow)
