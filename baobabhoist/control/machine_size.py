"""Compare machines by how well they can carry the owner of a cell."""

from __future__ import annotations

import math

import attrs

# What the owner of a large cell needs.
RECOMMENDED_CORES = 1.0
RECOMMENDED_LINK_MBPS = 50.0


@attrs.frozen
class MachineSize:
    """Hold the size of a machine: its capacity in reference cores and its link's bandwidth."""

    cores: float = 0.0
    link_mbps: float = 0.0

    @property
    def suitability(self) -> float:
        """Return from 0 to 1 how well this machine can carry the owner of a large cell."""
        cores = min(1.0, self.cores / RECOMMENDED_CORES)
        link = min(1.0, self.link_mbps / RECOMMENDED_LINK_MBPS)
        return math.sqrt(cores * link)
