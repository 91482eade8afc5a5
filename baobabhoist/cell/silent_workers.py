"""Describe the workers whose leases nobody extends because nobody hears them."""

from __future__ import annotations

import attrs


@attrs.frozen
class SilentWorker:
    """Tell when the runs of a silent worker have certainly ended, in ms.

    The leases of the processes that were heard expire at `lease_expiry_ms`, and the longest one
    that its next process may have granted at `longest_expiry_ms`.
    """

    lease_expiry_ms: float
    longest_expiry_ms: float
