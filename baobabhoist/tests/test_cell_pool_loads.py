"""Test how long a pool takes for the work that waits for it."""

from hypothesis import given
from hypothesis import strategies as st

from baobabhoist.cell.pool_loads import GroupTime, _shortest_ms


@given(
    st.lists(st.tuples(st.floats(1.0, 1e5), st.floats(0.1, 1.0)), max_size=8), st.floats(0.0, 1e5)
)
def test_wait_for_work_that_limits_hold_back_is_the_shortest_that_is_enough(groups, free_ms):
    """Guard against waits that count more work than the limits of its teams let run."""
    times = [GroupTime(alone_ms / part, alone_ms) for alone_ms, part in groups]
    times.append(GroupTime(0.0, free_ms))

    def done_within(wait_ms):
        return sum(t.alone_ms * min(1.0, wait_ms / max(t.least_ms, 1e-9)) for t in times)

    wait_ms = _shortest_ms(times)
    assert done_within(wait_ms) <= wait_ms * 1.001 + 0.001
    shorter_ms = wait_ms * 0.99
    assert done_within(shorter_ms) >= shorter_ms * 0.999 - 0.001
