"""Test how long the store's answers are awaited."""

from baobabhoist.platform.adaptive_timeout import LONGEST_S, SHORTEST_S, Patience


def test_a_fast_store_is_found_silent_soon():
    """Guard against callers that wait a second for a store which answers in milliseconds."""
    patience = Patience()
    assert patience.timeout_s() == LONGEST_S
    for _ in range(100):
        patience.answered(0.01)
    assert patience.timeout_s() == SHORTEST_S


def test_a_store_that_turns_slow_is_not_asked_again_and_again():
    """Guard against repeated writes that overload a slow store (wm grown trouble-2)."""
    patience = Patience()
    patience.answered(0.01)
    patience.timed_out()
    assert patience.timeout_s() > 2.5 * SHORTEST_S
    patience.answered(0.3)
    assert patience.timeout_s() > 0.85


def test_the_wait_shrinks_again_when_the_store_has_recovered():
    """Guard against a slow spell that makes every later silence cost a second."""
    patience = Patience()
    patience.answered(0.4)
    for _ in range(120):
        patience.answered(0.01)
    assert patience.timeout_s() == SHORTEST_S
