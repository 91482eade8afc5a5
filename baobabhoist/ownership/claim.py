"""Claim a shard: one pure state machine from events to actions."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from baobabhoist.ownership.claim_invariants import check_transition
from baobabhoist.ownership.events import (
    ACTIVE_STATES,
    CLAIMING,
    HANDING_OVER,
    IDLE,
    LOST,
    OWNED,
    PARTIAL,
    AdvanceEpoch,
    ApplyInventory,
    ClaimAction,
    ClaimEvent,
    ClaimRequested,
    ClaimState,
    ClaimTiming,
    EpochConflict,
    EpochGranted,
    EpochUnavailable,
    FenceRefused,
    HandOverAccepted,
    HandOverRefused,
    HandOverRequested,
    PresentToken,
    ReleaseRequested,
    SendQueue,
    StateChanged,
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
EVENTS_WITHOUT_SNAPSHOT = (WorkerConfirmed, WorkerReportedLive)


@attrs.define
class ShardClaim:
    """Hold one instance's claim on one shard.

    `instance_id` must differ between two starts of the same instance: two processes that
    present equal tokens would both be obeyed.
    """

    shard: str
    instance_id: str
    workers: tuple[str, ...]
    state: ClaimState = IDLE
    token: Token = NO_TOKEN
    fenced_workers: set[str] = attrs.Factory(set)
    highest_token_seen: Token = NO_TOKEN
    times: ClaimTiming = attrs.Factory(ClaimTiming)
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
    disconnected_workers: set[str] = attrs.Factory(set)
    # First and last reading of the membership list that shows a worker as gone.
    reported_gone: dict[str, tuple[float, float]] = attrs.Factory(dict)
    # Excused workers were gone long enough that nothing of an earlier owner can run there.
    expired_workers: set[str] = attrs.Factory(set)
    confirmed_at: dict[str, float] = attrs.Factory(dict)
    # Fenced workers with the time of the call; work waits there until every other fenced worker
    # has confirmed the token in a later call. Another owner may have excused a worker that
    # came back from a long silence, and own all the others.
    unverified_workers: dict[str, float] = attrs.Factory(dict)
    # The call time that every fenced worker is being asked to confirm; one round at a time.
    verification_sent_at: float | None = None
    # The token under which the shard was owned before the table confirmed the ownership.
    provisional_token: Token | None = None
    hand_over_deadline: float = 0.0
    # The token that each worker held before this claim, None if it did not report one.
    tokens_before_claim: dict[str, Token | None] = attrs.Factory(dict)
    # The last token of this claim that each worker is known to hold.
    accepted_tokens: dict[str, Token] = attrs.Factory(dict)
    # When the last of the fenced workers was fenced.
    last_fenced_at: float = 0.0

    def step(self, event: ClaimEvent, now: float) -> list[ClaimAction]:
        """Apply one event and return what the caller has to do.

        Raises InvariantBreachError without any effect if an invariant would break.
        """
        handler = TRANSITION_HANDLERS.get((self.state, type(event)))
        if handler is None:
            return []
        if isinstance(event, EVENTS_WITHOUT_SNAPSHOT):
            return handler(self, event, now)
        before = self._snapshot()
        state, token = self.state, self.token
        try:
            actions = handler(self, event, now)
            check_transition(self, state, token)
        except Exception:
            self._restore(before)
            raise
        return actions

    def can_dispatch_to(self, worker: str, keyed: bool = False) -> bool:
        """Tell whether work may be sent to this worker under the current token.

        `keyed` work (a caller-supplied key or a job) needs full ownership.
        """
        if self.state is not OWNED and (keyed or self.state is not PARTIAL):
            return False
        return self._is_usable(worker)

    def is_confirmed_since(self, at: float) -> bool:
        """Tell whether this instance was certainly the owner at a time.

        A `not_run` for a key that may have a copy elsewhere is certain only if this holds for
        the time at which the key was refused; otherwise another owner may run the copy.
        """
        return self.state is OWNED and any(
            self.confirmed_at[worker] >= at
            for worker in self.fenced_workers
            if self._is_usable(worker)
        )

    def directly_succeeds(self, token: Token) -> bool:
        """Tell whether nobody owned the shard between the holder of a token and this claim.

        Only then may the queue that the holder handed over be run: an owner in between may
        have run the same keys on a worker that has forgotten them since.
        """
        before = [self.tokens_before_claim.get(worker) for worker in self.workers]
        return self.state is OWNED and all(held is not None and held <= token for held in before)

    def _is_usable(self, worker: str) -> bool:
        return (
            worker in self.fenced_workers
            and worker not in self.disconnected_workers
            and worker not in self.unverified_workers
        )

    @property
    def is_fully_owned(self) -> bool:
        """Tell whether request keys and jobs may be decided here."""
        return self.state is OWNED

    @property
    def is_epoch_committed(self) -> bool:
        """Tell whether the table holds the epoch of the current token."""
        return self.token.epoch > 0 and self.token.round == 0

    @property
    def can_use_full_escrow(self) -> bool:
        """Tell whether the full escrow may be used in place of the takeover cap."""
        return self.state is OWNED and self.is_epoch_committed and not self.unresolved_workers()

    def unresolved_workers(self) -> set[str]:
        """Return the workers that may still obey an earlier owner."""
        return set(self.workers) - self.fenced_workers - self.expired_workers

    def _begin(self, event: ClaimRequested, now: float) -> list[ClaimAction]:
        if now < self.retry_at:
            return []
        if event.epoch is None:
            return self._present(self._next_round(), now)
        self.awaiting_epoch = True
        changed = self._change(CLAIMING)
        return [*changed, self._advance(event.epoch)]

    def _claim_again(self, event: ClaimRequested, now: float) -> list[ClaimAction]:
        if self.awaiting_epoch:
            return self._begin(event, now)
        if event.epoch is None or self.is_epoch_committed:
            return []
        return [self._advance(event.epoch)]

    def _advance(self, epoch: int) -> AdvanceEpoch:
        return AdvanceEpoch(epoch, max(epoch, self.highest_token_seen.epoch, self.token.epoch) + 1)

    def _epoch_granted(self, event: EpochGranted, now: float) -> list[ClaimAction]:
        token = Token(event.epoch, 0, self.instance_id)
        if token <= self.token:
            return []
        if token < self.highest_token_seen:
            return self._lose(now)
        return self._present(token, now)

    def _epoch_confirmed(self, event: EpochGranted, now: float) -> list[ClaimAction]:
        token = Token(event.epoch, 0, self.instance_id)
        if token <= max(self.token, self.highest_token_seen):
            return []
        self.provisional_token = self.provisional_token or self.token
        return self._present_again(token)

    def _epoch_unavailable(self, event: EpochUnavailable, now: float) -> list[ClaimAction]:
        if not self.awaiting_epoch:
            return []
        return self._present(self._next_round(), now)

    def _epoch_conflict(self, event: EpochConflict, now: float) -> list[ClaimAction]:
        if not self.awaiting_epoch:
            return []
        self.highest_token_seen = max(self.highest_token_seen, Token(event.epoch, 0, ""))
        return self._lose(now)

    def _worker_fenced(self, event: WorkerFenced, now: float) -> list[ClaimAction]:
        worker = event.worker
        if event.token != self.token or worker not in self.workers or self.awaiting_epoch:
            return []
        if self._was_interrupted(event):
            return self._lose(now, wait=False)
        sent_at = now if event.sent_at is None else event.sent_at
        seen = self.confirmed_at.get(worker)
        if seen is None or sent_at - seen > self.times.worker_gone_after_s:
            self.unverified_workers[worker] = sent_at
        self.tokens_before_claim.setdefault(worker, event.previous_token)
        self.accepted_tokens[worker] = self.token
        self.fenced_workers.add(worker)
        self.last_fenced_at = max(self.last_fenced_at, now)
        self.expired_workers.discard(worker)
        self.disconnected_workers.discard(worker)
        self.reported_gone.pop(worker, None)
        inventory = ApplyInventory(worker, event.running, event.ended)
        return [inventory, *self._confirm(worker, sent_at), *self._settle(now)]

    def _was_interrupted(self, event: WorkerFenced) -> bool:
        """Tell whether another instance may have owned the shard before the confirmation."""
        if self.provisional_token is None or event.worker in self.fenced_workers:
            return False
        previous = event.previous_token
        if previous is None:
            return True
        # A worker that already held the new token may have taken it from another owner: the
        # reply that said so was lost.
        return previous > self.provisional_token and previous != self.accepted_tokens.get(
            event.worker
        )

    def _worker_confirmed(self, event: WorkerConfirmed, now: float) -> list[ClaimAction]:
        if event.worker not in self.fenced_workers or event.token != self.token:
            return []
        return self._confirm(event.worker, event.sent_at)

    def _confirm(self, worker: str, sent_at: float) -> list[ClaimAction]:
        self.confirmed_at[worker] = max(sent_at, self.confirmed_at.get(worker, sent_at))
        if not self.unverified_workers:
            return []
        oldest = min(self.confirmed_at[other] for other in self.fenced_workers)
        for waiting, fenced_at in list(self.unverified_workers.items()):
            if fenced_at <= oldest:
                del self.unverified_workers[waiting]
        if self.verification_sent_at is not None and self.verification_sent_at <= oldest:
            self.verification_sent_at = None
        if not self.unverified_workers or self.verification_sent_at is not None:
            return []
        latest = self.verification_sent_at = max(self.unverified_workers.values())
        return [
            PresentToken(other, self.token)
            for other in self.workers
            if other in self.fenced_workers and self.confirmed_at[other] < latest
        ]

    def _refused(self, event: FenceRefused, now: float) -> list[ClaimAction]:
        if event.highest_token <= self.token:
            known = event.worker in self.workers and not self.awaiting_epoch
            again = event.highest_token < self.token and known
            return [PresentToken(event.worker, self.token)] if again else []
        self.highest_token_seen = max(self.highest_token_seen, event.highest_token)
        return self._lose(now)

    def _note_refusal(self, event: FenceRefused, now: float) -> list[ClaimAction]:
        self.highest_token_seen = max(self.highest_token_seen, event.highest_token)
        return []

    def _disconnected(self, event: WorkerDisconnected, now: float) -> list[ClaimAction]:
        if event.worker in self.workers:
            self.disconnected_workers.add(event.worker)
        return []

    def _connected(self, event: WorkerConnected, now: float) -> list[ClaimAction]:
        if event.worker not in self.workers or self.awaiting_epoch:
            return []
        self.disconnected_workers.add(event.worker)
        return [PresentToken(event.worker, self.token)]

    def _gone(self, event: WorkerReportedGone, now: float) -> list[ClaimAction]:
        if event.worker in self.workers:
            since, _ = self.reported_gone.get(event.worker, (now, now))
            self.reported_gone[event.worker] = (since, now)
        return self._tick(Tick(), now)

    def _live(self, event: WorkerReportedLive, now: float) -> list[ClaimAction]:
        self.reported_gone.pop(event.worker, None)
        return []

    def _workers_changed(self, event: WorkersChanged, now: float) -> list[ClaimAction]:
        added = [worker for worker in event.workers if worker not in self.workers]
        removed = set(self.workers) - set(event.workers)
        self.workers = event.workers
        for kept in (self.fenced_workers, self.expired_workers, self.disconnected_workers):
            kept -= removed
        for worker in removed:
            self.reported_gone.pop(worker, None)
            self.confirmed_at.pop(worker, None)
            self.unverified_workers.pop(worker, None)
        if self.state not in ACTIVE_STATES or self.awaiting_epoch:
            return []
        return [PresentToken(worker, self.token) for worker in added] + self._settle(now)

    def _tick(self, event: Tick, now: float) -> list[ClaimAction]:
        if self.state not in ACTIVE_STATES:
            return []
        if self.unverified_workers and any(
            self._is_gone(worker) for worker in self.fenced_workers
        ):
            # A worker that is gone can confirm nothing: only a new claim can excuse it.
            return self._lose(now, wait=False)
        return self._settle(now)

    def _is_gone(self, worker: str) -> bool:
        since, last = self.reported_gone.get(worker, (0.0, 0.0))
        return last - since > self.times.worker_gone_after_s

    def _excuse(self) -> None:
        """Excuse the unresolved workers if all of them are certainly gone.

        A reading of the list is up to its lag old, so it counts only if it is later than the
        fencing of all others by the lag: otherwise an earlier owner may have checked them
        after the return of the missing worker.
        """
        missing = self.unresolved_workers()
        if self.fenced_workers and all(
            self._is_gone(worker)
            and self.reported_gone[worker][1] - self.times.membership_lag_s >= self.last_fenced_at
            for worker in missing
        ):
            self.expired_workers |= missing

    def _hand_over(self, event: HandOverRequested, now: float) -> list[ClaimAction]:
        self.hand_over_deadline = now + self.times.hand_over_timeout_s
        return [*self._change(HANDING_OVER), SendQueue(event.successor, self.token)]

    def _hand_over_tick(self, event: Tick, now: float) -> list[ClaimAction]:
        actions = self._tick(event, now)
        if now < self.hand_over_deadline:
            return actions
        return actions + self._lose(now)

    def _hand_over_refused(self, event: HandOverRefused, now: float) -> list[ClaimAction]:
        return self._change(OWNED)

    def _release(self, event: ClaimEvent, now: float) -> list[ClaimAction]:
        self._drop()
        return self._change(IDLE)

    def _next_round(self) -> Token:
        base = max(self.highest_token_seen, self.token)
        return Token(base.epoch, base.round + 1, self.instance_id)

    def _present(self, token: Token, now: float) -> list[ClaimAction]:
        """Start a claim under a token: nothing learned under an earlier one counts."""
        self._drop()
        changed = self._change(CLAIMING)
        return changed + self._present_again(token) + self._settle(now)

    def _present_again(self, token: Token) -> list[ClaimAction]:
        self.token = token
        self.awaiting_epoch = False
        self.fenced_workers.clear()
        self.verification_sent_at = None
        return [PresentToken(worker, token) for worker in self.workers]

    def _settle(self, now: float) -> list[ClaimAction]:
        """Move between claiming, partial and owned as the workers' state requires."""
        if self.awaiting_epoch or self.state is HANDING_OVER:
            return []
        self._excuse()
        if self.unresolved_workers():
            usable = self.fenced_workers and self.state is CLAIMING
            return self._change(PARTIAL) if usable else []
        self.provisional_token = None
        if self.state is OWNED:
            return []
        self.owned_since = now
        return self._change(OWNED)

    def _lose(self, now: float, wait: bool = True) -> list[ClaimAction]:
        self._drop()
        span = self.rng.uniform(self.times.backoff_min_s, self.times.backoff_max_s)
        self.retry_at = now + span if wait else now
        return self._change(LOST)

    def _drop(self) -> None:
        self.awaiting_epoch = False
        self.provisional_token = None
        self.fenced_workers.clear()
        self.disconnected_workers.clear()
        self.unverified_workers.clear()
        self.tokens_before_claim.clear()
        self.accepted_tokens.clear()
        self.expired_workers.clear()
        self.verification_sent_at = None
        self.last_fenced_at = 0.0
        self.confirmed_at.clear()

    def _change(self, state: ClaimState) -> list[ClaimAction]:
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


