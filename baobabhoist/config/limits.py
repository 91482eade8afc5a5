"""Define the settings that tell a process what its machine gives it."""

from __future__ import annotations

import attrs

from baobabhoist.config.options import Integer, setting

MAX_MEMORY_MB = 1 << 24
MAX_OPEN_FILES = 1 << 24


@attrs.frozen
class LimitSettings:
    """Hold the limits of the machine for this process; 0 means that a limit is not given."""

    memory_mb: int = setting(
        Integer(0, MAX_MEMORY_MB, "MB", empty_value=0),
        "Memory that this process may use; 0 or empty if it is not given.",
        default=0,
    )
    max_open_files: int = setting(
        Integer(0, MAX_OPEN_FILES, empty_value=0),
        "Files and sockets that this process may have open; 0 or empty if it is not given.",
        default=0,
    )
