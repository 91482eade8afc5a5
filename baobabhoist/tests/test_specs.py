"""Check the model of the core protocol with each protective rule on and off."""

import attrs
import pytest

from specs.check import BOUNDS, COUNTEREXAMPLES, check_model, violated_invariants
from specs.core_protocol import Rules


@pytest.mark.parametrize("bounds", BOUNDS, ids=lambda bounds: bounds.name)
def test_all_rules_keep_every_invariant(bounds):
    """Guard against a protocol that breaks a guarantee within the stated bounds."""
    result = check_model(Rules(), bounds)
    assert result["exhaustive"]
    assert violated_invariants(result) == {}


@pytest.mark.parametrize(("rule", "bounds", "invariant"), COUNTEREXAMPLES)
def test_each_rule_off_gives_a_counterexample(rule, bounds, invariant):
    """Guard against a model in which a rule protects nothing, so that it proves nothing."""
    result = check_model(attrs.evolve(Rules(), **{rule: False}), bounds, only=invariant)
    assert invariant in violated_invariants(result)


def test_every_rule_has_a_counterexample():
    """Guard against a new rule without a check that it is needed."""
    assert {rule for rule, _, _ in COUNTEREXAMPLES} == set(attrs.fields_dict(Rules))
