"""Test the metrics and the limit on their label values."""

from baobabhoist.observability.metrics import TEAM_LABELS_MAX, LabelLimiter, Metrics


def test_labels_beyond_the_limit_are_counted_as_other():
    """Guard against memory that grows with every name that a caller sends."""
    metrics = Metrics()
    for number in range(TEAM_LABELS_MAX + 50):
        metrics.count_refusal(f"team-{number}", "queue_full")
    text = metrics.exposition()[0].decode()
    lines = [line for line in text.splitlines() if line.startswith("baobabhoist_refusals_total{")]
    assert len(lines) == TEAM_LABELS_MAX + 1
    assert 'baobabhoist_refusals_total{kind="queue_full",team="other"} 50' in lines


def test_known_label_is_kept_when_the_limit_is_reached():
    """Guard against an existing time series that continues under `other`."""
    limiter = LabelLimiter(1)
    assert [limiter.label_for(value) for value in ("a", "b", "a")] == ["a", "other", "a"]


def test_histograms_have_team_and_class_labels_and_registries_are_separate():
    """Guard against time series without labels and a registry shared by two instances."""
    first, second = Metrics(), Metrics()
    first.observe_wait("roster", "batch", 0.2)
    first.observe_service("roster", "batch", 3.0)
    first.observe_decision("roster", "batch", 0.0003)
    first.count_invariant_breach("capacity")
    text = first.exposition()[0].decode()
    for name in ("waiting", "service", "decision"):
        assert f'baobabhoist_{name}_seconds_count{{class="batch",team="roster"}} 1' in text
    assert 'baobabhoist_invariant_breaches_total{invariant="capacity"} 1' in text
    assert "roster" not in second.exposition()[0].decode()
