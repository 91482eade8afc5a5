"""Show the judge failing: hand-made logs break each guarantee and each target."""

import pytest

from baobabhoist.testing.soak_checker import GuaranteeChecker

CAPACITY = [4000, 1000, 0, 2]


def up(worker, t=0.0):
    return {"t": t, "event": "up", "worker": worker, "capacity": CAPACITY, "rack": ""}


def ran(task_id, start, end, worker="w1", team="roster", ref=None, cpu=1000, **more):
    entry = {
        "worker": worker, "id": task_id, "team": team, "ref": ref or task_id,
        "resources": [cpu, 100, 0, 1], "submitted_at": start, **more,
    }  # fmt: skip
    return [entry | {"t": start, "event": "started"}, entry | {"t": end, "event": "ended"}]


def asked(ref, t=1.0, end=2.0, **more):
    entry = {
        "event": "request", "ref": ref, "t": t, "end": end, "team": "roster", "key": "k1",
        "instance": "n1", "idempotent": False, "status": 200, "whole": True,
    }  # fmt: skip
    return entry | more


def driver(event, t, **more):
    return {"event": event, "t": t, **more}


def refused(ref, **more):
    return asked(ref, status=503, whole=False, **more)


def limit(t, value):
    return driver("limit", t, sent=t - 0.1, team="roster", limit=value)


def status(t, revision, boot=1):
    return driver("status", t, instance="n1", boot=boot, revision=revision)


def window(t, until, *instances, name="f1"):
    return driver("window", t, until=until, instances=list(instances), name=name)


def judged(workers=(), callers=(), events=()):
    checker = GuaranteeChecker([up("w1"), up("w2"), *workers], list(callers), list(events))
    checker.check_all()
    return checker


FENCED = [
    {"t": 1.0, "event": "fenced", "worker": w, "token": [1, 0, "n1~0a1b"]} for w in ("w1", "w2")
]
SHARD = driver("shard", 0.0, shard="s1", workers=["w1", "w2"])
STOP = driver("stop", 5.0, until=7.0, instance="n1", code=0, name="f2")

BROKEN = {
    "G1": {"workers": [*ran("a", 1, 3, cpu=3000), *ran("b", 2, 3, cpu=3000)]},
    "G1 refused": {
        "workers": [{"t": 1.0, "event": "refused", "worker": "w1", "id": "a", "reason": "full"}]
    },
    "G2": {"workers": [*ran("a", 1, 3), *ran("a", 2, 4, worker="w2")]},
    "G2 under two ids": {
        "workers": [*ran("a", 1, 3, ref="r"), *ran("b", 2, 4, worker="w2", ref="r")]
    },
    "G3": {"workers": ran("a", 1, 2, team="other"), "callers": [asked("a")]},
    "G3 revoked": {
        "callers": [asked("a", t=20.0)], "events": [driver("key_revoked", 10.0, key="k1")]
    },
    "G4": {
        "workers": [*ran("a", 1, 3), *ran("b", 2, 3, worker="w2")], "events": [limit(0.0, 1)]
    },
    "G4 lowered": {
        "workers": [*ran("a", 1, 30), *ran("b", 20, 30, worker="w2")],
        "events": [limit(0.0, 2), limit(10.0, 1)],
    },
    "G5": {"callers": [asked("a", whole=False)]},
    "G5 silence": {"callers": [asked("a", status=None, error="closed")]},
    "G6": {"workers": ran("a", 1, 2), "callers": [refused("a", outcome="not_run")]},
    "G7": {"workers": [*ran("a", 1, 2), *ran("a", 3, 4)], "callers": [asked("a")]},
    "G7 in a job": {
        "workers": [*ran("a", 1, 2, ref="j1/0"), *ran("b", 3, 4, ref="j1/0")],
        "callers": [driver("job", 0.5, ref="j1", team="roster", idempotent=False)],
    },
    "G8": {"workers": ran("a", 14, 15), "events": [driver("leaving", 10.0, worker="w1")]},
    "G9": {
        "callers": [asked("a", t=4.0, end=6.0, status=None, error="closed")], "events": [STOP]
    },
    "G9 by another instance": {
        "callers": [refused("a", t=4.0, end=6.0, instance="n2", kind="outcome_unknown")],
        "events": [STOP],
    },
    "G9 during the stop": {
        "callers": [refused("a", t=5.5, end=6.0, instance="n2", kind="outcome_unknown")],
        "events": [STOP],
    },
    "G9 code": {"events": [STOP | {"code": 1}]},
    "G10": {"events": [status(1.0, 5), status(9.0, 5), driver("record", 2.0, revision=6)]},
    "outage": {
        "callers": [refused("a", t=5.0, kind="outcome_unknown")],
        "events": [window(4.0, 6.0, name="platform_down@4.0")],
    },
    "G10 race": {"events": [driver("race", 1.0, accepted=2)]},
    "G10 reverted": {"events": [status(1.0, 5), status(2.0, 4)]},
}  # fmt: skip

