"""Measure the requests of callers at the entry."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram

from baobabhoist.observability.metrics import TEAM_LABELS_MAX, LabelBound, Metrics

INF = float("inf")
# The target is 5 ms added at p99, and urgent work starts within 1.5 s.
LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.5, 1.5, 5.0, 30.0, 120.0, 600.0, INF)
RESULT_ANSWERED = "answered"
NO_TEAM = "none"


class RequestMetrics:
    """Add the collectors of the entry to the registry of an instance; times are in seconds."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._teams = LabelBound(TEAM_LABELS_MAX)
        registry = metrics.registry
        self._answers = Histogram(
            "baobabhoist_answer_seconds",
            "Time from the arrival of a request's headers to its answer or refusal.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._requests = Counter(
            "baobabhoist_requests_total",
            "Requests of callers, by team and result: answered, or the kind of the refusal.",
            registry=registry,
        )

    def observe_result(self, team: str, result: str, seconds: float) -> None:
        """Observe an answer or a refusal; requests without an accepted key have no team."""
        label = self._teams.of(team) if team else NO_TEAM
        self._answers.observe({"team": label}, seconds)
        self._requests.inc({"team": label, "result": result})

    def count_refusal(self, team: str, kind: str) -> None:
        """Count a refusal among those of the instance."""
        self._metrics.refused(team or NO_TEAM, kind)


def register_open_requests_gauge(metrics: Metrics) -> Gauge:
    """Return the gauge that the operators' API sets each time the metrics are read."""
    return Gauge(
        "baobabhoist_open_requests",
        "Requests of callers that are open.",
        registry=metrics.registry,
    )
