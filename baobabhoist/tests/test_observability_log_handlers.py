"""Test that logging neither blocks nor floods."""

import logging
import os

from baobabhoist.observability.log_handlers import NonBlockingHandler, RateLimitFilter


def test_a_full_pipe_drops_lines_and_counts_them():
    """Guard against a daemon that stands still because nobody reads its log."""
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream, os.fdopen(read_end, "rb") as reader:
        handler = NonBlockingHandler(stream)
        record = logging.LogRecord("x", logging.INFO, "", 0, "y" * 1000, (), None)
        for _ in range(1000):
            handler.emit(record)
        assert handler.dropped_lines > 0
        assert reader.read1(10).startswith(b"yyy")


def test_one_event_is_bounded_and_others_are_not():
    """Guard against a flood of one event that hides or costs everything else."""
    limit = RateLimitFilter("event", per_second=3)

    def record(event, level=logging.INFO):
        made = logging.LogRecord("x", level, "", 0, "", (), None)
        made.event, made.created = event, 100.5
        return made

    assert [limit.filter(record("a")) for _ in range(5)] == [True] * 3 + [False] * 2
    assert limit.filter(record("b"))
    assert limit.filter(record("a", logging.WARNING))
    assert limit.suppressed_lines == 2
