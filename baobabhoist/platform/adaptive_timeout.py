"""Decide how long to wait for an answer, from how long answers took lately."""

from __future__ import annotations

import attrs

SHORTEST_S = 0.35
LONGEST_S = 1.2
# An answer may take this many times as long as the slowest of late.
FACTOR = 3.0
# The slowest answer is forgotten by this part with each faster one.
FORGETTING = 0.03


@attrs.define
class Patience:
    """Hold the time of the slowest answer of late, in seconds; 0 before any."""

    slowest_s: float = 0.0

    def timeout_s(self) -> float:
        """Return how long to wait for the next answer."""
        if not self.slowest_s:
            return LONGEST_S
        return min(LONGEST_S, max(SHORTEST_S, FACTOR * self.slowest_s))

    def answered(self, seconds: float) -> None:
        """Learn from an answer."""
        self.slowest_s = max(seconds, self.slowest_s * (1.0 - FORGETTING))

    def timed_out(self) -> None:
        """Take a missing answer for a slow one, so that a slow store is not asked twice."""
        self.slowest_s = max(self.slowest_s, self.timeout_s())
