"""Test a takeover and a graceful stop over real sockets, with a process per component."""

import json
import threading
import time

import pytest
import yaml

from baobabhoist.records.view import key_digest
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster, fetch, wait_for_port

TEAM_KEY = "team-key-of-the-takeover"
WAIT_TIMEOUT_S = 30.0


def records(ports):
    worker = {"host": "127.0.0.1", "cpu_milli": 16000, "memory_mb": 65536, "slots": 8}
    workers = [{"name": name, "port": port, **worker} for name, port in ports.items()]
    bodies = {
        ("shard", "rack-1"): {"data_centre": "north", "workers": workers},
        ("team", "roster"): {"limit": 8},
        ("key", "roster"): {"team": "roster", "digest": key_digest(TEAM_KEY)},
        ("queue", "entries"): {},
    }
    return [
        {"kind": kind, "name": name, "schema_version": 1, "body": body}
        for (kind, name), body in bodies.items()
    ]


def owner_of(cluster, candidates):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        for name in candidates:
            port = cluster.instances[name]["admin_port"]
            url = f"http://127.0.0.1:{port}/v1/status"
            _, body = fetch(url, {"X-Operator-Key": OPERATOR_KEY})
            if "rack-1" in json.loads(body)["owned_shards"]:
                return name
        time.sleep(0.1)
    raise AssertionError("no instance owns the shard")


def wait_until_ready(cluster, name):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    wait_for_port(cluster.instances[name]["caller_port"])
    url = f"http://127.0.0.1:{cluster.instances[name]['caller_port']}/readyz"
    while fetch(url, {})[0] != 200:
        assert time.monotonic() < deadline, "the instance is never ready"
        time.sleep(0.1)


def send(cluster, name, payload):
    port = cluster.instances[name]["caller_port"]
    url = f"http://127.0.0.1:{port}/v1/queues/entries/requests"
    return fetch(url, {"X-Team-Key": TEAM_KEY}, payload)


@pytest.fixture
def cluster(tmp_path):
    with Cluster(tmp_path) as new_cluster:
        new_cluster.start_platform()
        log = f"--log={tmp_path / 'events.jsonl'}"
        ports = new_cluster.start_workers("workers", ["w1", "w2"], log)
        new_cluster.add_instances({"north": ["entry-1", "entry-2"]})
        for name in new_cluster.instances:
            new_cluster.start_instance(name)
        for name, cfg in new_cluster.instances.items():
            wait_for_port(cfg["admin_port"])
            wait_until_ready(new_cluster, name)
        path = tmp_path / "records.yaml"
        path.write_text(yaml.safe_dump_all(records(ports)), encoding="utf-8")
        new_cluster.run_cli("put", "record", str(path), instance="entry-1")
        yield new_cluster


def started_tasks(cluster):
    lines = (cluster.folder / "events.jsonl").read_text(encoding="utf-8").splitlines()
    return sum('"started"' in line for line in lines)


def wait_until_started(cluster, count):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while started_tasks(cluster) < count:
        assert time.monotonic() < deadline, "no worker started the request"
        time.sleep(0.05)


class BackgroundRequest(threading.Thread):
    """Send a request in the background."""

    def __init__(self, *args):
        super().__init__()
        self.args, self.answer = args, None
        self.start()

    def run(self):
        self.answer = send(*self.args)


def test_no_request_is_lost_when_the_owner_stops_or_is_killed(cluster):
    """Guard against an interrupted request at a planned stop, and a lost shard after a kill."""
    owner = owner_of(cluster, cluster.instances)
    (other,) = set(cluster.instances) - {owner}
    assert send(cluster, other, b"first")[0] == 200
    before = started_tasks(cluster)
    requests = [BackgroundRequest(cluster, name, b'{"run_s": 2}') for name in (owner, other)]
    wait_until_started(cluster, before + 2)
    assert cluster.stop(owner, WAIT_TIMEOUT_S) == 0
    for thread in requests:
        thread.join(WAIT_TIMEOUT_S)
        assert thread.answer[0] == 200, thread.answer
    assert owner_of(cluster, [other]) == other

    cluster.start_instance(owner)
    wait_until_ready(cluster, owner)
    before = started_tasks(cluster)
    running = BackgroundRequest(cluster, owner, b'{"run_s": 4}')
    # If no worker had the request yet, its outcome after the kill would rightly be `unknown`.
    wait_until_started(cluster, before + 1)
    cluster.kill(other)
    # The entry instance asks the new owner, which finds the task on its worker.
    running.join(WAIT_TIMEOUT_S)
    assert running.answer[0] == 200, running.answer
    assert send(cluster, owner, b"last")[0] == 200
