"""Measure by how much the event loop runs late, because of long calls or too little processor."""

from __future__ import annotations

import asyncio
import logging

from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

PROBE_INTERVAL_S = 0.4
# A longer lag leaves a line: heartbeats, starts and answers are late by as much.
LONG_LAG_MS = 500.0


class LoopLagMonitor:
    """Measure how late the event loop wakes a task that sleeps."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._longest_ms = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_ms = monotonic_ms() + PROBE_INTERVAL_S * 1000
            await asyncio.sleep(PROBE_INTERVAL_S)
            self.record(max(0.0, monotonic_ms() - due_ms))

    def record(self, lag_ms: float) -> None:
        """Record one measured lag."""
        self._longest_ms = max(self._longest_ms, lag_ms)
        self._metrics.observe_loop_lag(lag_ms / 1000)
        if lag_ms > LONG_LAG_MS:
            emit(log, Event.LOOP_STALLED, lag_ms=round(lag_ms))

    def take_longest_ms(self) -> float:
        """Return the longest lag since the last call."""
        longest_ms, self._longest_ms = self._longest_ms, 0.0
        return longest_ms
