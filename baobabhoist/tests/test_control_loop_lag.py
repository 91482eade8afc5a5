"""Test that an event loop that runs late is measured and leaves a line."""

import asyncio

import pytest

from baobabhoist.control import loop_lag
from baobabhoist.control.loop_lag import LONG_LAG_MS, LoopLagMonitor
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.observability.events import EVENT_ATTRIBUTE, Event


def test_long_lag_leaves_a_line_and_the_longest_is_taken_once(caplog):
    """Guard against late starts and answers that can't be told from a slow store or worker."""
    monitor = LoopLagMonitor(NodeMetrics())
    for lag_ms in (10.0, LONG_LAG_MS, LONG_LAG_MS + 1.0, 20.0):
        monitor.record(lag_ms)
    assert [r.__dict__[EVENT_ATTRIBUTE] for r in caplog.records] == [Event.LOOP_STALLED]
    assert monitor.take_longest_ms() == LONG_LAG_MS + 1.0
    assert monitor.take_longest_ms() == 0.0


def test_lag_is_measured_against_the_planned_time(monkeypatch):
    """Guard against a monitor that counts its own interval as lag, or misses a blocked loop."""
    times = iter((0.0, 100.0, 100.0, 1_000.0, 1_000.0))
    monkeypatch.setattr(loop_lag, "monotonic_ms", lambda: next(times))
    monkeypatch.setattr(loop_lag, "PROBE_INTERVAL_S", 0.1)
    monitor = LoopLagMonitor(NodeMetrics())
    lags = []
    monkeypatch.setattr(monitor, "record", lags.append)

    async def end_sleep_at_once(duration_s):
        if len(lags) == 2:
            raise asyncio.CancelledError

    monkeypatch.setattr(loop_lag.asyncio, "sleep", end_sleep_at_once)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(monitor.run())
    assert lags == [0.0, 800.0]
