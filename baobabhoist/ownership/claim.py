"""Claim a shard: one pure state machine from events to actions."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from baobabhoist.ownership.checks import check_step
from baobabhoist.ownership.events import (
    ACTIVE,
    CLAIMING,
    HANDING_OVER,
    IDLE,
    LOST,
    OWNED,
    PARTIAL,
    Action,
    AdvanceEpoch,
    ClaimTimes,
    ClaimWanted,
    EpochConflict,
    EpochGranted,
    EpochUnavailable,
    Event,
    FenceRefused,
    HandOverRefused,
    HandOverTaken,
    HandOverWanted,
    PresentToken,
    ReleaseWanted,
    SendQueue,
    ShardState,
    StateChanged,
    TakeInventory,
    Tick,
    WorkerConfirmed,
    WorkerConnected,
    WorkerDisconnected,
    WorkerFenced,
    WorkerReportedGone,
    WorkerReportedLive,
    WorkersChanged,
)
from baobabhoist.ownership.tokens import NO_TOKEN, Token

# These arrive for every worker at every renewal and every reading of the membership list. They
# change nothing that the invariants concern, so that no copy for an undo is needed.
LIGHT_EVENTS = (WorkerConfirmed, WorkerReportedLive)


@attrs.define
class ShardClaim:
    """Hold one instance's claim on one shard.

    `instance_id` must differ between two starts of the same instance: two processes that
    present equal tokens would both be obeyed.
    """

    shard: str
    instance_id: str
    workers: tuple[str, ...]
    state: ShardState = IDLE
    token: Token = NO_TOKEN
    fenced: set[str] = attrs.Factory(set)
    highest_seen: Token = NO_TOKEN
    times: ClaimTimes = attrs.Factory(ClaimTimes)
    rng: random.Random = attrs.field(
        default=attrs.Factory(
            lambda self: random.Random(f"{self.shard}/{self.instance_id}"), takes_self=True
        ),
        repr=False,
        eq=False,
    )
    retry_at: float = 0.0
    owned_since: float = 0.0
    awaiting_epoch: bool = False
    # Workers whose connection ended; they hold the token but must be fenced again before use.
    disconnected: set[str] = attrs.Factory(set)
    # First and last reading of the membership list that shows a worker as gone.
    gone: dict[str, tuple[float, float]] = attrs.Factory(dict)
    # Excused workers were gone long enough that nothing of an earlier owner can run there.
    excused: set[str] = attrs.Factory(set)
    confirmed_at: dict[str, float] = attrs.Factory(dict)
    # Fenced workers with the time of the call; work waits there until every other fenced worker
    # has confirmed the token in a later call. Another owner may have excused a worker that
    # came back from a long silence, and own all the others.
    unverified: dict[str, float] = attrs.Factory(dict)
    # The call time that every fenced worker is being asked to confirm; one round at a time.
    verify_round: float | None = None
    # The token under which the shard was owned before the table confirmed the ownership.
    continued: Token | None = None
    hand_over_deadline: float = 0.0
    # The token that each worker held before this claim, None if it did not report one.
    previous: dict[str, Token | None] = attrs.Factory(dict)
    # The last token of this claim that each worker is known to hold.
    held: dict[str, Token] = attrs.Factory(dict)
    # When the last of the fenced workers was fenced.
    fenced_until: float = 0.0

    def step(self, event: Event, now: float) -> list[Action]:
        """Apply one event and return what the caller has to do.

        Raises InvariantViolationError without any effect if an invariant would break.
        """
        handler = TABLE.get((self.state, type(event)))
        if handler is None:
            return []
        if isinstance(event, LIGHT_EVENTS):
            return handler(self, event, now)
        before = self._snapshot()
        state, token = self.state, self.token
        try:
            actions = handler(self, event, now)
            check_step(self, state, token)
        except Exception:
            self._restore(before)
            raise
        return actions

    def may_dispatch(self, worker: str, keyed: bool = False) -> bool:
        """Tell whether work may be sent to this worker under the current token.

        `keyed` work (a caller-supplied key or a job) needs full ownership.
        """
        if self.state is not OWNED and (keyed or self.state is not PARTIAL):
            return False
        return self._is_usable(worker)

    def confirmed_after(self, at: float) -> bool:
        """Tell whether this instance was certainly the owner at a time.

        A `not_run` for a key that may have a copy elsewhere is certain only if this holds for
        the time at which the key was refused; otherwise another owner may run the copy.
        """
        return self.state is OWNED and any(
            self.confirmed_at[worker] >= at for worker in self.fenced if self._is_usable(worker)
        )

    def follows(self, token: Token) -> bool:
        """Tell whether nobody owned the shard between the holder of a token and this claim.

        Only then may the queue that the holder handed over be run: an owner in between may
        have run the same keys on a worker that has forgotten them since.
        """
        before = [self.previous.get(worker) for worker in self.workers]
        return self.state is OWNED and all(held is not None and held <= token for held in before)

    def _is_usable(self, worker: str) -> bool:
        return (
            worker in self.fenced
            and worker not in self.disconnected
            and worker not in self.unverified
        )

    @property
    def owns_keys(self) -> bool:
        """Tell whether request keys and jobs may be decided here."""
        return self.state is OWNED

    @property
    def confirmed(self) -> bool:
        """Tell whether the table holds the epoch of the current token."""
        return self.token.epoch > 0 and self.token.round == 0

    @property
    def escrow_usable(self) -> bool:
        """Tell whether the full escrow may be used in place of the takeover cap."""
        return self.state is OWNED and self.confirmed and not self.unresolved()

    def unresolved(self) -> set[str]:
        """Return the workers that may still obey an earlier owner."""
        return set(self.workers) - self.fenced - self.excused

    def _begin(self, event: ClaimWanted, now: float) -> list[Action]:
        if now < self.retry_at:
            return []
        if event.epoch is None:
            return self._present(self._next_round(), now)
        self.awaiting_epoch = True
        changed = self._change(CLAIMING)
        return [*changed, self._advance(event.epoch)]

    def _claim_again(self, event: ClaimWanted, now: float) -> list[Action]:
        if self.awaiting_epoch:
            return self._begin(event, now)
        if event.epoch is None or self.confirmed:
            return []
        return [self._advance(event.epoch)]

    def _advance(self, epoch: int) -> AdvanceEpoch:
        return AdvanceEpoch(epoch, max(epoch, self.highest_seen.epoch, self.token.epoch) + 1)

    def _epoch_granted(self, event: EpochGranted, now: float) -> list[Action]:
        token = Token(event.epoch, 0, self.instance_id)
        if token <= self.token:
            return []
        if token < self.highest_seen:
            return self._lose(now)
        return self._present(token, now)

    def _epoch_confirmed(self, event: EpochGranted, now: float) -> list[Action]:
        token = Token(event.epoch, 0, self.instance_id)
        if token <= max(self.token, self.highest_seen):
            return []
        self.continued = self.continued or self.token
        return self._present_again(token)

    def _epoch_unavailable(self, event: EpochUnavailable, now: float) -> list[Action]:
        if not self.awaiting_epoch:
            return []
        return self._present(self._next_round(), now)

    def _epoch_conflict(self, event: EpochConflict, now: float) -> list[Action]:
        if not self.awaiting_epoch:
            return []
        self.highest_seen = max(self.highest_seen, Token(event.epoch, 0, ""))
        return self._lose(now)

    def _worker_fenced(self, event: WorkerFenced, now: float) -> list[Action]:
        worker = event.worker
        if event.token != self.token or worker not in self.workers or self.awaiting_epoch:
            return []
        if self._was_interrupted(event):
            return self._lose(now, wait=False)
        sent_at = now if event.sent_at is None else event.sent_at
        seen = self.confirmed_at.get(worker)
        if seen is None or sent_at - seen > self.times.gone_s:
            self.unverified[worker] = sent_at
        self.previous.setdefault(worker, event.previous)
        self.held[worker] = self.token
        self.fenced.add(worker)
        self.fenced_until = max(self.fenced_until, now)
        self.excused.discard(worker)
        self.disconnected.discard(worker)
        self.gone.pop(worker, None)
        inventory = TakeInventory(worker, event.running, event.ended)
        return [inventory, *self._confirm(worker, sent_at), *self._settle(now)]

    def _was_interrupted(self, event: WorkerFenced) -> bool:
        """Tell whether another instance may have owned the shard before the confirmation."""
        if self.continued is None or event.worker in self.fenced:
            return False
        previous = event.previous
        if previous is None:
            return True
        # A worker that already held the new token may have taken it from another owner: the
        # reply that said so was lost.
        return previous > self.continued and previous != self.held.get(event.worker)

    def _worker_confirmed(self, event: WorkerConfirmed, now: float) -> list[Action]:
        if event.worker not in self.fenced or event.token != self.token:
            return []
        return self._confirm(event.worker, event.sent_at)

    def _confirm(self, worker: str, sent_at: float) -> list[Action]:
        self.confirmed_at[worker] = max(sent_at, self.confirmed_at.get(worker, sent_at))
        if not self.unverified:
            return []
        oldest = min(self.confirmed_at[other] for other in self.fenced)
        for waiting, fenced_at in list(self.unverified.items()):
            if fenced_at <= oldest:
                del self.unverified[waiting]
        if self.verify_round is not None and self.verify_round <= oldest:
            self.verify_round = None
        if not self.unverified or self.verify_round is not None:
            return []
        latest = self.verify_round = max(self.unverified.values())
        return [
            PresentToken(other, self.token)
            for other in self.workers
            if other in self.fenced and self.confirmed_at[other] < latest
        ]

    def _refused(self, event: FenceRefused, now: float) -> list[Action]:
        if event.highest <= self.token:
            known = event.worker in self.workers and not self.awaiting_epoch
            again = event.highest < self.token and known
            return [PresentToken(event.worker, self.token)] if again else []
        self.highest_seen = max(self.highest_seen, event.highest)
        return self._lose(now)

    def _note_refusal(self, event: FenceRefused, now: float) -> list[Action]:
        self.highest_seen = max(self.highest_seen, event.highest)
        return []

    def _disconnected(self, event: WorkerDisconnected, now: float) -> list[Action]:
        if event.worker in self.workers:
            self.disconnected.add(event.worker)
        return []

    def _connected(self, event: WorkerConnected, now: float) -> list[Action]:
        if event.worker not in self.workers or self.awaiting_epoch:
            return []
        self.disconnected.add(event.worker)
        return [PresentToken(event.worker, self.token)]

    def _gone(self, event: WorkerReportedGone, now: float) -> list[Action]:
        if event.worker in self.workers:
            since, _ = self.gone.get(event.worker, (now, now))
            self.gone[event.worker] = (since, now)
        return self._tick(Tick(), now)

    def _live(self, event: WorkerReportedLive, now: float) -> list[Action]:
        self.gone.pop(event.worker, None)
        return []

    def _workers_changed(self, event: WorkersChanged, now: float) -> list[Action]:
        added = [worker for worker in event.workers if worker not in self.workers]
        removed = set(self.workers) - set(event.workers)
        self.workers = event.workers
        for kept in (self.fenced, self.excused, self.disconnected):
            kept -= removed
        for worker in removed:
            self.gone.pop(worker, None)
            self.confirmed_at.pop(worker, None)
            self.unverified.pop(worker, None)
        if self.state not in ACTIVE or self.awaiting_epoch:
            return []
        return [PresentToken(worker, self.token) for worker in added] + self._settle(now)

    def _tick(self, event: Tick, now: float) -> list[Action]:
        if self.state not in ACTIVE:
            return []
        if self.unverified and any(self._is_gone(worker) for worker in self.fenced):
            # A worker that is gone can confirm nothing: only a new claim can excuse it.
            return self._lose(now, wait=False)
        return self._settle(now)

    def _is_gone(self, worker: str) -> bool:
        since, last = self.gone.get(worker, (0.0, 0.0))
        return last - since > self.times.gone_s

    def _excuse(self) -> None:
        """Excuse the unresolved workers if all of them are certainly gone.

        A reading of the list is up to its lag old, so it counts only if it is later than the
        fencing of all others by the lag: otherwise an earlier owner may have checked them
        after the return of the missing worker.
        """
        missing = self.unresolved()
        if self.fenced and all(
            self._is_gone(worker)
            and self.gone[worker][1] - self.times.membership_lag_s >= self.fenced_until
            for worker in missing
        ):
            self.excused |= missing

    def _hand_over(self, event: HandOverWanted, now: float) -> list[Action]:
        self.hand_over_deadline = now + self.times.hand_over_s
        return [*self._change(HANDING_OVER), SendQueue(event.successor, self.token)]

    def _hand_over_tick(self, event: Tick, now: float) -> list[Action]:
        actions = self._tick(event, now)
        if now < self.hand_over_deadline:
            return actions
        return actions + self._lose(now)

    def _hand_over_refused(self, event: HandOverRefused, now: float) -> list[Action]:
        return self._change(OWNED)

    def _release(self, event: Event, now: float) -> list[Action]:
        self._drop()
        return self._change(IDLE)

    def _next_round(self) -> Token:
        base = max(self.highest_seen, self.token)
        return Token(base.epoch, base.round + 1, self.instance_id)

    def _present(self, token: Token, now: float) -> list[Action]:
        """Start a claim under a token: nothing learned under an earlier one counts."""
        self._drop()
        changed = self._change(CLAIMING)
        return changed + self._present_again(token) + self._settle(now)

    def _present_again(self, token: Token) -> list[Action]:
        self.token = token
        self.awaiting_epoch = False
        self.fenced.clear()
        self.verify_round = None
        return [PresentToken(worker, token) for worker in self.workers]

    def _settle(self, now: float) -> list[Action]:
        """Move between claiming, partial and owned as the workers' state requires."""
        if self.awaiting_epoch or self.state is HANDING_OVER:
            return []
        self._excuse()
        if self.unresolved():
            usable = self.fenced and self.state is CLAIMING
            return self._change(PARTIAL) if usable else []
        self.continued = None
        if self.state is OWNED:
            return []
        self.owned_since = now
        return self._change(OWNED)

    def _lose(self, now: float, wait: bool = True) -> list[Action]:
        self._drop()
        span = self.rng.uniform(self.times.backoff_min_s, self.times.backoff_max_s)
        self.retry_at = now + span if wait else now
        return self._change(LOST)

    def _drop(self) -> None:
        self.awaiting_epoch = False
        self.continued = None
        self.fenced.clear()
        self.disconnected.clear()
        self.unverified.clear()
        self.previous.clear()
        self.held.clear()
        self.excused.clear()
        self.verify_round = None
        self.fenced_until = 0.0
        self.confirmed_at.clear()

    def _change(self, state: ShardState) -> list[Action]:
        if state == self.state:
            return []
        self.state = state
        return [StateChanged(state)]

    def _snapshot(self) -> dict[str, Any]:
        return {name: _copy(getattr(self, name)) for name in _CHANGING}

    def _restore(self, before: dict[str, Any]) -> None:
        for name, value in before.items():
            setattr(self, name, value)


