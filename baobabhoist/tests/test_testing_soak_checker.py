"""Test that the checker finds breaches of each guarantee and target in constructed logs."""

import pytest

from baobabhoist.testing.soak_checker import GuaranteeChecker

CAPACITY = [4000, 1000, 0, 2]


def worker_up(worker, t=0.0):
    return {"t": t, "event": "up", "worker": worker, "capacity": CAPACITY, "rack": ""}


def run_log(task_id, start, end, worker="w1", team="roster", ref=None, cpu=1000, **fields):
    entry = {
        "worker": worker, "id": task_id, "team": team, "ref": ref or task_id,
        "resources": [cpu, 100, 0, 1], "submitted_at": start, **fields,
    }  # fmt: skip
    return [entry | {"t": start, "event": "started"}, entry | {"t": end, "event": "ended"}]


def request(ref, t=1.0, end=2.0, **fields):
    entry = {
        "event": "request", "ref": ref, "t": t, "end": end, "team": "roster", "key": "k1",
        "instance": "n1", "idempotent": False, "status": 200, "whole": True,
    }  # fmt: skip
    return entry | fields


def event(event_name, t, **fields):
    return {"event": event_name, "t": t, **fields}


def refusal(ref, **fields):
    return request(ref, status=503, whole=False, **fields)


def limit_change(t, value):
    return event("limit", t, sent=t - 0.1, team="roster", limit=value)


def sample(t, revision, boot=1):
    return event("status", t, instance="n1", boot=boot, revision=revision)


def fault_window(t, until, *instances, name="f1"):
    return event("window", t, until=until, instances=list(instances), name=name)


def check_logs(workers=(), callers=(), events=()):
    checker = GuaranteeChecker(
        [worker_up("w1"), worker_up("w2"), *workers], list(callers), list(events)
    )
    checker.check_all()
    return checker


FENCED = [
    {"t": 1.0, "event": "fenced", "worker": w, "token": [1, 0, "n1~0a1b"]} for w in ("w1", "w2")
]
SHARD = event("shard", 0.0, shard="s1", workers=["w1", "w2"])
STOP = event("stop", 5.0, until=7.0, instance="n1", code=0, name="f2")

BREACHES = {
    "G1": {"workers": [*run_log("a", 1, 3, cpu=3000), *run_log("b", 2, 3, cpu=3000)]},
    "G1 refused": {
        "workers": [{"t": 1.0, "event": "refused", "worker": "w1", "id": "a", "reason": "full"}]
    },
    "G2": {"workers": [*run_log("a", 1, 3), *run_log("a", 2, 4, worker="w2")]},
    "G2 under two ids": {
        "workers": [*run_log("a", 1, 3, ref="r"), *run_log("b", 2, 4, worker="w2", ref="r")]
    },
    "G3": {"workers": run_log("a", 1, 2, team="other"), "callers": [request("a")]},
    "G3 revoked": {
        "callers": [request("a", t=20.0)], "events": [event("key_revoked", 10.0, key="k1")]
    },
    "G4": {
        "workers": [*run_log("a", 1, 3), *run_log("b", 2, 3, worker="w2")],
        "events": [limit_change(0.0, 1)],
    },
    "G4 lowered": {
        "workers": [*run_log("a", 1, 30), *run_log("b", 20, 30, worker="w2")],
        "events": [limit_change(0.0, 2), limit_change(10.0, 1)],
    },
    "G5": {"callers": [request("a", whole=False)]},
    "G5 silence": {"callers": [request("a", status=None, error="closed")]},
    "G6": {"workers": run_log("a", 1, 2), "callers": [refusal("a", outcome="not_run")]},
    "G7": {"workers": [*run_log("a", 1, 2), *run_log("a", 3, 4)], "callers": [request("a")]},
    "G7 in a job": {
        "workers": [*run_log("a", 1, 2, ref="j1/0"), *run_log("b", 3, 4, ref="j1/0")],
        "callers": [event("job", 0.5, ref="j1", team="roster", idempotent=False)],
    },
    "G8": {"workers": run_log("a", 14, 15), "events": [event("leaving", 10.0, worker="w1")]},
    "G9": {
        "callers": [request("a", t=4.0, end=6.0, status=None, error="closed")], "events": [STOP]
    },
    "G9 by another instance": {
        "callers": [refusal("a", t=4.0, end=6.0, instance="n2", kind="outcome_unknown")],
        "events": [STOP],
    },
    "G9 during the stop": {
        "callers": [refusal("a", t=5.5, end=6.0, instance="n2", kind="outcome_unknown")],
        "events": [STOP],
    },
    "G9 code": {"events": [STOP | {"code": 1}]},
    "G10": {"events": [sample(1.0, 5), sample(9.0, 5), event("record", 2.0, revision=6)]},
    "outage": {
        "callers": [refusal("a", t=5.0, kind="outcome_unknown")],
        "events": [fault_window(4.0, 6.0, name="platform_down@4.0")],
    },
    "G10 race": {"events": [event("race", 1.0, accepted=2)]},
    "G10 reverted": {"events": [sample(1.0, 5), sample(2.0, 4)]},
}  # fmt: skip