ALLOWED = {
    "G1 after the end": {"workers": [*ran("a", 1, 2, cpu=4000), *ran("b", 2, 3, cpu=4000)]},
    "G2 after a worker was lost": {
        "workers": [ran("a", 1, 9)[0], up("w1", t=2.0), *ran("a", 3, 4, worker="w2")]
    },
    "G4 just after the change": {
        "workers": [*ran("a", 1, 30), *ran("b", 11, 30, worker="w2")],
        "events": [limit(0.0, 2), limit(10.0, 1)],
    },
    "G6 sent again": {
        "workers": ran("a", 3, 4), "callers": [refused("a", outcome="not_run"), asked("a", t=2.5)]
    },
    "G7 idempotent": {
        "workers": [*ran("a", 1, 2), *ran("a", 3, 4)], "callers": [asked("a", idempotent=True)]
    },
    "G8 stayed": {
        "workers": ran("a", 14, 15),
        "events": [driver("leaving", 10.0, worker="w1"), driver("staying", 13.0, worker="w1")],
    },
    "G9 refused by the instance that stops": {
        "callers": [refused("a", t=5.5, end=6.0, kind="draining")],
        "events": [STOP],
    },
    "G10 cut off": {
        "events": [
            status(1.0, 5), status(9.0, 5), driver("record", 2.0, revision=6),
            window(1.5, 9.0, "n1"),
        ]
    },
    "G10 new boot": {"events": [status(1.0, 5), status(2.0, 0, boot=2)]},
}  # fmt: skip


@pytest.mark.parametrize("case", BROKEN)
def test_a_broken_guarantee_is_found(case):
    """Guard against a judge that passes whatever the daemons do."""
    checker = judged(**BROKEN[case])
    name = case.split()[0]
    assert checker.results[name].breaches, checker.report_lines()
    assert not checker.passed
    assert any(line.startswith(f"{name}: BREACH") for line in checker.report_lines())


@pytest.mark.parametrize("case", ALLOWED)
def test_what_the_design_page_allows_is_not_a_breach(case):
    """Guard against breaches reported for what the guarantees permit."""
    checker = judged(**ALLOWED[case])
    assert checker.passed, checker.report_lines()


def test_a_takeover_that_is_late_or_missing_fails_the_run():
    """Guard against a target that is printed but not enforced."""
    kill = driver("killed", 10.0, instance="n1", name="f2")
    other = [e | {"t": e["t"] + 11.0, "token": [2, 0, "n2"]} for e in FENCED]
    good = judged(workers=[*FENCED, *other], events=[SHARD, kill])
    assert good.missed_targets() == []
    assert good.latencies["takeover"].values == [2.0]
    missing = judged(workers=FENCED, events=[SHARD, kill])
    late = judged(workers=[*FENCED, *[e | {"t": 16.0} for e in other]], events=[SHARD, kill])
    down = window(9.0, 12.0, "n1", "n2", name="platform_down@9.0")
    without_platform = judged(workers=FENCED, events=[SHARD, kill, down])
    assert without_platform.missed_targets() == ["takeover"]
    assert missing.missed_targets() == late.missed_targets() == ["takeover"]
    assert not late.passed


def test_an_urgent_start_is_judged_while_its_team_has_quota():
    """Guard against late urgent work, and against blaming the daemon for a spent quota."""
    late = ran("a", 5.0, 6.0, urgency="urgent")
    for entry in late:
        entry["submitted_at"] = 3.0
    assert judged(workers=late, events=[limit(0.0, 1)]).missed_targets() == ["urgent_start"]
    spent = judged(workers=[*late, *ran("b", 1, 9, worker="w2")], events=[limit(0.0, 1)])
    assert spent.latencies["urgent_start"].values == []


def test_nothing_checked_is_not_reported_as_held():
    """Guard against a run without load that looks like a success."""
    assert "G2: not exercised checks=0 breaches=0" in judged().report_lines()
