"""Test the measure of the time for which jobs that could run are idle."""

from baobabhoist.benchmarks.idle_spans import IdleSpan, IdleSpanMeter


def test_only_the_time_on_end_counts_with_the_use_meanwhile():
    """Guard against a span that goes on over a run, or takes its use from another span."""
    meter = IdleSpanMeter()
    meter.record(0.0, ["a"], 0.9)
    meter.record(250.0, [], 0.9)
    meter.record(500.0, ["a", "b"], 0.25)
    meter.record(750.0, ["a"], 0.75)
    assert meter.longest == IdleSpan("a", 500.0, 250.0, 0.5)
    meter.record(1_000.0, ["b"], 0.1)
    assert meter.longest == IdleSpan("a", 500.0, 250.0, 0.5)


def test_a_replay_without_idle_jobs_has_no_span():
    """Guard against a measure that needs an idle job."""
    meter = IdleSpanMeter()
    meter.record(0.0, [], 0.0)
    assert meter.longest is None
