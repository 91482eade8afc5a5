"""Limit how many chunks and pieces of bodies are decoded, over all connections of a process."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

import attrs

from baobabhoist.cell.token_bucket import MS_PER_S, TokenBucket

# Decoded before the first pause of each request, so that an ordinary one costs nothing here.
FREE_PIECES = 16
# Decoded between two pauses.
BATCH_PIECES = 32
REFILL_INTERVAL_S = 0.005


def is_pause_due(pieces: int) -> bool:
    """Return whether a request that has had a number of pieces needs a batch for the next."""
    return pieces >= FREE_PIECES and (pieces - FREE_PIECES) % BATCH_PIECES == 0


def make_bucket(pieces_per_s: float, burst: int) -> TokenBucket:
    """Return a full bucket, each token of which is a batch of pieces."""
    tokens = max(1.0, burst / BATCH_PIECES)
    return TokenBucket(pieces_per_s / BATCH_PIECES / MS_PER_S, tokens, tokens)


class Source(Protocol):
    """Represent the stream that pieces are read from."""

    def closed(self) -> bool:
        """Return whether the stream is closed."""


@attrs.frozen(eq=False)
class Waiter:
    """Hold a request that waits for its turn; a closed one is let through to end."""

    source: Source
    turn: asyncio.Future[None]

    def end_if_closed(self) -> bool:
        """Let the request through if its stream is closed; return whether it was."""
        if self.source.closed() and not self.turn.done():
            self.turn.set_result(None)
        return self.turn.done()


class ChunkGate:
    """Let requests decode batches of pieces in the order in which they ask."""

    def __init__(self, bucket: TokenBucket) -> None:
        self._bucket = bucket
        self._waiting: deque[Waiter] = deque()

    def enter(self, source: Source) -> asyncio.Future[None] | None:
        """Take a batch; return None, or what to wait for if there is none now."""
        loop = asyncio.get_running_loop()
        if not self._waiting and self._bucket.take(loop.time() * MS_PER_S):
            return None
        if not self._waiting:
            loop.call_later(REFILL_INTERVAL_S, self._refill)
        turn = loop.create_future()
        self._waiting.append(Waiter(source, turn))
        return turn

    def _refill(self) -> None:
        loop = asyncio.get_running_loop()
        self._waiting = deque(waiter for waiter in self._waiting if not waiter.end_if_closed())
        while self._waiting and self._bucket.take(loop.time() * MS_PER_S):
            self._waiting.popleft().turn.set_result(None)
        if self._waiting:
            loop.call_later(REFILL_INTERVAL_S, self._refill)
