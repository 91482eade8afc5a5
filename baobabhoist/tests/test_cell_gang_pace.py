"""Test the choice of workers for gangs at a site whose workers differ in speed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.gang_pace import assign_paced_gang
from baobabhoist.cell.model import NO_RESOURCES, WorkerInfo
from baobabhoist.cell.worker_selection import WorkerSlots
from baobabhoist.cell.workers import Lease, WorkerState


def make_slots(slowdowns, places=2):
    slots = []
    for number, slowdown in enumerate(slowdowns):
        info = WorkerInfo(f"w{number}", "svc", "", "", NO_RESOURCES, ("a", f"r{number % 2}"))
        # The costs order the workers against their speed.
        slots.append(WorkerSlots(WorkerState(info, Lease(5_000.0)), places, -slowdown))
    return sorted(slots, key=lambda slot: slot.cost)


def choose(slowdowns, count, same_rack=False):
    slots = make_slots(slowdowns)
    chosen = assign_paced_gang(slots, count, same_rack, lambda w: slowdowns[int(w.worker_id[1:])])
    return [slowdowns[int(worker.worker_id[1:])] for worker in chosen]


def test_one_slow_worker_does_not_hold_a_gang_back():
    """Guard against a gang at the pace of a worker that turned slow, while others are free."""
    assert set(choose([0.7, 0.7, 1.7, 0.7, 5.0], 6)) == {0.7}
    assert max(choose([0.7, 0.7, 1.7, 0.7, 5.0], 7)) == 1.7


def test_a_gang_that_belongs_in_one_rack_is_not_spread_for_a_little_speed():
    """Guard against gangs that lose more between the racks than faster workers gain."""
    # Workers with even numbers are in one rack, those with odd numbers in the other.
    slowdowns = [0.7, 0.71, 0.9, 0.91]
    assert sorted(choose(slowdowns, 4, same_rack=True)) == [0.7, 0.7, 0.9, 0.9]
    assert max(choose([0.7, 0.71, 5.0, 5.1], 4, same_rack=True)) == 0.71


@given(
    st.lists(st.sampled_from([0.7, 0.8, 1.0, 1.25, 1.7, 5.0]), min_size=1, max_size=8),
    st.integers(1, 16),
)
@settings(max_examples=200, deadline=None)
def test_a_gang_that_fits_starts_at_the_best_pace(slowdowns, count):
    """Guard against any mix of speeds in which a gang waits although it fits, or runs slowly."""
    chosen = choose(slowdowns, count)
    assert len(chosen) == (count if 2 * len(slowdowns) >= count else 0)
    if chosen:
        best = sorted(slowdowns * 2)[count - 1]
        assert max(chosen) <= max(best, 1.2 * min(slowdowns))
