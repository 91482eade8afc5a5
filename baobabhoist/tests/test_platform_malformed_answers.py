"""Test that malformed answers of workers, the store and the adviser end no process."""

import asyncio
import functools

import pytest

from baobabhoist.cell.model import (
    CommandOutcome,
    Resources,
    StartTask,
    StepKey,
    StopTask,
    TaskKey,
    WorkerInfo,
    WorkerReport,
)
from baobabhoist.platform.advice import DEFAULT_TICKET_VALID_MS, PlatformAdviser
from baobabhoist.platform.http_client import HttpResponse
from baobabhoist.platform.store import PlatformRowStore
from baobabhoist.platform.workers import PlatformWorkerDriver
from baobabhoist.store.row_store import RowTransaction, StoreUnansweredError

WORKER = WorkerInfo("w0", "svc", "127.0.0.1:1", "z1", Resources(1000, 512, 0), ())
REPORT = {"clockMs": 1, "born": 2, "running": [], "finished": []}
ROW = {"table": "t", "part": "", "key": "k", "value": "", "schemaVer": 3}


NESTED = functools.reduce(lambda value, _: [value], range(1_000), "x")
# Names of tasks that some readers of numbers accept.
ODD_NAMES = ["0.0.0.\u0661", "0.0.0.\u00b2", "0.0.0." + "9" * 5_000, "0.0.0.-1", "0.0.0", ""]


class FakeHttp:
    """Give the same answer to each request."""

    def __init__(self, body, status=200):
        self.answer = HttpResponse(status, body)

    async def request(self, *args, **options):
        return self.answer


def renew(body):
    driver = PlatformWorkerDriver(FakeHttp(body), FakeHttp(body))
    return asyncio.run(driver.renew(WORKER, 1, 0, None, 0))


@pytest.mark.parametrize(
    "fields",
    [
        {"clockMs": None},
        {"clockMs": "soon"},
        {"born": []},
        {"running": 7},
        {"running": [[]]},
        {"running": [{"task": "x"}]},
        {"running": [None]},
        {"running": [["0" * 16 + ".0.0.0", 1e999, "", 0]]},
        {"finished": [[1, "0" * 16 + ".0.0.0", 1, "vanished", ""]]},
        {"finished": [[None, "0" * 16 + ".0.0.0", 1, "done", ""]]},
        {"clockMs": True},
        {"clockMs": 1 << 60},
        {"born": -1},
        {"running": [["0" * 16 + ".0.0.0", 1, {}, 0]]},
        {"running": [["0" * 16 + ".0.0.0", 1, "", "half"]]},
        {"running": [[NESTED, 1, "", 0]]},
        {"finished": [[1, "0" * 16 + ".0.0.0", 1, "done", NESTED]]},
    ],
)
def test_a_malformed_report_counts_as_a_missing_one(fields):
    """Guard against a worker whose report takes the owner or a session down."""
    assert isinstance(renew(REPORT), WorkerReport)
    assert renew({**REPORT, **fields}) is CommandOutcome.UNKNOWN


@pytest.mark.parametrize("name", ODD_NAMES, ids=lambda name: repr(name)[:20])
def test_a_run_with_an_odd_name_costs_only_itself(name):
    """Guard against a report that is lost because a run in it is not one of ours."""
    known = ["0" * 16 + ".0.0.0", 1, "", 5]
    report = renew({**REPORT, "running": [[name, 1, "", 0], known]})
    assert [run.task.to_text() for run in report.running] == [known[0]]


@pytest.mark.parametrize("reason", [None, 7, [], {"fence": 1}, "unknown"])
def test_a_refusal_with_an_odd_reason_is_a_refusal(reason):
    """Guard against an answer to a command that raises in the task which sent it."""
    http = FakeHttp({"reason": reason}, 409)
    stop = StopTask("w0", TaskKey("0" * 16, 0, 0, 0), 1)
    response = asyncio.run(PlatformWorkerDriver(http, http).stop(WORKER, 1, stop))
    assert response.outcome is CommandOutcome.BAD


def test_an_unreadable_report_is_logged_once_and_names_its_worker(caplog):
    """Guard against a line for each renewal of a worker whose reports are malformed."""
    http = FakeHttp({**REPORT, "clockMs": "soon"})
    driver = PlatformWorkerDriver(http, http)
    for _ in range(3):
        asyncio.run(driver.renew(WORKER, 1, 0, None, 0))
    (line,) = [r.getMessage() for r in caplog.records]
    assert "w0" in line and "clockMs" in line


def test_a_full_list_of_ends_may_be_cut_short():
    """Guard against ends beyond the first 500 that count as runs which were lost."""
    ends = [[n, "0" * 16 + f".0.0.{n}", 1, "done", ""] for n in range(1, 501)]
    assert renew({**REPORT, "finished": ends}).has_more_ends
    assert not renew({**REPORT, "finished": ends[1:]}).has_more_ends


ODD_ROWS = [7, {"k": 1}, [None], ["row"]]
ODD_ROWS += [
    [{**ROW, **change}] for change in ({"schemaVer": "new"}, {"key": 1}, {"part": NESTED})
]


@pytest.mark.parametrize("rows", ODD_ROWS, ids=range(len(ODD_ROWS)))
def test_malformed_rows_count_as_a_missing_answer(rows):
    """Guard against an answer of the store that ends the task which follows a table."""
    http = FakeHttp({"rows": rows, "schemaVer": 3, "nowMs": 1})
    store = PlatformRowStore(http, http, "store:1")
    with pytest.raises(StoreUnansweredError):
        asyncio.run(store.read("t"))


def test_a_row_whose_value_is_malformed_is_read_as_empty():
    """Guard against one damaged row that hides all others of its table."""
    rows = [{**ROW, "value": "%"}, {**ROW, "key": "l", "value": 7}]
    http = FakeHttp({"rows": rows, "schemaVer": 3, "nowMs": 1})
    store = PlatformRowStore(http, http, "store:1")
    assert [row.value for row in asyncio.run(store.read("t")).rows] == [b"", b""]


def test_malformed_tickets_approve_no_worker():
    """Guard against an answer of the adviser that ends the owner's request for advice."""
    body = {"approved": [["w0", "ticket"], ["w1"], None, [7, "x"], "w2"], "validityMs": "long"}
    advice = asyncio.run(PlatformAdviser(FakeHttp(body), "a:1").ask(StepKey("j", 0, 0), [], 1.0))
    assert (advice.tickets, advice.valid_ms) == ({"w0": "ticket"}, DEFAULT_TICKET_VALID_MS)


@pytest.mark.parametrize("status", [201, 204, 302])
def test_an_odd_success_of_the_store_leaves_open_what_was_done(status):
    """Guard against jobs that run although they were refused, where a gateway answers oddly."""
    with pytest.raises(StoreUnansweredError):
        http = FakeHttp({}, status)
        asyncio.run(PlatformRowStore(http, http, "store:1").commit(RowTransaction()))


@pytest.mark.parametrize("status", [500, 502, 504])
def test_an_error_of_a_server_leaves_open_what_was_done(status):
    """Guard against jobs that run although they were refused, and tasks that start twice.

    Only 429 and 503 say that nothing was done.
    """
    http = FakeHttp({}, status)
    with pytest.raises(StoreUnansweredError):
        asyncio.run(PlatformRowStore(http, http, "store:1").commit(RowTransaction()))
    start = StartTask("w0", TaskKey("0" * 16, 0, 0, 0), 1, "(payload)")
    response = asyncio.run(PlatformWorkerDriver(http, http).start(WORKER, 1, start, 1_000))
    assert response.outcome is CommandOutcome.UNKNOWN
