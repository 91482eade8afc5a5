"""Check the model of the core protocol; run `python -m specs.check` to print all results."""

from __future__ import annotations

import sys
import time
from typing import Any

import attrs
from minicheck import Protocol, check_safety

from specs.core_protocol import (
    KEY_RUNS_ONCE,
    NOT_RUN_IS_TRUE,
    SINGLE_OWNER,
    TEAM_WITHIN_LIMIT,
    Bounds,
    CoreProtocol,
    Rules,
    State,
    Step,
)

KEYS = Bounds("keys", key=True, claims=1, worker_crashes=1)
CRASHES = Bounds("crashes", key=True, claims=2, instance_crashes=1)
OUTAGE = Bounds("outage", key=True, claims=2, pauses=True, confirmed=False)
QUOTA = Bounds("quota", limit=2, running=(1, 0), claims=1, starts=2)
QUOTA_CRASH = Bounds("quota_crash", limit=1, running=(1, 0), claims=1, starts=1, worker_crashes=1)
KEYS_AND_QUOTA = Bounds("both", key=True, limit=1, claims=1, starts=1)
BOUNDS = (KEYS, CRASHES, OUTAGE, QUOTA, QUOTA_CRASH, KEYS_AND_QUOTA)
# Checked by `python -m specs.check` but not by the tests, to keep them short.
EXTENDED_BOUNDS = (
    attrs.evolve(KEYS, name="keys_2", claims=2),
    attrs.evolve(QUOTA, name="quota_2", claims=2),
    attrs.evolve(QUOTA_CRASH, name="quota_crash_2", claims=2),
    attrs.evolve(CRASHES, name="crashes_2", instance_crashes=1, worker_crashes=1),
)


# Each rule with the bounds and an invariant that is violated if the rule is disabled.
COUNTEREXAMPLES = (
    ("fencing", KEYS, SINGLE_OWNER),
    ("fencing", KEYS, KEY_RUNS_ONCE),
    ("fencing", QUOTA, TEAM_WITHIN_LIMIT),
    ("wait_for_unresolved", KEYS, KEY_RUNS_ONCE),
    ("wait_for_unresolved", QUOTA, TEAM_WITHIN_LIMIT),
    ("takeover_cap", QUOTA, TEAM_WITHIN_LIMIT),
    ("confirmed_release", QUOTA, TEAM_WITHIN_LIMIT),
    ("keys_after_takeover", KEYS, KEY_RUNS_ONCE),
    ("verify_returned", KEYS, KEY_RUNS_ONCE),
    ("verify_returned", QUOTA_CRASH, TEAM_WITHIN_LIMIT),
    ("confirm_before_not_run", KEYS, NOT_RUN_IS_TRUE),
    ("continuity", OUTAGE, NOT_RUN_IS_TRUE),
)


def check_model(
    rules: Rules, bounds: Bounds, only: str = "", max_states: int = 1_000_000
) -> dict[str, Any]:
    """Return the result of minicheck.

    `only` names an invariant whose first violation ends the search.
    """
    core = CoreProtocol(rules, bounds)
    invariants = core.invariants()
    if not only:
        return _check(core, core.transitions, invariants, max_states)
    stopped = False

    def holds(fields: dict[str, Any]) -> bool:
        nonlocal stopped
        stopped = stopped or not invariants[only](fields)
        return bool(invariants[only](fields))

    def transitions(state: tuple[Any, ...]) -> list[Step]:
        return [] if stopped else core.transitions(state)

    return _check(core, transitions, {only: holds}, max_states)


def _check(
    core: CoreProtocol, transitions: Any, invariants: dict[str, Any], max_states: int
) -> dict[str, Any]:
    model = Protocol(
        name=core.bounds.name,
        candidate=False,
        fields=State._fields,
        initial=core.initial(),
        transitions=transitions,
        invariants=invariants,
    )
    return dict(check_safety(model, max_states))


def violated_invariants(result: dict[str, Any]) -> dict[str, list[str]]:
    """Return the steps of the counterexample for each violated invariant."""
    return {
        name: [str(step["label"]) for step in found["counterexample"][1:]]
        for name, found in result["properties"].items()
        if found["holds"] is False
    }


def main() -> None:
    """Print the results with all rules enabled, and with each rule disabled."""
    for bounds in BOUNDS + EXTENDED_BOUNDS:
        started = time.perf_counter()
        result = check_model(Rules(), bounds)
        print(bounds)
        print(
            f"  all rules on: {result['reachable_states']} states, exhaustive:"
            f" {result['exhaustive']}, {time.perf_counter() - started:.1f} s"
        )
        for name, steps in violated_invariants(result).items():
            print(f"  violated: {name}", *steps, sep="\n      ")
        sys.stdout.flush()
    for rule, bounds, name in COUNTEREXAMPLES:
        result = check_model(attrs.evolve(Rules(), **{rule: False}), bounds, only=name)
        for steps in violated_invariants(result).values():
            states = result["reachable_states"]
            print(f"{rule} off, {bounds.name}: {name}: {len(steps)} steps, {states} states")
            if "-v" in sys.argv:
                print(*steps, sep="\n      ")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
