"""Claim a shard: one pure state machine from events to actions."""

from __future__ import annotations

import enum

import attrs

from baobabhoist.model import EndedTask, RunningTask
from baobabhoist.ownership.tokens import NO_TOKEN, Token


class ShardState(enum.StrEnum):
    """Name the states of a claim."""

    IDLE = "idle"
    CLAIMING = "claiming"
    PARTIAL = "partial"
    OWNED = "owned"
    HANDING_OVER = "handing_over"
    LOST = "lost"


@attrs.frozen
class ClaimWanted:
    """Ask for the shard; `epoch` is the row's epoch, or None while the table is down."""

    epoch: int | None


@attrs.frozen
class EpochGranted:
    """Report that the table holds the new epoch under this instance's name."""

    epoch: int


@attrs.frozen
class EpochUnavailable:
    """Report that the table did not answer or another instance won the epoch."""


@attrs.frozen
class WorkerFenced:
    """Report that a worker holds a token, with its inventory."""

    worker: str
    token: Token
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


@attrs.frozen
class FenceRefused:
    """Report that a worker holds a higher token."""

    worker: str
    highest: Token


@attrs.frozen
class ReleaseWanted:
    """Ask to give the shard up."""


Event = ClaimWanted | EpochGranted | EpochUnavailable | WorkerFenced | FenceRefused | ReleaseWanted


@attrs.frozen
class AdvanceEpoch:
    """Advance the epoch in the shard's row, if it is still the expected one."""

    expected: int


@attrs.frozen
class PresentToken:
    """Present the token to a worker."""

    worker: str
    token: Token


@attrs.frozen
class StateChanged:
    """Report the new state of the claim."""

    state: ShardState


Action = AdvanceEpoch | PresentToken | StateChanged


@attrs.define
class ShardClaim:
    """Hold one instance's claim on one shard."""

    shard: str
    instance_id: str
    workers: tuple[str, ...]
    state: ShardState = ShardState.IDLE
    token: Token = NO_TOKEN
    fenced: set[str] = attrs.Factory(set)
    highest_seen: Token = NO_TOKEN

    def step(self, event: Event, now: float) -> list[Action]:
        """Apply one event and return what the caller has to do."""
        match event:
            case ClaimWanted(None):
                return self._present(self._next_round())
            case ClaimWanted(epoch):
                self.state = ShardState.CLAIMING
                return [AdvanceEpoch(epoch or 0)]
            case EpochGranted(epoch):
                return self._present(Token(epoch, 0, self.instance_id))
            case EpochUnavailable():
                return self._present(self._next_round())
            case WorkerFenced():
                return self._fenced(event)
            case FenceRefused(_, highest):
                self.highest_seen = max(self.highest_seen, highest)
                return self._change(ShardState.LOST)
            case ReleaseWanted():
                return self._change(ShardState.IDLE)

    def may_dispatch(self, worker: str) -> bool:
        """Tell whether work may be sent to this worker under the current token."""
        usable = self.state in (ShardState.PARTIAL, ShardState.OWNED)
        return usable and worker in self.fenced

    def _next_round(self) -> Token:
        base = max(self.highest_seen, self.token)
        return Token(base.epoch, base.round + 1, self.instance_id)

    def _present(self, token: Token) -> list[Action]:
        self.token = token
        self.fenced.clear()
        self.state = ShardState.CLAIMING
        return [PresentToken(worker, token) for worker in self.workers]

    def _fenced(self, event: WorkerFenced) -> list[Action]:
        if event.token != self.token:
            return []
        self.fenced.add(event.worker)
        complete = len(self.fenced) == len(self.workers)
        return self._change(ShardState.OWNED if complete else ShardState.PARTIAL)

    def _change(self, state: ShardState) -> list[Action]:
        if state == self.state:
            return []
        self.state = state
        return [StateChanged(state)]
