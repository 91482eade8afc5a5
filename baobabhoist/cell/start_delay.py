"""Estimate how long a start takes from its decision until its command is sent.

The run is stored in between, so the delay grows with the store's response time. A start whose
ticket expires meanwhile is not sent.
"""

from __future__ import annotations

import attrs

MIN_DELAY_MS = 100.0
MAX_DELAY_MS = 1_500.0
# Recent delays vary, so the estimate lies above the longest of them by this factor.
SAFETY_FACTOR = 1.25
# Fraction of the recorded peak that remains after each shorter delay.
DECAY_PER_START = 0.97


@attrs.define
class StartDelay:
    """Hold the longest recent delay in ms; 0 before the first start."""

    recent_peak_ms: float = 0.0

    def record(self, delay_ms: float) -> None:
        """Record the delay of a start that was sent, or dropped because it came too late."""
        peak_ms = max(delay_ms, self.recent_peak_ms * DECAY_PER_START)
        self.recent_peak_ms = min(MAX_DELAY_MS, peak_ms)

    @property
    def expected_ms(self) -> float:
        """Return the delay to expect of a start that is decided now."""
        return min(MAX_DELAY_MS, max(MIN_DELAY_MS, SAFETY_FACTOR * self.recent_peak_ms))
