"""Define what the control code needs of workers, advisers and decoders."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

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
class OrderAnswer:
    """Hold a worker's answer to an order and a reading of its clock, if it gave one."""

    outcome: CommandOutcome
    clock_ms: int | None = None


@attrs.frozen
class Advice:
    """Hold the tickets of the approved workers and how long they are valid, in ms."""

    tickets: dict[str, str]
    valid_ms: int


@attrs.frozen
class OutsideTables:
    """Name the rows that others write: the operator's configuration, the workers' directory."""

    operator: str
    config_key: str
    directory: str


class WorkerDriver(Protocol):
    """Give orders to workers under a fencing token."""

    async def renew(
        self, worker: WorkerInfo, token: int, acked_end: int, deadline_ms: int | None, wait_ms: int
    ) -> WorkerReport | CommandOutcome:
        """Renew the lease and return what runs and what ended, waiting for an end."""

    async def start(
        self, worker: WorkerInfo, token: int, order: StartTask, deadline_ms: int
    ) -> OrderAnswer:
        """Start a run under a lease up to a deadline on the worker's clock."""

    async def stop(self, worker: WorkerInfo, token: int, order: StopTask) -> OrderAnswer:
        """Stop a run."""


class Adviser(Protocol):
    """Tell which workers may run a step."""

    async def ask(self, step: StepKey, workers: Sequence[str], cost_ms: float) -> Advice | None:
        """Return the approved workers, or None without an answer."""


class Decoder(Protocol):
    """Read what operators, workers and callers write; each method tolerates foreign content."""

    tables: OutsideTables

    def config(self, value: bytes) -> CellConfig | None:
        """Return a configuration, or None if it cannot be read."""

    def worker(self, worker_id: str, value: bytes) -> WorkerInfo | None:
        """Return an entry of the directory, or None if it names no usable worker."""

    def job(self, body: bytes) -> JobSpec | Refusal:
        """Return a job as its caller described it, or what is wrong with it."""
