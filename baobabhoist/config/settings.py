"""Define the settings of the daemon and the checks that span several settings."""

from __future__ import annotations

import ipaddress
import stat
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import attrs

from baobabhoist.config.limits import LimitSettings
from baobabhoist.config.options import (
    BaseUrl,
    Choice,
    Integer,
    IpAddress,
    Number,
    Problem,
    ReadableFile,
    Section,
    SectionList,
    identifier,
    setting,
    sha256_digest,
    tcp_port,
)

# Request keys are kept until their deadline, so the longest deadline bounds memory use.
MAX_DEADLINE_S = 600.0
MAX_BODY_BYTES = 1 << 30
# An owner renews leases every second; a lease must survive two lost renewals.
MIN_LEASE_S = 3.0
MAX_LEASE_S = 120.0
GROUP_AND_OTHER_PERMISSIONS = stat.S_IRWXG | stat.S_IRWXO


@attrs.frozen
class TlsSettings:
    """Hold the PEM files of one TLS endpoint; if `ca` is set, client certificates are required."""

    certificate: str = setting(ReadableFile(), "Certificate chain of this instance.")
    key: str = setting(ReadableFile(), "Private key of the certificate.")
    ca: str = setting(
        ReadableFile(),
        "Certificates of the authorities; the other side must present a certificate they signed.",
        default="",
    )


@attrs.frozen
class PeerSettings:
    """Hold the name and address of another instance."""

    instance_id: str = setting(identifier(), "Name of the other instance.")
    data_centre: str = setting(identifier(), "Data centre of the other instance.")
    host: str = setting(IpAddress(), "IP address of the other instance.")
    port: int = setting(tcp_port(), "Peer port of the other instance.")


