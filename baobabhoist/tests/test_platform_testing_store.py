"""Test the faults of the platform's simulated store."""

from __future__ import annotations

from unittest.mock import Mock

from tornado.iostream import IOStream

from baobabhoist.platform.testing.store import StoreState


def test_a_crash_closes_each_open_connection_once() -> None:
    """Guard against a crash that refuses all calls, so that no write loses its response."""
    state, used, unused = StoreState(), Mock(spec=IOStream), Mock(spec=IOStream)
    assert not state.crashes_during(used)
    state.mode = "crash"
    assert not state.crashes_during(unused)
    assert [state.crashes_during(used) for _ in range(2)] == [True, False]
