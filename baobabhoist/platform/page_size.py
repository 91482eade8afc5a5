"""Choose how many rows to ask for at once, from whether the last answers came in time."""

from __future__ import annotations

import attrs

# The store returns no more than this.
MAX_PAGE_ROWS = 500
MIN_PAGE_ROWS = 16
# A page that did not arrive in time is asked again as one of so many.
SHRINK_FACTOR = 4


@attrs.define
class AdaptivePageSize:
    """Hold the rows of the next page.

    A whole large page can never arrive over a slow or busy network link within one call's
    timeout, however often it is asked for; a smaller one can.
    """

    rows: int = MAX_PAGE_ROWS

    def record_response(self) -> None:
        """Ask for more after a page that arrived."""
        self.rows = min(MAX_PAGE_ROWS, self.rows * 2)

    def record_timeout(self) -> None:
        """Ask for less after a page that did not arrive."""
        self.rows = max(MIN_PAGE_ROWS, self.rows // SHRINK_FACTOR)
