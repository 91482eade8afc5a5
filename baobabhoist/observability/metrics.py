"""Define the metrics of one instance and limit the number of their label values."""

from __future__ import annotations

from typing import Any

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

OVERFLOW_LABEL = "other"
# The design target is 110 teams; more labels indicate that a caller sends wrong names.
TEAM_LABELS_MAX = 200
CLASS_LABELS_MAX = 16
SHARD_LABELS_MAX = 512
INVARIANT_LABELS_MAX = 64

INF = float("inf")
WAITING_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 1.5, 5.0, 30.0, 120.0, 600.0, INF)
SERVICE_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 2.0, 10.0, 60.0, 600.0, 3600.0, INF)
# The target for a placement decision is 2 ms at p99.
DECISION_BUCKETS_S = (0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.02, 0.1, INF)


@attrs.define
class LabelLimiter:
    """Map new label values to `other` once `max_values` are known, to limit cardinality."""

    max_values: int
    values: set[str] = attrs.Factory(set)

    def label_for(self, value: str) -> str:
        """Return the value itself, or `other` if it is new and the limit is reached."""
        if value in self.values:
            return value
        if len(self.values) >= self.max_values:
            return OVERFLOW_LABEL
        self.values.add(value)
        return value


class Metrics:
    """Record the metrics of one instance; all durations are in seconds."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._teams = LabelLimiter(TEAM_LABELS_MAX)
        self._classes = LabelLimiter(CLASS_LABELS_MAX)
        self._shards = LabelLimiter(SHARD_LABELS_MAX)
        self._invariants = LabelLimiter(INVARIANT_LABELS_MAX)
        self._wait = self._histogram(
            "waiting_seconds", "Time from submission to start.", WAITING_BUCKETS_S
        )
        self._service = self._histogram(
            "service_seconds", "Time from start to end of a task.", SERVICE_BUCKETS_S
        )
        self._decision = self._histogram(
            "decision_seconds", "Processor time of one placement decision.", DECISION_BUCKETS_S
        )
        self._packing = self._gauge(
            "packing_ratio", "Fraction of a shard's largest resource that is bound."
        )
        self._share = self._gauge("share_ratio", "Dominant share that a team uses of a shard.")
        self._escrow = self._gauge("escrow_places", "Places of a team that a shard holds.")
        self._owned_shards = self._gauge("owned_shards", "Shards this instance owns.")
        self._records_revision = self._gauge(
            "records_revision", "Revision of the records in force."
        )
        self._breaches = self._counter(
            "invariant_breaches_total", "Steps refused because an invariant would break."
        )
        self._traffic = self._gauge(
            "link_bytes", "Bytes of messages on links to peers and workers since the start."
        )
        self._refusals = self._counter("refusals_total", "Work refused, by team and kind.")
        self._refused_bodies = self._counter(
            "refused_bodies_total", "Bodies of requests that were not kept, by reason."
        )
        self._closed_connections = self._counter(
            "closed_connections_total", "Connections closed for a limit, by reason."
        )

    def observe_wait(self, team: str, kind: str, seconds: float) -> None:
        """Observe how long a task waited for its start."""
        self._wait.observe(self._team_and_class_labels(team, kind), seconds)

    def observe_service(self, team: str, kind: str, seconds: float) -> None:
        """Observe how long a task ran."""
        self._service.observe(self._team_and_class_labels(team, kind), seconds)

    def observe_decision(self, team: str, kind: str, seconds: float) -> None:
        """Observe how long a placement decision took."""
        self._decision.observe(self._team_and_class_labels(team, kind), seconds)

    def set_packing_ratio(self, shard: str, ratio: float) -> None:
        """Set the allocated fraction of a shard's most used resource, from 0 to 1."""
        self._packing.set({"shard": self._shards.label_for(shard)}, ratio)

    def set_share_ratio(self, team: str, shard: str, ratio: float) -> None:
        """Set a team's dominant share of a shard, from 0 to 1."""
        self._share.set(self._team_and_shard_labels(team, shard), ratio)

    def set_escrow_places(self, team: str, shard: str, places: int) -> None:
        """Set the number of places that a shard holds for a team."""
        self._escrow.set(self._team_and_shard_labels(team, shard), places)

    def set_owned_shards(self, count: int) -> None:
        """Set the number of shards that this instance owns."""
        self._owned_shards.set({}, count)

    def set_records_revision(self, revision: int) -> None:
        """Set the revision of the records in force."""
        self._records_revision.set({}, revision)

    def set_link_traffic(self, sent_bytes: int, received_bytes: int) -> None:
        """Set the bytes of messages sent and received since the start of the process."""
        self._traffic.set({"direction": "sent"}, sent_bytes)
        self._traffic.set({"direction": "received"}, received_bytes)

    def count_invariant_breach(self, invariant: str) -> None:
        """Count a step that was refused because it would violate an invariant."""
        self._breaches.inc({"invariant": self._invariants.label_for(invariant)})

    def count_refusal(self, team: str, kind: str) -> None:
        """Count a refusal by team and kind."""
        self._refusals.inc({"team": self._teams.label_for(team), "kind": kind})

    def count_refused_body(self, reason: str) -> None:
        """Count a body of a request that was not kept."""
        self._refused_bodies.inc({"reason": reason})

    def count_closed_connection(self, reason: str) -> None:
        """Count a connection that was closed for a limit."""
        self._closed_connections.inc({"reason": reason})

    def exposition(self, accept: list[str] | None = None) -> tuple[bytes, dict[str, str]]:
        """Return the metrics and the HTTP headers for a format in `accept`, by default text."""
        content, headers = render(self.registry, accept or ["text/plain"])
        return content, dict(headers)

    def _team_and_class_labels(self, team: str, kind: str) -> dict[str, str]:
        return {"team": self._teams.label_for(team), "class": self._classes.label_for(kind)}

    def _team_and_shard_labels(self, team: str, shard: str) -> dict[str, str]:
        return {"team": self._teams.label_for(team), "shard": self._shards.label_for(shard)}

    def _histogram(self, name: str, help_text: str, buckets: tuple[float, ...]) -> Any:
        return Histogram(f"baobabhoist_{name}", help_text, registry=self.registry, buckets=buckets)

    def _gauge(self, name: str, help_text: str) -> Any:
        return Gauge(f"baobabhoist_{name}", help_text, registry=self.registry)

    def _counter(self, name: str, help_text: str) -> Any:
        return Counter(f"baobabhoist_{name}", help_text, registry=self.registry)
