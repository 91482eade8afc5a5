"""Define what is known about the execution of a piece of work."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Say what is known about the execution of a piece of work."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
