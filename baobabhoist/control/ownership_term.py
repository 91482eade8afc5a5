"""Describe one term of ownership."""

from __future__ import annotations

import attrs


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
