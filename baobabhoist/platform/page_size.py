"""Choose how many rows to ask for at once, from whether the last answers came in time."""

from __future__ import annotations

import attrs

# The store returns no more than this.
MOST_ROWS = 500
FEWEST_ROWS = 16
# A page that did not arrive in time is asked again as one of so many.
SHRINK_FACTOR = 4


@attrs.define
class PageSize:
    """Hold the rows of the next page.

    A whole large page can never arrive over a slow or busy network link within one call's
    timeout, however often it is asked for; a smaller one can.
    """

    rows: int = MOST_ROWS

    def answered(self) -> None:
        """Ask for more after a page that arrived."""
        self.rows = min(MOST_ROWS, self.rows * 2)

    def timed_out(self) -> None:
        """Ask for less after a page that did not arrive."""
        self.rows = max(FEWEST_ROWS, self.rows // SHRINK_FACTOR)
