"""Test that the schedule of faults depends on the seed alone."""

from baobabhoist.testing.soak_faults import FAULTS, schedule_faults


def test_the_same_seed_gives_the_same_schedule():
    """Guard against a breach that cannot be reproduced from its seed."""
    names = sorted(FAULTS)
    first = schedule_faults(7, 600.0, names)
    assert first == schedule_faults(7, 600.0, names)
    assert first != schedule_faults(8, 600.0, names)


def test_a_long_run_injects_every_fault_and_some_at_once():
    """Guard against a fault that is defined but never drawn."""
    steps = schedule_faults(1, 900.0, sorted(FAULTS))
    assert {step.name for step in steps} == set(FAULTS)
    assert len({step.start_s for step in steps}) < len(steps)
    assert all(step.start_s + step.duration_s < 900.0 for step in steps)
