"""Track until when the holders of closed sessions may go on extending leases."""

from __future__ import annotations

import attrs

from baobabhoist.cell.workers import WorkerState, lease_duration_ms


@attrs.define(eq=False)
class LeaseExtensions:
    """Hold these times by worker id, on the owner's clock, in ms.

    The cell forgets a worker that leaves the directory, and with it the lease.
    """

    _lease_ms: float
    _until_ms: dict[str, float] = attrs.Factory(dict)

    def record(self, worker_id: str, until_ms: float) -> None:
        """Record until when a closed session may extend a lease, for the next one."""
        self._until_ms[worker_id] = max(self._until_ms.get(worker_id, until_ms), until_ms)

    def pass_on(self, state: WorkerState) -> None:
        """Record in the lease of a worker, whose next session is opened, what is held of it."""
        until_ms = self._until_ms.pop(state.worker_id, float("-inf"))
        state.lease.extendable_until_ms = max(state.lease.extendable_until_ms, until_ms)

    def forget_expired(self, now: float) -> None:
        """Forget the leases that have expired, even if they were extended at the last moment."""
        longest_ms = lease_duration_ms(self._lease_ms)
        for worker_id, until_ms in list(self._until_ms.items()):
            if now > until_ms + longest_ms:
                del self._until_ms[worker_id]