_CHANGING = tuple(set(attrs.fields_dict(ShardClaim)) - {"shard", "instance_id", "rng", "times"})


def _copy(value: Any) -> Any:
    return value.copy() if isinstance(value, (set, dict)) else value


Handler = Callable[[ShardClaim, Any, float], list[Action]]

_ANY = tuple(ShardState)

_ROWS: tuple[tuple[type, tuple[ShardState, ...], Any], ...] = (
    (ClaimWanted, (IDLE, LOST), ShardClaim._begin),
    (ClaimWanted, (CLAIMING, PARTIAL, OWNED), ShardClaim._claim_again),
    (EpochGranted, (CLAIMING, PARTIAL), ShardClaim._epoch_granted),
    (EpochGranted, (OWNED,), ShardClaim._epoch_confirmed),
    (EpochUnavailable, (CLAIMING,), ShardClaim._epoch_unavailable),
    (EpochConflict, (CLAIMING,), ShardClaim._epoch_conflict),
    (WorkerFenced, ACTIVE, ShardClaim._worker_fenced),
    (WorkerConfirmed, ACTIVE, ShardClaim._worker_confirmed),
    (FenceRefused, ACTIVE, ShardClaim._refused),
    (FenceRefused, (IDLE, LOST), ShardClaim._note_refusal),
    (WorkerDisconnected, ACTIVE, ShardClaim._disconnected),
    (WorkerConnected, ACTIVE, ShardClaim._connected),
    (WorkerReportedGone, _ANY, ShardClaim._gone),
    (WorkerReportedLive, _ANY, ShardClaim._live),
    (WorkersChanged, _ANY, ShardClaim._workers_changed),
    (Tick, (IDLE, CLAIMING, PARTIAL, OWNED, LOST), ShardClaim._tick),
    (Tick, (HANDING_OVER,), ShardClaim._hand_over_tick),
    (HandOverWanted, (OWNED,), ShardClaim._hand_over),
    (HandOverTaken, (HANDING_OVER,), ShardClaim._release),
    (HandOverRefused, (HANDING_OVER,), ShardClaim._hand_over_refused),
    (ReleaseWanted, (CLAIMING, PARTIAL, OWNED, HANDING_OVER, LOST), ShardClaim._release),
)

TABLE: dict[tuple[ShardState, type], Handler] = {
    (state, event): handler for event, states, handler in _ROWS for state in states
}
"""Name the handler of each event in each state; a pair that is absent has no effect."""
