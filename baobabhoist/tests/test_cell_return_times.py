"""Test when refused callers return."""

from baobabhoist.cell.return_times import MAX_ENTRIES, MAX_RETRY_AFTER_S, ReturnTimes

KEY = ("team", 1)
URGENT_KEY = ("team", 0)


def test_refused_callers_return_one_after_the_other():
    """Guard against callers that all return at the same moment, most of them in vain."""
    times = ReturnTimes()
    retries = [times.assign(KEY, 500.0, 1_500.0, 0.0) for _ in range(4)]
    assert retries == [1.0, 2.0, 4.0, 5.0]


def test_callers_of_an_urgent_queue_do_not_queue_behind_others():
    """Guard against urgent callers that return after patient ones."""
    times = ReturnTimes()
    for _ in range(5):
        times.assign(KEY, 4_000.0, 2_000.0, 0.0)
    assert times.assign(URGENT_KEY, 0.0, 100.0, 0.0) == 1.0


def test_return_times_are_bounded_and_forgotten():
    """Guard against callers sent away for minutes, also long after the surge has ended."""
    times = ReturnTimes()
    assert times.assign(KEY, 90_000.0, 1e9, 0.0) == MAX_RETRY_AFTER_S
    assert times.assign(KEY, 500.0, 100.0, 0.0) == MAX_RETRY_AFTER_S
    for number in range(2 * MAX_ENTRIES):
        times.assign((str(number), 1), 0.0, 1.0, 1e6 + 10.0 * number)
    assert len(times._next_ms) <= MAX_ENTRIES


def test_a_later_caller_does_not_wait_for_a_past_return_time():
    """Guard against a return time that was given out long ago and delays callers now."""
    times = ReturnTimes()
    times.assign(KEY, 0.0, 500.0, 0.0)
    assert times.assign(KEY, 0.0, 500.0, 60_000.0) == 1.0
