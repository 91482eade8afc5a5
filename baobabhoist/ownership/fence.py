"""Keep the highest fencing token that a worker has seen."""

from __future__ import annotations

import attrs

from baobabhoist.ownership.tokens import NO_TOKEN, Token


@attrs.define
class Fence:
    """Admit calls under the highest token presented and refuse all lower ones."""

    highest_token: Token = NO_TOKEN

    def accept(self, token: Token) -> bool:
        """Take the token if it is at least the highest one; tell whether it was taken."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True

    def allows(self, token: Token) -> bool:
        """Tell whether a call under this token may have an effect."""
        return token == self.highest_token
