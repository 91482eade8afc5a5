"""Test that the loader reports every problem of a settings file at once."""

import math
import subprocess
import sys

import attrs
import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.config.limits import LimitSettings
from baobabhoist.config.load import load_with_warnings, validate_settings
from baobabhoist.config.options import BaseUrl, Integer, Number, OptionError
from baobabhoist.config.settings import PeerSettings, Settings, TlsSettings
from baobabhoist.control.settings import SchedulingSettings
from baobabhoist.errors import SettingsError

VALID_SETTINGS = {
    "instance_id": "north-1",
    "data_centre": "north",
    "host": "127.0.0.1",
    "caller_port": 7000,
    "admin_port": 7001,
    "peer_port": 7002,
    "platform_url": "http://127.0.0.1:8080",
    "operator_key_digest": "a" * 64,
    "peers": [{"instance_id": "n2", "data_centre": "north", "host": "127.0.0.2", "port": 7002}],
}
SAFE_YAML = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


def error_lines(raw):
    with pytest.raises(SettingsError) as error:
        validate_settings(raw)
    return str(error.value).splitlines()


def test_settings_that_are_left_out_have_defaults():
    """Guard against a renamed attribute, or a default that is itself rejected."""
    cfg = validate_settings(VALID_SETTINGS).settings
    assert (cfg.max_deadline_s, cfg.log_format, cfg.peers[0].port) == (600.0, "text", 7002)


def test_empty_limits_of_the_machine_are_accepted():
    """Guard against an instance that does not start because its platform states no limits."""
    empty_limits = {"memory_mb": None, "max_open_files": None}
    cfg = validate_settings({**VALID_SETTINGS, "limits": empty_limits}).settings
    assert cfg == validate_settings(VALID_SETTINGS).settings


def test_every_problem_is_reported_at_once():
    """Guard against a loader that stops at the first problem or omits its path."""
    invalid = dict(
        VALID_SETTINGS, caller_prot=1, admin_port="7001", peer_port=70000, vm_weight=math.nan
    )
    del invalid["caller_port"]
    invalid["peers"] = [{"instance_id": "n2", "data_centre": "North!", "host": "n2.example"}, 7]
    paths = {line.split(":")[0] for line in error_lines(invalid)}
    assert paths == {
        "caller_prot",
        "caller_port",
        "admin_port",
        "peer_port",
        "vm_weight",
        "peers[0].data_centre",
        "peers[0].host",
        "peers[0].port",
        "peers[1]",
    }
    assert "caller_prot: is not a setting; did you mean caller_port?" in error_lines(invalid)


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"admin_port": 7000}, "admin_port"),
        ({"peers": VALID_SETTINGS["peers"] * 2}, "peers[0].instance_id"),
        (
            {"peers": [dict(VALID_SETTINGS["peers"][0], instance_id="north-1")]},
            "peers[0].instance_id",
        ),
        ({"max_deadline_s": 10, "default_deadline_s": 20}, "default_deadline_s"),
        ({"clock_skew_s": 30, "task_lease_s": 30}, "clock_skew_s"),
        ({"caller_tls": {"certificate": "/nowhere/c.pem"}}, "caller_tls.certificate"),
        ({"max_body_bytes": True}, "max_body_bytes"),
    ],
)
def test_inconsistent_values_are_rejected(change, path):
    """Guard against a start with settings that are valid alone but not together."""
    assert any(line.startswith(f"{path}: ") for line in error_lines(VALID_SETTINGS | change))


def test_tls_between_instances_requires_certificate_authorities(tmp_path):
    """Guard against peers that accept any certificate, and against readable private keys."""
    pem = tmp_path / "key.pem"
    pem.write_text("key", encoding="utf-8")
    pem.chmod(0o644)
    section = {"certificate": str(pem), "key": str(pem)}
    assert any(
        line.startswith("peer_tls.ca: ")
        for line in error_lines(VALID_SETTINGS | {"peer_tls": section})
    )
    warned = validate_settings(
        VALID_SETTINGS | {"caller_tls": section, "host": "10.0.0.1", "peers": []}
    ).warnings
    assert [w.path for w in warned] == ["caller_tls.key", "admin_tls", "peer_tls", "peers"]


def test_a_duplicate_key_is_rejected(tmp_path):
    """Guard against a YAML loader that silently keeps the last of two values."""
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(VALID_SETTINGS) + "caller_port: 9\n", encoding="utf-8")
    with pytest.raises(SettingsError, match="given twice"):
        load_with_warnings(str(path), Settings)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.sampled_from([*sorted(VALID_SETTINGS), "peer_tls", "log_level", "task_lease_s"]), SAFE_YAML
)
def test_no_value_raises_another_exception(key, value):
    """Guard against a traceback in place of the report for unusual YAML values."""
    try:
        validate_settings(VALID_SETTINGS | {key: value})
    except SettingsError as exc:
        assert str(exc)


@pytest.mark.parametrize(
    ("option", "value"),
    [
        (Number(0, 1), math.nan),
        (Number(0, 1), True),
        (Integer(0, 9), 1.0),
        (BaseUrl(), "ftp://127.0.0.1"),
        (BaseUrl(), "http://127.0.0.1:99999"),
        (BaseUrl(), "http://[::1"),
    ],
)
def test_options_reject_values_that_look_valid(option, value):
    """Guard against NaN, booleans and malformed addresses that pass the range checks."""
    with pytest.raises(OptionError):
        option.parse(value)


def test_the_settings_page_lists_every_setting(pytestconfig):
    """Guard against an undocumented setting, or a stale entry on the settings page."""
    page = (pytestconfig.rootpath / "docs" / "settings.md").read_text(encoding="utf-8")
    listed = [line.split("`")[1] for line in page.splitlines() if line.startswith("| `")]
    documented = (Settings, PeerSettings, TlsSettings, LimitSettings, SchedulingSettings)
    known = [f.name for cls in documented for f in attrs.fields(cls)]
    assert listed == known


def test_the_daemon_does_not_start_with_invalid_settings(tmp_path):
    """Guard against a start with settings that were reported as invalid, or a wrong exit code."""
    path = tmp_path / "settings.yaml"
    path.write_text("caller_port: 0\n", encoding="utf-8")
    command = [sys.executable, "-m", "baobabhoist.daemon.main", f"--config={path}"]
    process = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    assert process.returncode == 2
    assert "caller_port: 0 is out of range" in process.stderr
    assert "instance_id: is missing" in process.stderr
