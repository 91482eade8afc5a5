"""Test that an instance on the platform reads its settings at the start and on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml

from baobabhoist.errors import SettingsError
from baobabhoist.platform import instance
from baobabhoist.tests.platform_harness import make_settings

SETTINGS: dict[str, Any] = {
    "instance_id": "edge-1",
    "data_centre": "z1",
    "host": "10.0.0.1",
    "caller_address": "10.0.0.1:8183",
    "ready_address": "10.0.0.1:8184",
    "peer_port": 7420,
    "metrics_port": 9464,
    "cpu_share": 0.5,
    "cpu_speed": 2,
    "link_mbps": 1000.0,
    "store": {"address": "10.200.0.1:8182", "row_max_bytes": 65536},
    "bounds": {
        "lease_max_ms": 6000,
        "revoke_ms": 5000,
        "grace_s": 6,
        "job_kept_s": 120,
        "config_apply_ms": 2000,
    },
}


# Starts an instance that gets SIGHUP while it imports the first of its libraries.
START_AND_RELOAD = """
import importlib.abc, os, runpy, signal, sys

class SignalFinder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name in ("asyncio", "attrs"):
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalFinder())
runpy.run_module("baobabhoist.platform.main", run_name="__main__")
"""


@pytest.fixture
def settings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Any:
    """Return a function that writes the settings file; restore the log level afterwards."""
    path = tmp_path / "settings.yaml"
    monkeypatch.setenv(instance.SETTINGS_ENV_VAR, str(path))

    def write(text: str = "", **changes: Any) -> None:
        path.write_text(text or yaml.safe_dump({**SETTINGS, **changes}), encoding="utf-8")

    level = logging.getLogger("baobabhoist").level
    yield write
    logging.getLogger("baobabhoist").setLevel(level)


def test_all_problems_are_reported_at_once(settings: Any) -> None:
    """Guard against operators who can correct only one problem per start."""
    settings(peer_port=0, cpu_share="much")
    with pytest.raises(SettingsError) as error:
        instance.load_settings()
    assert "peer_port" in str(error.value)
    assert "cpu_share" in str(error.value)


def test_a_duplicate_key_is_rejected(settings: Any) -> None:
    """Guard against a setting that is silently overridden further down in the file."""
    settings(yaml.safe_dump(SETTINGS) + "host: 10.0.0.2\n")
    with pytest.raises(SettingsError, match="given twice"):
        instance.load_settings()


def test_peers_use_the_advertised_address(settings: Any) -> None:
    """Guard against an instance behind a relay that its peers cannot connect to."""
    settings()
    assert instance.load_settings().advertised_peer_address == "10.0.0.1:7420"
    settings(peer_address="192.0.2.1:99")
    assert instance.load_settings().advertised_peer_address == "192.0.2.1:99"


def test_a_reload_changes_the_log_level(settings: Any) -> None:
    """Guard against a restart that is needed to get more detailed logs of a running instance."""
    settings(log_level="debug")
    instance._reload_settings()
    assert logging.getLogger("baobabhoist").level == logging.DEBUG


def test_a_malformed_file_changes_nothing(settings: Any) -> None:
    """Guard against an instance that exits because its settings file is only half written."""
    settings(log_level="debug")
    instance._reload_settings()
    settings("instance_id: [")
    instance._reload_settings()
    assert logging.getLogger("baobabhoist").level == logging.DEBUG


def test_reload_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """Guard against SIGHUP ending an instance that is still importing its modules."""
    settings_path = str(tmp_path / "missing.yaml")
    result = subprocess.run(
        [sys.executable, "-c", START_AND_RELOAD],
        env={**os.environ, instance.SETTINGS_ENV_VAR: settings_path},
        capture_output=True,
        check=False,
    )
    assert result.returncode == instance.EXIT_BAD_SETTINGS


def test_bounds_of_the_settings_are_those_of_admission() -> None:
    """Guard against an instance that serves an old configuration without a bound."""

    async def make() -> tuple[float, float]:
        job_api = instance.make_node(make_settings(6.0)).job_api
        return job_api.revoke_ms, job_api.config_apply_ms

    assert asyncio.run(make()) == (5_000, 2_000)
