"""Test how a table is followed through store outages and lost history."""

import asyncio

import pytest

from baobabhoist.control import table_follower as table_follower_module
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.table_follower import TableFollower
from baobabhoist.store.row_store import RowKey, RowTransaction, StoreUnansweredError
from baobabhoist.testing.memory_row_store import MemoryRowStore

KEY = RowKey("t", "", "k")


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(table_follower_module, "RETRY_INTERVAL_S", 0.0)


def put(store, value):
    store.apply(RowTransaction({}, {KEY: value}))


async def run_event_loop(times=30):
    for _ in range(times):
        await asyncio.sleep(0)


def run_with_follower(test, **options):
    """Run a test next to a follower, with the store, the rows seen and the follower."""

    async def run():
        store, seen = MemoryRowStore(), []

        def record(changed, is_snapshot):
            seen.extend((row.value, is_snapshot) for row in changed)

        follower = TableFollower(store, "t", record, StoreClock(), **options)
        task = asyncio.create_task(follower.run())
        await run_event_loop()
        await test(store, seen, follower)
        task.cancel()

    asyncio.run(run())


def test_changes_follow_the_snapshot():
    """Guard against a change that is in neither the snapshot nor the polled changes."""

    async def test(store, seen, follower):
        put(store, b"1")
        await run_event_loop()
        assert seen == [(b"1", False)]

    run_with_follower(test)


class SlowLinkStore(MemoryRowStore):
    """Answer only one read at a time, and fail the others."""

    in_flight = 0

    async def read(self, table, part="", *, start="", end=""):
        self.in_flight += 1
        is_shared = self.in_flight > 1
        await asyncio.sleep(0)
        self.in_flight -= 1
        if is_shared:
            raise StoreUnansweredError("no answer within the timeout")
        return await super().read(table, part, start=start, end=end)


def test_snapshot_of_many_partitions_is_read_over_a_slow_link():
    """Guard against a follower that reads a large table again and again and blocks the link."""

    async def run():
        store, seen = SlowLinkStore(), []
        keys = [RowKey("t", part, "k") for part in "abcd"]
        store.apply(RowTransaction({}, dict.fromkeys(keys, b"1")))
        follower = TableFollower(
            store,
            "t",
            lambda rows, is_snapshot: seen.extend(row.key for row in rows),
            StoreClock(),
            partitions="abcd",
            max_reads=1,
        )
        task = asyncio.create_task(follower.run())
        await run_event_loop()
        task.cancel()
        assert seen == keys

    asyncio.run(run())


@pytest.mark.parametrize("failed_part", "ab")
def test_interrupted_snapshot_is_continued(failed_part):
    """Guard against a snapshot that never completes, or that misses a change while it is read."""

    class FlakyStore(MemoryRowStore):
        reads = []

        async def read(self, table, part="", *, start="", end=""):
            self.reads.append(part)
            if self.reads.count(part) == 1 and part == failed_part:
                raise StoreUnansweredError("no answer")
            return await super().read(table, part, start=start, end=end)

    async def run():
        store, seen = FlakyStore(), []
        keys = [RowKey("t", part, "k") for part in "ab"]
        store.apply(RowTransaction({}, dict.fromkeys(keys, b"1")))
        follower = TableFollower(
            store,
            "t",
            lambda rows, is_snapshot: seen.extend(row.value for row in rows),
            StoreClock(),
            partitions="ab",
        )
        with pytest.raises(StoreUnansweredError):
            await follower.load()
        store.apply(RowTransaction({}, dict.fromkeys(keys, b"2")))
        task = asyncio.create_task(follower.run())
        await run_event_loop()
        task.cancel()
        assert sorted(store.reads) == sorted("ab" + failed_part)
        assert seen.count(b"2") >= 2

    asyncio.run(run())


def test_lost_history_leads_to_a_new_snapshot():
    """Guard against missing a change whose history the store has dropped."""

    async def test(store, seen, follower):
        put(store, b"1")
        store.history_start_version = store.version + 1
        store.history.clear()
        await run_event_loop()
        assert (b"1", True) in seen

    run_with_follower(test)


def test_following_continues_after_an_outage():
    """Guard against a follower that stops at the first failed call."""

    async def test(store, seen, follower):
        store.is_down = True
        await run_event_loop()
        confirmed = follower.confirmed_ms
        put(store, b"2")
        await run_event_loop()
        assert seen == []
        assert follower.confirmed_ms == confirmed
        store.is_down = False
        await run_event_loop()
        assert seen == [(b"2", False)]

    run_with_follower(test)


