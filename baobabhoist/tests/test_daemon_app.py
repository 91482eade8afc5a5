"""Test that the daemon applies its settings."""

import ast
import asyncio
import math
import ssl
import time

import attrs
from tornado.httpclient import AsyncHTTPClient

from baobabhoist.config.load import validate_settings
from baobabhoist.config.settings import Settings
from baobabhoist.daemon.app import Daemon
from baobabhoist.model import Answer
from baobabhoist.records.view import Record
from baobabhoist.testing.cluster import Cluster, free_port, wait_for_port
from baobabhoist.tests.certificates import Authority

WAIT_TIMEOUT_S = 30.0
PORTS = ("caller_port", "admin_port", "peer_port")


def settings(**changed):
    raw = {name: free_port() for name in PORTS} | {
        "instance_id": "north-1",
        "data_centre": "north",
        "host": "127.0.0.1",
        "platform_url": f"http://127.0.0.1:{free_port()}",
        "operator_key_digest": "a" * 64,
    }
    return validate_settings(raw | changed).settings


def test_every_setting_is_read_by_the_daemon(pytestconfig):
    """Guard against a setting that is accepted and documented but has no effect."""
    folder = pytestconfig.rootpath / "baobabhoist"
    read = set()
    for path in [*folder.glob("daemon/*.py"), *folder.glob("gateway/*.py")]:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Attribute) and ast.unparse(node.value).endswith("cfg"):
                read.add(node.attr)
    assert {field.name for field in attrs.fields(Settings)} <= read


def test_the_default_deadline_of_the_settings_applies_to_requests():
    """Guard against a fixed default deadline that overrides the setting."""

    async def test():
        daemon = Daemon(settings(default_deadline_s=123.0))
        routed = []

        async def route(req):
            routed.append(req)
            return Answer(req.request_id, 200, b"")

        daemon.route = route
        queue = {"open_to_all": True}
        bodies = [("team", "public", {"limit": 1}), ("queue", "checks", queue)]
        bodies.append(("shard", "n1", {"data_centre": "north", "workers": []}))
        for revision, (kind, name, body) in enumerate(bodies, 1):
            daemon.view.apply(Record(kind, name, 2 if kind == "queue" else 1, revision, body))
        daemon.sync.loaded.set()
        daemon._caller_server.listen(daemon.cfg.caller_port, daemon.cfg.host)
        url = f"http://127.0.0.1:{daemon.cfg.caller_port}/v1/queues/checks/requests"
        await AsyncHTTPClient().fetch(url, method="POST", body=b"x")
        daemon._caller_server.stop()
        (req,) = routed
        # Both times come from one reading of the clock; the tolerance covers rounding.
        assert math.isclose(req.task.deadline - req.task.submitted_at, 123.0, abs_tol=1e-3)

    asyncio.run(test())


def served_certificate_name(port, ca):
    """Return the common name of the certificate that a port presents for an answered request."""

    async def ask():
        context = ssl.create_default_context(cafile=ca)
        reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n")
        status = (await reader.read()).split(b"\r\n")[0]
        subject = dict(pair[0] for pair in writer.get_extra_info("peercert")["subject"])
        writer.close()
        assert b"HTTP/1.1 " in status
        return subject["commonName"]

    return asyncio.run(ask())


def test_the_listeners_of_a_daemon_serve_tls_and_load_replaced_certificates(tmp_path):
    """Guard against a listener that ignores its TLS settings or reads the files only once."""
    authority = Authority("servers")
    ca = authority.write(tmp_path / "ca.pem")
    files = {name: (tmp_path / f"{name}.pem", tmp_path / f"{name}.key") for name in PORTS[:2]}
    with Cluster(tmp_path) as cluster:
        cluster.start_platform()
        cluster.plan_instances({"north": ["entry-1"]})
        cfg = cluster.instances["entry-1"]
        for name, (certificate, key) in files.items():
            authority.issue(f"first {name}", certificate, key)
            section = {"certificate": str(certificate), "key": str(key)}
            cfg[name.replace("port", "tls")] = section
        cluster.start_instance("entry-1")
        for name, (certificate, key) in files.items():
            wait_for_port(cfg[name])
            assert served_certificate_name(cfg[name], ca) == f"first {name}"
            authority.issue(f"second {name}", certificate, key)
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        for name in files:
            while served_certificate_name(cfg[name], ca) != f"second {name}":
                assert time.monotonic() < deadline
                time.sleep(0.1)
