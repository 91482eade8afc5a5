"""Claim a shard: one pure state machine from events to actions."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from baobabhoist.errors import InvariantBreachError
from baobabhoist.invariants import Invariant, check
from baobabhoist.ownership.events import (
    Action,
    AdvanceEpoch,
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

__all__ = [
    "ACTIVE",
    "TABLE",
    "Action",
    "AdvanceEpoch",
    "ClaimTimes",
    "ClaimWanted",
    "EpochConflict",
    "EpochGranted",
    "EpochUnavailable",
    "Event",
    "FenceRefused",
    "HandOverRefused",
    "HandOverTaken",
    "HandOverWanted",
    "PresentToken",
    "ReleaseWanted",
    "SendQueue",
    "ShardClaim",
    "ShardState",
    "StateChanged",
    "Tick",
    "WorkerConfirmed",
    "WorkerConnected",
    "WorkerDisconnected",
    "WorkerFenced",
    "WorkerReportedGone",
    "WorkerReportedLive",
    "WorkersChanged",
]

IDLE = ShardState.IDLE
CLAIMING = ShardState.CLAIMING
PARTIAL = ShardState.PARTIAL
OWNED = ShardState.OWNED
HANDING_OVER = ShardState.HANDING_OVER
LOST = ShardState.LOST

ACTIVE = (CLAIMING, PARTIAL, OWNED, HANDING_OVER)


@attrs.frozen
class ClaimTimes:
    """Hold the periods of a claim in seconds."""

    membership_lag_s: float = 3.0
    longest_lease_s: float = 10.0
    backoff_min_s: float = 0.05
    backoff_max_s: float = 0.5
    hand_over_s: float = 5.0

    @property
    def gone_s(self) -> float:
        """Return how long a worker must be reported gone until nothing can run there."""
        return self.membership_lag_s + self.longest_lease_s


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
    gone_since: dict[str, float] = attrs.Factory(dict)
    # Excused workers were gone long enough that nothing of an earlier owner can run there.
    excused: set[str] = attrs.Factory(set)
    confirmed_at: dict[str, float] = attrs.Factory(dict)
    # Fenced workers with the time of the call; keyed work waits there until every other fenced
    # worker has confirmed the token in a later call. Another owner may have excused a worker
    # that came back from a long silence, and own all the others.
    unverified: dict[str, float] = attrs.Factory(dict)
    # The token under which the shard was owned before the table confirmed the ownership.
    continued: Token | None = None
    hand_over_deadline: float = 0.0

    def step(self, event: Event, now: float) -> list[Action]:
        """Apply one event and return what the caller has to do.

        Raises InvariantBreachError without any effect if an invariant would break.
        """
        handler = TABLE.get((self.state, type(event)))
        if handler is None:
            return []
        before = self._snapshot()
        state, token = self.state, self.token
        try:
            actions = handler(self, event, now)
            self._check(state, token)
        except InvariantBreachError:
            self._restore(before)
            raise
        return actions

    def may_dispatch(self, worker: str, keyed: bool = False) -> bool:
        """Tell whether work may be sent to this worker under the current token.

        `keyed` work (a caller-supplied key or a job) needs full ownership.
        """
        if self.state is not OWNED and (keyed or self.state is not PARTIAL):
            return False
        if worker not in self.fenced or worker in self.disconnected:
            return False
        return not (keyed and worker in self.unverified)

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
        if event.token != self.token or worker not in self.workers:
            return []
        if self._was_interrupted(event):
            return self._lose(now, wait=False)
        sent_at = now if event.sent_at is None else event.sent_at
        seen = self.confirmed_at.get(worker)
        if seen is None or sent_at - seen > self.times.gone_s:
            self.unverified[worker] = sent_at
        self.fenced.add(worker)
        self.excused.discard(worker)
        self.disconnected.discard(worker)
        self.gone_since.pop(worker, None)
        self._confirm(worker, sent_at)
        actions = self._settle(now)
        if self.state is OWNED and (actions or seen is None or worker in self.unverified):
            actions += self._verify_again()
        return actions

    def _was_interrupted(self, event: WorkerFenced) -> bool:
        if self.continued is None or event.worker in self.fenced or event.worker in self.excused:
            return False
        own = event.previous is not None and event.previous.instance_id == self.instance_id
        return not (own and event.previous is not None and event.previous >= self.continued)

    def _verify_again(self) -> list[Action]:
        latest = max(self.unverified.values(), default=0.0)
        return [
            PresentToken(worker, self.token)
            for worker in self.workers
            if worker in self.fenced and self.confirmed_at[worker] < latest
        ]

    def _worker_confirmed(self, event: WorkerConfirmed, now: float) -> list[Action]:
        if event.worker in self.fenced and event.token == self.token:
            self._confirm(event.worker, event.sent_at)
        return []

    def _confirm(self, worker: str, sent_at: float) -> None:
        self.confirmed_at[worker] = max(sent_at, self.confirmed_at.get(worker, sent_at))
        if self.unverified and not self.unresolved():
            self._verify()

    def _verify(self) -> None:
        oldest = min((self.confirmed_at[worker] for worker in self.fenced), default=0.0)
        for worker, fenced_at in list(self.unverified.items()):
            if fenced_at <= oldest:
                del self.unverified[worker]

    def _refused(self, event: FenceRefused, now: float) -> list[Action]:
        if event.highest <= self.token:
            again = event.highest < self.token and event.worker in self.workers
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
            self.gone_since.setdefault(event.worker, now)
        return self._tick(Tick(), now)

    def _live(self, event: WorkerReportedLive, now: float) -> list[Action]:
        self.gone_since.pop(event.worker, None)
        return []

    def _workers_changed(self, event: WorkersChanged, now: float) -> list[Action]:
        added = [worker for worker in event.workers if worker not in self.workers]
        removed = set(self.workers) - set(event.workers)
        self.workers = event.workers
        for kept in (self.fenced, self.excused, self.disconnected):
            kept -= removed
        for worker in removed:
            self.gone_since.pop(worker, None)
            self.confirmed_at.pop(worker, None)
            self.unverified.pop(worker, None)
        if self.state not in ACTIVE or self.awaiting_epoch:
            return []
        return [PresentToken(worker, self.token) for worker in added] + self._settle(now)

    def _tick(self, event: Tick, now: float) -> list[Action]:
        for worker, since in self.gone_since.items():
            if now - since > self.times.gone_s and worker not in self.fenced:
                self.excused.add(worker)
        return self._settle(now) if self.state in ACTIVE else []

    def _hand_over(self, event: HandOverWanted, now: float) -> list[Action]:
        self.hand_over_deadline = now + self.times.hand_over_s
        return [*self._change(HANDING_OVER), SendQueue(event.successor, self.token)]

    def _hand_over_tick(self, event: Tick, now: float) -> list[Action]:
        actions = self._tick(event, now)
        if now < self.hand_over_deadline:
            return actions
        return actions + self._lose(now)

    def _hand_over_refused(self, event: HandOverRefused, now: float) -> list[Action]:
        return self._change(PARTIAL) + self._settle(now)

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
        return [PresentToken(worker, token) for worker in self.workers]

    def _settle(self, now: float) -> list[Action]:
        """Move between claiming, partial and owned as the workers' state requires."""
        if self.awaiting_epoch or self.state is HANDING_OVER:
            return []
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
        self.confirmed_at.clear()

    def _change(self, state: ShardState) -> list[Action]:
        if state == self.state:
            return []
        self.state = state
        return [StateChanged(state)]

    def _snapshot(self) -> dict[str, Any]:
        return {
            field.name: _copy(getattr(self, field.name))
            for field in attrs.fields(type(self))
            if field.name not in ("rng", "times")
        }

    def _restore(self, before: dict[str, Any]) -> None:
        for name, value in before.items():
            setattr(self, name, value)

    def _check(self, state: ShardState, token: Token) -> None:
        check(
            state == self.state or (state, self.state) in TRANSITIONS,
            Invariant.CLAIM_TRANSITION,
            "shard %s: no transition leads from %s to %s",
            self.shard,
            state,
            self.state,
        )
        raised = self.token > token and self.token.instance_id == self.instance_id
        check(
            self.token == token or raised,
            Invariant.CLAIM_TOKEN_RISES,
            "shard %s: token %s does not follow %s",
            self.shard,
            self.token,
            token,
        )
        resolved = self.continued is not None or not self.unresolved()
        check(
            self.state is not OWNED or resolved or state is OWNED,
            Invariant.CLAIM_OWNED_RESOLVED,
            "shard %s: owned while %s are unresolved",
            self.shard,
            self.unresolved(),
        )
        held = self.state in ACTIVE and not self.awaiting_epoch
        check(
            self.fenced <= set(self.workers) and (held or not self.fenced),
            Invariant.CLAIM_FENCED_KNOWN,
            "shard %s: %s are fenced in state %s",
            self.shard,
            self.fenced,
            self.state,
        )


