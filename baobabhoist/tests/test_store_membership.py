"""Test the polling of the membership list and the timeout of platform calls."""

import asyncio

import pytest

from baobabhoist.errors import PlatformError
from baobabhoist.store.membership import MembershipList
from baobabhoist.store.table import call_with_timeout


class FakeSource:
    def __init__(self, **states):
        self.states = states
        self.down = False

    async def members(self):
        if self.down:
            raise PlatformError("down")
        entries = [{"name": name, "state": state} for name, state in self.states.items()]
        return [*entries, {"state": "live"}, {"name": "odd", "state": "live", "port": "x"}]


async def ignore_refresh(members):
    return None


def test_the_last_result_stays_while_the_platform_is_down():
    """Guard against a leaving worker that gets tasks again because a poll failed."""

    async def scenario():
        source = FakeSource(a="live", b="leaving", c="gone")
        members = MembershipList(source, ignore_refresh)
        await members.refresh()
        source.down = True
        with pytest.raises(PlatformError):
            await members.refresh()
        return members.not_live(), members.gone()

    assert asyncio.run(scenario()) == ({"b", "c"}, {"c"})


def test_a_member_counts_as_gone_since_the_first_poll_that_showed_it():
    """Guard against an instance that is forgotten after a single poll, or never."""

    async def scenario():
        now = [100.0]
        source = FakeSource(a="gone")
        members = MembershipList(source, ignore_refresh, lambda: now[0])
        await members.refresh()
        now[0] = 131.0
        await members.refresh()
        assert members.gone_longer_than(30.0) == {"a"}
        source.states["a"] = "live"
        await members.refresh()
        source.states["a"] = "gone"
        await members.refresh()
        assert members.gone_longer_than(30.0) == set()

    asyncio.run(scenario())


def test_a_call_that_times_out_leaves_no_unhandled_error():
    """Guard against logged errors of calls whose caller has stopped waiting."""

    async def slow():
        await asyncio.sleep(0.02)
        raise PlatformError("late")

    async def scenario():
        unhandled = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: unhandled.append(context)
        )
        with pytest.raises(TimeoutError):
            await call_with_timeout(0.001, slow())
        await asyncio.sleep(0.05)
        return unhandled

    assert asyncio.run(scenario()) == []
