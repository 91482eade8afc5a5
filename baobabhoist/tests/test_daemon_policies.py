"""Test how records are converted to the policies of the scheduler."""

from baobabhoist.daemon.policies import queue_policies, team_policies
from baobabhoist.errors import ErrorKind
from baobabhoist.model import Resources, Task, WorkerSpec, WorkKind
from baobabhoist.quota.ledger import QuotaLedger
from baobabhoist.records.view import Record, RecordView
from baobabhoist.scheduling.scheduler import Scheduler

NOW = 100.0


def view_of(*records):
    view = RecordView()
    for revision, (kind, name, body) in enumerate(records, 1):
        view.apply(Record(kind, name, 2 if kind in ("queue", "team") else 1, revision, body))
    return view


def task(name, queue="small", team="roster"):
    return Task(name, team, queue, WorkKind.BATCH, Resources(slots=1), NOW + 60, NOW)


def test_each_queue_limits_the_waiting_work_of_a_team():
    """Guard against a team that fills a small queue up to the limit of the largest one."""
    view = view_of(
        ("team", "roster", {"limit": 4}),
        ("team", "other", {"limit": 4}),
        ("queue", "small", {"max_queued_per_team": 2}),
        ("queue", "large", {"max_queued_per_team": 5}),
    )
    worker = WorkerSpec("w1", "127.0.0.1", 1, "r", Resources(slots=4))
    scheduler = Scheduler.for_workers([worker], QuotaLedger("r"))
    scheduler.set_policies(queue_policies(view), team_policies(view))
    assert [scheduler.enqueue(task(f"s{n}"), NOW) for n in range(2)] == [None, None]
    refused = scheduler.enqueue(task("s2"), NOW)
    assert (refused.kind, "queue small" in refused.message) == (ErrorKind.QUEUE_FULL, True)
    assert scheduler.enqueue(task("o", team="other"), NOW) is None
    for n in range(5):
        assert scheduler.enqueue(task(f"l{n}", "large"), NOW) is None
    assert scheduler.enqueue(task("l5", "large"), NOW).kind is ErrorKind.QUEUE_FULL
    scheduler.cancel("s0")
    assert scheduler.enqueue(task("s3"), NOW) is None
