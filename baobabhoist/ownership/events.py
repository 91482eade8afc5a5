"""Define the states, timing, events and actions of a shard claim."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.model import EndedTask, RunningTask
from baobabhoist.ownership.tokens import Token


class ClaimState(enum.StrEnum):
    """List the states of a shard claim."""

    IDLE = "idle"
    CLAIMING = "claiming"
    PARTIAL = "partial"
    OWNED = "owned"
    HANDING_OVER = "handing_over"
    LOST = "lost"


IDLE = ClaimState.IDLE
CLAIMING = ClaimState.CLAIMING
PARTIAL = ClaimState.PARTIAL
OWNED = ClaimState.OWNED
HANDING_OVER = ClaimState.HANDING_OVER
LOST = ClaimState.LOST

ACTIVE_STATES = (CLAIMING, PARTIAL, OWNED, HANDING_OVER)


@attrs.frozen
class ClaimTiming:
    """Hold the time limits of a claim in seconds."""

    membership_lag_s: float = 3.0
    max_lease_s: float = 10.0
    backoff_min_s: float = 0.05
    backoff_max_s: float = 0.5
    hand_over_timeout_s: float = 5.0

    @property
    def worker_expires_after_s(self) -> float:
        """Return how long a worker must be reported gone until all its leases have expired."""
        return self.membership_lag_s + self.max_lease_s


@attrs.frozen
class ClaimRequested:
    """Request the shard; `epoch` is the epoch in the row, or None while the table is down.

    While the shard is owned under a round, a request with an epoch asks the table to commit the
    ownership.
    """

    epoch: int | None


@attrs.frozen
class EpochGranted:
    """Report that the new epoch is committed to the table under this instance's id."""

    epoch: int


@attrs.frozen
class EpochUnavailable:
    """Report that the table did not answer; the write may still have taken effect."""


@attrs.frozen
class EpochConflict:
    """Report that another instance has advanced the row to this epoch."""

    epoch: int


@attrs.frozen
class WorkerFenced:
    """Report that a worker has accepted a token, with its inventory of tasks.

    `previous_token` is the token that the worker held before, or None if it reported none.
    `sent_at` is the time at which the token was sent (Unix seconds), or None for the present.
    """

    worker: str
    token: Token
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    previous_token: Token | None = None
    sent_at: float | None = None


@attrs.frozen
class WorkerConfirmed:
    """Report that a worker accepted a call which was sent under this token at `sent_at`."""

    worker: str
    token: Token
    sent_at: float


@attrs.frozen
class FenceRefused:
    """Report that a worker refused a call, and the token that it holds."""

    worker: str
    highest_token: Token


@attrs.frozen
class WorkerConnected:
    """Report a new connection to a worker, which may have restarted since the last one."""

    worker: str


@attrs.frozen
class WorkerDisconnected:
    """Report that the connection to a worker was closed."""

    worker: str


@attrs.frozen
class WorkerReportedGone:
    """Report that a reading of the membership list shows a worker as gone; sent for each one."""

    worker: str


@attrs.frozen
class WorkerReportedLive:
    """Report that a reading of the membership list shows a worker as live."""

    worker: str


@attrs.frozen
class WorkersChanged:
    """Report the workers that are now listed in the shard's record."""

    workers: tuple[str, ...]


@attrs.frozen
class Tick:
    """Trigger a check of the deadlines that the claim has stored."""


@attrs.frozen
class HandOverRequested:
    """Request that the shard be handed over to another instance."""

    successor: str


@attrs.frozen
class HandOverAccepted:
    """Report that the successor has accepted the queue."""


@attrs.frozen
class HandOverRefused:
    """Report that the successor refused the queue and will not run any of it."""


@attrs.frozen
class ReleaseRequested:
    """Request that the shard be released."""


ClaimEvent = (
    ClaimRequested
    | EpochGranted
    | EpochUnavailable
    | EpochConflict
    | WorkerFenced
    | WorkerConfirmed
    | FenceRefused
    | WorkerConnected
    | WorkerDisconnected
    | WorkerReportedGone
    | WorkerReportedLive
    | WorkersChanged
    | Tick
    | HandOverRequested
    | HandOverAccepted
    | HandOverRefused
    | ReleaseRequested
)


@attrs.frozen
class AdvanceEpoch:
    """Set the row's epoch to `target` under this instance's id if it is still `expected`."""

    expected: int
    target: int = 0


@attrs.frozen
class PresentToken:
    """Send the token to a worker, with retries until it answers or the token changes."""

    worker: str
    token: Token


@attrs.frozen
class SendQueue:
    """Send the queued requests and their keys to the successor."""

    successor: str
    token: Token


@attrs.frozen
class StateChanged:
    """Report the new state of the claim."""

    state: ClaimState


@attrs.frozen
class ApplyInventory:
    """Apply a worker's inventory to the request keys and the quota before any later action.

    An inventory that was reported under an earlier token must not be applied.
    """

    worker: str
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


ClaimAction = AdvanceEpoch | PresentToken | ApplyInventory | SendQueue | StateChanged
