"""Test that the loader reports every fault of a settings file at once."""

import math
import subprocess
import sys

import attrs
import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.config.load import load_with_warnings, validate_settings
from baobabhoist.config.options import BaseUrl, Integer, Number, OptionError
from baobabhoist.config.settings import PeerSettings, Settings, TlsSettings
from baobabhoist.errors import SettingsError

GOOD = {
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


def lines_of(raw):
    with pytest.raises(SettingsError) as caught:
        validate_settings(raw)
    return str(caught.value).splitlines()


def test_a_complete_file_gives_defaults_for_the_rest():
    """Guard against a renamed attribute or a default that is itself refused."""
    cfg = validate_settings(GOOD).settings
    assert (cfg.max_deadline_s, cfg.log_format, cfg.peers[0].port) == (600.0, "text", 7002)


def test_every_fault_is_reported_at_once():
    """Guard against a loader that stops at the first fault or hides its path."""
    bad = dict(GOOD, caller_prot=1, admin_port="7001", peer_port=70000, vm_weight=math.nan)
    del bad["caller_port"]
    bad["peers"] = [{"instance_id": "n2", "data_centre": "North!", "host": "n2.example"}, 7]
    paths = {line.split(":")[0] for line in lines_of(bad)}
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
    assert "caller_prot: is not a setting; did you mean caller_port?" in lines_of(bad)


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"admin_port": 7000}, "admin_port"),
        ({"peers": GOOD["peers"] * 2}, "peers[0].instance_id"),
        ({"peers": [dict(GOOD["peers"][0], instance_id="north-1")]}, "peers[0].instance_id"),
        ({"max_deadline_s": 10, "default_deadline_s": 20}, "default_deadline_s"),
        ({"clock_skew_s": 30, "task_lease_s": 30}, "clock_skew_s"),
        ({"caller_tls": {"certificate": "/nowhere/c.pem"}}, "caller_tls.certificate"),
        ({"max_body_bytes": True}, "max_body_bytes"),
    ],
)
def test_values_that_contradict_each_other_are_refused(change, path):
    """Guard against a start with settings that are valid only one by one."""
    assert any(line.startswith(f"{path}: ") for line in lines_of(GOOD | change))


def test_tls_between_instances_needs_authorities(tmp_path):
    """Guard against peers that accept any certificate, and against an open private key."""
    pem = tmp_path / "key.pem"
    pem.write_text("key", encoding="utf-8")
    pem.chmod(0o644)
    section = {"certificate": str(pem), "key": str(pem)}
    assert any(line.startswith("peer_tls.ca: ") for line in lines_of(GOOD | {"peer_tls": section}))
    warned = validate_settings(
        GOOD | {"caller_tls": section, "host": "10.0.0.1", "peers": []}
    ).warnings
    assert [w.path for w in warned] == ["caller_tls.key", "admin_tls", "peer_tls", "peers"]


def test_a_key_given_twice_is_refused(tmp_path):
    """Guard against YAML silently keeping the last of two values."""
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(GOOD) + "caller_port: 9\n", encoding="utf-8")
    with pytest.raises(SettingsError, match="given twice"):
        load_with_warnings(str(path), Settings)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.sampled_from([*sorted(GOOD), "peer_tls", "log_level", "task_lease_s"]), SAFE_YAML)
def test_no_value_escapes_as_another_exception(key, value):
    """Guard against a traceback in place of the report for odd YAML values."""
    try:
        validate_settings(GOOD | {key: value})
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
def test_options_refuse_values_that_look_right(option, value):
    """Guard against NaN, booleans as numbers and broken addresses passing the range checks."""
    with pytest.raises(OptionError):
        option.parse(value)


def test_the_settings_page_lists_every_setting(pytestconfig):
    """Guard against a setting that operators cannot look up, or a stale entry."""
    page = (pytestconfig.rootpath / "docs" / "settings.md").read_text(encoding="utf-8")
    listed = [line.split("`")[1] for line in page.splitlines() if line.startswith("| `")]
    known = [f.name for cls in (Settings, PeerSettings, TlsSettings) for f in attrs.fields(cls)]
    assert listed == known


def test_the_daemon_does_not_start_on_bad_settings(tmp_path):
    """Guard against a start on settings that were reported as invalid, or another exit code."""
    path = tmp_path / "settings.yaml"
    path.write_text("caller_port: 0\n", encoding="utf-8")
    command = [sys.executable, "-m", "baobabhoist.daemon.main", f"--config={path}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    assert done.returncode == 2
    assert "caller_port: 0 is out of range" in done.stderr
    assert "instance_id: is missing" in done.stderr
