"""Hold what the owner of a cell works with."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from baobabhoist.cell.policy import DEFAULT_POLICY, SchedulingPolicy
from baobabhoist.control.advice import AdviceDispatcher
from baobabhoist.control.clock import StoreClock
from baobabhoist.control.interfaces import Decoder, WorkerDriver
from baobabhoist.control.loop_lag import LoopLagMonitor
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.metrics import NodeMetrics
from baobabhoist.control.sessions.assignment import LinkedInstance
from baobabhoist.store.row_store import RowStore


@attrs.define
class OwnerDependencies:
    """Hold the collaborators and settings of a cell's owner."""

    store: RowStore
    driver: WorkerDriver
    decoder: Decoder
    clock: StoreClock
    advice_dispatcher: AdviceDispatcher
    lease_ms: float
    # Longest lease that a worker grants.
    max_lease_ms: float
    job_kept_ms: float
    # Largest value that a row of the store holds.
    row_max_bytes: int
    # Returns until when this owner may act, as far as its claim has been confirmed.
    authority_ends_ms: Callable[[], float]
    # Called once, with the reason, when another instance owns the cell.
    on_ownership_lost: Callable[[str], None]
    metrics: NodeMetrics
    # Size of this machine.
    size: MachineSize
    loop_lag: LoopLagMonitor
    # Returns the instances that can hold sessions with workers, by node name.
    session_hosts: Callable[[], Mapping[str, LinkedInstance]]
    policy: SchedulingPolicy = DEFAULT_POLICY
    # Returns when the operator's table was last known to hold nothing newer.
    operator_confirmed_ms: Callable[[], float] = lambda: float("inf")
