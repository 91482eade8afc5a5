"""Define the interfaces through which the control code uses workers, advisers and decoders."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Protocol

import attrs

from baobabhoist.cell.evacuations import EvacuationChange
from baobabhoist.cell.model import (
    CommandOutcome,
    JobSpec,
    StartTask,
    StepKey,
    StopTask,
    WorkerInfo,
    WorkerReport,
)
from baobabhoist.control.config import CellConfig
from baobabhoist.errors import Refusal


@attrs.frozen
class CommandResponse:
    """Hold a worker's response to a command, and the fencing token of the call if it is known."""

    outcome: CommandOutcome
    token: int = 0


@attrs.frozen
class Advice:
    """Hold the tickets of the approved workers by worker id, and their validity in ms."""

    tickets: dict[str, str]
    valid_ms: int


class AdviceOutcome(enum.StrEnum):
    """List what may become of a query to the adviser."""

    ANSWERED = "answered"
    # The answer came later than expected; its tickets may expire before they are used.
    LATE = "late"
    # The adviser, or the instance through which it was asked, did not answer.
    FAILED = "failed"
    # The instance did not ask, because the adviser works on another of its queries.
    BUSY = "busy"


@attrs.frozen
class ExternalTables:
    """Name the tables written outside this system: operator configuration, worker directory."""

    operator: str
    config_key: str
    directory: str


class WorkerDriver(Protocol):
    """Send commands to workers under a fencing token."""

    async def renew(
        self, worker: WorkerInfo, token: int, acked_end: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport | CommandOutcome:
        """Renew the lease and return the running and ended tasks; long-poll until a task ends."""

    async def start(
        self, worker: WorkerInfo, token: int, command: StartTask, deadline_ms: int
    ) -> CommandResponse:
        """Start a run under a lease that ends at `deadline_ms` on the worker's clock."""

    async def stop(self, worker: WorkerInfo, token: int, command: StopTask) -> CommandResponse:
        """Stop a run."""


class Adviser(Protocol):
    """Decide which workers may run a step."""

    async def ask(self, step: StepKey, workers: Sequence[str], timeout_s: float) -> Advice | None:
        """Return the approved workers, or None if the adviser did not answer in time."""


class Decoder(Protocol):
    """Decode input from operators, workers and callers; no method raises on malformed input."""

    tables: ExternalTables

    def decode_config(self, value: bytes) -> CellConfig | None:
        """Return the decoded configuration, or None if it is malformed."""

    def decode_evacuation(self, key: str, value: bytes | None) -> EvacuationChange | None:
        """Return what an operator's row says on emptying a data centre, or None if nothing.

        A malformed value counts as a request.
        """

    def decode_worker(self, worker_id: str, value: bytes) -> WorkerInfo | None:
        """Return a worker of the directory, or None if the entry is malformed or incomplete."""

    def decode_job(self, body: bytes) -> JobSpec | Refusal:
        """Return the submitted job, or the refusal that explains why it is invalid."""
