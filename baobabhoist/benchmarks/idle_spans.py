"""Measure for how long jobs that could run have nothing running."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen
class IdleSpan:
    """Describe how long a job had nothing running although it could.

    `mean_use` is the mean share of the cell's capacity that was in use meanwhile.
    """

    job_id: str
    since_ms: float
    duration_ms: float
    mean_use: float


@attrs.define
class _OpenSpan:
    """Hold the samples of a span that has not ended."""

    since_ms: float
    samples: int = 0
    total_use: float = 0.0


@attrs.define
class IdleSpanMeter:
    """Find the longest idle span among samples of the idle jobs."""

    longest: IdleSpan | None = None
    _open_spans: dict[str, _OpenSpan] = attrs.Factory(dict)

    def record(self, now: float, idle_jobs: Iterable[str], use: float) -> None:
        """Add a sample: the jobs that are idle now and the share of the capacity in use."""
        self._open_spans = {
            job_id: self._open_spans.get(job_id, _OpenSpan(now)) for job_id in idle_jobs
        }
        for job_id, span in self._open_spans.items():
            span.samples += 1
            span.total_use += use
            duration_ms = now - span.since_ms
            if self.longest is None or duration_ms > self.longest.duration_ms:
                mean_use = span.total_use / span.samples
                self.longest = IdleSpan(job_id, span.since_ms, duration_ms, mean_use)
