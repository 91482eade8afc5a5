"""Test that logging neither blocks on a full pipe nor floods the log."""

import logging
import os

from baobabhoist.observability.log_handlers import NonBlockingHandler, RateLimitFilter


def test_a_full_pipe_drops_lines_and_counts_them():
    """Guard against a daemon that blocks because nothing reads its log pipe."""
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream, os.fdopen(read_end, "rb") as reader:
        handler = NonBlockingHandler(stream)
        record = logging.LogRecord("x", logging.INFO, "", 0, "y" * 1000, (), None)
        for _ in range(1000):
            handler.emit(record)
        assert handler.dropped_lines > 0
        assert reader.read1(10).startswith(b"yyy")


def test_only_repeated_lines_of_one_event_are_suppressed():
    """Guard against one frequent event that hides all others or slows the process down."""
    rate_limit = RateLimitFilter("event", max_per_second=3)

    def record(event, level=logging.INFO):
        log_record = logging.LogRecord("x", level, "", 0, "", (), None)
        log_record.event, log_record.created = event, 100.5
        return log_record

    assert [rate_limit.filter(record("a")) for _ in range(5)] == [True] * 3 + [False] * 2
    assert rate_limit.filter(record("b"))
    assert rate_limit.filter(record("a", logging.WARNING))
    assert rate_limit.suppressed_lines == 2
