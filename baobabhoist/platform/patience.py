"""Decide how long to wait for an answer, from how long answers took lately.

The estimate is the one that TCP uses for its retransmission timeout.
"""

from __future__ import annotations

import attrs

SHORTEST_S = 0.35
LONGEST_S = 1.2
GAIN = 0.125
VARIATION_GAIN = 0.25
DEVIATIONS = 4.0


@attrs.define
class Patience:
    """Hold the smoothed time of an answer and its variation, in seconds."""

    smoothed_s: float = 0.0
    variation_s: float = 0.0
    backoff: float = 1.0

    def timeout_s(self) -> float:
        """Return how long to wait for the next answer."""
        if not self.smoothed_s:
            return LONGEST_S
        expected = self.smoothed_s + DEVIATIONS * self.variation_s
        return min(LONGEST_S, max(SHORTEST_S, expected) * self.backoff)

    def answered(self, seconds: float) -> None:
        """Learn from an answer."""
        self.backoff = 1.0
        if not self.smoothed_s:
            self.smoothed_s, self.variation_s = seconds, seconds / 2
            return
        error = seconds - self.smoothed_s
        self.variation_s += VARIATION_GAIN * (abs(error) - self.variation_s)
        self.smoothed_s += GAIN * error

    def timed_out(self) -> None:
        """Wait longer next time."""
        self.backoff = min(4.0, 2.0 * self.backoff)
