"""Define the states, periods, events and actions of a claim on a shard."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.model import EndedTask, RunningTask
from baobabhoist.ownership.tokens import Token


class ClaimState(enum.StrEnum):
    """Name the states of a claim."""

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
    """Hold the periods of a claim in seconds."""

    membership_lag_s: float = 3.0
    max_lease_s: float = 10.0
    backoff_min_s: float = 0.05
    backoff_max_s: float = 0.5
    hand_over_timeout_s: float = 5.0

    @property
    def worker_gone_after_s(self) -> float:
        """Return how long a worker must be reported gone until nothing can run there."""
        return self.membership_lag_s + self.max_lease_s


@attrs.frozen
class ClaimRequested:
    """Ask for the shard; `epoch` is the row's epoch, or None while the table is down.

    While the shard is owned under a round, an epoch asks the table to confirm the ownership.
    """

    epoch: int | None


@attrs.frozen
class EpochGranted:
    """Report that the table holds the new epoch under this instance's name."""

    epoch: int


@attrs.frozen
class EpochUnavailable:
    """Report that the table did not answer; the write may have taken effect."""


@attrs.frozen
class EpochConflict:
    """Report that another instance advanced the row to this epoch."""

    epoch: int


@attrs.frozen
class WorkerFenced:
    """Report that a worker holds a token, with its inventory.

    `previous` is the token that the worker held before, None if it did not report one;
    `sent_at` is when the token was sent (Unix seconds), None if that is this moment.
    """

    worker: str
    token: Token
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    previous_token: Token | None = None
    sent_at: float | None = None


@attrs.frozen
class WorkerConfirmed:
    """Report that a worker accepted a call under this token that was sent at `sent_at`."""

    worker: str
    token: Token
    sent_at: float


@attrs.frozen
class FenceRefused:
    """Report that a worker refused a call and which token it holds."""

    worker: str
    highest_token: Token


@attrs.frozen
class WorkerConnected:
    """Report a new connection to a worker, which may have restarted."""

    worker: str


@attrs.frozen
class WorkerDisconnected:
    """Report that the connection to a worker ended."""

    worker: str


@attrs.frozen
class WorkerReportedGone:
    """Report that the membership list shows a worker as gone; repeat on each reading."""

    worker: str


@attrs.frozen
class WorkerReportedLive:
    """Report that the membership list shows a worker as live."""

    worker: str


@attrs.frozen
class WorkersChanged:
    """Report the workers that the shard's record names now."""

    workers: tuple[str, ...]


@attrs.frozen
class Tick:
    """Let the claim compare its stored deadlines with the time."""


@attrs.frozen
class HandOverRequested:
    """Ask to hand the shard to another instance."""

    successor: str


@attrs.frozen
class HandOverAccepted:
    """Report that the successor has the queue."""


@attrs.frozen
class HandOverRefused:
    """Report that the successor refused the queue and will not use it."""


@attrs.frozen
class ReleaseRequested:
    """Ask to give the shard up."""


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
    """Set the row's epoch to `target` under this instance's name if it is `expected`."""

    expected: int
    target: int = 0


@attrs.frozen
class PresentToken:
    """Present the token to a worker until it answers or the token changes."""

    worker: str
    token: Token


@attrs.frozen
class SendQueue:
    """Send the queue and the queued keys to the successor."""

    successor: str
    token: Token


@attrs.frozen
class StateChanged:
    """Report the new state of the claim."""

    state: ClaimState


@attrs.frozen
class ApplyInventory:
    """Take a worker's report into the keys and the quota before any later action.

    A report that the claim does not accept (of an earlier token) must not be counted.
    """

    worker: str
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


ClaimAction = AdvanceEpoch | PresentToken | ApplyInventory | SendQueue | StateChanged
