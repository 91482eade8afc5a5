"""Test the adaptive size of the pages that are requested from the store."""

from __future__ import annotations

from baobabhoist.platform.page_size import MAX_PAGE_ROWS, MIN_PAGE_ROWS, AdaptivePageSize

# Number of 4 KB rows that a link of 2 Mbit/s transfers within the timeout of one request.
ROWS_PER_TIMEOUT = 60


def test_pages_shrink_until_they_arrive_in_time() -> None:
    """Guard against reads that never finish because a full page takes longer than the timeout."""
    page_size = AdaptivePageSize()
    timeouts = 0
    while page_size.rows > ROWS_PER_TIMEOUT:
        page_size.record_timeout()
        timeouts += 1
    assert timeouts <= 2


def test_pages_keep_a_minimum_size_and_grow_again() -> None:
    """Guard against a store outage that leaves pages small and requests numerous."""
    page_size = AdaptivePageSize()
    for _ in range(10):
        page_size.record_timeout()
    assert page_size.rows == MIN_PAGE_ROWS
    for _ in range(10):
        page_size.record_response()
    assert page_size.rows == MAX_PAGE_ROWS
