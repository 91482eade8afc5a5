"""Decide when an instance claims the cell; conditional writes to the store resolve races."""

from __future__ import annotations

import enum
import re

import attrs
import cattrs
import orjson

ADDRESS = re.compile(r"[^\s:/?#@]+:[0-9]{1,5}")
# Run numbers grow with the generation, and workers read them as integers of a double.
MAX_GENERATION = 1 << 40
# Interval at which the owner writes its heartbeat row while the store answers.
HEARTBEAT_INTERVAL_MS = 500.0
# If the heartbeat is unchanged for this long, the owner can no longer write to the store.
HEARTBEAT_STALE_MS = 2_400.0
# A live owner writes its next heartbeat within this time.
HEARTBEAT_OVERDUE_MS = 1_200.0
# An owner releases the cell after ISOLATION_TIMEOUT_MS with fewer than 1 / MIN_LINKS_DIVISOR of
# its peak number of links. An owner whose peak is below MIN_PEAK_LINKS never does so.
MIN_LINKS_DIVISOR = 4
MIN_PEAK_LINKS = 3
ISOLATION_TIMEOUT_MS = 1_500.0
# An instance that released the cell because it was isolated does not claim it for this long.
ISOLATION_BACKOFF_MS = 6_000.0
# Takeovers from owners that did not release the cell delay the next one while they are within
# this window; at most MAX_COUNTED_TAKEOVERS of them count.
TAKEOVER_WINDOW_MS = 20_000.0
MAX_COUNTED_TAKEOVERS = 3
# Once its last confirmed heartbeat is older than this, an owner starts no runs and extends no
# leases.
CONFIRMATION_VALID_MS = 3_000.0


@attrs.frozen
class ClaimRow:
    """Hold the claim to the cell; `boot` identifies the owner's process, empty once released.

    A released claim may name the `successor` that the owner released the cell to. Its owner
    `tracks_silent_workers` unless it is of an earlier release, which extends the leases of workers
    that the row of silent workers names.
    """

    node: str
    boot: str
    address: str
    generation: int
    successor: str = ""
    tracks_silent_workers: bool = False

    @property
    def is_released(self) -> bool:
        """Return whether the owner has released the cell."""
        return not self.boot


def encode_claim(claim: ClaimRow) -> bytes:
    """Encode a claim as the value of its row."""
    return orjson.dumps(attrs.asdict(claim))


def decode_claim(value: bytes) -> ClaimRow:
    """Decode the value of a claim row; raises ValueError if it is malformed."""
    try:
        claim = cattrs.structure(orjson.loads(value), ClaimRow)
    except Exception as exc:
        raise ValueError(f"malformed claim row: {exc!r}") from exc
    if not claim.is_released and ADDRESS.fullmatch(claim.address) is None:
        raise ValueError("malformed claim row: the address is not a host and a port")
    if not 0 <= claim.generation <= MAX_GENERATION:
        raise ValueError("malformed claim row: the generation is out of range")
    return claim


class OwnerLinkState(enum.Enum):
    """Describe the link from an instance to the cell's owner."""

    # No connection has been attempted yet, or the first attempt is in progress.
    UNKNOWN = "unknown"
    CONNECTED = "connected"
    # The owner's address does not answer.
    SILENT = "silent"
    # Connections are refused: the process has ended, or something on the path resets them.
    REFUSED = "refused"
    # Another process answers at the owner's address, so the owner's process has ended.
    ENDED = "ended"


class ClaimReason(enum.Enum):
    """Describe why an instance claims the cell."""

    NONE = "none"
    UNCLAIMED = "unclaimed"
    RELEASED = "released"
    OWNER_ENDED = "owner_ended"
    OWNER_REFUSES = "owner_refuses"
    OWNER_SILENT = "owner_silent"
    BEAT_STALE = "beat_stale"


# With these reasons the previous owner can no longer send commands, though the instances that hold
# sessions for it may until their permits expire.
REASONS_PREVIOUS_OWNER_STOPPED = frozenset(
    {ClaimReason.UNCLAIMED, ClaimReason.RELEASED, ClaimReason.OWNER_ENDED}
)


@attrs.define
class IsolationDetector:
    """Detect that an owner has lost contact with the other instances.

    An isolated owner that still reaches the store gets neither their notices nor the advice that
    they would relay.
    """

    peak_links: int = 0
    last_sufficient_ms: float = 0.0

    def is_isolated(self, links: int, now: float) -> bool:
        """Record the number of links; return whether it has been too low for too long."""
        self.peak_links = max(self.peak_links, links)
        if links * MIN_LINKS_DIVISOR >= self.peak_links or self.peak_links < MIN_PEAK_LINKS:
            self.last_sufficient_ms = now
        return now - self.last_sufficient_ms > ISOLATION_TIMEOUT_MS


def takeover_backoff_factor(recent_takeovers: int) -> float:
    """Return the factor by which recent takeovers lengthen the timeouts for the owner.

    An owner that loads a large cell on a slow machine may be silent for seconds. Without this
    backoff, owners would replace each other before any of them has finished loading.
    """
    return 2.0 ** min(recent_takeovers, MAX_COUNTED_TAKEOVERS)


def find_claim_reason(
    claim: ClaimRow | None,
    link_state: OwnerLinkState,
    heartbeat_age_ms: float,
    boot_id: str,
    recent_takeovers: int = 0,
) -> ClaimReason:
    """Return the reason for an instance to claim the cell now, or NONE."""
    if claim is None:
        return ClaimReason.UNCLAIMED
    if claim.is_released:
        return ClaimReason.RELEASED
    if claim.boot == boot_id:
        # This process has stepped down, but its claim is still stored: nobody has taken over.
        return ClaimReason.RELEASED if heartbeat_age_ms > HEARTBEAT_STALE_MS else ClaimReason.NONE
    if link_state is OwnerLinkState.ENDED:
        return ClaimReason.OWNER_ENDED
    heartbeat_age_ms /= takeover_backoff_factor(recent_takeovers)
    if link_state is OwnerLinkState.REFUSED and heartbeat_age_ms > HEARTBEAT_OVERDUE_MS:
        return ClaimReason.OWNER_REFUSES
    if link_state is OwnerLinkState.SILENT and heartbeat_age_ms > HEARTBEAT_OVERDUE_MS:
        return ClaimReason.OWNER_SILENT
    # The owner may be alive, but its heartbeats do not reach the store, so it starts no runs.
    if heartbeat_age_ms > HEARTBEAT_STALE_MS:
        return ClaimReason.BEAT_STALE
    return ClaimReason.NONE
