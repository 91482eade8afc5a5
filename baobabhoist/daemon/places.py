"""Connect the scheduler to the quota ledger of a shard."""

from __future__ import annotations

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.quota.ledger import QuotaLedger


@attrs.define
class ShardPlaces:
    """Pass places between scheduler and ledger and add which ends are confirmed.

    An end is confirmed when its report carries this owner's token, or nothing was sent.
    """

    quota: QuotaLedger
    confirmed: set[str] = attrs.Factory(set)

    def start(self, team: str, task_id: str, worker: str) -> Refusal | None:
        """Take a place, or return the reason why there is none."""
        return self.quota.start(team, task_id, worker)

    def ended(self, task_id: str) -> None:
        """Give the place of a task back, if it still holds one."""
        confirmed = task_id in self.confirmed
        self.confirmed.discard(task_id)
        if task_id in self.quota.running:
            self.quota.ended(task_id, confirmed)