def _copy(value: Any) -> Any:
    if isinstance(value, set):
        return set(value)
    if isinstance(value, dict):
        return {key: _copy(item) for key, item in value.items()}
    return value


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
    (HandOverWanted, (PARTIAL, OWNED), ShardClaim._hand_over),
    (HandOverTaken, (HANDING_OVER,), ShardClaim._release),
    (HandOverRefused, (HANDING_OVER,), ShardClaim._hand_over_refused),
    (ReleaseWanted, (CLAIMING, PARTIAL, OWNED, HANDING_OVER, LOST), ShardClaim._release),
)

TABLE: dict[tuple[ShardState, type], Handler] = {
    (state, event): handler for event, states, handler in _ROWS for state in states
}
"""Name the handler of each event in each state; a pair that is absent has no effect."""

TRANSITIONS: frozenset[tuple[ShardState, ShardState]] = frozenset(
    [(state, CLAIMING) for state in (IDLE, LOST, PARTIAL)]
    + [(state, PARTIAL) for state in (CLAIMING, HANDING_OVER)]
    + [(state, OWNED) for state in (IDLE, LOST, CLAIMING, PARTIAL, HANDING_OVER)]
    + [(state, HANDING_OVER) for state in (PARTIAL, OWNED)]
    + [(state, state_after) for state in ACTIVE for state_after in (IDLE, LOST)]
    + [(LOST, IDLE)]
)
"""List the transitions of a whole step; a claim on a shard without workers owns at once."""
