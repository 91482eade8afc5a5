"""Test the settings of an instance on the platform."""

import re

import attrs
import pytest
import yaml

from baobabhoist.cell.policy import DEFAULT_POLICY
from baobabhoist.config.load import parse_settings
from baobabhoist.config.options import OptionError, Switch
from baobabhoist.control.settings import NodeSettings, SchedulingSettings


def test_all_optional_parts_of_scheduling_are_off_by_default():
    # A deployment whose settings do not mention them must be served as before.
    assert SchedulingSettings().policy() == DEFAULT_POLICY


def test_each_switch_reaches_its_own_part():
    # Guards against two settings that are mixed up on the way to the scheduler.
    names = [f.name for f in attrs.fields(SchedulingSettings) if f.type in (bool, "bool")]
    policies = [SchedulingSettings(**{name: True}).policy() for name in names]
    assert len(set(policies) - {DEFAULT_POLICY}) == len(names)


@pytest.mark.parametrize("value", ["yes", 1, None])
def test_a_switch_rejects_what_is_not_a_boolean(value):
    with pytest.raises(OptionError):
        Switch().parse(value)


PLATFORM_FIELDS = {
    "listenAddrs.front": '"10.1.2.3:8080"',
    "listenAddrs.ready": '"10.1.2.3:8081"',
    "platform.address": '"10.1.2.3:8082"',
    "internalPorts.0": "7000",
    "ip": '"10.1.2.3"',
    "advice": "",
}


# Guards against an instance that doesn't know the size of its machine, or doesn't start without.
@pytest.mark.parametrize(
    ("memory", "files", "expected"), [("160", "1638", (160, 1638)), ("", "", (0, 0))]
)
def test_limits_of_the_machine_reach_the_settings(pytestconfig, memory, files, expected):
    template = (pytestconfig.rootpath / "deploy" / "settings.yaml.template").read_text()
    fields = PLATFORM_FIELDS | {"limits.memoryMb": memory, "limits.maxFds": files}
    text = re.sub(
        r"{{([^}|]+)(\|json)?}}",
        lambda match: fields.get(match[1], '"a"' if match[2] else "1"),
        template,
    )
    limits = parse_settings(NodeSettings, yaml.safe_load(text)).limits
    assert (limits.memory_mb, limits.max_open_files) == expected
