"""Test that the schedule of faults depends only on the seed."""

from baobabhoist.testing.soak_faults import FAULTS, schedule_faults


def test_same_seed_gives_the_same_schedule():
    """Guard against breaches that cannot be reproduced from their seed."""
    names = sorted(FAULTS)
    schedule = schedule_faults(7, 600.0, names)
    assert schedule == schedule_faults(7, 600.0, names)
    assert schedule != schedule_faults(8, 600.0, names)


def test_long_run_injects_every_fault_and_some_concurrently():
    """Guard against a fault that is defined but never scheduled."""
    schedule = schedule_faults(1, 900.0, sorted(FAULTS))
    assert {fault.name for fault in schedule} == set(FAULTS)
    assert len({fault.start_s for fault in schedule}) < len(schedule)
    assert all(fault.start_s + fault.duration_s < 900.0 for fault in schedule)