@pytest.mark.parametrize(
    ("is_changed", "waits", "current_ms"),
    [
        pytest.param(False, True, 1_000.0, id="nothing changed in the whole wait"),
        pytest.param(True, True, 0.0, id="changed"),
        pytest.param(False, False, 0.0, id="answered before the wait was over"),
    ],
)
def test_rows_are_current_at_the_end_of_a_wait_without_changes(
    monkeypatch, is_changed, waits, current_ms
):
    """Guard against rows that count as older than they are, or as newer."""
    now, poll_changes = [0.0], MemoryRowStore.poll_changes
    monkeypatch.setattr(table_follower_module, "monotonic_ms", lambda: now[0])
    current = []

    async def poll(store, table, after_version, wait_ms, max_bytes=0):
        if now[0]:
            await asyncio.Event().wait()
        if is_changed:
            put(store, b"1")
        now[0] = 1.2 * wait_ms if waits else 1.0
        return await poll_changes(store, table, after_version, wait_ms, max_bytes)

    monkeypatch.setattr(MemoryRowStore, "poll_changes", poll)

    async def run():
        follower = TableFollower(
            MemoryRowStore(), "t", lambda *_: None, StoreClock(), on_current=current.append
        )
        task = asyncio.create_task(follower.run())
        await run_event_loop()
        task.cancel()

    asyncio.run(run())
    assert current == [0.0, current_ms]


def test_versions_that_were_missed_are_not_read_one_by_one():
    """Guard against a backlog that grows with each change until no link carries it in time."""

    async def test(store, seen, follower):
        put(store, b"0" * 1_000_000)
        await run_event_loop()
        store.is_down = True
        await run_event_loop()
        seen.clear()
        newest = b"9" * 1_000_000
        for value in (*(digit * 1_000_000 for digit in (b"1", b"2", b"3")), newest):
            put(store, value)
        store.is_down = False
        await run_event_loop()
        assert seen == [(newest, True)]

    run_with_follower(test, is_rewritten=True)


def test_rows_that_took_long_to_arrive_are_confirmed_at_once(monkeypatch):
    """Guard against calls that are refused for a poll's wait after a new configuration came."""
    now, waits, poll_changes = [0.0], [], MemoryRowStore.poll_changes
    monkeypatch.setattr(table_follower_module, "monotonic_ms", lambda: now[0])

    async def poll(store, table, after_version, wait_ms, max_bytes=0):
        waits.append(wait_ms)
        if len(waits) == 1:
            put(store, b"1")
            now[0] += 2_000.0
        if len(waits) == 3:
            await asyncio.Event().wait()
        return await poll_changes(store, table, after_version, wait_ms, max_bytes)

    monkeypatch.setattr(MemoryRowStore, "poll_changes", poll)

    async def test(store, seen, follower):
        assert waits == [table_follower_module.POLL_WAIT_MS, 0, table_follower_module.POLL_WAIT_MS]

    run_with_follower(test, on_current=lambda current_ms: None)


def test_table_that_can_never_be_read_is_logged(caplog, monkeypatch):
    """Guard against an instance that starts, never gets a configuration and doesn't say why."""
    caplog.set_level("WARNING")
    now = [0.0]
    monkeypatch.setattr(table_follower_module, "monotonic_ms", lambda: now[0])

    async def run():
        store = MemoryRowStore(is_down=True)
        follower = TableFollower(store, "t", lambda *_: None, StoreClock())
        task = asyncio.create_task(follower.run())
        await run_event_loop()
        assert caplog.text.count("cannot follow table t") == 1
        now[0] += table_follower_module.LOG_INTERVAL_MS
        await run_event_loop()
        task.cancel()
        assert caplog.text.count("cannot follow table t") == 2

    asyncio.run(run())


def test_poll_after_a_failure_waits_for_no_change(monkeypatch):
    """Guard against a poll lost in an outage that delays the news by a long poll's timeout."""
    waits, poll_changes = [], MemoryRowStore.poll_changes

    async def record_wait(store, table, after_version, wait_ms, max_bytes=0):
        await asyncio.sleep(0)
        waits.append((store.is_down, wait_ms))
        return await poll_changes(store, table, after_version, wait_ms, max_bytes)

    monkeypatch.setattr(MemoryRowStore, "poll_changes", record_wait)
    long_wait_ms = table_follower_module.POLL_WAIT_MS

    async def test(store, seen, follower):
        waits.clear()
        store.is_down = True
        await run_event_loop()
        store.is_down = False
        await run_event_loop()
        assert (True, long_wait_ms) not in waits[1:]
        recovered = waits.index((False, 0))
        assert waits[recovered + 1] == (False, long_wait_ms)

    run_with_follower(test)


def test_known_rows_are_confirmed_without_waiting_for_a_change(monkeypatch):
    """Guard against a new owner that starts its first tasks one long poll late."""
    waits, poll_changes = [], MemoryRowStore.poll_changes

    async def record_wait(store, table, after_version, wait_ms, max_bytes=0):
        waits.append(wait_ms)
        return await poll_changes(store, table, after_version, wait_ms, max_bytes)

    monkeypatch.setattr(MemoryRowStore, "poll_changes", record_wait)

    async def run():
        follower = TableFollower(
            MemoryRowStore(), "t", lambda *_: None, StoreClock(), known_version=1
        )
        task = asyncio.create_task(follower.run())
        await run_event_loop()
        task.cancel()
        assert follower.is_confirmed

    asyncio.run(run())
    assert waits[:2] == [0, table_follower_module.POLL_WAIT_MS]
