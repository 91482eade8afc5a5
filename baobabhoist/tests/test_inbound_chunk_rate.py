"""Test how many pieces of bodies may be decoded in a time."""

from baobabhoist.inbound.chunk_rate import BATCH_PIECES, FREE_PIECES, is_pause_due, make_bucket

PIECES_PER_S = 1_000.0
BURST_PIECES = 320
MS_PER_S = 1_000


# Guards against an ordinary request that waits, and a large number of pieces that doesn't.
def test_each_batch_after_the_first_pieces_needs_a_token():
    due = [pieces for pieces in range(200) if is_pause_due(pieces)]
    assert due == list(range(FREE_PIECES, 200, BATCH_PIECES))


# Guards against clients that together have more pieces decoded than the rate allows.
def test_pieces_are_bounded_by_the_rate_and_the_burst():
    bucket = make_bucket(PIECES_PER_S, BURST_PIECES)
    granted = sum(bucket.take(float(now_ms)) for now_ms in range(10 * MS_PER_S) for _ in range(3))
    allowed = (BURST_PIECES + PIECES_PER_S * 10) / BATCH_PIECES
    assert allowed - 1 <= granted <= allowed
