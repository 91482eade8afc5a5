"""Measure the requests of callers at the entry."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram

from baobabhoist.observability.metrics import TEAM_LABELS_MAX, LabelLimiter, Metrics

INF = float("inf")
# The target is 5 ms added at p99, and urgent work starts within 1.5 s.
ANSWER_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.5, 1.5, 5.0, 30.0, 120.0, 600.0, INF)
ANSWERED = "answered"
NO_TEAM = "none"


class EntryMetrics:
    """Add the collectors of the entry to the registry of an instance; times are in seconds."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._teams = LabelLimiter(TEAM_LABELS_MAX)
        registry = metrics.registry
        self._answers = Histogram(
            "baobabhoist_answer_seconds",
            "Time from the arrival of a request's headers to its answer or refusal.",
            registry=registry,
            buckets=ANSWER_BUCKETS_S,
        )
        self._requests = Counter(
            "baobabhoist_requests_total",
            "Requests of callers, by team and result: answered, or the kind of the refusal.",
            registry=registry,
        )

    def finished(self, team: str, result: str, seconds: float) -> None:
        """Observe an answer or a refusal; requests without an accepted key have no team."""
        label = self._teams.label_for(team) if team else NO_TEAM
        self._answers.observe({"team": label}, seconds)
        self._requests.inc({"team": label, "result": result})

    def refused(self, team: str, kind: str) -> None:
        """Count a refusal among those of the instance."""
        self._metrics.count_refusal(team or NO_TEAM, kind)


def open_requests_gauge(metrics: Metrics) -> Gauge:
    """Return the gauge that the operators' API sets each time the metrics are read."""
    return Gauge(
        "baobabhoist_open_requests",
        "Requests of callers that are open.",
        registry=metrics.registry,
    )
