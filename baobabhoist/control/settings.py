"""Define the settings of an instance that runs on a platform."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from baobabhoist.config.options import (
    Choice,
    Integer,
    Number,
    Problem,
    Section,
    Text,
    identifier,
    setting,
    tcp_port,
)

ADDRESS = Text(r"[^\s:]+:[0-9]{1,5}", "an address such as 10.1.2.3:8080")
OPTIONAL_ADDRESS = Text(r"([^\s:]+:[0-9]{1,5})?", "an address such as 10.1.2.3:8080, or nothing")
LONGEST_MS = 600_000


def _ms(low: int = 1) -> Number:
    return Number(low, LONGEST_MS, "ms")


def _seconds() -> Number:
    return Number(0.0, LONGEST_MS / 1000, "s")


@attrs.frozen
class BoundSettings:
    """Hold the platform's bounds that the control code keeps."""

    lease_max_ms: float = setting(_ms(), "Longest lease that a worker grants.")
    revoke_ms: float = setting(_ms(), "A withdrawn key stops working within this time.")
    grace_s: float = setting(_seconds(), "Time from SIGTERM to SIGKILL.")
    job_kept_s: float = setting(_seconds(), "A finished job is shown for at least this time.")


@attrs.frozen
class StoreSettings:
    """Name the platform's store and what it allows."""

    address: str = setting(ADDRESS, "Address of the store.")
    row_max_bytes: int = setting(Integer(1, 1 << 30, "bytes"), "Largest value of a row.")


@attrs.frozen
class NodeSettings:
    """Hold the validated settings of one instance on a platform."""

    instance_id: str = setting(identifier(), "Name of this instance, unique among all instances.")
    data_centre: str = setting(identifier(), "Data centre that this instance runs in.")
    host: str = setting(Text(), "IP address that this instance listens on.")
    caller_address: str = setting(ADDRESS, "Address for callers.")
    ready_address: str = setting(ADDRESS, "Address of the readiness check and the metrics.")
    peer_port: int = setting(tcp_port(), "Port for the other instances.")
    metrics_port: int = setting(tcp_port(), "Port of the metrics.")
    store: StoreSettings = setting(Section(StoreSettings), "The platform's store.")
    bounds: BoundSettings = setting(Section(BoundSettings), "Bounds that the platform states.")
    cpu_share: float = setting(
        Number(0.001, 4096.0), "Part of a core that this instance has, in units of cpu_speed."
    )
    cpu_speed: float = setting(Number(0.001, 4096.0), "Speed of that core against a common one.")
    link_mbps: float = setting(Number(0.001, 1e6, "Mbit/s"), "Bandwidth of this machine's link.")
    adviser_address: str = setting(
        OPTIONAL_ADDRESS, "Address of the placement adviser, or nothing.", default=""
    )
    peer_address: str = setting(
        OPTIONAL_ADDRESS,
        "Address that other instances use; host and peer_port if it is left out.",
        default="",
    )
    log_level: str = setting(
        Choice(("debug", "info", "warning", "error")),
        "Least level that is logged.",
        default="info",
    )

    @property
    def advertised_peer_address(self) -> str:
        """Return the address under which the other instances reach this one."""
        return self.peer_address or f"{self.host}:{self.peer_port}"

    @property
    def cores(self) -> float:
        """Return the processor power in common cores."""
        return self.cpu_share * self.cpu_speed

    def problems(self) -> Iterator[Problem]:
        """Yield what is wrong across options."""
        if self.peer_port == self.metrics_port:
            yield Problem("metrics_port", "is the peer port too", "give another port")

    def warnings(self) -> Iterator[Problem]:
        """Yield what is allowed but unwise."""
        yield from ()
