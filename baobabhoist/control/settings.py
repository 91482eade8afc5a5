"""Define the settings of an instance that runs on the platform."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from baobabhoist.cell.policy import SchedulingPolicy
from baobabhoist.config.limits import LimitSettings
from baobabhoist.config.options import (
    Choice,
    Integer,
    Number,
    Problem,
    Section,
    Switch,
    Text,
    identifier,
    setting,
    tcp_port,
)

ADDRESS = Text(r"[^\s:]+:[0-9]{1,5}", "an address such as 10.1.2.3:8080")
OPTIONAL_ADDRESS = Text(r"([^\s:]+:[0-9]{1,5})?", "an address such as 10.1.2.3:8080, or empty")
MAX_DURATION_MS = 600_000
MAX_HALF_LIFE_S = 30 * 24 * 3600.0


def _milliseconds(low: int = 1) -> Number:
    return Number(low, MAX_DURATION_MS, "ms")


def _seconds() -> Number:
    return Number(0.0, MAX_DURATION_MS / 1000, "s")


@attrs.frozen
class BoundSettings:
    """Hold the limits set by the platform that an instance must respect."""

    lease_max_ms: float = setting(_milliseconds(), "Longest lease that a worker grants.")
    revoke_ms: float = setting(_milliseconds(), "Time within which a withdrawn key stops working.")
    grace_s: float = setting(_seconds(), "Time from SIGTERM to SIGKILL.")
    job_kept_s: float = setting(_seconds(), "Least time for which a finished job can be queried.")
    config_apply_ms: float = setting(
        _milliseconds(), "Time within which a new configuration comes into force."
    )


@attrs.frozen
class StoreSettings:
    """Hold the address and the limits of the platform's store."""

    address: str = setting(ADDRESS, "Address of the store.")
    row_max_bytes: int = setting(Integer(1, 1 << 30, "bytes"), "Largest value of a row.")


def _switch(description: str) -> bool:
    switch: bool = setting(Switch(), description, default=False)
    return switch


@attrs.frozen
class SchedulingSettings:
    """Hold which optional parts of scheduling are in use."""

    shares: bool = _switch("Serve teams by their weights when the cell is full.")
    usage_half_life_s: float = setting(
        Number(0.0, MAX_HALF_LIFE_S, "s"),
        "Time after which past use of a team counts half; 0 if it does not count.",
        default=0.0,
    )
    admission: bool = _switch("Refuse jobs that cannot end in time.")
    backfill: bool = _switch("Let small tasks use workers reserved for a gang until it starts.")
    preemption: bool = _switch("Let urgent tasks stop less urgent ones.")
    advice_forecast: bool = _switch("Ask for advice only for starts expected before it expires.")
    pace: bool = _switch("Learn speeds from progress, and match the workers of a gang by speed.")

    def policy(self) -> SchedulingPolicy:
        """Return the parts of scheduling that are switched on."""
        return SchedulingPolicy(
            weighs_shares=self.shares,
            usage_half_life_s=self.usage_half_life_s,
            refuses_hopeless_jobs=self.admission,
            backfills=self.backfill,
            preempts=self.preemption,
            forecasts_advice=self.advice_forecast,
            tracks_pace=self.pace,
        )


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
    bounds: BoundSettings = setting(Section(BoundSettings), "Limits set by the platform.")
    cpu_share: float = setting(
        Number(0.001, 4096.0), "Share of a core that this instance may use, in units of cpu_speed."
    )
    cpu_speed: float = setting(
        Number(0.001, 4096.0), "Speed of that core relative to a reference core."
    )
    link_mbps: float = setting(Number(0.001, 1e6, "Mbit/s"), "Bandwidth of this machine's link.")
    adviser_address: str = setting(
        OPTIONAL_ADDRESS, "Address of the placement adviser; empty if there is none.", default=""
    )
    peer_address: str = setting(
        OPTIONAL_ADDRESS,
        "Address that other instances use; defaults to host and peer_port.",
        default="",
    )
    scheduling: SchedulingSettings = setting(
        Section(SchedulingSettings), "Optional parts of scheduling.", default=SchedulingSettings()
    )
    limits: LimitSettings = setting(
        Section(LimitSettings), "Limits of the machine for this process.", default=LimitSettings()
    )
    log_level: str = setting(
        Choice(("debug", "info", "warning", "error")),
        "Lowest level that is logged.",
        default="info",
    )

    @property
    def advertised_peer_address(self) -> str:
        """Return the address at which other instances reach this one."""
        return self.peer_address or f"{self.host}:{self.peer_port}"

    @property
    def cores(self) -> float:
        """Return the processing capacity in reference cores."""
        return self.cpu_share * self.cpu_speed

    def problems(self) -> Iterator[Problem]:
        """Yield conflicts between options."""
        if self.peer_port == self.metrics_port:
            yield Problem("metrics_port", "is the same as peer_port", "choose another port")

    def warnings(self) -> Iterator[Problem]:
        """Yield warnings about valid but inadvisable values."""
        yield from ()
