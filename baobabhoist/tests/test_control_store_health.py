"""Test how the outcomes of calls to the store are recorded."""

import asyncio

from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.store_health import MonitoredStore
from baobabhoist.store.row_store import RowTransaction
from baobabhoist.testing.memory_row_store import MemoryRowStore


def test_cancelled_call_is_not_counted_as_answered():
    """Guard against metrics that show a healthy store while calls to it are abandoned."""

    async def run():
        metrics = NodeMetrics()
        store = MonitoredStore(MemoryRowStore(commits_hang=True), metrics)
        commit = asyncio.create_task(store.commit(RowTransaction()))
        await asyncio.sleep(0)
        commit.cancel()
        await asyncio.wait([commit])
        text = metrics.exposition()[0].decode()
        assert 'outcome="cancelled"' in text
        assert 'outcome="ok"' not in text

    asyncio.run(run())
