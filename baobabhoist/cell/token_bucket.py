"""Token bucket that counts the jobs a team may still send within its entitlement."""

from __future__ import annotations

import attrs

MS_PER_S = 1000.0
# A full bucket holds the entitlement for this time, but at least MIN_BURST_JOBS.
BURST_S = 2.0
MIN_BURST_JOBS = 4.0


@attrs.define
class TokenBucket:
    """Count the jobs that a team may still send; times are on the store's clock, in ms."""

    rate_per_ms: float
    burst: float
    tokens: float
    refilled_ms: float = float("-inf")

    @classmethod
    def for_weight(cls, weight: float) -> TokenBucket:
        """Return a full bucket for a number of jobs a second."""
        burst = max(MIN_BURST_JOBS, weight * BURST_S)
        return cls(weight / MS_PER_S, burst, burst)

    def available_at(self, at_ms: float) -> float:
        """Return the tokens at a time; one that lies before the last refill adds none."""
        elapsed_ms = max(0.0, at_ms - self.refilled_ms)
        return min(self.burst, self.tokens + elapsed_ms * self.rate_per_ms)

    def take(self, at_ms: float) -> bool:
        """Take a token; return whether there was one."""
        self.tokens = self.available_at(at_ms)
        self.refilled_ms = max(self.refilled_ms, at_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
