"""Test the whole path over real sockets, each part in its own process."""

import json
import time

import yaml

from baobabhoist.ownership.rendezvous import home_shard
from baobabhoist.records.view import key_digest
from baobabhoist.testing.cluster import OPERATOR_KEY, Cluster, fetch, wait_for_port

TEAM_KEY = "team-key-of-roster"
READY_TIMEOUT_S = 30.0


def records(ports):
    workers = [
        {
            "name": name,
            "host": "127.0.0.1",
            "port": port,
            "cpu_milli": 16000,
            "memory_mb": 65536,
            "slots": 8,
        }
        for name, port in ports.items()
    ]
    shard = {"data_centre": "north", "workers": workers}
    return [
        {"kind": "shard", "name": "rack-1", "schema_version": 1, "body": shard},
        {"kind": "team", "name": "roster", "schema_version": 1, "body": {"limit": 16}},
        {
            "kind": "key",
            "name": "roster-1",
            "schema_version": 1,
            "body": {"team": "roster", "digest": key_digest(TEAM_KEY)},
        },
        {"kind": "queue", "name": "entries", "schema_version": 1, "body": {}},
    ]


def owner_of(cluster, shard):
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_at:
        for name, cfg in cluster.instances.items():
            url = f"http://127.0.0.1:{cfg['admin_port']}/v1/status"
            _, body = fetch(url, {"X-Operator-Key": OPERATOR_KEY})
            if shard in json.loads(body)["owned_shards"]:
                return name
        time.sleep(0.1)
    raise AssertionError(f"no instance owns {shard}")


def test_request_through_an_instance_that_does_not_own_the_shard(tmp_path):
    """Guard against a relayed request losing its answer or running without a fence."""
    with Cluster(tmp_path) as cluster:
        cluster.start_platform()
        ports = {f"worker-{n}": cluster.start_worker(f"worker-{n}") for n in range(4)}
        cluster.plan_instances({"north": ["entry-1", "entry-2"]})
        for name in cluster.instances:
            cluster.start_instance(name)
        for cfg in cluster.instances.values():
            wait_for_port(cfg["admin_port"])
        path = tmp_path / "records.yaml"
        path.write_text(yaml.safe_dump_all(records(ports)), encoding="utf-8")
        printed = cluster.command_line("put", "record", str(path), instance="entry-1")
        assert "team roster is at revision 2" in printed

        owner = owner_of(cluster, "rack-1")
        (other,) = set(cluster.instances) - {owner}
        port = cluster.instances[other]["caller_port"]
        url = f"http://127.0.0.1:{port}/v1/queues/entries/requests"
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        status, body = 503, b""
        while status == 503 and time.monotonic() < give_up_at:
            status, body = fetch(url, {"X-Team-Key": TEAM_KEY}, b"whistle 7")
            time.sleep(0.1)
        assert status == 200, body
        worker, _, payload = body.partition(b":")
        assert worker.decode() in ports
        assert payload == b"whistle 7"
        status, body = fetch(url, {"X-Team-Key": "wrong"}, b"whistle 8")
        assert status == 401
        assert json.loads(body)["outcome"] == "not_run"


def test_home_shard_does_not_depend_on_the_order_of_shards():
    """Guard against two instances choosing different home shards for one key."""
    assert home_shard("key", ["a", "b", "c"]) == home_shard("key", ["c", "a", "b"])
