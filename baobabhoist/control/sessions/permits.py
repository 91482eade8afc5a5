"""Limit how long an instance may act for the owner without hearing from it.

A holder asks for a permit and counts its validity from when it sent the query, so a reply that was
delayed never lengthens it. The owner counts from when it replied, which is later: once the permit
has expired on the owner's clock, the holder has certainly stopped.
"""

from __future__ import annotations

import attrs

# Validity of a permit. For this long, a lost holder may go on extending the leases of its workers.
PERMIT_VALID_MS = 1_500.0
# Interval at which a holder asks for the next one.
PERMIT_INTERVAL_S = 0.4


@attrs.define
class HeldPermit:
    """Hold a holder's permit and what it knows of the owner's clock; times are local, in ms."""

    until_ms: float = float("-inf")
    # A lower bound of the owner's clock minus the local one.
    owner_offset_ms: float = float("-inf")

    def renew(self, sent_ms: float, received_ms: float, valid_ms: float, owner_ms: float) -> None:
        """Apply the reply to a query that was sent at `sent_ms`."""
        self.owner_offset_ms = max(self.owner_offset_ms, owner_ms - received_ms)
        if valid_ms <= 0.0:
            self.until_ms = float("-inf")
        else:
            self.until_ms = max(self.until_ms, sent_ms + valid_ms)

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may act now."""
        return now < self.until_ms

    def to_owner_ms(self, local_ms: float) -> float:
        """Return a time on the owner's clock that is not later than a local one."""
        return local_ms + self.owner_offset_ms


def grantable_ms(owner_authority_ends_ms: float, now: float) -> float:
    """Return for how long an owner may permit others to act, whose own authority ends then."""
    return max(0.0, min(PERMIT_VALID_MS, owner_authority_ends_ms - now))