@attrs.frozen
class Settings:
    """Hold the validated settings of one instance."""

    instance_id: str = setting(identifier(), "Name of this instance, unique among all instances.")
    data_centre: str = setting(identifier(), "Data centre that this instance runs in.")
    host: str = setting(IpAddress(), "IP address that all ports of this instance listen on.")
    caller_port: int = setting(tcp_port(), "Port for callers.")
    admin_port: int = setting(tcp_port(), "Port for operators and metrics.")
    peer_port: int = setting(tcp_port(), "Port for the other instances.")
    platform_url: str = setting(BaseUrl(), "Address of the platform's table service.")
    operator_key_digest: str = setting(sha256_digest(), "SHA-256 digest of the operators' key.")
    peers: list[PeerSettings] = setting(
        SectionList(PeerSettings), "All other instances.", factory=list
    )
    vm_weight: float = setting(
        Number(0.01, 1000.0), "Size of this VM; larger VMs own more shards.", default=1.0
    )
    caller_tls: TlsSettings | None = setting(
        Section(TlsSettings, optional=True), "TLS of the port for callers.", default=None
    )
    admin_tls: TlsSettings | None = setting(
        Section(TlsSettings, optional=True), "TLS of the port for operators.", default=None
    )
    peer_tls: TlsSettings | None = setting(
        Section(TlsSettings, optional=True),
        "TLS between instances; `ca` is required, because instances authenticate each other.",
        default=None,
    )
    max_body_bytes: int = setting(
        Integer(1024, MAX_BODY_BYTES, "bytes"),
        "Largest body of a request; larger ones are refused.",
        default=16 << 20,
    )
    max_deadline_s: float = setting(
        Number(1.0, MAX_DEADLINE_S, "seconds"),
        "Longest time a caller's deadline may lie ahead.",
        default=MAX_DEADLINE_S,
    )
    default_deadline_s: float = setting(
        Number(0.1, MAX_DEADLINE_S, "seconds"),
        "Deadline of a request whose caller sent none.",
        default=30.0,
    )
    clock_skew_s: float = setting(
        Number(0.0, 60.0, "seconds"),
        "Largest difference between the clocks of any two VMs.",
        default=0.5,
    )
    membership_lag_s: float = setting(
        Number(0.0, 3600.0, "seconds"),
        "Longest time until the membership list shows a change.",
        default=30.0,
    )
    task_lease_s: float = setting(
        Number(MIN_LEASE_S, MAX_LEASE_S, "seconds"),
        "Time after which a worker stops a task whose lease was not renewed.",
        default=30.0,
    )
    limits: LimitSettings = setting(
        Section(LimitSettings), "Limits of the machine for this process.", default=LimitSettings()
    )
    log_format: str = setting(
        Choice(("text", "json")), "Form of the log lines on standard error.", default="text"
    )
    log_level: str = setting(
        Choice(("debug", "info", "warning", "error")),
        "Lowest level that is logged.",
        default="info",
    )

    @property
    def is_loopback(self) -> bool:
        """Return whether the ports can be reached only from this VM."""
        return ipaddress.ip_address(self.host).is_loopback

    def problems(self) -> Iterator[Problem]:
        """Yield the errors that concern several settings together."""
        yield from self._port_problems()
        yield from self._peer_problems()
        if self.default_deadline_s > self.max_deadline_s:
            yield Problem(
                "default_deadline_s",
                f"{self.default_deadline_s:g} s is longer than max_deadline_s",
                f"give at most {self.max_deadline_s:g}",
            )
        if self.clock_skew_s >= self.task_lease_s:
            yield Problem(
                "clock_skew_s",
                "is not shorter than task_lease_s, so every lease could already be expired",
                f"give less than {self.task_lease_s:g}",
            )
        if self.peer_tls is not None and not self.peer_tls.ca:
            yield Problem(
                "peer_tls.ca",
                "is missing, and instances authenticate each other by certificates",
                "give the authorities that sign the instances' certificates",
            )

    def warnings(self) -> Iterator[Problem]:
        """Yield settings that are allowed but probably not intended."""
        for section in ("caller_tls", "admin_tls", "peer_tls"):
            tls: TlsSettings | None = getattr(self, section)
            if tls is None and not self.is_loopback:
                yield Problem(
                    section, f"{self.host} is served without TLS", "give a certificate and a key"
                )
            if tls is not None and Path(tls.key).stat().st_mode & GROUP_AND_OTHER_PERMISSIONS:
                yield Problem(
                    f"{section}.key", "others can read the private key", "set its mode to 0600"
                )
        if not self.peers:
            yield Problem(
                "peers",
                "lists no other instance, so no instance can take over",
                "list all instances",
            )
        if self.membership_lag_s < self.clock_skew_s:
            yield Problem(
                "membership_lag_s", "is shorter than clock_skew_s", "give the measured lag"
            )

    def _port_problems(self) -> Iterator[Problem]:
        field_by_port: dict[int, str] = {}
        for field in ("caller_port", "admin_port", "peer_port"):
            port_number = getattr(self, field)
            if port_number in field_by_port:
                yield Problem(
                    field,
                    f"port {port_number} is also {field_by_port[port_number]}",
                    "give each its own port",
                )
            field_by_port[port_number] = field

    def _peer_problems(self) -> Iterator[Problem]:
        names = Counter(peer.instance_id for peer in self.peers)
        addresses = Counter((peer.host, peer.port) for peer in self.peers)
        for index, peer in enumerate(self.peers):
            path = f"peers[{index}]"
            if peer.instance_id == self.instance_id:
                yield Problem(
                    f"{path}.instance_id", "is the name of this instance", "remove the entry"
                )
            if names[peer.instance_id] > 1:
                yield Problem(
                    f"{path}.instance_id",
                    f"{peer.instance_id} is listed more than once",
                    "list each instance once",
                )
            if addresses[peer.host, peer.port] > 1:
                yield Problem(
                    f"{path}.port",
                    f"{peer.host}:{peer.port} is listed more than once",
                    "give each instance its own address",
                )
