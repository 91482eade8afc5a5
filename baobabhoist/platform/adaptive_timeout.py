"""Decide how long to wait for an answer, from how long answers took lately."""

from __future__ import annotations

import attrs

MIN_TIMEOUT_S = 0.35
MAX_TIMEOUT_S = 1.2
# An answer may take this many times as long as the slowest of late.
LATENCY_MULTIPLIER = 3.0
# The slowest answer is forgotten by this part with each faster one.
DECAY_PER_RESPONSE = 0.03


@attrs.define
class AdaptiveTimeout:
    """Hold the time of the slowest answer of late, in seconds; 0 before any."""

    recent_peak_s: float = 0.0

    def current_s(self) -> float:
        """Return how long to wait for the next answer."""
        if not self.recent_peak_s:
            return MAX_TIMEOUT_S
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, LATENCY_MULTIPLIER * self.recent_peak_s))

    def record_response(self, seconds: float) -> None:
        """Learn from an answer."""
        self.recent_peak_s = max(seconds, self.recent_peak_s * (1.0 - DECAY_PER_RESPONSE))

    def record_timeout(self) -> None:
        """Take a missing answer for a slow one, so that a slow store is not asked twice."""
        self.recent_peak_s = max(self.recent_peak_s, self.current_s())
