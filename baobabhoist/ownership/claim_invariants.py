"""Check the invariants of a claim after each step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from baobabhoist.invariants import Invariant, check
from baobabhoist.ownership.events import (
    ACTIVE_STATES,
    CLAIMING,
    HANDING_OVER,
    IDLE,
    LOST,
    OWNED,
    PARTIAL,
    ClaimState,
)
from baobabhoist.ownership.tokens import Token

if TYPE_CHECKING:
    from baobabhoist.ownership.claim import ShardClaim

ALLOWED_TRANSITIONS: frozenset[tuple[ClaimState, ClaimState]] = frozenset(
    [(state, CLAIMING) for state in (IDLE, LOST, PARTIAL)]
    + [(CLAIMING, PARTIAL)]
    + [(state, OWNED) for state in (IDLE, LOST, CLAIMING, PARTIAL, HANDING_OVER)]
    + [(OWNED, HANDING_OVER)]
    + [(state, state_after) for state in ACTIVE_STATES for state_after in (IDLE, LOST)]
    + [(LOST, IDLE)]
)
"""List the transitions of a whole step; a claim on a shard without workers owns at once."""


def check_transition(claim: ShardClaim, state: ClaimState, token: Token) -> None:
    """Compare a claim with its state and token before the step; raises on a breach."""
    check(
        state == claim.state or (state, claim.state) in ALLOWED_TRANSITIONS,
        Invariant.CLAIM_TRANSITION,
        "shard %s: no transition leads from %s to %s",
        claim.shard,
        state,
        claim.state,
    )
    raised = claim.token > token and claim.token.instance_id == claim.instance_id
    check(
        claim.token == token or raised,
        Invariant.CLAIM_TOKEN_RISES,
        "shard %s: token %s does not follow %s",
        claim.shard,
        claim.token,
        token,
    )
    gained = claim.state is OWNED and state not in (OWNED, HANDING_OVER)
    unresolved = claim.unresolved_workers() if gained else set()
    check(
        not unresolved,
        Invariant.CLAIM_OWNED_RESOLVED,
        "shard %s: owned while %s are unresolved",
        claim.shard,
        unresolved,
    )
    held = claim.state in ACTIVE_STATES and not claim.awaiting_epoch
    check(
        claim.fenced_workers.issubset(claim.workers) and (held or not claim.fenced_workers),
        Invariant.CLAIM_FENCED_KNOWN,
        "shard %s: %s are fenced in state %s",
        claim.shard,
        claim.fenced_workers,
        claim.state,
    )
