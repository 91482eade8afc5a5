"""Check the model of the core protocol with each protective rule enabled and disabled."""

import attrs
import pytest

from specs.check import BOUNDS, COUNTEREXAMPLES, check_model, violated_invariants
from specs.core_protocol import Rules


@pytest.mark.parametrize("bounds", BOUNDS, ids=lambda bounds: bounds.name)
def test_all_rules_keep_every_invariant(bounds):
    """Guard against a protocol that violates an invariant within the stated bounds."""
    result = check_model(Rules(), bounds)
    assert result["exhaustive"]
    assert violated_invariants(result) == {}


@pytest.mark.parametrize(("rule", "bounds", "invariant"), COUNTEREXAMPLES)
def test_each_rule_off_gives_a_counterexample(rule, bounds, invariant):
    """Guard against a model that holds without a rule and so does not show that it is needed."""
    result = check_model(attrs.evolve(Rules(), **{rule: False}), bounds, only=invariant)
    assert invariant in violated_invariants(result)


def test_every_rule_has_a_counterexample():
    """Guard against a new rule that is not shown to be needed."""
    assert {rule for rule, _, _ in COUNTEREXAMPLES} == set(attrs.fields_dict(Rules))
