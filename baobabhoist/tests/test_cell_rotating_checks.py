"""Test which steps a round looks at for advice."""

from hypothesis import given
from hypothesis import strategies as st

from baobabhoist.cell.rotating_checks import MAX_VAIN_CHECKS, RotatingChecks


def positions_looked_at(checks, step_count):
    """Return the steps that a round looks at, all of them in vain."""
    checks.begin_round()
    looked_at = []
    for position in range(step_count):
        if checks.skips(position) or checks.end_if_in_vain(position):
            continue
        looked_at.append(position)
        checks.count_vain()
    return looked_at


@given(st.integers(0, 10 * MAX_VAIN_CHECKS))
def test_every_step_is_looked_at_in_turn_and_the_first_ones_in_every_second_round(step_count):
    """Guard against a step that no round looks at, because those above it are always in vain."""
    checks = RotatingChecks()
    rounds = [positions_looked_at(checks, step_count) for _ in range(20)]
    assert all(len(looked_at) <= MAX_VAIN_CHECKS for looked_at in rounds)
    assert {position for looked_at in rounds for position in looked_at} == set(range(step_count))
    head = list(range(min(step_count, MAX_VAIN_CHECKS)))
    assert all(looked_at == head for looked_at in rounds[::2])
