"""Define whether a piece of work is known to have run."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Enumerate what can be known about the execution of a piece of work."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