ALLOWED = {
    "G1 after the end": {
        "workers": [*run_log("a", 1, 2, cpu=4000), *run_log("b", 2, 3, cpu=4000)]
    },
    "G2 after a worker was lost": {
        "workers": [
            run_log("a", 1, 9)[0], worker_up("w1", t=2.0), *run_log("a", 3, 4, worker="w2"),
        ]
    },
    "G4 just after the change": {
        "workers": [*run_log("a", 1, 30), *run_log("b", 11, 30, worker="w2")],
        "events": [limit_change(0.0, 2), limit_change(10.0, 1)],
    },
    "G6 sent again": {
        "workers": run_log("a", 3, 4),
        "callers": [refusal("a", outcome="not_run"), request("a", t=2.5)],
    },
    "G7 idempotent": {
        "workers": [*run_log("a", 1, 2), *run_log("a", 3, 4)],
        "callers": [request("a", idempotent=True)],
    },
    "G8 stayed": {
        "workers": run_log("a", 14, 15),
        "events": [event("leaving", 10.0, worker="w1"), event("staying", 13.0, worker="w1")],
    },
    "G9 refused by the instance that stops": {
        "callers": [refusal("a", t=5.5, end=6.0, kind="draining")],
        "events": [STOP],
    },
    "G10 cut off": {
        "events": [
            sample(1.0, 5), sample(9.0, 5), event("record", 2.0, revision=6),
            fault_window(1.5, 9.0, "n1"),
        ]
    },
    "G10 new boot": {"events": [sample(1.0, 5), sample(2.0, 0, boot=2)]},
}  # fmt: skip


@pytest.mark.parametrize("case", BREACHES)
def test_breach_of_a_guarantee_is_found(case):
    """Guard against a checker that passes whatever the daemons do."""
    checker = check_logs(**BREACHES[case])
    name = case.split()[0]
    assert checker.results[name].breaches, checker.report_lines()
    assert not checker.passed
    assert any(line.startswith(f"{name}: BREACH") for line in checker.report_lines())


@pytest.mark.parametrize("case", ALLOWED)
def test_permitted_behaviour_is_not_a_breach(case):
    """Guard against breaches reported for behaviour that the guarantees permit."""
    checker = check_logs(**ALLOWED[case])
    assert checker.passed, checker.report_lines()


def test_late_or_missing_takeover_fails_the_run():
    """Guard against targets that are printed but not enforced."""
    kill = event("killed", 10.0, instance="n1", name="f2")
    other_fenced = [e | {"t": e["t"] + 11.0, "token": [2, 0, "n2"]} for e in FENCED]
    on_time = check_logs(workers=[*FENCED, *other_fenced], events=[SHARD, kill])
    assert on_time.missed_targets() == []
    assert on_time.latencies["takeover"].values == [2.0]
    missing = check_logs(workers=FENCED, events=[SHARD, kill])
    late = check_logs(
        workers=[*FENCED, *[e | {"t": 16.0} for e in other_fenced]], events=[SHARD, kill]
    )
    outage = fault_window(9.0, 12.0, "n1", "n2", name="platform_down@9.0")
    during_outage = check_logs(workers=FENCED, events=[SHARD, kill, outage])
    assert during_outage.missed_targets() == ["takeover"]
    assert missing.missed_targets() == late.missed_targets() == ["takeover"]
    assert not late.passed


def test_urgent_start_is_checked_while_its_team_has_quota():
    """Guard against late urgent tasks that pass, and against failures when no quota is left."""
    late = run_log("a", 5.0, 6.0, urgency="urgent")
    for entry in late:
        entry["submitted_at"] = 3.0
    assert check_logs(workers=late, events=[limit_change(0.0, 1)]).missed_targets() == [
        "urgent_start"
    ]
    used_up = check_logs(
        workers=[*late, *run_log("b", 1, 9, worker="w2")], events=[limit_change(0.0, 1)]
    )
    assert used_up.latencies["urgent_start"].values == []


def test_unchecked_guarantee_is_not_reported_as_held():
    """Guard against a run without load that appears to pass."""
    assert "G2: not exercised checks=0 breaches=0" in check_logs().report_lines()
