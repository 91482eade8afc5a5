"""Implement the claim on a shard as a pure state machine from events to actions."""

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

# These arrive for every worker at each lease renewal and each reading of the membership list.
# They change no field that an invariant covers, so no snapshot is taken to roll them back.
EVENTS_WITHOUT_SNAPSHOT = (WorkerConfirmed, WorkerReportedLive)


@attrs.define
class ShardClaim:
    """Track one instance's claim on one shard.

    `instance_id` must be unique to each start of an instance: workers would accept calls from
    both of two processes that present equal tokens.
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
    # Workers whose connection was closed. They hold the token but must be fenced again before use.
    disconnected_workers: set[str] = attrs.Factory(set)
    # Times of the first and the last reading of the membership list that shows a worker as gone.
    reported_gone: dict[str, tuple[float, float]] = attrs.Factory(dict)
    # Workers that were gone for so long that all leases granted by earlier owners have expired.
    expired_workers: set[str] = attrs.Factory(set)
    confirmed_at: dict[str, float] = attrs.Factory(dict)
    # Fenced workers that get no work yet, with the time at which their fencing call was sent. Each
    # waits until every other fenced worker has confirmed the token in a later call: while it was
    # unreachable, another instance may have counted it as expired and fenced all the others.
    unverified_workers: dict[str, float] = attrs.Factory(dict)
    # Fenced workers are being asked to confirm a call sent at this time or later; only one such
    # round runs at a time.
    verification_sent_at: float | None = None
    # The token under which the shard was owned before its epoch was committed to the table.
    provisional_token: Token | None = None
    hand_over_deadline: float = 0.0
    # The token that each worker held before this claim, or None if it reported none.
    tokens_before_claim: dict[str, Token | None] = attrs.Factory(dict)
    # The last token of this claim that each worker is known to have accepted.
    accepted_tokens: dict[str, Token] = attrs.Factory(dict)
    last_fenced_at: float = 0.0

    def step(self, event: ClaimEvent, now: float) -> list[ClaimAction]:
        """Apply one event and return the actions that the caller has to perform.

        Raises InvariantViolationError and leaves the claim unchanged if an invariant would be
        violated.
        """
        handler = TRANSITION_HANDLERS.get((self.state, type(event)))
        if handler is None:
            return []
        if isinstance(event, EVENTS_WITHOUT_SNAPSHOT):
            return handler(self, event, now)
        snapshot = self._snapshot()
        state, token = self.state, self.token
        try:
            actions = handler(self, event, now)
            check_transition(self, state, token)
        except Exception:
            self._restore(snapshot)
            raise
        return actions

    def can_dispatch_to(self, worker: str, keyed: bool = False) -> bool:
        """Return whether work may be dispatched to a worker under the current token.

        `keyed` work (with a caller-supplied request key, or of a job) needs full ownership.
        """
        if self.state is not OWNED and (keyed or self.state is not PARTIAL):
            return False
        return self._is_usable(worker)

    def is_confirmed_since(self, at: float) -> bool:
        """Return whether this instance is certain to have owned the shard at a time.

        If copies of a request may have been sent elsewhere, the outcome `not_run` is certain only
        when this holds for the time of the refusal: otherwise another owner may run a copy.
        """
        return self.state is OWNED and any(
            self.confirmed_at[worker] >= at
            for worker in self.fenced_workers
            if self._is_usable(worker)
        )

    def directly_succeeds(self, token: Token) -> bool:
        """Return whether no instance owned the shard between a token's holder and this claim.

        Only then may the queue that the holder handed over be run: an owner in between may have
        run the same keys on a worker that has lost its record of them since.
        """
        tokens = [self.tokens_before_claim.get(worker) for worker in self.workers]
        return self.state is OWNED and all(
            token_before is not None and token_before <= token for token_before in tokens
        )

    def _is_usable(self, worker: str) -> bool:
        return (
            worker in self.fenced_workers
            and worker not in self.disconnected_workers
            and worker not in self.unverified_workers
        )

    @property
    def is_fully_owned(self) -> bool:
        """Return whether this instance may decide about request keys and jobs of the shard."""
        return self.state is OWNED

    @property
    def is_epoch_committed(self) -> bool:
        """Return whether the epoch of the current token is committed to the table."""
        return self.token.epoch > 0 and self.token.round == 0

    @property
    def can_use_full_escrow(self) -> bool:
        """Return whether the full quota escrow may be used instead of the takeover cap."""
        return self.state is OWNED and self.is_epoch_committed and not self.unresolved_workers()

    def unresolved_workers(self) -> set[str]:
        """Return the workers that may still run work for an earlier owner."""
        return set(self.workers) - self.fenced_workers - self.expired_workers

    def _start_claim(self, event: ClaimRequested, now: float) -> list[ClaimAction]:
        if now < self.retry_at:
            return []
        if event.epoch is None:
            return self._claim_with_token(self._next_round_token(), now)
        self.awaiting_epoch = True
        changed = self._change_state(CLAIMING)
        return [*changed, self._advance_epoch(event.epoch)]

    def _request_epoch(self, event: ClaimRequested, now: float) -> list[ClaimAction]:
        if self.awaiting_epoch:
            return self._start_claim(event, now)
        if event.epoch is None or self.is_epoch_committed:
            return []
        return [self._advance_epoch(event.epoch)]

    def _advance_epoch(self, epoch: int) -> AdvanceEpoch:
        return AdvanceEpoch(epoch, max(epoch, self.highest_token_seen.epoch, self.token.epoch) + 1)

    def _epoch_granted(self, event: EpochGranted, now: float) -> list[ClaimAction]:
        token = Token(event.epoch, 0, self.instance_id)
        if token <= self.token:
            return []
        if token < self.highest_token_seen:
            return self._lose_shard(now)
        return self._claim_with_token(token, now)

    def _epoch_committed(self, event: EpochGranted, now: float) -> list[ClaimAction]:
        token = Token(event.epoch, 0, self.instance_id)
        if token <= max(self.token, self.highest_token_seen):
            return []
        self.provisional_token = self.provisional_token or self.token
        return self._present_token(token)

    def _epoch_unavailable(self, event: EpochUnavailable, now: float) -> list[ClaimAction]:
        if not self.awaiting_epoch:
            return []
        return self._claim_with_token(self._next_round_token(), now)

    def _epoch_conflict(self, event: EpochConflict, now: float) -> list[ClaimAction]:
        if not self.awaiting_epoch:
            return []
        self.highest_token_seen = max(self.highest_token_seen, Token(event.epoch, 0, ""))
        return self._lose_shard(now)

    def _worker_fenced(self, event: WorkerFenced, now: float) -> list[ClaimAction]:
        worker = event.worker
        if event.token != self.token or worker not in self.workers or self.awaiting_epoch:
            return []
        if self._may_have_had_other_owner(event):
            return self._lose_shard(now, back_off=False)
        sent_at = now if event.sent_at is None else event.sent_at
        last_confirmed = self.confirmed_at.get(worker)
        if last_confirmed is None or sent_at - last_confirmed > self.times.worker_expires_after_s:
            self.unverified_workers[worker] = sent_at
        self.tokens_before_claim.setdefault(worker, event.previous_token)
        self.accepted_tokens[worker] = self.token
        self.fenced_workers.add(worker)
        self.last_fenced_at = max(self.last_fenced_at, now)
        self.expired_workers.discard(worker)
        self.disconnected_workers.discard(worker)
        self.reported_gone.pop(worker, None)
        inventory = ApplyInventory(worker, event.running, event.ended)
        return [
            inventory,
            *self._record_confirmation(worker, sent_at),
            *self._update_ownership(now),
        ]

    def _may_have_had_other_owner(self, event: WorkerFenced) -> bool:
        """Return whether another instance may have owned the shard before the commit."""
        if self.provisional_token is None or event.worker in self.fenced_workers:
            return False
        token_before = event.previous_token
        if token_before is None:
            return True
        # A worker that already holds the new token may have replaced another owner's token with
        # it in a call whose reply was lost.
        return token_before > self.provisional_token and token_before != self.accepted_tokens.get(
            event.worker
        )

    def _worker_confirmed(self, event: WorkerConfirmed, now: float) -> list[ClaimAction]:
        if event.worker not in self.fenced_workers or event.token != self.token:
            return []
        return self._record_confirmation(event.worker, event.sent_at)

    def _record_confirmation(self, worker: str, sent_at: float) -> list[ClaimAction]:
        self.confirmed_at[worker] = max(sent_at, self.confirmed_at.get(worker, sent_at))
        if not self.unverified_workers:
            return []
        earliest_confirmation = min(self.confirmed_at[other] for other in self.fenced_workers)
        for unverified, fenced_at in list(self.unverified_workers.items()):
            if fenced_at <= earliest_confirmation:
                del self.unverified_workers[unverified]
        if (
            self.verification_sent_at is not None
            and self.verification_sent_at <= earliest_confirmation
        ):
            self.verification_sent_at = None
        if not self.unverified_workers or self.verification_sent_at is not None:
            return []
        latest_fencing = self.verification_sent_at = max(self.unverified_workers.values())
        return [
            PresentToken(other, self.token)
            for other in self.workers
            if other in self.fenced_workers and self.confirmed_at[other] < latest_fencing
        ]

    def _token_refused(self, event: FenceRefused, now: float) -> list[ClaimAction]:
        if event.highest_token <= self.token:
            expects_worker = event.worker in self.workers and not self.awaiting_epoch
            is_outdated = event.highest_token < self.token and expects_worker
            return [PresentToken(event.worker, self.token)] if is_outdated else []
        self.highest_token_seen = max(self.highest_token_seen, event.highest_token)
        return self._lose_shard(now)

    def _record_highest_token(self, event: FenceRefused, now: float) -> list[ClaimAction]:
        self.highest_token_seen = max(self.highest_token_seen, event.highest_token)
        return []

    def _worker_disconnected(self, event: WorkerDisconnected, now: float) -> list[ClaimAction]:
        if event.worker in self.workers:
            self.disconnected_workers.add(event.worker)
        return []

    def _worker_connected(self, event: WorkerConnected, now: float) -> list[ClaimAction]:
        if event.worker not in self.workers or self.awaiting_epoch:
            return []
        self.disconnected_workers.add(event.worker)
        return [PresentToken(event.worker, self.token)]

    def _worker_reported_gone(self, event: WorkerReportedGone, now: float) -> list[ClaimAction]:
        if event.worker in self.workers:
            first_reading, _ = self.reported_gone.get(event.worker, (now, now))
            self.reported_gone[event.worker] = (first_reading, now)
        return self._tick(Tick(), now)

    def _worker_reported_live(self, event: WorkerReportedLive, now: float) -> list[ClaimAction]:
        self.reported_gone.pop(event.worker, None)
        return []

    def _workers_changed(self, event: WorkersChanged, now: float) -> list[ClaimAction]:
        added = [worker for worker in event.workers if worker not in self.workers]
        removed = set(self.workers) - set(event.workers)
        self.workers = event.workers
        for worker_set in (self.fenced_workers, self.expired_workers, self.disconnected_workers):
            worker_set -= removed
        for worker in removed:
            self.reported_gone.pop(worker, None)
            self.confirmed_at.pop(worker, None)
            self.unverified_workers.pop(worker, None)
        if self.state not in ACTIVE_STATES or self.awaiting_epoch:
            return []
        return [PresentToken(worker, self.token) for worker in added] + self._update_ownership(now)

    def _tick(self, event: Tick, now: float) -> list[ClaimAction]:
        if self.state not in ACTIVE_STATES:
            return []
        if self.unverified_workers and any(
            self._have_leases_expired(worker) for worker in self.fenced_workers
        ):
            # A worker that is gone confirms no call. Only a new claim can count it as expired.
            return self._lose_shard(now, back_off=False)
        return self._update_ownership(now)

    def _have_leases_expired(self, worker: str) -> bool:
        first_reading, last_reading = self.reported_gone.get(worker, (0.0, 0.0))
        return last_reading - first_reading > self.times.worker_expires_after_s

    def _expire_missing_workers(self) -> None:
        """Count the unresolved workers as expired if the leases of all of them have ended.

        The membership list may be out of date by its lag, so a reading counts only if it was
        taken at least that long after the last worker was fenced. Otherwise a missing worker may
        have come back to an earlier owner, whose token the others confirmed after that and
        before they were fenced here.
        """
        missing = self.unresolved_workers()
        if self.fenced_workers and all(
            self._have_leases_expired(worker)
            and self.reported_gone[worker][1] - self.times.membership_lag_s >= self.last_fenced_at
            for worker in missing
        ):
            self.expired_workers |= missing

    def _start_hand_over(self, event: HandOverRequested, now: float) -> list[ClaimAction]:
        self.hand_over_deadline = now + self.times.hand_over_timeout_s
        return [*self._change_state(HANDING_OVER), SendQueue(event.successor, self.token)]

    def _hand_over_tick(self, event: Tick, now: float) -> list[ClaimAction]:
        actions = self._tick(event, now)
        if now < self.hand_over_deadline:
            return actions
        return actions + self._lose_shard(now)

    def _hand_over_refused(self, event: HandOverRefused, now: float) -> list[ClaimAction]:
        return self._change_state(OWNED)

    def _release(self, event: ClaimEvent, now: float) -> list[ClaimAction]:
        self._reset_claim()
        return self._change_state(IDLE)

    def _next_round_token(self) -> Token:
        base = max(self.highest_token_seen, self.token)
        return Token(base.epoch, base.round + 1, self.instance_id)

    def _claim_with_token(self, token: Token, now: float) -> list[ClaimAction]:
        """Start a claim under a token and discard what was learned under an earlier one."""
        self._reset_claim()
        changed = self._change_state(CLAIMING)
        return changed + self._present_token(token) + self._update_ownership(now)

    def _present_token(self, token: Token) -> list[ClaimAction]:
        self.token = token
        self.awaiting_epoch = False
        self.fenced_workers.clear()
        self.verification_sent_at = None
        return [PresentToken(worker, token) for worker in self.workers]

    def _update_ownership(self, now: float) -> list[ClaimAction]:
        """Enter the state partial or owned according to which workers are resolved."""
        if self.awaiting_epoch or self.state is HANDING_OVER:
            return []
        self._expire_missing_workers()
        if self.unresolved_workers():
            is_partial = self.fenced_workers and self.state is CLAIMING
            return self._change_state(PARTIAL) if is_partial else []
        self.provisional_token = None
        if self.state is OWNED:
            return []
        self.owned_since = now
        return self._change_state(OWNED)

    def _lose_shard(self, now: float, back_off: bool = True) -> list[ClaimAction]:
        self._reset_claim()
        backoff_s = self.rng.uniform(self.times.backoff_min_s, self.times.backoff_max_s)
        self.retry_at = now + backoff_s if back_off else now
        return self._change_state(LOST)

    def _reset_claim(self) -> None:
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

    def _change_state(self, state: ClaimState) -> list[ClaimAction]:
        if state == self.state:
            return []
        self.state = state
        return [StateChanged(state)]

    def _snapshot(self) -> dict[str, Any]:
        return {name: _copy_collection(getattr(self, name)) for name in _MUTABLE_FIELDS}

    def _restore(self, snapshot: dict[str, Any]) -> None:
        for name, value in snapshot.items():
            setattr(self, name, value)


_MUTABLE_FIELDS = tuple(
    set(attrs.fields_dict(ShardClaim)) - {"shard", "instance_id", "rng", "times"}
)


def _copy_collection(value: Any) -> Any:
    return value.copy() if isinstance(value, (set, dict)) else value


Handler = Callable[[ShardClaim, Any, float], list[ClaimAction]]

_ANY_STATE = tuple(ClaimState)

_TRANSITION_TABLE: tuple[tuple[type, tuple[ClaimState, ...], Any], ...] = (
    (ClaimRequested, (IDLE, LOST), ShardClaim._start_claim),
    (ClaimRequested, (CLAIMING, PARTIAL, OWNED), ShardClaim._request_epoch),
    (EpochGranted, (CLAIMING, PARTIAL), ShardClaim._epoch_granted),
    (EpochGranted, (OWNED,), ShardClaim._epoch_committed),
    (EpochUnavailable, (CLAIMING,), ShardClaim._epoch_unavailable),
    (EpochConflict, (CLAIMING,), ShardClaim._epoch_conflict),
    (WorkerFenced, ACTIVE_STATES, ShardClaim._worker_fenced),
    (WorkerConfirmed, ACTIVE_STATES, ShardClaim._worker_confirmed),
    (FenceRefused, ACTIVE_STATES, ShardClaim._token_refused),
    (FenceRefused, (IDLE, LOST), ShardClaim._record_highest_token),
    (WorkerDisconnected, ACTIVE_STATES, ShardClaim._worker_disconnected),
    (WorkerConnected, ACTIVE_STATES, ShardClaim._worker_connected),
    (WorkerReportedGone, _ANY_STATE, ShardClaim._worker_reported_gone),
    (WorkerReportedLive, _ANY_STATE, ShardClaim._worker_reported_live),
    (WorkersChanged, _ANY_STATE, ShardClaim._workers_changed),
    (Tick, (IDLE, CLAIMING, PARTIAL, OWNED, LOST), ShardClaim._tick),
    (Tick, (HANDING_OVER,), ShardClaim._hand_over_tick),
    (HandOverRequested, (OWNED,), ShardClaim._start_hand_over),
    (HandOverAccepted, (HANDING_OVER,), ShardClaim._release),
    (HandOverRefused, (HANDING_OVER,), ShardClaim._hand_over_refused),
    (ReleaseRequested, (CLAIMING, PARTIAL, OWNED, HANDING_OVER, LOST), ShardClaim._release),
)

TRANSITION_HANDLERS: dict[tuple[ClaimState, type], Handler] = {
    (state, event): handler for event, states, handler in _TRANSITION_TABLE for state in states
}
"""Map each state and event to its handler; an event without a handler is ignored."""
