"""Test how large the pages are that are asked of the store."""

from __future__ import annotations

from baobabhoist.platform.page_size import MAX_PAGE_ROWS, MIN_PAGE_ROWS, AdaptivePageSize

# What a link of 2 Mbit/s brings within one call's timeout, in rows of 4 KB.
ROWS_IN_TIME = 60


def test_pages_shrink_until_they_arrive() -> None:
    """Guard against readings that never end because a whole page takes longer than a call."""
    pages = AdaptivePageSize()
    tries = 0
    while pages.rows > ROWS_IN_TIME:
        pages.record_timeout()
        tries += 1
    assert tries <= 2


def test_pages_keep_a_least_size_and_grow_again() -> None:
    """Guard against a store outage that leaves pages small, and so calls many."""
    pages = AdaptivePageSize()
    for _ in range(10):
        pages.record_timeout()
    assert pages.rows == MIN_PAGE_ROWS
    for _ in range(10):
        pages.record_response()
    assert pages.rows == MAX_PAGE_ROWS