Handler = Callable[[ShardClaim, Any, float], list[ClaimAction]]

_ANY = tuple(ClaimState)

_ROWS: tuple[tuple[type, tuple[ClaimState, ...], Any], ...] = (
    (ClaimRequested, (IDLE, LOST), ShardClaim._begin),
    (ClaimRequested, (CLAIMING, PARTIAL, OWNED), ShardClaim._claim_again),
    (EpochGranted, (CLAIMING, PARTIAL), ShardClaim._epoch_granted),
    (EpochGranted, (OWNED,), ShardClaim._epoch_confirmed),
    (EpochUnavailable, (CLAIMING,), ShardClaim._epoch_unavailable),
    (EpochConflict, (CLAIMING,), ShardClaim._epoch_conflict),
    (WorkerFenced, ACTIVE_STATES, ShardClaim._worker_fenced),
    (WorkerConfirmed, ACTIVE_STATES, ShardClaim._worker_confirmed),
    (FenceRefused, ACTIVE_STATES, ShardClaim._refused),
    (FenceRefused, (IDLE, LOST), ShardClaim._note_refusal),
    (WorkerDisconnected, ACTIVE_STATES, ShardClaim._disconnected),
    (WorkerConnected, ACTIVE_STATES, ShardClaim._connected),
    (WorkerReportedGone, _ANY, ShardClaim._gone),
    (WorkerReportedLive, _ANY, ShardClaim._live),
    (WorkersChanged, _ANY, ShardClaim._workers_changed),
    (Tick, (IDLE, CLAIMING, PARTIAL, OWNED, LOST), ShardClaim._tick),
    (Tick, (HANDING_OVER,), ShardClaim._hand_over_tick),
    (HandOverRequested, (OWNED,), ShardClaim._hand_over),
    (HandOverAccepted, (HANDING_OVER,), ShardClaim._release),
    (HandOverRefused, (HANDING_OVER,), ShardClaim._hand_over_refused),
    (ReleaseRequested, (CLAIMING, PARTIAL, OWNED, HANDING_OVER, LOST), ShardClaim._release),
)

TRANSITION_HANDLERS: dict[tuple[ClaimState, type], Handler] = {
    (state, event): handler for event, states, handler in _ROWS for state in states
}
"""Name the handler of each event in each state; a pair that is absent has no effect."""
