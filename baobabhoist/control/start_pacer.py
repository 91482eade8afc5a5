"""Pace start commands, so that they leave room on the link for heartbeats and lease renewals."""

from __future__ import annotations

import attrs

# Share of the link that start commands may take.
LINK_SHARE = 0.5
# Start commands may fill the link's share for this long at once.
BURST_S = 0.5
BYTES_PER_MBIT = 125_000.0


@attrs.define
class StartPacer:
    """Hold a token bucket of bytes, filled at a share of the link's bandwidth."""

    link_mbps: float
    available_bytes: float = attrs.field(init=False)
    _filled_ms: float = -1e12

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self.available_bytes = self.burst_bytes

    @property
    def rate(self) -> float:
        """Return the rate at which the bucket fills, in bytes per second."""
        return self.link_mbps * BYTES_PER_MBIT * LINK_SHARE

    @property
    def burst_bytes(self) -> float:
        """Return the size of the bucket."""
        return self.rate * BURST_S

    def refill(self, now: float) -> float:
        """Add what has accrued since the last call; return the bytes that may be sent now."""
        accrued = self.rate * (now - self._filled_ms) / 1000
        self.available_bytes = min(self.burst_bytes, self.available_bytes + accrued)
        self._filled_ms = now
        return self.available_bytes
