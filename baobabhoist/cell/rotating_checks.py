"""Choose which steps a round looks at for advice, because it can't look at all of them."""

from __future__ import annotations

import attrs

# At most this many steps are looked at in vain in one round; a later one goes on with the others.
MAX_VAIN_CHECKS = 16


@attrs.define
class RotatingChecks:
    """Let every second round go on where the checks of an earlier one ended.

    Steps are identified by their position in the ranking.
    """

    _vain_count: int = 0
    # Steps further up the ranking are not looked at in this round.
    _first_position: int = 0
    # Where a later round goes on, because one ended its checks there; 0 if none did.
    _resume_position: int = 0
    _has_ended: bool = False

    def begin_round(self) -> None:
        """Look at the steps from the top, or every second time from where checks have ended."""
        self._vain_count = 0
        if self._first_position and not self._has_ended:
            self._resume_position = 0
        self._first_position = 0 if self._first_position else self._resume_position
        self._has_ended = False

    def skips(self, position: int) -> bool:
        """Return whether this round does not look at a step."""
        return position < self._first_position or self._has_ended

    def end_if_in_vain(self, position: int) -> bool:
        """Return whether too many checks of this round were in vain, which then ends here."""
        if self._vain_count < MAX_VAIN_CHECKS:
            return False
        if self._first_position or not self._resume_position:
            self._resume_position = position
        self._has_ended = True
        return True

    def count_vain(self) -> None:
        """Count a step for which there was nothing useful to ask."""
        self._vain_count += 1
