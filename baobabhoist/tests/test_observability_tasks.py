"""Test that background tasks that fail leave a line with their name and traceback."""

import asyncio
import json
import logging

from baobabhoist.observability.events import JsonFormatter
from baobabhoist.observability.tasks import create_logged_task


async def fail():
    raise ValueError("broken row")


async def wait_for_end(coro, name="", cancels=False):
    task = create_logged_task(coro, name)
    await asyncio.sleep(0)
    if cancels:
        task.cancel()
    await asyncio.wait([task])
    await asyncio.sleep(0)


def test_crash_leaves_one_line_with_name_and_traceback(caplog):
    """Guard against background tasks that end without any sign in the log."""
    asyncio.run(wait_for_end(fail(), "follower of the jobs"))
    asyncio.run(wait_for_end(fail()))
    lines = [json.loads(JsonFormatter().format(record)) for record in caplog.records]
    assert [line["event"] for line in lines] == [1006, 1006]
    assert [line["fields"]["task"] for line in lines] == ["follower of the jobs", "fail"]
    assert "broken row" in lines[0]["message"]
    assert "in fail" in lines[0]["exception"]


def test_cancelled_and_finished_tasks_leave_no_line(caplog):
    """Guard against alarms at each planned stop."""
    caplog.set_level(logging.DEBUG, logger="baobabhoist")
    asyncio.run(wait_for_end(asyncio.sleep(3600), cancels=True))
    asyncio.run(wait_for_end(asyncio.sleep(0)))
    assert caplog.records == []
