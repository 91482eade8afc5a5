"""Adapt the number of rows per page to whether recent pages arrived."""

from __future__ import annotations

import attrs

# The store returns at most this many rows per page.
MAX_PAGE_ROWS = 500
MIN_PAGE_ROWS = 16
# After a page that did not arrive in time, the page size is divided by this.
SHRINK_FACTOR = 4


@attrs.define
class AdaptivePageSize:
    """Hold the number of rows to request in the next page.

    A page that stops arriving is lost whole; of smaller pages less is lost.
    """

    rows: int = MAX_PAGE_ROWS

    def record_response(self) -> None:
        """Double the page size after a page that arrived."""
        self.rows = min(MAX_PAGE_ROWS, self.rows * 2)

    def record_timeout(self) -> None:
        """Shrink the page size after a page that did not arrive."""
        self.rows = max(MIN_PAGE_ROWS, self.rows // SHRINK_FACTOR)
