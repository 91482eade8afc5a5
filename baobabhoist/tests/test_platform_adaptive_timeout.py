"""Test the adaptive timeout of requests to the store."""

from baobabhoist.platform.adaptive_timeout import MAX_TIMEOUT_S, MIN_TIMEOUT_S, AdaptiveTimeout


def test_an_outage_of_a_fast_store_is_detected_early():
    """Guard against callers that wait a second for a store that answers in milliseconds."""
    timeout = AdaptiveTimeout()
    assert timeout.current_s() == MAX_TIMEOUT_S
    for _ in range(100):
        timeout.record_response(0.01)
    assert timeout.current_s() == MIN_TIMEOUT_S


def test_a_store_that_becomes_slow_is_not_flooded_with_retries():
    """Guard against repeated writes that overload a slow store.

    Found in run "wm grown trouble-2".
    """
    timeout = AdaptiveTimeout()
    timeout.record_response(0.01)
    timeout.record_timeout()
    assert timeout.current_s() > 2.5 * MIN_TIMEOUT_S
    timeout.record_response(0.3)
    assert timeout.current_s() > 0.85


def test_the_timeout_shrinks_again_when_the_store_has_recovered():
    """Guard against one slow period that makes every later timeout last a second."""
    timeout = AdaptiveTimeout()
    timeout.record_response(0.4)
    for _ in range(120):
        timeout.record_response(0.01)
    assert timeout.current_s() == MIN_TIMEOUT_S
