"""Enforce fencing tokens on a worker."""

from __future__ import annotations

import attrs

from baobabhoist.ownership.tokens import NO_TOKEN, Token


@attrs.define
class Fence:
    """Allow only calls under the highest token that the worker has accepted."""

    highest_token: Token = NO_TOKEN

    def accept(self, token: Token) -> bool:
        """Accept a token unless it is below the highest one; return whether it was accepted."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True

    def allows(self, token: Token) -> bool:
        """Return whether a call under this token may take effect."""
        return token == self.highest_token
