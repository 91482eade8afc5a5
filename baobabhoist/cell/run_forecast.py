"""Tell when a run will probably end, for forecasts of room and of the limits of teams."""

from __future__ import annotations

from baobabhoist.cell.jobs import Run, RunPhase

# A run that is overdue by more, or has been stopping for longer, may never end.
MAX_OVERDUE_MS = 1_000.0


def probable_end_ms(run: Run, now: float) -> float:
    """Return when a run will probably end: the present if it is due, infinity if nothing tells."""
    is_stopping = run.phase is RunPhase.STOPPING
    due_ms = run.stopped_ms if is_stopping else run.expected_end_ms
    return max(now, due_ms) if now - due_ms <= MAX_OVERDUE_MS else float("inf")
