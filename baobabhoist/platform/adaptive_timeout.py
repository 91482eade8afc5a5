"""Derive a request timeout from recent response times."""

from __future__ import annotations

import attrs

MIN_TIMEOUT_S = 0.35
MAX_TIMEOUT_S = 1.2
# The timeout is this multiple of the slowest recent response time.
LATENCY_MULTIPLIER = 3.0
# Fraction by which the recorded peak decays with each faster response.
DECAY_PER_RESPONSE = 0.03


@attrs.define
class AdaptiveTimeout:
    """Hold the slowest recent response time in seconds; 0 before the first response."""

    recent_peak_s: float = 0.0

    def current_s(self) -> float:
        """Return the timeout of the next request, in seconds."""
        if not self.recent_peak_s:
            return MAX_TIMEOUT_S
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, LATENCY_MULTIPLIER * self.recent_peak_s))

    def record_response(self, response_s: float) -> None:
        """Raise the recorded peak to a response time, or let it decay."""
        self.recent_peak_s = max(response_s, self.recent_peak_s * (1.0 - DECAY_PER_RESPONSE))

    def record_timeout(self) -> None:
        """Count a timeout as a slow response, so that retries do not overload a slow store."""
        self.recent_peak_s = max(self.recent_peak_s, self.current_s())
