"""Test the reading of the membership list."""

import asyncio

import pytest

from baobabhoist.errors import PlatformError
from baobabhoist.store.membership import MembershipList
from baobabhoist.store.table import call_with_timeout


class Source:
    def __init__(self, **states):
        self.states = states
        self.down = False

    async def members(self):
        if self.down:
            raise PlatformError("down")
        entries = [{"name": name, "state": state} for name, state in self.states.items()]
        return [*entries, {"state": "live"}, {"name": "odd", "state": "live", "port": "x"}]


async def ignore(members):
    return None


def test_the_last_reading_stays_while_the_platform_is_down():
    """Guard against a leaving worker that gets work again because the list is not read."""

    async def body():
        source = Source(a="live", b="leaving", c="gone")
        members = MembershipList(source, ignore)
        await members.refresh()
        source.down = True
        with pytest.raises(PlatformError):
            await members.refresh()
        return members.not_live(), members.gone()

    assert asyncio.run(body()) == ({"b", "c"}, {"c"})


def test_a_member_counts_as_gone_since_the_first_reading_that_showed_it():
    """Guard against an instance that is forgotten because of one reading, or never."""

    async def body():
        now = [100.0]
        source = Source(a="gone")
        members = MembershipList(source, ignore, lambda: now[0])
        await members.refresh()
        now[0] = 131.0
        await members.refresh()
        assert members.gone_longer_than(30.0) == {"a"}
        source.states["a"] = "live"
        await members.refresh()
        source.states["a"] = "gone"
        await members.refresh()
        assert members.gone_longer_than(30.0) == set()

    asyncio.run(body())


def test_a_call_that_takes_too_long_leaves_no_unread_error():
    """Guard against errors in the log for calls that nobody waits for any more."""

    async def slow():
        await asyncio.sleep(0.02)
        raise PlatformError("late")

    async def body():
        problems = []
        asyncio.get_running_loop().set_exception_handler(lambda _, info: problems.append(info))
        with pytest.raises(TimeoutError):
            await call_with_timeout(0.001, slow())
        await asyncio.sleep(0.05)
        return problems

    assert asyncio.run(body()) == []
