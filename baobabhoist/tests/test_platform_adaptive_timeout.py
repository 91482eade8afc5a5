"""Test how long the store's answers are awaited."""

from baobabhoist.platform.adaptive_timeout import MAX_TIMEOUT_S, MIN_TIMEOUT_S, AdaptiveTimeout


def test_a_fast_store_is_found_silent_soon():
    """Guard against callers that wait a second for a store which answers in milliseconds."""
    timeout = AdaptiveTimeout()
    assert timeout.current_s() == MAX_TIMEOUT_S
    for _ in range(100):
        timeout.record_response(0.01)
    assert timeout.current_s() == MIN_TIMEOUT_S


def test_a_store_that_turns_slow_is_not_asked_again_and_again():
    """Guard against repeated writes that overload a slow store (wm grown trouble-2)."""
    timeout = AdaptiveTimeout()
    timeout.record_response(0.01)
    timeout.record_timeout()
    assert timeout.current_s() > 2.5 * MIN_TIMEOUT_S
    timeout.record_response(0.3)
    assert timeout.current_s() > 0.85


def test_the_wait_shrinks_again_when_the_store_has_recovered():
    """Guard against a slow spell that makes every later silence cost a second."""
    timeout = AdaptiveTimeout()
    timeout.record_response(0.4)
    for _ in range(120):
        timeout.record_response(0.01)
    assert timeout.current_s() == MIN_TIMEOUT_S
