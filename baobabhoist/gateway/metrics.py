"""Measure the requests that callers send to this instance."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram

from baobabhoist.observability.metrics import TEAM_LABELS_MAX, LabelLimiter, Metrics

INF = float("inf")
# The objectives are at most 5 ms of added latency at p99 and a start of urgent work within 1.5 s.
LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.5, 1.5, 5.0, 30.0, 120.0, 600.0, INF)
RESULT_ANSWERED = "answered"
NO_TEAM = "none"


class RequestMetrics:
    """Record the results and latencies of requests; times are in seconds."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._teams = LabelLimiter(TEAM_LABELS_MAX)
        registry = metrics.registry
        self._latency_s = Histogram(
            "baobabhoist_answer_seconds",
            "Time from the arrival of a request's headers to its answer or refusal.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._results = Counter(
            "baobabhoist_requests_total",
            "Requests of callers, by team and result: answered, or the kind of the refusal.",
            registry=registry,
        )

    def observe_result(self, team: str, result: str, seconds: float) -> None:
        """Record a response or a refusal; requests without an accepted key have no team."""
        label = self._teams.label_for(team) if team else NO_TEAM
        self._latency_s.observe({"team": label}, seconds)
        self._results.inc({"team": label, "result": result})

    def count_refusal(self, team: str, kind: str) -> None:
        """Count a refusal in the metrics of the instance."""
        self._metrics.count_refusal(team or NO_TEAM, kind)


def register_open_requests_gauge(metrics: Metrics) -> Gauge:
    """Return the gauge that /metrics sets each time it is scraped."""
    return Gauge(
        "baobabhoist_open_requests",
        "Requests of callers that are open.",
        registry=metrics.registry,
    )
