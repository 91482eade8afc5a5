"""Track a session that another instance holds."""

from __future__ import annotations

import attrs

from baobabhoist.cell.workers import WorkerState
from baobabhoist.control.sessions.messages import AssignedWorker
from baobabhoist.control.sessions.remote_holder import RemoteHolder


@attrs.define(eq=False)
class RemoteSession:
    """Track a session that another instance holds."""

    number: int
    state: WorkerState
    holder: RemoteHolder
    is_suspended: bool
    # The least token of its calls; no earlier session with the worker has used a higher one.
    token: int
    # Until when earlier holders may have extended the lease.
    inherited_until_ms: float
    silence: int = 0

    def update_lease(self) -> None:
        """Record until when somebody may extend the worker's lease."""
        until_ms = self.inherited_until_ms
        if not self.is_suspended:
            until_ms = max(until_ms, self.holder.permitted_until_ms)
        self.state.lease.extendable_until_ms = until_ms

    def to_assigned(self) -> AssignedWorker:
        """Return what the holder has to know."""
        return AssignedWorker(
            self.number,
            self.state.worker_id,
            self.state.info.address,
            self.state.started_unix_ms,
            self.state.last_acked_end,
            self.is_suspended,
            self.token,
        )
