"""Derive the limits on what clients can make a process hold from the size of its machine."""

from __future__ import annotations

import resource

import attrs

BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_FDS = 4_096
DEFAULT_CORES = 1.0
# Files, the connections that the process opens itself, and its listening sockets.
RESERVED_FDS = 800
MIN_CONNECTIONS = 64
MIN_BODY_MEMORY_BYTES = 12 << 20
BODY_MEMORY_FRACTION = 0.1
CONNECTION_MEMORY_FRACTION = 0.25
# Buffers of one connection in the process and in the kernel, beside its body.
CONNECTION_BYTES = 80 << 10
SENDING_DIVISOR = 8
SMALL_RESERVE_FRACTION = 0.25
PIECES_PER_CORE_S = 10_000.0
MIN_PIECES_PER_S = 1_000.0


@attrs.frozen
class InboundLimits:
    """Hold the limits of one process; sizes in bytes, timeouts in seconds."""

    max_connections: int
    # Those that wait for their clients, and may have their buffers filled.
    max_waiting: int
    # Those whose clients have not read their answers; the answers are held in memory.
    max_sending: int
    # All bodies that are not complete, or complete and not served, of all connections.
    body_memory_bytes: int
    # Part of it that only small bodies may use.
    small_reserve_bytes: int
    # Chunks and reads of bodies that are decoded a second, beyond the first ones of each request.
    pieces_per_s: float
    small_body_bytes: int = 64 << 10
    max_header_bytes: int = 64 << 10
    read_chunk_bytes: int = 16 << 10
    receive_buffer_bytes: int = 32 << 10
    piece_burst: int = 4_000
    # Until the headers of the next request are complete.
    idle_timeout_s: float = 60.0
    # Until the next piece of a body.
    body_stall_timeout_s: float = 15.0
    body_timeout_s: float = 60.0
    write_timeout_s: float = 30.0
    # A body can be given up for another one only after it has stalled this long.
    min_stall_s: float = 0.5
    # Read of a refused body, so that the client sees its answer before the connection ends.
    discard_bytes: int = 1 << 20
    discard_timeout_s: float = 2.0

    @classmethod
    def for_process(
        cls, memory_mb: int = 0, max_fds: int = 0, cores: float = DEFAULT_CORES
    ) -> InboundLimits:
        """Return the limits of a process on a machine; 0 means that a size is not known."""
        memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        body_memory = max(MIN_BODY_MEMORY_BYTES, int(memory_bytes * BODY_MEMORY_FRACTION))
        max_connections = _max_connections(_open_file_limit(max_fds))
        by_memory = int(memory_bytes * CONNECTION_MEMORY_FRACTION) // CONNECTION_BYTES
        max_waiting = max(MIN_CONNECTIONS, min(by_memory, max_connections))
        return cls(
            max_connections=max_connections,
            max_waiting=max_waiting,
            max_sending=max_waiting // SENDING_DIVISOR,
            body_memory_bytes=body_memory,
            small_reserve_bytes=int(body_memory * SMALL_RESERVE_FRACTION),
            pieces_per_s=max(MIN_PIECES_PER_S, PIECES_PER_CORE_S * cores),
        )


def _open_file_limit(max_fds: int) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = max_fds or DEFAULT_MAX_FDS
    return wanted if soft_limit == resource.RLIM_INFINITY else min(wanted, soft_limit)


def _max_connections(max_fds: int) -> int:
    return max(MIN_CONNECTIONS, max_fds - RESERVED_FDS, max_fds // 4)
