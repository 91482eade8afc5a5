"""Describe one term of ownership."""

from __future__ import annotations

import attrs

from baobabhoist.cell.workers import lease_duration_ms


@attrs.frozen
class OwnershipTerm:
    """Describe one term of ownership, which begins with a won claim.

    `token` is the fencing token for the workers. On the local clock, `won_ms` is when the claim
    was won and `previous_owner_until_ms` until when a previous owner, or an instance that holds
    sessions for it, may still renew leases.
    """

    token: int
    generation: int
    won_ms: float
    previous_owner_until_ms: float

    def inherited_expiry_ms(self, lease_ms: float) -> float:
        """Return when a lease that previous owners granted at the last moment has expired."""
        return max(self.won_ms, self.previous_owner_until_ms) + lease_duration_ms(lease_ms)
