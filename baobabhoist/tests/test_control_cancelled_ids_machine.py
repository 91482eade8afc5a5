"""Drive submissions and cancellings of two teams through a store that is late or loses answers."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from baobabhoist.control import job_api as job_api_module
from baobabhoist.control import job_writer
from baobabhoist.control.clock import monotonic_ms
from baobabhoist.control.row_schema import cancel_row_key, decode_job, job_row_key
from baobabhoist.control.tombstone_sweeper import TombstoneSweeper
from baobabhoist.errors import ErrorKind
from baobabhoist.tests.test_control_job_api import ID, JOB, JobApiHarness

TEAM_BY_KEY = {"ka": "alpha", "kb": "beta"}
# What happens to the first write of a call: "gone" means that the instance is lost after it, and
# "overtaken" that the store performs all late writes just before it.
FAILURES = st.sampled_from(["", "", "lost", "late", "refused", "gone", "overtaken"])
CALLS = {"key": st.sampled_from(sorted(TEAM_BY_KEY)), "failure": FAILURES}


class InstanceGoneError(Exception):
    """End a call in the place of an instance that is killed."""


class CancelledIdsMachine(RuleBasedStateMachine):
    """Compare what callers were told with the rows that owners act on."""

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(job_writer, "RETRY_INTERVAL_S", 0.0)
        self.patch.setattr(job_writer, "REFUSED_RETRY_MS", -1.0)
        self.harness = JobApiHarness(self.patch)
        self.patch.setattr(job_api_module, "monotonic_ms", monotonic_ms)
        self.harness.now = monotonic_ms()
        self.harness.configure(keys=TEAM_BY_KEY)
        self.store = self.harness.store
        # The teams whose cancelling was sent, or acknowledged for want of a job, and those whose
        # job was accepted, or said never to run.
        self.cancel_sent, self.gone = set(), set()
        self.accepted, self.never_runs = set(), set()

    def teardown(self):
        self.patch.undo()

    def choose_failures(self, failure):
        """Let the first write of a call fail, and all of an instance that is gone."""
        failures = [failure.replace("gone", "late")]

        def choose_failure(txn):
            if failure == "gone" and not failures:
                raise InstanceGoneError
            chosen = failures.pop() if failures else ""
            if chosen == "overtaken":
                self.store.apply_delayed()
                return ""
            return chosen

        self.store.choose_failure = choose_failure

    def call(self, method, key, failure, *args):
        """Return the kind of the answer, "ok" for a success or "gone" without an answer."""
        self.choose_failures(failure)
        call = self.harness.call(path=f"/q/{ID}", key=key)
        self.harness.config.confirm(monotonic_ms())
        try:
            refusal = asyncio.run(method(call, self.harness.job_api.admit(call), *args))
        except InstanceGoneError:
            return "gone"
        finally:
            self.store.choose_failure = lambda txn: ""
        return "ok" if refusal is None else refusal.kind

    @rule(**CALLS)
    def submit(self, key, failure):
        team = TEAM_BY_KEY[key]
        kind = self.call(self.harness.job_api.submit, key, failure, JOB)
        if kind == "ok":
            self.accepted.add(team)
        elif kind is ErrorKind.CANCELLED:
            assert team in self.cancel_sent - self.accepted
            self.never_runs.add(team)
        elif kind is ErrorKind.CONFLICT:
            assert self.stored_team() not in ("", team)
        else:
            assert failure

    @rule(**CALLS)
    def cancel(self, key, failure):
        team = TEAM_BY_KEY[key]
        self.cancel_sent.add(team)
        kind = self.call(self.harness.job_api.cancel, key, failure)
        if kind is ErrorKind.NOT_FOUND:
            assert team not in self.accepted
            self.gone.add(team)
        elif kind == "ok":
            assert cancel_row_key(ID) in self.store.rows
        elif kind is ErrorKind.FORBIDDEN:
            assert self.stored_team() not in ("", team)
        else:
            assert failure

    @rule()
    def perform_late_writes(self):
        self.store.apply_delayed()

    @rule()
    def sweep(self):
        asyncio.run(TombstoneSweeper(self.store, None).sweep(ID[0]))

    def stored_team(self):
        """Return the team of the stored job, or an empty string."""
        row = self.store.rows.get(job_row_key(ID))
        return decode_job(ID, row.value, row.version).team if row is not None else ""

    @invariant()
    def no_job_is_stored_whose_cancelling_was_acknowledged_without_it(self):
        assert self.stored_team() not in self.gone

    @invariant()
    def no_job_is_stored_that_was_said_never_to_run(self):
        assert self.stored_team() not in self.never_runs

    @invariant()
    def an_accepted_job_stays_stored(self):
        assert self.accepted <= {self.stored_team()}

    @invariant()
    def a_job_is_cancelled_by_its_team_alone(self):
        if cancel_row_key(ID) in self.store.rows:
            assert self.stored_team() in self.cancel_sent


CancelledIdsMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=20, deadline=None
)
TestCancelledIds = CancelledIdsMachine.TestCase
