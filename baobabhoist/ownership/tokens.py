"""Define the fencing token of a shard owner."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Token:
    """Order the claims on a shard; a worker accepts calls only under the highest one it has seen.

    `epoch` is advanced by compare-and-set on the shard's row in the table. `round` is advanced
    locally while the table is unavailable.
    """

    epoch: int
    round: int
    instance_id: str


NO_TOKEN = Token(0, 0, "")
