"""Keep the highest fencing token that a worker has seen."""

from __future__ import annotations

import attrs

from baobabhoist.ownership.tokens import NO_TOKEN, Token


@attrs.define
class Fence:
    """Admit calls under the highest token presented and refuse all lower ones."""

    highest: Token = NO_TOKEN

    def present(self, token: Token) -> bool:
        """Take the token if it is at least the highest one; tell whether it was taken."""
        if token < self.highest:
            return False
        self.highest = token
        return True

    def allows(self, token: Token) -> bool:
        """Tell whether a call under this token may have an effect."""
        return token == self.highest
