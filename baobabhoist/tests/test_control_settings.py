"""Test the settings of an instance on the platform."""

import attrs
import pytest

from baobabhoist.cell.policy import DEFAULT_POLICY
from baobabhoist.config.options import OptionError, Switch
from baobabhoist.control.settings import SchedulingSettings


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
