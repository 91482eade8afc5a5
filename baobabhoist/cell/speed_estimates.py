"""Learn how fast workers are from how long tasks take against their declared time.

Each finished task gives log(time / declared time) = bias of its queue + slowness of its worker +
noise. Queues differ in how far their declared times are off, so the noise of each queue is learned
too, and a queue with exact times counts for more.
"""

from __future__ import annotations

import math

import attrs

# Before any task has run on it a worker differs from the mean by about this much.
PRIOR_STDDEV = 0.45
INITIAL_NOISE_STDDEV = 0.6
MIN_NOISE_STDDEV = 0.15
# A worker's speed may change, so old observations fade: this many count at most.
MAX_WORKER_OBSERVATIONS = 24.0
MAX_QUEUE_OBSERVATIONS = 60.0
# An observation this many deviations away is a surprise; so many in a row show a change.
SURPRISE_STDDEVS = 2.0
SURPRISES_BEFORE_RESET = 2
MAX_SQUARED_ERROR_FACTOR = 4.0
# Bounds of one observation, so that one odd run does not spoil a figure.
MAX_LOG_RATIO = 2.5


@attrs.define
class WorkerEstimate:
    """Hold the logarithm of a worker's slowness and how much is known of it."""

    mean: float = 0.0
    precision: float = 1.0 / PRIOR_STDDEV**2
    # Observations in a row that were far from the mean, all on one side.
    surprises: int = 0


@attrs.define
class QueueEstimate:
    """Hold how far declared times of a queue are off: their mean error and their noise."""

    bias: float = 0.0
    noise: float = INITIAL_NOISE_STDDEV**2
    seen: float = 0.0


@attrs.define
class SpeedEstimates:
    """Hold what is known of workers and queues."""

    workers: dict[str, WorkerEstimate] = attrs.Factory(dict)
    queues: dict[str, QueueEstimate] = attrs.Factory(dict)

    def worker_slowdown(self, worker_id: str) -> float:
        """Return how many times longer than on the mean worker a task takes."""
        known = self.workers.get(worker_id)
        return math.exp(known.mean) if known is not None else 1.0

    def duration_ratio(self, queue: str) -> float:
        """Return how many times longer than declared a queue's tasks take on the mean worker."""
        known = self.queues.get(queue)
        return math.exp(known.bias) if known is not None else 1.0

    def observe(self, worker_id: str, queue: str, took_ms: float, declared_ms: float) -> None:
        """Learn from a task that ran whole on a worker."""
        if took_ms <= 0 or declared_ms <= 0:
            return
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, math.log(took_ms / declared_ms)))
        worker = self.workers.setdefault(worker_id, WorkerEstimate())
        times = self.queues.setdefault(queue, QueueEstimate())
        self._update_queue(times, ratio - worker.mean)
        self._update_worker(worker, ratio - times.bias, times.noise)

    def _update_queue(self, times: QueueEstimate, seen: float) -> None:
        times.seen = min(MAX_QUEUE_OBSERVATIONS, times.seen + 1.0)
        rate = 1.0 / times.seen
        error = seen - times.bias
        times.bias += rate * error
        if times.seen > 1.0:
            # A worker that turned slow must not make the queue's times look worthless.
            squared = min(error * error, MAX_SQUARED_ERROR_FACTOR * times.noise)
            times.noise += rate * (squared - times.noise)
            times.noise = max(MIN_NOISE_STDDEV**2, times.noise)

    def _update_worker(self, worker: WorkerEstimate, seen: float, noise: float) -> None:
        precision = 1.0 / noise
        error = seen - worker.mean
        if abs(error) < SURPRISE_STDDEVS * math.sqrt(noise):
            worker.surprises = 0
        else:
            same_side = worker.surprises * error > 0
            worker.surprises = (worker.surprises if same_side else 0) + (1 if error > 0 else -1)
        if abs(worker.surprises) >= SURPRISES_BEFORE_RESET:
            # The worker has changed: what was learned before counts no more than a guess.
            worker.precision, worker.surprises = 1.0 / PRIOR_STDDEV**2, 0
        worker.precision = min(worker.precision + precision, MAX_WORKER_OBSERVATIONS * precision)
        worker.mean += precision / worker.precision * error
