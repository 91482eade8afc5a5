"""Test the faults, counters, objects and membership list of the fake platform."""

import orjson
import pytest
from tornado.simple_httpclient import HTTPStreamClosedError
from tornado.testing import AsyncHTTPTestCase

from baobabhoist.testing.platform import MembershipList, make_platform_app


class PlatformTest(AsyncHTTPTestCase):
    def get_app(self):
        return make_platform_app()

    def call(self, path, method="GET", body=None):
        data = orjson.dumps(body) if isinstance(body, dict) else body
        answer = self.fetch(path, method=method, body=data)
        return answer.code, answer.body

    def commit(self, txn_id, key="k", revision=0):
        txn = {"txn_id": txn_id, "checks": {key: revision}, "writes": {key: 1}}
        return self.call("/table/commit", "POST", txn)[0]

    def test_write_with_a_lost_answer_takes_effect(self):
        """Guard against a lost answer that also drops the write."""
        self.call("/faults", "POST", {"mode": "lose_answers"})
        with pytest.raises(HTTPStreamClosedError):
            self.commit("t1")
        _, body = self.call("/table/outcome?txn_id=t1")
        assert orjson.loads(body) == {"state": "committed", "revisions": {"k": 1}}
        self.call("/faults", "POST", {"mode": "up"})
        assert self.commit("t2") == 409
        counts = orjson.loads(self.call("/counts")[1])
        assert counts == {"writes": 2, "reads": 1, "lost_answers": 1, "conflicts": 1}

    def test_outage_does_not_affect_control_requests(self):
        """Guard against an outage that cannot be ended, or during which writes take effect."""
        self.call("/faults", "POST", {"mode": "down"})
        assert self.commit("t1") == 503
        assert self.call("/members")[0] == 503
        assert self.call("/faults", "POST", {"mode": "sideways"})[0] == 400
        self.call("/faults", "POST", {"mode": "up"})
        assert orjson.loads(self.call("/table/outcome?txn_id=t1")[1])["state"] == "unknown"

    def test_objects_are_stored_as_bytes(self):
        """Guard against payloads that are changed by text encoding."""
        assert self.call("/objects/a/b", "PUT", b"\x00\xff")[0] == 200
        assert self.call("/objects/a/b") == (200, b"\x00\xff")
        assert self.call("/objects/none")[0] == 404


@pytest.mark.parametrize(("now", "state"), [(11.9, "live"), (12.0, "leaving")])
def test_membership_list_shows_changes_after_its_lag(now, state):
    """Guard against tests that rely on a list that is more up to date than the real one."""
    members = MembershipList(2.0)
    members.change({"name": "w1", "state": "live"}, 0.0)
    members.change({"name": "w1", "state": "leaving"}, 10.0)
    assert [m["state"] for m in members.visible(now)] == [state]
