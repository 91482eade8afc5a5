"""Decide when an instance claims the cell; the store's conditional writes settle races."""

from __future__ import annotations

import enum

import attrs
import cattrs
import orjson

# The owner rewrites its beat this often while the store answers.
HEARTBEAT_INTERVAL_MS = 500.0
# A beat that has not changed for this long shows an owner that the store no longer hears.
HEARTBEAT_STALE_MS = 2_400.0
# After this time a live owner's next beat is overdue.
HEARTBEAT_OVERDUE_MS = 1_200.0
# An owner with less than one in so many of its links for this long gives the cell up.
MIN_LINKS_DIVISOR = 4
MIN_PEAK_LINKS = 3
ISOLATION_TIMEOUT_MS = 1_500.0
# An instance that gave the cell up for this does not claim it again at once.
ISOLATION_BACKOFF_MS = 6_000.0
# Takeovers from silent owners within this time make the next one slower.
TAKEOVER_WINDOW_MS = 20_000.0
MAX_COUNTED_TAKEOVERS = 3
# An owner that the store has not confirmed for this long orders nothing more.
CONFIRMATION_VALID_MS = 3_000.0


@attrs.frozen
class ClaimRow:
    """Hold the claim: `boot` names the owner's process, empty after it was released."""

    node: str
    boot: str
    address: str
    generation: int

    @property
    def released(self) -> bool:
        """Tell whether the owner gave the cell up."""
        return not self.boot


def encode_claim(claim: ClaimRow) -> bytes:
    """Return the value of the claim's row."""
    return orjson.dumps(attrs.asdict(claim))


def decode_claim(value: bytes) -> ClaimRow:
    """Return the claim in a row; raises ValueError if it cannot be read."""
    try:
        return cattrs.structure(orjson.loads(value), ClaimRow)
    except Exception as exc:
        raise ValueError(f"not a claim: {exc}") from exc


class OwnerLinkState(enum.Enum):
    """Name what an instance sees of the owner over its link."""

    # The link has not been tried or is being made.
    UNKNOWN = "unknown"
    CONNECTED = "connected"
    # Nothing answers at the owner's address.
    SILENT = "silent"
    # Connections are refused: the process has ended, or something between resets them.
    REFUSED = "refused"
    # Another process answers at the owner's address, so that the owner's has ended.
    ENDED = "ended"


class ClaimReason(enum.Enum):
    """Name why an instance claims the cell."""

    NONE = "none"
    UNCLAIMED = "unclaimed"
    RELEASED = "released"
    OWNER_ENDED = "owner_ended"
    OWNER_REFUSES = "owner_refuses"
    OWNER_SILENT = "owner_silent"
    BEAT_STALE = "beat_stale"


# After these the earlier owner can order nothing more.
REASONS_PREVIOUS_OWNER_STOPPED = frozenset(
    {ClaimReason.UNCLAIMED, ClaimReason.RELEASED, ClaimReason.OWNER_ENDED}
)


@attrs.define
class IsolationDetector:
    """Judge whether an owner still reaches the other instances.

    An owner that reaches the store but no instance gets no notices and no advice through others.
    """

    peak_links: int = 0
    last_sufficient_ms: float = 0.0

    def is_isolated(self, links: int, now: float) -> bool:
        """Take a count of links; tell whether most have been gone for too long."""
        self.peak_links = max(self.peak_links, links)
        if links * MIN_LINKS_DIVISOR >= self.peak_links or self.peak_links < MIN_PEAK_LINKS:
            self.last_sufficient_ms = now
        return now - self.last_sufficient_ms > ISOLATION_TIMEOUT_MS


def takeover_backoff_factor(recent_takeovers: int) -> float:
    """Return how many times longer a silent owner is borne after takeovers in a row.

    An owner that loads a large cell on a slow machine may be silent for seconds. Without this,
    owners would replace each other before any of them has begun.
    """
    return 2.0 ** min(recent_takeovers, MAX_COUNTED_TAKEOVERS)


def claim_reason(
    claim: ClaimRow | None,
    link_state: OwnerLinkState,
    heartbeat_age_ms: float,
    boot: str,
    recent_takeovers: int = 0,
) -> ClaimReason:
    """Return why an instance should claim the cell now, or NONE."""
    if claim is None:
        return ClaimReason.UNCLAIMED
    if claim.released:
        return ClaimReason.RELEASED
    if claim.boot == boot:
        # This process gave the cell away, and the other one did not take it.
        return ClaimReason.RELEASED if heartbeat_age_ms > HEARTBEAT_STALE_MS else ClaimReason.NONE
    if link_state is OwnerLinkState.ENDED:
        return ClaimReason.OWNER_ENDED
    heartbeat_age_ms /= takeover_backoff_factor(recent_takeovers)
    if link_state is OwnerLinkState.REFUSED and heartbeat_age_ms > HEARTBEAT_OVERDUE_MS:
        return ClaimReason.OWNER_REFUSES
    if link_state is OwnerLinkState.SILENT and heartbeat_age_ms > HEARTBEAT_OVERDUE_MS:
        return ClaimReason.OWNER_SILENT
    # The owner lives but the store hears nothing of it, so that it can order nothing.
    if heartbeat_age_ms > HEARTBEAT_STALE_MS:
        return ClaimReason.BEAT_STALE
    return ClaimReason.NONE
