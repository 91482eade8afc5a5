"""Check the invariants of a shard claim after each transition."""

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
    + [(state, next_state) for state in ACTIVE_STATES for next_state in (IDLE, LOST)]
    + [(LOST, IDLE)]
)
"""List the state changes that one step may make.

A step may pass through CLAIMING to OWNED, because a shard without workers is owned at once.
"""


def check_transition(claim: ShardClaim, previous_state: ClaimState, previous_token: Token) -> None:
    """Compare a claim with its state and token before the step.

    Raises InvariantViolationError if an invariant is violated.
    """
    check(
        previous_state == claim.state or (previous_state, claim.state) in ALLOWED_TRANSITIONS,
        Invariant.CLAIM_TRANSITION,
        "shard %s: no transition leads from %s to %s",
        claim.shard,
        previous_state,
        claim.state,
    )
    is_raised = claim.token > previous_token and claim.token.instance_id == claim.instance_id
    check(
        claim.token == previous_token or is_raised,
        Invariant.CLAIM_TOKEN_RISES,
        "shard %s: token %s does not follow %s",
        claim.shard,
        claim.token,
        previous_token,
    )
    is_gained = claim.state is OWNED and previous_state not in (OWNED, HANDING_OVER)
    unresolved = claim.unresolved_workers() if is_gained else set()
    check(
        not unresolved,
        Invariant.CLAIM_OWNED_RESOLVED,
        "shard %s: owned while %s are unresolved",
        claim.shard,
        unresolved,
    )
    may_have_fenced = claim.state in ACTIVE_STATES and not claim.awaiting_epoch
    check(
        claim.fenced_workers.issubset(claim.workers)
        and (may_have_fenced or not claim.fenced_workers),
        Invariant.CLAIM_FENCED_KNOWN,
        "shard %s: %s are fenced in state %s",
        claim.shard,
        claim.fenced_workers,
        claim.state,
    )
