"""Estimate the speed of workers from the actual and declared durations of tasks.

Each finished task gives an observation log(actual / declared) = bias of its queue + slowdown of
its worker + noise. The declared durations of some queues are less accurate than those of others,
so the noise of each queue is estimated too, and observations from accurate queues weigh more.
"""

from __future__ import annotations

import math
from collections.abc import Container

import attrs

# Expected deviation of a worker from the mean before any task has run on it.
PRIOR_STDDEV = 0.45
INITIAL_NOISE_STDDEV = 0.6
MIN_NOISE_STDDEV = 0.15
# A worker's speed may change, so at most this many observations count and older ones fade.
MAX_WORKER_OBSERVATIONS = 24.0
MAX_QUEUE_OBSERVATIONS = 60.0
# An observation this many standard deviations off is a surprise. This many in a row, all in the
# same direction, show that the speed of the worker has changed.
SURPRISE_STDDEVS = 2.0
SURPRISES_BEFORE_RESET = 2
# A squared error counts at most as this multiple of the current noise.
MAX_SQUARED_ERROR_FACTOR = 4.0
# Observations are clipped to this range, so that a single outlier does not distort an estimate.
MAX_LOG_RATIO = 2.5
# Limits of stored estimates, with room beyond what clipped observations lead to.
MAX_ESTIMATE = 4.0 * MAX_LOG_RATIO
MAX_PRECISION = 1e6


@attrs.define
class WorkerEstimate:
    """Hold the estimated log slowdown of a worker and its precision (inverse variance)."""

    mean: float = 0.0
    precision: float = 1.0 / PRIOR_STDDEV**2
    # Consecutive surprises in one direction; negative if the worker was faster than expected.
    surprises: int = 0


@attrs.define
class QueueEstimate:
    """Hold the mean log error of a queue's declared durations and its variance."""

    bias: float = 0.0
    noise: float = INITIAL_NOISE_STDDEV**2
    seen: float = 0.0


@attrs.define
class SpeedEstimates:
    """Hold the estimates of all workers and queues."""

    workers: dict[str, WorkerEstimate] = attrs.Factory(dict)
    queues: dict[str, QueueEstimate] = attrs.Factory(dict)

    def check(self) -> None:
        """Raise ValueError if a value is beyond what observations can lead to."""
        for worker in self.workers.values():
            if not (abs(worker.mean) <= MAX_ESTIMATE and 0 < worker.precision <= MAX_PRECISION):
                raise ValueError(f"not an estimate of a worker: {worker}")
        for queue in self.queues.values():
            if not (abs(queue.bias) <= MAX_ESTIMATE and 0 < queue.noise <= MAX_ESTIMATE**2):
                raise ValueError(f"not an estimate of a queue: {queue}")
            if not 0 <= queue.seen <= MAX_QUEUE_OBSERVATIONS:
                raise ValueError(f"not an estimate of a queue: {queue}")

    def add(self, other: SpeedEstimates) -> None:
        """Add the estimates of other workers and queues."""
        self.workers |= other.workers
        self.queues |= other.queues

    def forget_workers_except(self, worker_ids: Container[str]) -> None:
        """Drop the estimates of workers that are gone."""
        self.workers = {w: e for w, e in self.workers.items() if w in worker_ids}

    def forget_queues_except(self, queues: Container[str]) -> None:
        """Drop the estimates of queues that are gone."""
        self.queues = {q: e for q, e in self.queues.items() if q in queues}

    def worker_slowdown(self, worker_id: str) -> float:
        """Return how many times longer a task takes on a worker than on the mean worker."""
        estimate = self.workers.get(worker_id)
        return math.exp(estimate.mean) if estimate is not None else 1.0

    def duration_ratio(self, queue: str) -> float:
        """Return the ratio of actual to declared task duration in a queue on the mean worker."""
        estimate = self.queues.get(queue)
        return math.exp(estimate.bias) if estimate is not None else 1.0

    def observe(self, worker_id: str, queue: str, took_ms: float, declared_ms: float) -> None:
        """Update the estimates from a task that a worker ran from start to end."""
        if took_ms <= 0 or declared_ms <= 0:
            return
        log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(took_ms / declared_ms)))
        worker_estimate = self.workers.setdefault(worker_id, WorkerEstimate())
        queue_estimate = self.queues.setdefault(queue, QueueEstimate())
        self._update_queue(queue_estimate, log_ratio - worker_estimate.mean)
        self._update_worker(worker_estimate, log_ratio - queue_estimate.bias, queue_estimate.noise)

    def reset_worker(self, worker_id: str, slowdown: float) -> None:
        """Replace the estimate of a worker whose speed has changed."""
        log_slowdown = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(slowdown)))
        self.workers[worker_id] = WorkerEstimate(log_slowdown)

    def _update_queue(self, estimate: QueueEstimate, observed: float) -> None:
        estimate.seen = min(MAX_QUEUE_OBSERVATIONS, estimate.seen + 1.0)
        rate = 1.0 / estimate.seen
        error = observed - estimate.bias
        estimate.bias += rate * error
        if estimate.seen > 1.0:
            # Clipped, so that a worker that has become slow does not inflate the queue's noise.
            squared_error = min(error * error, MAX_SQUARED_ERROR_FACTOR * estimate.noise)
            estimate.noise += rate * (squared_error - estimate.noise)
            estimate.noise = max(MIN_NOISE_STDDEV**2, estimate.noise)

    def _update_worker(self, estimate: WorkerEstimate, observed: float, noise: float) -> None:
        precision = 1.0 / noise
        error = observed - estimate.mean
        if abs(error) < SURPRISE_STDDEVS * math.sqrt(noise):
            estimate.surprises = 0
        else:
            is_same_direction = estimate.surprises * error > 0
            estimate.surprises = (estimate.surprises if is_same_direction else 0) + (
                1 if error > 0 else -1
            )
        if abs(estimate.surprises) >= SURPRISES_BEFORE_RESET:
            # The speed has changed: reduce the weight of earlier observations to the prior's.
            estimate.precision, estimate.surprises = 1.0 / PRIOR_STDDEV**2, 0
        estimate.precision = min(
            estimate.precision + precision, MAX_WORKER_OBSERVATIONS * precision
        )
        estimate.mean += precision / estimate.precision * error
