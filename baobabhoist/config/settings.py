"""Define the daemon's settings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import cattrs
import yaml

from baobabhoist.errors import SettingsError


@attrs.frozen
class PeerSettings:
    """Name another instance."""

    instance_id: str
    data_centre: str
    host: str
    port: int


@attrs.frozen
class Settings:
    """Hold the validated settings of one instance."""

    instance_id: str
    data_centre: str
    host: str
    caller_port: int
    admin_port: int
    peer_port: int
    platform_url: str
    operator_key_digest: str
    peers: list[PeerSettings]
    vm_weight: float = 1.0


def load(path: str) -> Settings:
    """Return the settings in a file; raises SettingsError listing what is wrong."""
    try:
        raw: Any = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
        return cattrs.Converter(forbid_extra_keys=True).structure(raw, Settings)
    except (OSError, yaml.YAMLError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}") from exc
    except cattrs.BaseValidationError as exc:
        problems = cattrs.transform_error(exc, path="settings")
        raise SettingsError("\n".join(problems)) from exc
